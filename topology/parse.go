package topology

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"regexp"
	"slices"
)

// ErrInvalid is wrapped by every error of Parse and ParseSelector.
var ErrInvalid = errors.New("invalid object")

// Limits of an object's size and contents.
const (
	maxLayers     = 4096
	maxSpecBytes  = 1 << 20
	maxNameLength = 128
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Parse decodes and validates the spec of a configuration object. The result
// depends on the arguments alone, so that all daemons accept the same objects.
// All faults are returned together, each with a hint on how to fix it. The error
// wraps ErrInvalid.
func Parse(kind Kind, name string, spec []byte) (any, error) {
	if len(spec) > maxSpecBytes {
		return nil, fmt.Errorf("%w: %s %s: spec of %d bytes, at most %d", ErrInvalid, kind, name, len(spec), maxSpecBytes)
	}
	var faults []error
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		faults = append(faults, fmt.Errorf("name %q: use lower-case letters, digits, '.', '_' and '-'", name))
	}
	obj, err := decode(kind, name, spec)
	if err != nil {
		faults = append(faults, err)
	} else {
		faults = append(faults, obj.validate()...)
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("%w: %s %s: %w", ErrInvalid, kind, name, errors.Join(faults...))
	}
	return obj, nil
}

type object interface{ validate() []error }

func decode(kind Kind, name string, spec []byte) (object, error) {
	switch kind {
	case KindBackendServer:
		return decodeInto(spec, &BackendServer{Name: name})
	case KindModel:
		return decodeInto(spec, &Model{Name: name})
	case KindStage:
		return decodeInto(spec, &Stage{Name: name})
	case KindWorkspace:
		return decodeInto(spec, &Workspace{Name: name})
	case KindRoutingRule:
		return decodeInto(spec, &RoutingRule{Name: name})
	case KindService:
		return decodeInto(spec, &Service{Name: name})
	}
	return nil, fmt.Errorf("kind %q is not one of %v", kind, ConfigKinds)
}

func decodeInto[T object](spec []byte, obj T) (object, error) {
	dec := json.NewDecoder(bytes.NewReader(spec))
	dec.DisallowUnknownFields()
	if err := dec.Decode(obj); err != nil {
		return nil, err
	}
	if dec.More() {
		return nil, errors.New("trailing data after the spec")
	}
	return obj, nil
}

func (b *BackendServer) validate() []error {
	var f []error
	f = append(f, checkAddress("address", b.Address)...)
	if b.FailureDomain == "" {
		f = append(f, errors.New("failureDomain: missing, name the failure domain it stands in"))
	}
	if b.TokensPerSecond < 0 {
		f = append(f, fmt.Errorf("tokensPerSecond: %v, write a number from 0", b.TokensPerSecond))
	}
	f = append(f, checkLimit("requestsPerSecond", b.RequestsPerSecond)...)
	for i, l := range b.Links {
		if l.TokensPerSecond <= 0 {
			f = append(f, fmt.Errorf("links[%d].tokensPerSecond: %v, write a number above 0", i, l.TokensPerSecond))
		}
	}
	return f
}

func checkLimit(field string, rate *float64) []error {
	if rate != nil && *rate < 0 {
		return []error{fmt.Errorf("%s: %v, write a number from 0 or leave it out", field, *rate)}
	}
	return nil
}

func checkAddress(field, address string) []error {
	if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
		return []error{fmt.Errorf("%s: %q, write host:port", field, address)}
	}
	return nil
}

func (m *Model) validate() []error {
	var f []error
	if m.Layers < 1 || m.Layers > maxLayers {
		f = append(f, fmt.Errorf("layers: %d, write a number from 1 to %d", m.Layers, maxLayers))
	}
	if m.Version == "" {
		f = append(f, errors.New("version: missing, name the version that new requests get"))
	}
	if m.QueueLimit < 0 || m.MaxTokens < 0 || m.BytesPerLayer < 0 || m.KVTokenBytes < 0 {
		f = append(f, errors.New("queueLimit, maxTokens, layerBytes and kvTokenByte: write numbers from 0"))
	}
	return f
}

// engineRoles are the roles that a stage may require.
var engineRoles = []string{"", "mixed", "prefill", "decode"}

func (s *Stage) validate() []error {
	var f []error
	if s.Model == "" {
		f = append(f, errors.New("model: missing, name the model"))
	}
	if s.Layers.Lo < 0 || s.Layers.Empty() || s.Layers.Hi > maxLayers {
		f = append(f, fmt.Errorf("layers: %s, write a half-open range with 0 <= lo < hi <= %d", s.Layers, maxLayers))
	}
	if !slices.Contains(engineRoles, s.Role) {
		f = append(f, fmt.Errorf("role: %q, write one of %q", s.Role, engineRoles))
	}
	if s.Replicas < 0 {
		f = append(f, fmt.Errorf("replicas: %d, write a number from 0", s.Replicas))
	}
	return f
}

func (w *Workspace) validate() []error {
	var f []error
	for i, h := range w.TokenHashes {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != 32 {
			f = append(f, fmt.Errorf("tokenHashes[%d]: write the hex SHA-256 of the token, 64 characters", i))
		}
	}
	if w.Weight < 0 || w.RequestsPerSecond < 0 || w.Burst < 0 {
		f = append(f, errors.New("weight, requestsPerSecond and burst: write numbers from 0"))
	}
	return f
}

func (r *RoutingRule) validate() []error { return nil }

func (s *Service) validate() []error {
	var f []error
	seen := make(map[string]bool, len(s.Endpoints))
	for i, e := range s.Endpoints {
		f = append(f, checkAddress(fmt.Sprintf("endpoints[%d].address", i), e.Address)...)
		f = append(f, checkLimit(fmt.Sprintf("endpoints[%d].requestsPerSecond", i), e.RequestsPerSecond)...)
		if e.Name == "" || seen[e.Name] {
			f = append(f, fmt.Errorf("endpoints[%d].name: %q, give each endpoint a name of its own", i, e.Name))
		}
		seen[e.Name] = true
	}
	if s.Timeout < 0 {
		f = append(f, errors.New("timeout: write a duration from 0s"))
	}
	return f
}
