package api

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/catalog"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/routing"
	"github.com/snowspoke/snowspoke/store"
)

// Status is a daemon's report of its own state and of its cached state of the fleet.
type Status struct {
	Daemon         string                `json:"daemon"`
	FailureDomain  string                `json:"failureDomain"`
	Ready          bool                  `json:"ready"`
	Revision       store.Position        `json:"revision"`
	Digest         string                `json:"digest"`
	StoreBehind    bool                  `json:"storeBehind,omitempty"`
	Rejected       []catalog.Result      `json:"rejected,omitempty"`
	Running        int                   `json:"running"`
	Waiting        int                   `json:"waiting"`
	Violations     int64                 `json:"invariantViolations"`
	BackendServers []BackendServerStatus `json:"backendServers"`
	Models         []ModelStatus         `json:"models"`
	Peers          []PeerStatus          `json:"peers,omitempty"`
	Leases         []LeaseStatus         `json:"leases,omitempty"`
}

// BackendServerStatus is the cached state of one backend server.
type BackendServerStatus struct {
	Name          string   `json:"name"`
	FailureDomain string   `json:"failureDomain"`
	Accelerator   string   `json:"accelerator"`
	Usable        bool     `json:"usable"`
	Leaving       bool     `json:"leaving"`
	Capacity      float64  `json:"tokensPerSecond"`
	InFlight      int64    `json:"inFlight"`
	Load          float64  `json:"load"`
	Weight        float64  `json:"weight"`
	Holdings      []string `json:"holdings"`
}

// ModelStatus is the throughput bound of one model and the cut that limits it.
type ModelStatus struct {
	Model   string            `json:"model"`
	Version string            `json:"version"`
	Bound   float64           `json:"boundTokensPerSecond"`
	Cut     []routing.CutItem `json:"cut,omitempty"`
}

// PeerStatus is the cached state of another daemon.
type PeerStatus struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Operators     string `json:"operators"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
}

// LeaseStatus is the cached state of a lease.
type LeaseStatus struct {
	Name    string `json:"name"`
	Holder  string `json:"holder"`
	Fencing uint64 `json:"fencing"`
	Mine    bool   `json:"mine"`
}

// Inspector provides the data of the operators' interface.
type Inspector interface {
	Status() Status
	// Ready returns the reason why the daemon is not ready, or nil.
	Ready() error
	// Explain returns the retained decisions about a request or subject.
	Explain(id string) []decision.Record
	// ObjectResult returns the result of evaluating a configuration object; ok is false
	// if the object is unknown.
	ObjectResult(kind, name string) (catalog.Result, bool)
}

// Operators serves the operators' interface.
type Operators struct {
	inspect   Inspector
	tokenHash []byte // empty disables authorization
	mux       *http.ServeMux
}

// NewOperators returns the handler of the operators' interface. Health and
// readiness checks need no token, since load balancers have none.
func NewOperators(i Inspector, metrics http.Handler, tokenHash string) *Operators {
	raw, _ := hex.DecodeString(tokenHash)
	h := &Operators{inspect: i, tokenHash: raw, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	h.mux.HandleFunc("GET /readyz", h.ready)
	h.mux.Handle("GET /metrics", h.authorized(metrics))
	h.mux.Handle("GET /v1/status", h.authorized(http.HandlerFunc(h.status)))
	h.mux.Handle("GET /v1/explain/{id}", h.authorized(http.HandlerFunc(h.explain)))
	h.mux.Handle("GET /v1/verdict/{kind}/{name}", h.authorized(http.HandlerFunc(h.objectResult)))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Operators) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// authorized wraps next with a check of the operators' token.
func (h *Operators) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(h.tokenHash) > 0 {
			token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
			sum := sha256.Sum256([]byte(token))
			if subtle.ConstantTimeCompare(sum[:], h.tokenHash) != 1 {
				writeError(w, apierror.New(apierror.Unauthorized, "the operators' token is missing or wrong"))
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Operators) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.inspect.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (h *Operators) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.inspect.Status())
}

func (h *Operators) explain(w http.ResponseWriter, r *http.Request) {
	records := h.inspect.Explain(r.PathValue("id"))
	if len(records) == 0 {
		writeError(w, apierror.New(apierror.UnknownRequest, "no decision about %q is remembered here", r.PathValue("id")))
		return
	}
	writeJSON(w, http.StatusOK, records)
}

func (h *Operators) objectResult(w http.ResponseWriter, r *http.Request) {
	result, ok := h.inspect.ObjectResult(r.PathValue("kind"), r.PathValue("name"))
	if !ok {
		writeError(w, apierror.New(apierror.UnknownRequest, "no such object is known here"))
		return
	}
	writeJSON(w, http.StatusOK, result)
}
