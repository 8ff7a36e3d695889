package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/backend/httpbackend"
	"github.com/snowspoke/snowspoke/internal/retryafter"
)

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpbackend.PathGenerate, e.generate)
	mux.HandleFunc("POST "+httpbackend.PathResume, e.resume)
	mux.HandleFunc("POST "+httpbackend.PathCancel, e.cancel)
	mux.HandleFunc("GET "+httpbackend.PathStatus, e.report)
	mux.HandleFunc("POST "+httpbackend.PathOrder, e.order)
	mux.HandleFunc("POST "+httpbackend.PathExport, e.export)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for e.Frozen.Load() && !e.dead.Load() && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		if r.Context().Err() != nil {
			return // the caller disconnected while the engine was frozen
		}
		mux.ServeHTTP(w, r)
	})
}

// refuse answers with a status and marks the request as not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(httpbackend.HeaderRan, httpbackend.RanNo)
	http.Error(w, reason, status)
}

// statePause adds a Retry-After to an answer, unless it is 0.
func statePause(w http.ResponseWriter, seconds int64) {
	if seconds > 0 {
		w.Header().Set(retryafter.Header, strconv.FormatInt(seconds, 10))
	}
}

// decode parses a JSON body into v. If that fails it refuses the request and returns
// false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(r.Body).Decode(v)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
	}
	return err == nil
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var g httpbackend.GenerateBody
	if !decode(w, r, &g) {
		return
	}
	if reason, hop := e.refusal(&g); reason != "" {
		if hop == "" {
			statePause(w, e.Pause.Load())
		}
		w.Header().Set(httpbackend.HeaderHop, hop)
		refuse(w, http.StatusServiceUnavailable, reason)
		return
	}
	s := newStream(g.Attempt)
	e.state.Lock()
	if g.Attempt <= e.fencedAttempt(g.RequestID) {
		e.state.Unlock()
		refuse(w, http.StatusServiceUnavailable, "attempt is fenced")
		return
	}
	e.streams[g.RequestID] = s
	e.state.Unlock()
	e.fleet.Ledger.begin(g.RequestID, "")
	go e.produce(&g, s)
	e.send(w, r, s, 0)
}

// fencedAttempt returns the highest cancelled attempt of a request, or -1. e.state must
// be held.
func (e *Engine) fencedAttempt(request string) int {
	if n, ok := e.fenced[request]; ok {
		return n
	}
	return -1
}

// refusal returns the reason to refuse a request, or "", and the name of the hop that
// causes it, if any.
func (e *Engine) refusal(g *httpbackend.GenerateBody) (reason, hop string) {
	if e.RefuseAll.Load() {
		e.Refused.Add(1)
		return "busy", ""
	}
	if err := g.Route.CheckTiling(g.Layers); err != nil {
		return err.Error(), ""
	}
	for _, h := range g.Route {
		hop := e.fleet.Engine(h.BackendServer)
		if hop == nil || hop.dead.Load() || !hop.holds(g.Model, g.Version, h.Layers) {
			return "does not hold " + h.Layers.String(), h.BackendServer
		}
	}
	return "", ""
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	var b httpbackend.AttemptBody
	if !decode(w, r, &b) {
		return
	}
	e.state.Lock()
	s := e.streams[b.RequestID]
	e.state.Unlock()
	if s == nil || s.attempt != b.Attempt || s.isCancelled() {
		http.Error(w, "stream is not kept", http.StatusGone)
		return
	}
	evs, _, _ := s.from(0)
	skip := slices.IndexFunc(evs, func(ev backend.Event) bool { return ev.Index >= b.From })
	if skip < 0 {
		skip = len(evs)
	}
	e.send(w, r, s, skip)
}

// send streams the events from position n until the stream ends.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	for {
		evs, final, changed := s.from(n)
		n += len(evs)
		for _, ev := range e.shuffleEvents(evs) {
			data, _ := json.Marshal(ev)
			_, _ = w.Write(append(append([]byte("data: "), data...), '\n', '\n'))
		}
		if rc.Flush() != nil || e.dead.Load() {
			panic(http.ErrAbortHandler)
		}
		if final {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// shuffleEvents repeats and reorders events and adds a foreign and a stale one, if
// Shuffle is set.
func (e *Engine) shuffleEvents(evs []backend.Event) []backend.Event {
	if !e.Shuffle.Load() || len(evs) == 0 || evs[0].Type != backend.EventToken {
		return evs
	}
	foreign, stale := evs[0], evs[0]
	foreign.RequestID, foreign.Text = "another", "foreign"
	stale.Attempt, stale.Text = -1, "stale"
	out := []backend.Event{foreign, stale}
	for i := range evs {
		out = append(out, evs[i], evs[i])
	}
	if n := len(evs); n > 2 && evs[n-1].Type == backend.EventToken {
		slices.Reverse(out)
	}
	return out
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var b httpbackend.AttemptBody
	if !decode(w, r, &b) {
		return
	}
	e.state.Lock()
	defer e.state.Unlock()
	e.fenced[b.RequestID] = max(b.Attempt, e.fencedAttempt(b.RequestID))
	if s := e.streams[b.RequestID]; s != nil && s.attempt <= b.Attempt {
		s.cancel()
	}
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.state.Lock()
	st := e.status
	st.Holdings = slices.Clone(st.Holdings)
	st.InFlight, st.Capacity = e.inFlight, e.rate
	st.LoadAge = time.Duration(e.LoadAge.Load()).Seconds()
	e.state.Unlock()
	_ = json.NewEncoder(w).Encode(st)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o backend.Order
	if !decode(w, r, &o) {
		return
	}
	e.state.Lock()
	defer e.state.Unlock()
	if o.Fencing < e.status.Fencing && !e.IgnoreFencing.Load() {
		refuse(w, http.StatusPreconditionFailed, "old fencing number")
		return
	}
	e.status.Fencing = max(o.Fencing, e.status.Fencing)
	i := slices.IndexFunc(e.status.Holdings, func(h backend.Holding) bool {
		return h.Model == o.Holding.Model && h.Version == o.Holding.Version && h.Layers == o.Holding.Layers
	})
	hs := slices.Clone(e.status.Holdings)
	switch {
	case o.Type == backend.OrderLoad && i < 0:
		hs = append(hs, o.Holding)
	case o.Type == backend.OrderLoad:
		hs[i].Adapters = o.Holding.Adapters
	case o.Type == backend.OrderUnload && i >= 0:
		hs = slices.Delete(hs, i, i+1)
	case o.Type == backend.OrderRole:
		e.status.Role = o.Role
	}
	e.status.Holdings = hs
	e.status.Seq++
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var x backend.ExportKV
	if !decode(w, r, &x) {
		return
	}
	to := e.fleet.at(x.To)
	if to == nil || to.dead.Load() {
		http.Error(w, "cannot reach "+x.To, http.StatusBadGateway)
		return
	}
	to.importKV(x)
	_ = json.NewEncoder(w).Encode(httpbackend.HandleBody{Handle: x.RequestID})
}

func (e *Engine) importKV(x backend.ExportKV) {
	e.state.Lock()
	defer e.state.Unlock()
	e.kv[x.RequestID] = max(x.Tokens, e.kv[x.RequestID])
}
