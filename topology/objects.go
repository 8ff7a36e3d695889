package topology

import (
	"fmt"
	"strings"
	"time"
)

// Kind is a kind of object in the platform's store.
type Kind string

// The kinds that hold configuration.
const (
	KindBackendServer Kind = "BackendServer"
	KindModel         Kind = "Model"
	KindStage         Kind = "Stage"
	KindWorkspace     Kind = "Workspace"
	KindRoutingRule   Kind = "RoutingRule"
	KindService       Kind = "Service"
)

// The kinds of objects that the daemons write.
const (
	KindLease        Kind = "Lease"
	KindClaimHead    Kind = "ClaimHead"
	KindClaimSegment Kind = "ClaimSegment"
	KindOrder        Kind = "Order"
)

// ConfigKinds lists the kinds that the catalog watches.
var ConfigKinds = []Kind{KindBackendServer, KindModel, KindStage, KindWorkspace, KindRoutingRule, KindService}

// LabelDrain on a backend server takes it out of service when it is "true".
const LabelDrain = "snowspoke/drain"

// BackendServer is a VM that runs a model engine.
type BackendServer struct {
	Name            string  `json:"-"`
	Address         string  `json:"address"`         // host:port of the engine
	FailureDomain   string  `json:"failureDomain"`   // shared by VMs that may fail together
	Region          string  `json:"region"`          // of the failure domain
	Accelerator     string  `json:"accelerator"`     // kind of accelerator
	TokensPerSecond float64 `json:"tokensPerSecond"` // declared capacity, until one is measured
	MemoryBytes     int64   `json:"memoryBytes"`     // for weights
	ChecksFencing   bool    `json:"checksFencing"`   // refuses orders with an old fencing number
	Links           []Link  `json:"links"`           // capacity to next hops; the first match applies
	Labels          Labels  `json:"labels"`
	// RequestsPerSecond limits the requests of all daemons together in which the
	// backend server is a hop; nil for no limit. A server with limit 0 is still
	// called occasionally.
	RequestsPerSecond *float64 `json:"requestsPerSecond,omitempty"`
}

// Link declares the capacity of the links to the backend servers that To
// selects.
type Link struct {
	To              Selector `json:"to"`
	TokensPerSecond float64  `json:"tokensPerSecond"`
}

// Draining reports whether an operator has taken the backend server out of
// service.
func (b *BackendServer) Draining() bool { return b.Labels[LabelDrain] == "true" }

// LinkTo returns the declared link capacity to another backend server in tokens
// per second, or zero when none is declared.
func (b *BackendServer) LinkTo(to *BackendServer) float64 {
	for _, l := range b.Links {
		if l.To.Matches(to.Labels) {
			return l.TokensPerSecond
		}
	}
	return 0
}

// Model is a model that is split by layers.
type Model struct {
	Name          string   `json:"-"`
	Layers        int      `json:"layers"`
	Version       string   `json:"version"`         // used for new requests
	Previous      string   `json:"previousVersion"` // used while no route holds Version
	Adapters      []string `json:"adapters"`        // that requests may name
	BytesPerLayer int64    `json:"layerBytes"`      // weight size of one layer
	QueueLimit    int      `json:"queueLimit"`      // requests that may wait at one daemon
	MaxTokens     int      `json:"maxTokens"`       // of an answer; 0 for no limit
	KVTokenBytes  int64    `json:"kvTokenByte"`     // KV cache bytes of one token and layer
}

// Weight returns the size in bytes of the weights of the layers.
func (m *Model) Weight(layers LayerRange) int64 { return m.BytesPerLayer * int64(layers.Hi-layers.Lo) }

// HasAdapter reports whether a request may name the adapter; "" is always
// allowed.
func (m *Model) HasAdapter(name string) bool {
	if name == "" {
		return true
	}
	for _, a := range m.Adapters {
		if a == name {
			return true
		}
	}
	return false
}

// Stage is a range of a model's layers and the backend servers that may serve
// it.
type Stage struct {
	Name           string     `json:"-"`
	Model          string     `json:"model"`
	Layers         LayerRange `json:"layers"`
	Labels         Labels     `json:"labels"`
	BackendServers Selector   `json:"backendServers"`
	Replicas       int        `json:"replicas"` // holders that placement should provide; 0 for no fixed number
	Role           string     `json:"role"`     // role that their engines should have; "" for any
}

// Workspace is a tenant: a team or an application of a user.
type Workspace struct {
	Name              string   `json:"-"`
	Labels            Labels   `json:"labels"`
	TokenHashes       []string `json:"tokenHashes"`       // hex SHA-256 of the callers' tokens
	Weight            float64  `json:"weight"`            // share in the fair queue; 0 means 1
	Priority          int      `json:"priority"`          // highest priority that its requests may have
	RequestsPerSecond float64  `json:"requestsPerSecond"` // limit across all daemons; 0 means none
	Burst             int      `json:"burst"`             // requests allowed at once
}

// FairWeight returns the workspace's weight in the fair queue.
func (w *Workspace) FairWeight() float64 {
	if w.Weight <= 0 {
		return 1
	}
	return w.Weight
}

// RoutingRule admits requests of the selected workspaces with the selected
// request labels to the selected stages and backend servers. A workspace that
// no rule selects is unrestricted; any other is allowed the union of its rules.
type RoutingRule struct {
	Name           string   `json:"-"`
	Workspaces     Selector `json:"workspaces"`
	Requests       Selector `json:"requests"`
	Stages         Selector `json:"stages"`
	BackendServers Selector `json:"backendServers"`
}

// Service is a plain HTTP service that is proxied next to the model engines.
type Service struct {
	Name       string        `json:"-"`
	Endpoints  []Endpoint    `json:"endpoints"`
	Repeatable []CallPattern `json:"repeatable"` // calls that may be retried
	Timeout    Duration      `json:"timeout"`    // of a call; 0 means the daemon's default
	Labels     Labels        `json:"labels"`
}

// Endpoint is one address of a plain service.
type Endpoint struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Drain         bool   `json:"drain"`
	// RequestsPerSecond limits the requests of all daemons together; nil for no
	// limit.
	RequestsPerSecond *float64 `json:"requestsPerSecond,omitempty"`
}

// EndpointID returns a name for an endpoint that is unique among all backend
// servers and endpoints.
func EndpointID(service, endpoint string) string { return service + "/" + endpoint }

// CallPattern selects calls by method and path prefix; "" matches any.
type CallPattern struct {
	Method     string `json:"method"`
	PathPrefix string `json:"pathPrefix"`
}

// IsRepeatable reports whether the service declares that the call may be
// retried. The query of the path is not considered.
func (s *Service) IsRepeatable(method, path string) bool {
	path, _, _ = strings.Cut(path, "?")
	for _, p := range s.Repeatable {
		if p.matches(method, path) {
			return true
		}
	}
	return false
}

func (p CallPattern) matches(method, path string) bool {
	if p.Method != "" && p.Method != method {
		return false
	}
	return len(path) >= len(p.PathPrefix) && path[:len(p.PathPrefix)] == p.PathPrefix
}

// Duration is a time.Duration that is encoded as text such as "30s".
type Duration time.Duration

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses text such as "30s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: write a number and a unit, such as 30s", text)
	}
	*d = Duration(v)
	return nil
}
