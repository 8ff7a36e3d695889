package topology

import (
	"fmt"
	"time"
)

// Kind names a kind of object in the platform's store.
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

// The kinds that the system keeps for itself.
const (
	KindLease        Kind = "Lease"
	KindClaimHead    Kind = "ClaimHead"
	KindClaimSegment Kind = "ClaimSegment"
	KindOrder        Kind = "Order"
)

// ConfigKinds lists the kinds that the catalog follows.
var ConfigKinds = []Kind{KindBackendServer, KindModel, KindStage, KindWorkspace, KindRoutingRule, KindService}

// LabelDrain on a backend server takes it out of service when it is "true".
const LabelDrain = "snowspoke/drain"

// BackendServer is a machine that runs a model engine.
type BackendServer struct {
	Name            string  `json:"-"`
	Address         string  `json:"address"`         // host:port of the engine
	FailureDomain   string  `json:"failureDomain"`   // where it stands
	Region          string  `json:"region"`          // region of the failure domain
	Accelerator     string  `json:"accelerator"`     // kind of accelerator
	TokensPerSecond float64 `json:"tokensPerSecond"` // declared capacity; learnt values replace it
	MemoryBytes     int64   `json:"memoryBytes"`     // for weights
	ChecksFencing   bool    `json:"checksFencing"`   // refuses orders with an old fencing number
	Links           []Link  `json:"links"`           // capacity towards next hops, first match counts
	Labels          Labels  `json:"labels"`
	// RequestsPerSecond is what it takes from all daemons together, as any hop of a route;
	// nil for no limit. At 0 it is still called now and then.
	RequestsPerSecond *float64 `json:"requestsPerSecond,omitempty"`
}

// Link states the capacity of the links to the backend servers that To selects.
type Link struct {
	To              Selector `json:"to"`
	TokensPerSecond float64  `json:"tokensPerSecond"`
}

// Draining reports whether an operator took the backend server out of service.
func (b *BackendServer) Draining() bool { return b.Labels[LabelDrain] == "true" }

// LinkTo returns the declared link capacity towards another backend server in
// tokens per second, or zero when none is declared.
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
	Version       string   `json:"version"`         // the version new requests get
	Previous      string   `json:"previousVersion"` // served while no route holds Version
	Adapters      []string `json:"adapters"`        // adapters that may be asked for
	BytesPerLayer int64    `json:"layerBytes"`      // weight size of one layer
	QueueLimit    int      `json:"queueLimit"`      // requests that may wait at one daemon
	MaxTokens     int      `json:"maxTokens"`       // longest answer
	KVTokenBytes  int64    `json:"kvTokenByte"`     // KV cache bytes of one token and layer
}

// Weight returns the bytes of the weights of some layers.
func (m *Model) Weight(layers LayerRange) int64 { return m.BytesPerLayer * int64(layers.Hi-layers.Lo) }

// HasAdapter reports whether the adapter may be asked for; "" always may.
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

// Stage is a part of a model and says which backend servers may serve it.
type Stage struct {
	Name           string     `json:"-"`
	Model          string     `json:"model"`
	Layers         LayerRange `json:"layers"`
	Labels         Labels     `json:"labels"`
	BackendServers Selector   `json:"backendServers"`
	Replicas       int        `json:"replicas"` // backend servers that placement should give it
	Role           string     `json:"role"`     // role that their engines should have; "" for any
}

// Workspace is a tenant: a team or an application of a user.
type Workspace struct {
	Name              string   `json:"-"`
	Labels            Labels   `json:"labels"`
	TokenHashes       []string `json:"tokenHashes"`       // hex SHA-256 of the callers' tokens
	Weight            float64  `json:"weight"`            // share in the fair queue; 0 means 1
	Priority          int      `json:"priority"`          // highest priority its requests may ask for
	RequestsPerSecond float64  `json:"requestsPerSecond"` // limit of the whole fleet; 0 means none
	Burst             int      `json:"burst"`             // requests at once above the rate
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
// no rule selects is unrestricted; any other gets the union of its rules.
type RoutingRule struct {
	Name           string   `json:"-"`
	Workspaces     Selector `json:"workspaces"`
	Requests       Selector `json:"requests"`
	Stages         Selector `json:"stages"`
	BackendServers Selector `json:"backendServers"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Name       string        `json:"-"`
	Endpoints  []Endpoint    `json:"endpoints"`
	Repeatable []CallPattern `json:"repeatable"` // calls that may be sent again
	Timeout    Duration      `json:"timeout"`    // longest call; 0 means the daemon's default
	Labels     Labels        `json:"labels"`
}

// Endpoint is one address of a plain service.
type Endpoint struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Drain         bool   `json:"drain"`
	// RequestsPerSecond is what it takes from all daemons together; nil for no limit.
	RequestsPerSecond *float64 `json:"requestsPerSecond,omitempty"`
}

// EndpointID names an endpoint of a service among all backend servers and endpoints.
func EndpointID(service, endpoint string) string { return service + "/" + endpoint }

// CallPattern selects calls by method and path prefix; "" matches any.
type CallPattern struct {
	Method     string `json:"method"`
	PathPrefix string `json:"pathPrefix"`
}

// IsRepeatable reports whether the service declares the call repeatable.
func (s *Service) IsRepeatable(method, path string) bool {
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

// Duration is a time.Duration written as text such as "30s".
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
