// Package dispatch carries a request through its life: the gate admits it, an
// attempt sends it along a route, delivery hands its tokens to the caller once
// and in order, and recovery continues it elsewhere when a stage fails.
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
	BodyHash   uint64 // of the body, binds event IDs to it
	CacheKey   uint64 // hash of the prompt's prefix, 0 for none
}

// Token is one token on its way to the caller.
type Token struct {
	Index   int
	Text    string
	EventID string // sealed, for Last-Event-ID
}

// Sink takes the answer. Its methods are called from one goroutine.
type Sink interface {
	// Token takes the next token. An error ends the request.
	Token(t Token) error
}

// Outcome describes a whole answer.
type Outcome struct {
	RequestID    string
	Version      string // of the model
	Tokens       int
	FinishReason string
	Attempts     int
}

// Clock returns the present time; tests run in virtual time.
type Clock func() time.Time

// HealthSink learns what requests show about backend servers.
type HealthSink interface {
	Signal(server string, s Signal)
	Load(l backend.HopLoad)
	// GapBound returns the longest time between two tokens on a route, from what
	// is known of its hops and the gaps of this stream.
	GapBound(r topology.Route, own *health.Gap) time.Duration
}

// Alive asks backend servers whether they answer at all.
type Alive interface {
	// Silent returns the backend servers of the route that do not answer soon.
	Silent(ctx context.Context, r topology.Route) []string
}
