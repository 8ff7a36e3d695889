// Package forward carries opaque requests to backend servers and their answers
// back, byte for byte. A request has one life: it is admitted, sent along a path,
// its events are handed on once and in order, and a stream that stands still or
// breaks goes on over other backend servers.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/site"
)

// ErrOrderRefused says that a backend server refused an order.
var ErrOrderRefused = errors.New("forward: order refused")

// ErrReborn says that a backend server has started again since: what it says is of
// another incarnation.
var ErrReborn = errors.New("forward: backend server has started again")

// errUnknownServer says that a backend server is not known any more.
var errUnknownServer = errors.New("forward: unknown backend server")

// Outgoing is a request as one backend server shall receive it.
type Outgoing struct {
	Request   *Request
	Server    *site.BackendServer
	Path      site.Path // nil for plain services
	Left      time.Duration
	LastEvent string // ID of the last event that the caller has, "" for none
	Priority  int    // 0 is the most urgent
	Fresh     bool   // on a new connection, or one that was used a moment ago
	Permitted bool   // the call is counted already, by its permit
	IdleMost  int    // idle connections that may be kept to the backend server
}

// IdleMost bounds the idle connections of one daemon to one backend server.
const IdleMost = 64

// idlePart returns how many idle connections a daemon may keep to one backend server: an
// even part of those that it takes from all daemons beside one for each of its slots, 0 for
// any number. One that has more resets connections, and 300 daemons that each kept as many
// as it can use itself might have ten times what it takes.
func idlePart(takes, slots, daemons int) int {
	if takes <= 0 {
		return IdleMost
	}
	return min(IdleMost, max(1, (takes-slots)/max(1, daemons)))
}

// Answer is the head of a backend server's answer. Body must be closed; it gives
// io.EOF only when the answer is whole.
type Answer struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	NotRun  bool   // the backend server says that the request did not run
	AtFault string // address of the backend server that a refusal is about, "" if not told
	Sealed  bool   // it carries the backend server's signature
	Length  int64  // of the body, -1 if not known
}

// Stall names a stream that stands still and the address of the hop at fault.
type Stall struct {
	RequestID string
	Address   string
}

// Report is what a backend server tells of itself.
type Report struct {
	Held    site.Range
	Busy    bool // an order is under way
	Orders  uint64
	Waiting int
	Running int
	KVUsed  float64 // tokens x layers
	KVTotal float64
	Pace    float64 // above 1 when it is slow
	Stalled []Stall
}

// CallKind is what reaches a backend server from a daemon.
type CallKind string

// The kinds of calls.
const (
	CallRequest CallKind = "request" // a caller's, also one that is sent again
	CallReport  CallKind = "report"
	CallOrder   CallKind = "order" // also one that moves a stream
)

// LimitWord is what one answer of a backend server says of the requests that it takes from
// all daemons together.
type LimitWord struct {
	Server    string // ID
	Call      CallKind
	RequestID string // "" unless the call is a caller's request
	Ran       bool   // the backend server ran the request
	Named     bool   // the answer names a limit
	Rate      float64
	SentAt    time.Time // on the clock of package boottime
}

// Backends calls backend servers. Errors of Send wrap those of package execution.
type Backends interface {
	Send(ctx context.Context, o *Outgoing) (*Answer, error)
	Report(ctx context.Context, s *site.BackendServer) (Report, error)
	// Reach connects to a backend server and returns an error if it is dead.
	Reach(ctx context.Context, s *site.BackendServer) error
	// Repath moves a running stream to a path with the same first hop. It returns
	// a *HopError when another hop refused.
	Repath(ctx context.Context, head *site.BackendServer, requestID string, p site.Path) error
}

// HopError says which hop of a path an error is about.
type HopError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *HopError) Error() string { return e.Address + ": " + e.Err.Error() }

// Unwrap returns the error itself.
func (e *HopError) Unwrap() error { return e.Err }

// Request is a caller's request. Header holds what is passed on.
type Request struct {
	ID        string
	Method    string
	Target    string // path and query exactly as the caller sent them
	Host      string
	Header    http.Header
	Body      []byte
	Route     *site.Route
	Service   string
	Workspace *site.Workspace // nil on public routes
	Received  time.Time       // this and the next on the clock of package boottime
	Deadline  time.Time       // of the caller
	Model     string
	Prompt    float64 // tokens
	MaxAnswer float64 // most tokens out
	Hint      float64 // the caller's guess of the tokens out, 0 for none
	LastEvent string  // the caller goes on after this event
}

// Fingerprint names the request by what its caller asks for: the same for each attempt
// of it, at any daemon.
func (r *Request) Fingerprint() quarantine.Fingerprint {
	workspace := ""
	if r.Workspace != nil {
		workspace = r.Workspace.Name
	}
	return quarantine.FingerprintOf([]byte(workspace), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body)
}

// Sink takes the answer. Its methods are called from one goroutine; an error
// means that the caller is gone.
type Sink interface {
	// Head begins a stream.
	Head(status int, h http.Header) error
	// Events hands on whole events, byte for byte.
	Events(p []byte) error
	// Whole hands on a whole answer.
	Whole(status int, h http.Header, body []byte) error
}
