// Package forward sends opaque requests to backend servers and returns their answers
// unchanged. A request is admitted and sent along a path, its events are delivered once
// and in order, and a stream that stalls or breaks is resumed over other backend servers.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/site"
)

// ErrOrderRefused is returned when a backend server refuses an order.
var ErrOrderRefused = errors.New("forward: order refused")

// ErrRestarted is returned when an answer is from a later incarnation of a backend server
// than the one addressed.
var ErrRestarted = errors.New("forward: backend server has started again")

// errUnknownServer is returned for a backend server that is not in the inventory.
var errUnknownServer = errors.New("forward: unknown backend server")

// Outgoing is a request as it is sent to one backend server.
type Outgoing struct {
	Request   *Request
	Server    *site.BackendServer
	Path      site.Path     // nil for plain services
	Left      time.Duration // time until the deadline of the request
	LastEvent string        // ID of the last event that the caller has received, "" for none
	Priority  int           // 0 is the most urgent
	Fresh     bool          // use a new or recently used connection
	Permitted bool          // a permit was taken, which has already counted the call
	MaxIdle   int           // maximum number of idle connections kept to the backend server
}

// MaxIdle is the maximum number of idle connections of one daemon to one backend server.
const MaxIdle = 64

// idleShare returns how many idle connections a daemon may keep to one backend server. All
// daemons together may keep as many as the maxConns connections that the server accepts
// (0 for unlimited), less one for each of its slots. The server resets connections beyond
// maxConns, and 300 daemons that each kept as many as they can use would exceed it tenfold.
func idleShare(maxConns, slots, daemons int) int {
	if maxConns <= 0 {
		return MaxIdle
	}
	return min(MaxIdle, max(1, (maxConns-slots)/max(1, daemons)))
}

// Answer is the head of a backend server's answer. Body must be closed; it returns io.EOF
// at the end of the body. Unless Framing is delimited, a broken connection may end it too.
type Answer struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	NotRun  bool   // the backend server reports that the request did not run
	AtFault string // address of the backend server that caused a refusal, "" if unknown
	Signed  bool   // the answer has the backend server's signature
	Framing framing.Framing
	Length  int64  // of the body, -1 if it is not stated
	Carrier string // daemon that carried the connection, "" if it was direct
	// FromOther is set if another backend server has refused the request, at the same address.
	FromOther bool
}

// Stall is a stalled stream with the address of the hop at fault.
type Stall struct {
	RequestID string
	Address   string
}

// Report is the state that a backend server reports.
type Report struct {
	Held     site.Range
	Busy     bool    // an order is in progress
	Orders   uint64  // number of accepted orders
	Waiting  int     // number of waiting requests
	Running  int     // number of running requests
	KVUsed   float64 // memory of requests, in tokens x layers
	KVTotal  float64 // memory for requests, in tokens x layers
	Slowdown float64 // above 1 for a slow server
	Stalled  []Stall
}

// CallKind is the kind of a call from a daemon to a backend server.
type CallKind string

// Kinds of calls.
const (
	CallRequest CallKind = "request" // a caller's request, including retries
	CallReport  CallKind = "report"
	CallHealth  CallKind = "health"
	CallOrder   CallKind = "order" // including those that move a stream
)

// Statement is what one answer states about the backend server that sent it.
type Statement struct {
	Server    string // ID
	Call      CallKind
	RequestID string    // empty unless Call is CallRequest
	Ran       bool      // the backend server ran the request, or answered another call with success
	SentAt    time.Time // of the call, on the clock of package boottime
	Limit     StatedLimit
	// RetryAfter is the time for which the backend server wants no call from this daemon,
	// 0 for none.
	RetryAfter time.Duration
	Leaving    bool            // the backend server accepts no new requests any more
	Ignored    []IgnoredHeader // headers about the backend server that are unknown or invalid
}

// StatedLimit is what an answer states about the backend server's limit on requests, which
// applies to all daemons together.
type StatedLimit struct {
	Stated     bool
	Rate       float64 // in requests per second, if stated
	Unreadable bool    // the answer says neither what the limit is nor that there is none
}

// IgnoredHeader is a header of an answer that has no effect.
type IgnoredHeader struct{ Name, Value string }

// Backends makes calls to backend servers. Errors of Send wrap an error of package
// execution.
type Backends interface {
	Send(ctx context.Context, o *Outgoing) (*Answer, error)
	Report(ctx context.Context, s *site.BackendServer) (Report, error)
	// CheckHealth makes a health check of a plain backend server at a path. It returns nil if
	// the incarnation s answers, whatever its state, and ErrRestarted if another one does.
	CheckHealth(ctx context.Context, s *site.BackendServer, path string) error
	// Reach connects to a backend server and returns an error if that fails.
	Reach(ctx context.Context, s *site.BackendServer) error
	// Listens connects to a backend server and returns an error if that fails, or if the
	// connection does not stay open for a while.
	Listens(ctx context.Context, s *site.BackendServer) error
	// Repath moves a running stream to a path with the same first hop. It returns
	// a *HopError if another hop refused.
	Repath(ctx context.Context, head *site.BackendServer, requestID string, p site.Path) error
}

// HopError is an error caused by a particular hop of a path.
type HopError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *HopError) Error() string { return e.Address + ": " + e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *HopError) Unwrap() error { return e.Err }

// Request is a caller's request. Header holds the headers that are forwarded.
type Request struct {
	ID        string
	Method    string
	Target    string // path and query as sent by the caller
	Host      string
	Header    http.Header
	Body      []byte
	Route     *site.Route
	Service   string
	Workspace *site.Workspace // nil on public routes
	Received  time.Time       // Received and Deadline are on the clock of package boottime
	Deadline  time.Time       // as requested by the caller
	Model     string
	Prompt    float64 // number of tokens, 0 if unknown
	MaxAnswer float64 // maximum number of output tokens, 0 for no maximum
	Hint      float64 // the caller's estimate of the output tokens, 0 for none
	LastEvent string  // ID of the event after which the caller resumes, "" for none
	// Parts are the IDs of the parts of the prompt that other requests may share, in order.
	// Equal IDs are equal content.
	Parts []string
}

// Fingerprint identifies the content of the request. It is the same for each attempt, at
// any daemon, whose port the Host header may state.
func (r *Request) Fingerprint() quarantine.Fingerprint {
	workspace := ""
	if r.Workspace != nil {
		workspace = r.Workspace.Name
	}
	return quarantine.FingerprintOf([]byte(workspace), []byte(r.Method), []byte(strings.ToLower(StripPort(r.Host))), []byte(r.Target), r.Body)
}

// StripPort returns a Host header without its port.
func StripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// Sink writes the answer to the caller. Its methods are called from one goroutine. An error
// means that the caller is gone.
type Sink interface {
	// Head begins a stream.
	Head(status int, h http.Header) error
	// Events writes complete events, byte for byte.
	Events(p []byte) error
	// Complete writes a complete answer.
	Complete(status int, h http.Header, body []byte) error
}
