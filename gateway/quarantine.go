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

// QuarantinePath is where the metrics' address lists the requests that are held back. A
// DELETE of one below it, from the VM itself, lifts that in the whole fleet.
const QuarantinePath = "/quarantine"

// HeldBack is a request that is held back, as operators see it.
type HeldBack struct {
	Fingerprint string    `json:"fingerprint"` // as in the decision log
	Ends        int       `json:"ends"`        // backend servers that ended as they ran it
	Score       int       `json:"score"`       // their weights together
	LastEnd     time.Time `json:"lastEnd"`
	Until       time.Time `json:"until"` // when it may be tried again
}

// operators serves what operators ask for at the metrics' address.
func operators(metrics http.Handler, g *Gateway) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", metrics)
	mux.HandleFunc("GET "+QuarantinePath, g.listHeldBack)
	mux.HandleFunc("DELETE "+QuarantinePath+"/{fingerprint}", g.liftHeldBack)
	return mux
}

func (g *Gateway) listHeldBack(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := []HeldBack{}
	for _, e := range g.quarantine.HeldBack(now) {
		v := g.quarantine.Look(e.Print, now)
		last := e.Ends[len(e.Ends)-1].At
		out = append(out, HeldBack{Fingerprint: e.Print.String(), Ends: v.Ends, Score: v.Score, LastEnd: last.UTC(), Until: v.Until.UTC()})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		_ = level.Warn(g.log).Log("msg", "list not sent", "err", err)
	}
}

func (g *Gateway) liftHeldBack(w http.ResponseWriter, r *http.Request) {
	if !fromThisVM(r) {
		http.Error(w, "only from the VM itself", http.StatusForbidden)
		return
	}
	n, err := strconv.ParseUint(r.PathValue("fingerprint"), 16, 64)
	if err != nil {
		http.Error(w, "a fingerprint is sixteen hexadecimal digits", http.StatusBadRequest)
		return
	}
	print := quarantine.Fingerprint(n)
	if !g.quarantine.Served(print, time.Now()) {
		http.Error(w, "nothing is known against it", http.StatusNotFound)
		return
	}
	_ = level.Info(g.log).Log("msg", "decision", "kind", "quarantine", "fingerprint", print, "outcome", "lifted by an operator")
	w.WriteHeader(http.StatusNoContent)
}

// fromThisVM reports whether a request comes from the same machine.
func fromThisVM(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	tcp, isTCP := local.(*net.TCPAddr)
	return net.ParseIP(host).IsLoopback() || isTCP && tcp.IP.Equal(net.ParseIP(host))
}
