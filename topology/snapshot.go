package topology

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"sort"
	"strings"
)

// Snapshot is an immutable view of the configuration in force. The maps must
// not be changed after the snapshot is published.
type Snapshot struct {
	Revision        uint64 // highest object version applied
	RoutingRevision uint64 // Revision at the last change that routes depend on
	BackendServers  map[string]*BackendServer
	Models          map[string]*Model
	Stages          map[string][]*Stage // by model, ordered by first layer and name
	Workspaces      map[string]*Workspace
	Rules           []*RoutingRule // ordered by name
	Services        map[string]*Service

	tokens map[[sha256.Size]byte]*Workspace
}

// NewSnapshot returns an empty snapshot.
func NewSnapshot() *Snapshot {
	return &Snapshot{
		BackendServers: map[string]*BackendServer{},
		Models:         map[string]*Model{},
		Stages:         map[string][]*Stage{},
		Workspaces:     map[string]*Workspace{},
		Services:       map[string]*Service{},
		tokens:         map[[sha256.Size]byte]*Workspace{},
	}
}

// CallLimits returns the declared RequestsPerSecond of backend servers by name, and
// of the endpoints of services by EndpointID.
func (s *Snapshot) CallLimits() map[string]float64 {
	limits := map[string]float64{}
	for name, b := range s.BackendServers {
		if b.RequestsPerSecond != nil {
			limits[name] = *b.RequestsPerSecond
		}
	}
	for name, service := range s.Services {
		for i := range service.Endpoints {
			e := &service.Endpoints[i]
			if e.RequestsPerSecond != nil {
				limits[EndpointID(name, e.Name)] = *e.RequestsPerSecond
			}
		}
	}
	return limits
}

// IndexTokens builds the token index. It must be called before WorkspaceOf and
// after every change of the workspaces.
func (s *Snapshot) IndexTokens() {
	s.tokens = make(map[[sha256.Size]byte]*Workspace, len(s.Workspaces))
	for _, w := range s.Workspaces {
		for _, h := range w.TokenHashes {
			var key [sha256.Size]byte
			if n, err := hex.Decode(key[:], []byte(h)); err == nil && n == sha256.Size {
				s.tokens[key] = w
			}
		}
	}
}

// ShareTokens reuses the token index of an earlier snapshot. The workspaces must be
// the same.
func (s *Snapshot) ShareTokens(from *Snapshot) { s.tokens = from.tokens }

// WorkspaceOf returns the workspace that the token belongs to, or nil. Tokens
// are looked up by their hash, so that timing reveals nothing about a token. The
// stored hash is then compared in constant time.
func (s *Snapshot) WorkspaceOf(token string) *Workspace {
	sum := sha256.Sum256([]byte(token))
	w := s.tokens[sum]
	if w == nil {
		return nil
	}
	for _, h := range w.TokenHashes {
		raw, err := hex.DecodeString(h)
		if err == nil && subtle.ConstantTimeCompare(raw, sum[:]) == 1 {
			return w
		}
	}
	return nil
}

// Class is the set of rules that govern a request. Requests of one class may
// use the same stages and backend servers, so routing state is kept per class
// and not per workspace.
type Class struct {
	Key   string // names of the rules, joined; "" is unrestricted
	Rules []*RoutingRule
}

// ClassOf returns the class of a request with the given labels. ok is false
// when rules select the workspace but none admits the request.
func (s *Snapshot) ClassOf(w *Workspace, request Labels) (c Class, ok bool) {
	selected := false
	var names []string
	for _, r := range s.Rules {
		if !r.Workspaces.Matches(w.Labels) {
			continue
		}
		selected = true
		if r.Requests.Matches(request) {
			c.Rules = append(c.Rules, r)
			names = append(names, r.Name)
		}
	}
	c.Key = strings.Join(names, ",")
	return c, !selected || len(c.Rules) > 0
}

// Allowed returns the parts of held that the backend server may serve for a
// request of the class. A part is allowed if it belongs to a stage whose selector
// matches the backend server, and if a rule of the class admits the stage and the
// backend server. Ranges are merged and sorted.
func (s *Snapshot) Allowed(c Class, m *Model, b *BackendServer, held LayerRange) []LayerRange {
	var parts []LayerRange
	for _, st := range s.Stages[m.Name] {
		if !st.BackendServers.Matches(b.Labels) || !c.admits(st, b) {
			continue
		}
		if x := held.Intersect(st.Layers); !x.Empty() {
			parts = append(parts, x)
		}
	}
	return mergeRanges(parts)
}

func (c Class) admits(st *Stage, b *BackendServer) bool {
	if len(c.Rules) == 0 {
		return true
	}
	for _, r := range c.Rules {
		if r.Stages.Matches(st.Labels) && r.BackendServers.Matches(b.Labels) {
			return true
		}
	}
	return false
}

func mergeRanges(parts []LayerRange) []LayerRange {
	sort.Slice(parts, func(i, j int) bool { return parts[i].Lo < parts[j].Lo })
	var out []LayerRange
	for _, p := range parts {
		if n := len(out); n > 0 && p.Lo <= out[n-1].Hi {
			out[n-1].Hi = max(out[n-1].Hi, p.Hi)
			continue
		}
		out = append(out, p)
	}
	return out
}

// SortStages orders the stages of a model by first layer and name.
func SortStages(stages []*Stage) {
	slices.SortFunc(stages, func(a, b *Stage) int {
		if a.Layers.Lo != b.Layers.Lo {
			return a.Layers.Lo - b.Layers.Lo
		}
		return strings.Compare(a.Name, b.Name)
	})
}

// HashToken returns the hex SHA-256 of a token, as stored in workspaces.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
