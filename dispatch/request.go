// Package dispatch runs requests: the gate admits a request, an attempt sends it
// along a route, delivery passes its tokens to the caller once and in order, and
// recovery continues it on another route when a hop fails.
package dispatch

import (
	"context"
	"time"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/topology"
)

// Request is a caller's request for a model.
type Request struct {
	ID         string
	Workspace  *topology.Workspace
	Model      string
	Adapter    string
	Prompt     string
	Messages   []backend.Message
	MaxTokens  int // of the answer; 0 means the model's limit or the default
	Sampling   backend.Sampling
	Priority   int // higher goes first
	Labels     topology.Labels
	Repeatable bool      // a second execution is allowed
	Deadline   time.Time // zero for none
	BodyHash   uint64    // binds event IDs to the request body
	CacheKey   uint64    // hash of the prompt's prefix; 0 means none
	Parts      []string  // identify the parts of the prompt that other requests may share, in order
}

// Token is one token of an answer.
type Token struct {
	Index   int
	Text    string
	EventID string // sealed, for Last-Event-ID
}

// Sink receives the answer. Its methods are called from one goroutine.
type Sink interface {
	// Token receives the next token. An error ends the request.
	Token(t Token) error
}

// Outcome describes the answer to a request.
type Outcome struct {
	RequestID    string
	Version      string // of the model
	Tokens       int    // of the answer so far
	FinishReason string
	Attempts     int
}

// Clock returns the current time.
type Clock func() time.Time

// HealthSink receives observations of backend servers made by requests.
type HealthSink interface {
	// Signal records what a request observed of the backend server.
	Signal(server string, s Signal)
	// ObserveLoad records the load of a hop.
	ObserveLoad(l backend.HopLoad)
	// GapBound returns the longest acceptable time between two tokens on a route,
	// from the state of its hops and the gaps of this stream.
	GapBound(r topology.Route, own *health.Gap) time.Duration
}

// Prober probes whether backend servers answer.
type Prober interface {
	// Unresponsive returns the backend servers of the route that do not answer a probe in
	// time.
	Unresponsive(ctx context.Context, r topology.Route) []string
}
