package standin

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/backend/httpbackend"
	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/topology"
)

// Fleet is a set of stand-in engines with links between them.
type Fleet struct {
	Ledger *Ledger

	mu      sync.Mutex
	engines map[string]*Engine
	links   map[[2]string]time.Duration
}

// NewFleet returns a fleet without engines.
func NewFleet() *Fleet {
	return &Fleet{Ledger: NewLedger(), engines: map[string]*Engine{}, links: map[[2]string]time.Duration{}}
}

// SetLink sets the transfer time of a token between two engines.
func (f *Fleet) SetLink(from, to string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[[2]string{from, to}] = d
}

func (f *Fleet) link(from, to string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[[2]string{from, to}]
}

// Engine returns the engine with a name, or nil.
func (f *Fleet) Engine(name string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[name]
}

// at returns the engine with an address, or nil.
func (f *Fleet) at(address string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.Address() == address {
			return e
		}
	}
	return nil
}

// Engine is a stand-in for a model engine that serves tokens one after the other.
type Engine struct {
	memnet.Server
	Name string
	// Faults.
	DieAfter      atomic.Int64 // number of tokens after which the engine dies, 0 for never
	Frozen        atomic.Bool  // accepts connections but does not answer
	RefuseAll     atomic.Bool  // refuses all requests as not run
	Pause         atomic.Int64 // Retry-After of these refusals in seconds, 0 for none
	Refused       atomic.Int64 // number of these refusals
	Shuffle       atomic.Bool  // reorders and repeats token events
	IgnoreFencing atomic.Bool  // accepts orders with old fencing numbers
	LoadAge       atomic.Int64 // age of load reports in nanoseconds

	fleet *Fleet
	rate  float64       // tokens per second
	delay time.Duration // per token, without queueing
	dead  atomic.Bool

	state    sync.Mutex // guards the fields below
	nextFree time.Time  // end of the service of all accepted tokens
	streams  map[string]*stream
	fenced   map[string]int // highest cancelled attempt, by request
	kv       map[string]int // tokens in the KV cache, by request
	status   backend.Status
	inFlight int
	arrivals []time.Time
}

// Add starts an engine with the given holdings. rate is in tokens per second; delay is
// added to the time of each token.
func (f *Fleet) Add(n network.Network, name string, rate float64, delay time.Duration, holdings ...backend.Holding) (*Engine, error) {
	e := &Engine{
		Server: memnet.Server{Net: n}, Name: name, fleet: f, rate: rate, delay: delay, streams: map[string]*stream{},
		fenced: map[string]int{}, kv: map[string]int{},
		status: backend.Status{BackendServer: name, Boot: 1, Seq: 1, Holdings: holdings, Role: backend.RoleMixed},
	}
	e.Handler = e.routes()
	f.mu.Lock()
	f.engines[name] = e
	f.mu.Unlock()
	return e, e.Start()
}

// Kill stops the engine as a crash does: it closes all connections.
func (e *Engine) Kill() {
	e.dead.Store(true)
	e.Close()
}

// Restart starts a killed engine without its former streams and KV cache.
func (e *Engine) Restart() error {
	e.state.Lock()
	e.streams, e.kv, e.inFlight = map[string]*stream{}, map[string]int{}, 0
	e.status.Boot++
	e.state.Unlock()
	e.DieAfter.Store(0)
	e.Frozen.Store(false)
	e.dead.Store(false)
	return e.Start()
}

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(on bool) {
	e.state.Lock()
	defer e.state.Unlock()
	e.status.Leaving = on
	e.status.Seq++
}

// InFlight returns the number of requests that use the engine in any hop.
func (e *Engine) InFlight() int {
	e.state.Lock()
	defer e.state.Unlock()
	return e.inFlight
}

// Arrivals returns the times at which requests started to use the engine in any hop.
func (e *Engine) Arrivals() []time.Time {
	e.state.Lock()
	defer e.state.Unlock()
	return slices.Clone(e.arrivals)
}

func (e *Engine) recordArrival() {
	e.state.Lock()
	defer e.state.Unlock()
	e.arrivals = append(e.arrivals, time.Now())
}

// addInFlight adds d to the number of requests in flight.
func (e *Engine) addInFlight(d int) {
	e.state.Lock()
	defer e.state.Unlock()
	e.inFlight += d
}

// step runs one token through the engine's layers, starting at time at. It returns the
// time at which the token is done, or false if the engine is dead.
func (e *Engine) step(p pass, layers topology.LayerRange, at time.Time) (time.Time, bool) {
	if n := e.DieAfter.Load(); n > 0 && e.DieAfter.Add(-1) == 0 {
		e.Kill()
	}
	for e.Frozen.Load() && !e.dead.Load() {
		time.Sleep(time.Millisecond)
	}
	if e.dead.Load() {
		return at, false
	}
	e.fleet.Ledger.addPass(p, layers)
	e.state.Lock()
	defer e.state.Unlock()
	e.kv[p.request] = p.index + 1
	if e.nextFree.Before(at) {
		e.nextFree = at
	}
	e.nextFree = e.nextFree.Add(time.Duration(float64(time.Second) / e.rate))
	return e.nextFree.Add(e.delay), true
}

// prefill fills the KV cache of a request up to a number of tokens, and records the tokens
// that were missing as recomputed.
func (e *Engine) prefill(request string, tokens int, layers topology.LayerRange) {
	e.state.Lock()
	missing := tokens - e.kv[request]
	e.kv[request] = max(tokens, e.kv[request])
	e.state.Unlock()
	if missing > 0 {
		e.fleet.Ledger.addRecomputed(missing * (layers.Hi - layers.Lo))
	}
}

func (e *Engine) holds(model, version string, layers topology.LayerRange) bool {
	e.state.Lock()
	defer e.state.Unlock()
	for _, h := range e.status.Holdings {
		if h.Model == model && h.Version == version && h.Layers.Contains(layers) && !h.Loading {
			return true
		}
	}
	return false
}

// stream is an attempt of a request at its head engine. It keeps its events, so that it can
// be resumed.
type stream struct {
	mu        sync.Mutex
	attempt   int
	events    []backend.Event
	final     bool
	cancelled bool
	changed   chan struct{}
}

func newStream(attempt int) *stream { return &stream{attempt: attempt, changed: make(chan struct{})} }

func (s *stream) add(final bool, evs ...backend.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, evs...)
	s.final = s.final || final
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = true
}

func (s *stream) isCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// from returns the events from position n, whether the stream has ended, and a channel
// that is closed at the next change.
func (s *stream) from(n int) ([]backend.Event, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[min(n, len(s.events)):], s.final, s.changed
}

// loadReportInterval is the number of tokens from one load report of a stream to the next.
const loadReportInterval = 8

// produce runs all tokens of an attempt through its route and adds their events to s.
func (e *Engine) produce(g *httpbackend.GenerateBody, s *stream) {
	hops := make([]*Engine, len(g.Route))
	for i, h := range g.Route {
		hops[i] = e.fleet.Engine(h.BackendServer)
		hops[i].recordArrival()
		hops[i].addInFlight(1)
		defer hops[i].addInFlight(-1)
		hops[i].prefill(g.RequestID, len(g.Prior), h.Layers)
	}
	for index := len(g.Prior); index < g.MaxTokens; index++ {
		if s.isCancelled() || e.dead.Load() {
			return
		}
		failed, loads, done := e.runToken(g, hops, index)
		if failed != "" {
			s.add(true, backend.Event{
				Type: backend.EventFailed, RequestID: g.RequestID, Attempt: g.Attempt, Index: index, Failed: failed, Reason: "stage died",
			})
			return
		}
		time.Sleep(time.Until(done))
		ev := backend.Event{
			Type: backend.EventToken, RequestID: g.RequestID, Attempt: g.Attempt, Index: index,
			Token: int32(index), Text: TokenText(promptOf(g), index),
		}
		if (index-len(g.Prior))%loadReportInterval == 0 {
			ev.Loads = loads
		}
		s.add(false, ev)
	}
	s.add(true, backend.Event{
		Type: backend.EventDone, RequestID: g.RequestID, Attempt: g.Attempt, Index: g.MaxTokens, FinishReason: "length",
	})
}

// runToken runs one token through the route. It returns the loads of the hops and the
// time at which the token is done, or the name of the engine that failed.
func (e *Engine) runToken(g *httpbackend.GenerateBody, hops []*Engine, index int) (failed string, loads []backend.HopLoad, at time.Time) {
	at = time.Now()
	for i, h := range g.Route {
		began := at
		var ok bool
		at, ok = hops[i].step(pass{g.RequestID, g.Attempt, index}, h.Layers, at)
		if !ok {
			return h.BackendServer, nil, at
		}
		l := backend.HopLoad{
			BackendServer: h.BackendServer, InFlight: hops[i].InFlight(), TokenSeconds: at.Sub(began).Seconds(),
			Capacity: hops[i].rate, AgeSeconds: time.Duration(hops[i].LoadAge.Load()).Seconds(),
		}
		if i+1 < len(g.Route) {
			d := e.fleet.link(h.BackendServer, g.Route[i+1].BackendServer)
			l.NextHop, l.LinkSeconds = g.Route[i+1].BackendServer, d.Seconds()
			at = at.Add(d)
		}
		loads = append(loads, l)
	}
	return "", loads, at
}

func promptOf(g *httpbackend.GenerateBody) string {
	if len(g.Messages) > 0 {
		return g.Messages[len(g.Messages)-1].Content
	}
	return g.Prompt
}
