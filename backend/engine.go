// Package backend defines the interfaces of model engines and plain services. The
// packages below this one implement the wire formats.
package backend

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/snowspoke/snowspoke/topology"
)

// Sentinel errors of engine calls, in addition to those of package execution.
var (
	// ErrGone is returned when the engine no longer keeps the stream.
	ErrGone = errors.New("backend: stream not kept")
	// ErrFenced is returned when an order carries an old fencing number.
	ErrFenced = errors.New("backend: order carries an old fencing number")
	// ErrUnsupported is returned when the engine lacks the operation.
	ErrUnsupported = errors.New("backend: not supported")
)

// PauseError is a refusal by a backend server that wants no further requests from this
// daemon for some time.
type PauseError struct {
	After time.Duration
	Err   error
}

// Error implements error.
func (e *PauseError) Error() string { return fmt.Sprintf("%v, and none for %s", e.Err, e.After) }

// Unwrap returns the wrapped error.
func (e *PauseError) Unwrap() error { return e.Err }

// HopError is an error caused by a backend server of the route other than the one
// that was called.
type HopError struct {
	BackendServer string
	Err           error
}

// Error implements error.
func (e *HopError) Error() string { return e.BackendServer + ": " + e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *HopError) Unwrap() error { return e.Err }

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Sampling holds the sampling parameters of a request.
type Sampling struct {
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	Seed        *int64   `json:"seed,omitempty"`
	Stop        []string `json:"stop,omitempty"`
}

// Generate asks the first hop's engine to run a request along a route.
type Generate struct {
	RequestID string
	Attempt   int
	Model     string
	Version   string
	Adapter   string
	Layers    int // layer count of the model, so that the engine can check the route
	Route     topology.Route
	Prompt    string
	Messages  []Message
	Prior     []int32 // tokens already delivered; the first event has index len(Prior)
	KV        string  // handle of an imported KV cache, "" for none
	MaxTokens int
	Priority  int
	Sampling  Sampling
	CacheKey  uint64 // hash of the prompt's prefix, as used in cache events
}

// EventType is the type of a stream event.
type EventType string

// The event types. A connection that ends early yields no event.
const (
	EventToken   EventType = "token"
	EventDone    EventType = "done"
	EventRefused EventType = "refused" // not run
	EventFailed  EventType = "failed"  // a hop failed while running
)

// Event is one event of a stream.
type Event struct {
	Type         EventType `json:"type"`
	RequestID    string    `json:"request"`
	Attempt      int       `json:"attempt"`
	Index        int       `json:"index"` // of the token; for done, the token count
	Token        int32     `json:"token"`
	Text         string    `json:"text"`
	FinishReason string    `json:"finish,omitempty"`
	Reason       string    `json:"reason,omitempty"`
	Failed       string    `json:"failed,omitempty"` // backend server that failed
	Loads        []HopLoad `json:"loads,omitempty"`  // of the hops; only some events have them
}

// HopLoad is a report of the load of one hop.
type HopLoad struct {
	BackendServer string  `json:"server"`
	InFlight      int     `json:"inFlight"` // requests of all daemons on the backend server
	TokenSeconds  float64 `json:"tokenSec"` // latest time of one token in this hop
	LinkSeconds   float64 `json:"linkSec"`  // latest time of one token on the link to NextHop
	Capacity      float64 `json:"capacity"` // measured tokens per second, 0 when unknown
	AgeSeconds    float64 `json:"ageSec"`   // age of the report
	NextHop       string  `json:"next"`     // backend server at the other end of the link
}

// Stream yields the events of a request.
type Stream interface {
	// Next blocks until the next event. It returns execution.ErrLost when the
	// connection ends without a final event.
	Next() (Event, error)
	// Close closes the connection.
	Close() error
}

// Target is the engine or service that a call goes to.
type Target struct {
	BackendServer string
	Address       string // host:port
}

// Engine is the client interface of model engines. Errors wrap those of package
// execution or the sentinel errors of this package.
type Engine interface {
	// Generate starts an attempt of a request and returns its stream.
	Generate(ctx context.Context, t Target, g *Generate) (Stream, error)
	// Resume continues a stream of the same attempt from an index without
	// running any token again. It returns ErrGone when the engine no longer
	// keeps the stream.
	Resume(ctx context.Context, t Target, requestID string, attempt, from int) (Stream, error)
	// Cancel ends an attempt and fences it: from then on the engine refuses
	// this attempt and all earlier ones of the request.
	Cancel(ctx context.Context, t Target, requestID string, attempt int) error
	// Status returns the engine's report of its own state.
	Status(ctx context.Context, t Target) (Status, error)
	// ExportKV moves the request's KV cache of some layers to another backend
	// server and returns the handle under which it is imported. It returns
	// ErrUnsupported when the engine cannot do that.
	ExportKV(ctx context.Context, t Target, e ExportKV) (handle string, err error)
	// Order asks the engine to change its holdings or its role. It returns ErrFenced
	// when the order carries an old fencing number.
	Order(ctx context.Context, t Target, o Order) error
	// CacheEvents calls fn for each event until ctx ends or the stream breaks.
	CacheEvents(ctx context.Context, t Target, fn func(CacheEvent)) error
}

// Role is the phase of generation that an engine runs.
type Role string

// The engine roles.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Holding is a range of layers of a model version that an engine holds.
type Holding struct {
	Model    string              `json:"model"`
	Version  string              `json:"version"`
	Layers   topology.LayerRange `json:"layers"`
	Adapters []string            `json:"adapters,omitempty"`
	Loading  bool                `json:"loading,omitempty"` // not yet usable
}

// Status is an engine's report of its own state.
type Status struct {
	BackendServer string    `json:"server"`
	Boot          uint64    `json:"boot"` // changes when the engine restarts
	Seq           uint64    `json:"seq"`  // increases with each change of holdings, role or leaving
	Holdings      []Holding `json:"holdings"`
	Role          Role      `json:"role"`
	Leaving       bool      `json:"leaving"`
	InFlight      int       `json:"inFlight"`
	Capacity      float64   `json:"capacity"` // measured tokens per second, 0 when unknown
	Fencing       uint64    `json:"fencing"`  // highest fencing number received
	LoadAge       float64   `json:"loadAge"`  // seconds since the load was measured
}

// OrderType is the type of an order.
type OrderType string

// The order types. All are declarative and idempotent.
const (
	OrderLoad   OrderType = "load"
	OrderUnload OrderType = "unload"
	OrderRole   OrderType = "role"
)

// Order asks an engine to change its holdings or its role.
type Order struct {
	ID      string    `json:"id"`
	Type    OrderType `json:"type"`
	Fencing uint64    `json:"fencing"`
	Holding Holding   `json:"holding"`
	Role    Role      `json:"role,omitempty"`
}

// ExportKV describes a transfer of a request's KV cache.
type ExportKV struct {
	RequestID string              `json:"request"`
	Attempt   int                 `json:"attempt"`
	Layers    topology.LayerRange `json:"layers"`
	Tokens    int                 `json:"tokens"` // leading tokens to move
	To        string              `json:"to"`     // address of the importing engine
}

// CacheEvent reports that a prompt prefix entered or left an engine's cache.
// Events arrive late, and some are missing, which shows in Seq.
type CacheEvent struct {
	BackendServer string `json:"server"`
	Seq           uint64 `json:"seq"`
	Prefix        uint64 `json:"prefix"` // hash of the prefix
	Evicted       bool   `json:"evicted"`
}
