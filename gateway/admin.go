package gateway

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/quarantine"
)

// QuarantinePath is the path at the metrics address that lists the quarantined requests and parts.
// A DELETE of a fingerprint below it, from the VM itself, lifts the quarantine in the
// whole fleet.
const QuarantinePath = "/quarantine"

// QuarantinedRequest describes a quarantined request, or all requests with a quarantined part, to
// operators.
type QuarantinedRequest struct {
	Fingerprint string    `json:"fingerprint"` // as in the decision log
	Part        bool      `json:"part"`        // of all requests with this part in their prompts
	Ends        int       `json:"ends"`        // backend servers that ended while they ran it
	Score       int       `json:"score"`       // sum of their weights
	LastEnd     time.Time `json:"lastEnd"`
	Until       time.Time `json:"until"` // when it may be tried again
}

// adminHandler serves the metrics, the quarantine endpoints and explanations of routes.
func adminHandler(metrics http.Handler, g *Gateway) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", metrics)
	mux.HandleFunc("GET "+QuarantinePath, g.listQuarantined)
	mux.HandleFunc("DELETE "+QuarantinePath+"/{fingerprint}", g.liftQuarantine)
	mux.HandleFunc("POST "+ExplainPath, g.explainRoute)
	return mux
}

func (g *Gateway) listQuarantined(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := []QuarantinedRequest{}
	for _, e := range g.quarantine.Quarantined(now) {
		v := g.quarantine.Check(e.Fingerprint, now)
		last := e.Ends[len(e.Ends)-1].At
		out = append(out, QuarantinedRequest{Fingerprint: e.Fingerprint.String(), Part: e.Fingerprint.IsPart(), Ends: v.Ends, Score: v.Score, LastEnd: last.UTC(), Until: v.Until.UTC()})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		_ = level.Warn(g.log).Log("msg", "quarantine list not sent", "err", err)
	}
}

func (g *Gateway) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	if !fromThisVM(r) {
		http.Error(w, "only from the VM itself", http.StatusForbidden)
		return
	}
	n, err := strconv.ParseUint(r.PathValue("fingerprint"), 16, 64)
	if err != nil {
		http.Error(w, "a fingerprint is sixteen hexadecimal digits", http.StatusBadRequest)
		return
	}
	fingerprint := quarantine.Fingerprint(n)
	if !g.quarantine.Served(fingerprint, time.Now()) {
		http.Error(w, "nothing is known against it", http.StatusNotFound)
		return
	}
	_ = level.Info(g.log).Log("msg", "decision", "kind", "quarantine", "fingerprint", fingerprint, "outcome", "lifted by an operator")
	w.WriteHeader(http.StatusNoContent)
}

// fromThisVM reports whether a request comes from this VM.
func fromThisVM(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	tcp, isTCP := local.(*net.TCPAddr)
	return net.ParseIP(host).IsLoopback() || isTCP && tcp.IP.Equal(net.ParseIP(host))
}
