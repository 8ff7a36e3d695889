// Package api implements the HTTP interfaces for callers and operators: the
// OpenAI-style endpoints, plain services, metrics, health and inspection.
package api

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/dispatch"
	"github.com/snowspoke/snowspoke/memory"
	"github.com/snowspoke/snowspoke/topology"
)

// Headers of the callers' interface.
const (
	HeaderRequestID  = "Snowspoke-Request-Id"
	HeaderRepeatable = "Snowspoke-Repeatable" // "false" forbids a second execution
	HeaderDeadline   = "Snowspoke-Deadline"   // duration such as 30s, or RFC 3339 time
	HeaderPriority   = "Snowspoke-Priority"   // integer, limited to the priority of the workspace
	HeaderLabels     = "Snowspoke-Labels"     // key=value pairs, comma-separated
	HeaderKey        = "Idempotency-Key"
	HeaderEventID    = "Last-Event-ID"
	HeaderRan        = "Snowspoke-Ran"  // no, yes or unknown; set on errors
	HeaderKind       = "Snowspoke-Kind" // kind of the error
)

// Models runs completion requests. Errors are of type *apierror.Error.
type Models interface {
	// Do runs a request and passes its tokens to s.
	Do(ctx context.Context, r *dispatch.Request, s dispatch.Sink) (dispatch.Outcome, error)
	// Resume continues a stream from p and passes the later tokens to s.
	Resume(ctx context.Context, r *dispatch.Request, p *dispatch.Position, s dispatch.Sink) (dispatch.Outcome, error)
}

// PlainServices runs calls of plain services.
type PlainServices interface {
	// Do sends a call. The caller must close the body of the reply.
	Do(ctx context.Context, r *dispatch.ServiceRequest) (*backend.ServiceReply, error)
}

// Configuration provides the configuration in force.
type Configuration interface {
	Snapshot() *topology.Snapshot
	// Complete reports whether what a snapshot lacks does not exist. Once true it stays so.
	Complete() bool
}

// CallerOptions holds the limits of the callers' interface.
type CallerOptions struct {
	BodyBytes       int64         // maximum size of a request body
	BodyMemory      int           // maximum size of the large bodies of all requests together, 0 for a default
	BodyTimeout     time.Duration // to read a request body
	WriteTimeout    time.Duration // for each write of a response
	DefaultDeadline time.Duration // of requests without HeaderDeadline
	MaxDeadline     time.Duration // upper limit of HeaderDeadline
}

// Callers serves the callers' interface.
type Callers struct {
	opts     CallerOptions
	config   Configuration
	models   Models
	services PlainServices
	sealer   *dispatch.Sealer
	claims   Claimer
	clock    func() time.Time
	mux      *http.ServeMux
	bodies   *memory.Pool
}

// defaultBodyMemory applies if CallerOptions.BodyMemory is 0.
const defaultBodyMemory = 256 << 20

// NewCallers returns the handler of the callers' interface.
func NewCallers(o CallerOptions, c Configuration, m Models, s PlainServices, sealer *dispatch.Sealer, claims Claimer, clock func() time.Time) *Callers {
	h := &Callers{
		opts: o, config: c, models: m, services: s, sealer: sealer, claims: claims, clock: clock, mux: http.NewServeMux(),
		bodies: memory.NewPool(cmp.Or(o.BodyMemory, defaultBodyMemory)),
	}
	h.mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { h.serveCompletion(w, r, textFormat) })
	h.mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { h.serveCompletion(w, r, chatFormat) })
	h.mux.HandleFunc("GET /v1/models", h.listModels)
	h.mux.HandleFunc("/services/{name}/{path...}", h.serveCall)
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, apierror.New(apierror.BadRequest, "no such path: %s %s", r.Method, r.URL.Path))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, newRequestID())
	h.mux.ServeHTTP(w, r)
}

func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }

// workspace returns the workspace that the bearer token of a request belongs to.
func (h *Callers) workspace(r *http.Request) (*topology.Workspace, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return nil, apierror.New(apierror.Unauthorized, "no bearer token")
	}
	if w := h.config.Snapshot().WorkspaceOf(token); w != nil {
		return w, nil
	}
	if !h.config.Complete() {
		return nil, errIncompleteConfig
	}
	// The workspace may have been read before the configuration became complete.
	if w := h.config.Snapshot().WorkspaceOf(token); w != nil {
		return w, nil
	}
	return nil, apierror.New(apierror.Unauthorized, "the token belongs to no workspace")
}

var errIncompleteConfig = apierror.New(apierror.ConfigUnavailable, "this daemon has not read the whole configuration yet")

// refuse answers a request that failed. While the configuration is incomplete, a model or a
// service that it lacks may exist.
func (h *Callers) refuse(w http.ResponseWriter, err error) {
	isUnknown := apierror.Is(err, apierror.UnknownModel) || apierror.Is(err, apierror.UnknownService)
	if isUnknown && !h.config.Complete() {
		err = errIncompleteConfig
	}
	writeError(w, err)
}

// readBody reads a request body of at most BodyBytes within BodyTimeout. Its memory is released when
// the request ends.
func (h *Callers) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(h.opts.BodyTimeout))
	body, release, err := h.bodies.ReadAll(http.MaxBytesReader(w, r.Body, h.opts.BodyBytes), int(2*h.opts.BodyBytes+1))
	context.AfterFunc(r.Context(), release)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
	} else {
		// The read deadline stays set. The server reads the rest of the body, and
		// a slow sender must not keep the connection open.
		w.Header().Set("Connection", "close")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apierror.New(apierror.BodyTooLarge, "more than %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, memory.ErrExhausted) {
		return nil, apierror.Wrap(apierror.Overloaded, err)
	}
	if err != nil {
		return nil, apierror.New(apierror.BadRequest, "body: %v", err)
	}
	return body, nil
}

func (h *Callers) listModels(w http.ResponseWriter, r *http.Request) {
	if _, err := h.workspace(r); err != nil {
		writeError(w, err)
		return
	}
	writeModels(w, h.config.Snapshot())
}
