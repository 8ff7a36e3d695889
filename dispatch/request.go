// Package dispatch runs requests: the gate admits a request, an attempt sends it
// along a route, delivery passes its tokens to the caller once and in order, and
// recovery continues it on another route when a stage fails.
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
	MaxTokens  int
	Sampling   backend.Sampling
	Priority   int
	Labels     topology.Labels
	Repeatable bool
	Deadline   time.Time
	BodyHash   uint64 // binds event IDs to the request body
	CacheKey   uint64 // hash of the prompt's prefix; 0 means none
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
	Tokens       int
	FinishReason string
	Attempts     int
}

// Clock returns the current time.
type Clock func() time.Time

// HealthSink receives observations of backend servers made by requests.
type HealthSink interface {
	Signal(server string, s Signal)
	Load(l backend.HopLoad)
	// GapBound returns the longest acceptable time between two tokens on a route,
	// from the state of its hops and the gaps of this stream.
	GapBound(r topology.Route, own *health.Gap) time.Duration
}

// Prober probes whether backend servers answer.
type Prober interface {
	// Silent returns the backend servers of the route that do not answer a probe in
	// time.
	Silent(ctx context.Context, r topology.Route) []string
}
