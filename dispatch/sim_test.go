package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/dispatch"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/monitor"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/routing"
	"github.com/snowspoke/snowspoke/topology"
)

// sim is a simulation of daemons and engines in virtual time. Each token occupies
// every hop for 1/rate and takes a transfer time on every link.
type sim struct {
	spec    simSpec
	engines map[string]*simEngine
	links   map[[2]string]*simLink
	daemons []*dispatch.Dispatcher
	tables  []*fleet.Table
	snap    *topology.Snapshot
	stop    context.CancelFunc

	mu         sync.Mutex
	recomputed int // layer-tokens recomputed after failures
	steps      int // hops passed by all tokens

	crashingSends []time.Time            // sends of requests that crash engines
	crashes       []time.Time            // ends of engines under them
	listensFor    time.Duration          // for which a crashed engine accepts connections
	registries    []*quarantine.Registry // of the daemons
}

// simSpec holds the parameters of a simulation.
type simSpec struct {
	seed        uint64
	daemons     int
	stages      int
	width       int           // backend servers per stage
	reportDelay time.Duration // age of load reports
	slowLinks   bool          // link rates differ by a factor of 100
	policy      func() dispatch.Policy
	retry       float64
	limit       float64 // initial concurrency limit
}

const (
	simModel      = "m"
	simLayers     = 32
	simBaseRate   = 60.0 // tokens per second of the slowest accelerator
	simTokens     = 24   // mean length of an answer
	simTokenDelay = 2 * time.Millisecond
)

// simEngine is one backend server.
type simEngine struct {
	sim  *sim
	name string
	rate float64
	link float64 // tokens per second of its links, 0 for no limit

	mu       sync.Mutex
	nextFree time.Time
	inFlight int
	history  []sample // for delayed reports
	dead     bool
	// listensUntil is when a dead engine begins to refuse connections. Until then it accepts
	// them and closes them unread.
	listensUntil time.Time
	boot         uint64
	kv           map[string]int
}

type sample struct {
	at       time.Time
	inFlight int
}

type simLink struct {
	mu       sync.Mutex
	nextFree time.Time
	rate     float64 // tokens per second, 0 for no limit
	delay    time.Duration
	carried  int // tokens carried
}

func newSim(s simSpec) *sim {
	l := &sim{spec: s, engines: map[string]*simEngine{}, links: map[[2]string]*simLink{}, snap: topology.NewSnapshot()}
	rng := rand.New(rand.NewPCG(s.seed, 1))
	l.snap.Revision = 1
	l.snap.Models[simModel] = &topology.Model{Name: simModel, Layers: simLayers, Version: "v1", MaxTokens: 1 << 20}
	per := simLayers / s.stages
	for st := range s.stages {
		lo := st * per
		l.snap.Stages[simModel] = append(l.snap.Stages[simModel], &topology.Stage{Name: fmt.Sprint(st), Model: simModel, Layers: topology.LayerRange{Lo: lo, Hi: lo + per}})
		for i := range s.width {
			l.addEngine(st, i, rng)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	for i := range s.daemons {
		l.addDaemon(ctx, i)
	}
	return l
}

// addEngine adds an engine of one of four rates, the highest eight times the
// lowest. With simSpec.slowLinks, a third of the engines have slow links.
func (l *sim) addEngine(stage, i int, rng *rand.Rand) {
	name := fmt.Sprintf("s%d-%d", stage, i)
	kind := rng.IntN(4)
	e := &simEngine{sim: l, name: name, rate: simBaseRate * float64(int(1)<<kind), boot: 1, kv: map[string]int{}}
	b := &topology.BackendServer{Name: name, Address: name + ":1", FailureDomain: fmt.Sprint("d", i%3), TokensPerSecond: e.rate}
	if l.spec.slowLinks && rng.IntN(3) == 0 {
		e.link = 4
	}
	if l.spec.slowLinks {
		rate := 400.0
		if e.link > 0 {
			rate = e.link
		}
		b.Links = []topology.Link{{TokensPerSecond: rate}}
		e.link = rate
	}
	l.engines[name] = e
	l.snap.BackendServers[name] = b
}

func (l *sim) link(from, to string) *simLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := [2]string{from, to}
	if l.links[k] == nil {
		l.links[k] = &simLink{rate: l.engines[from].link, delay: 200 * time.Microsecond}
	}
	return l.links[k]
}

type simCatalog struct{ snap *topology.Snapshot }

func (c simCatalog) Snapshot() *topology.Snapshot { return c.snap }

type simObserver struct{ sim *sim }

func (simObserver) Finished(string, time.Duration) {}
func (simObserver) FirstToken(time.Duration)       {}
func (simObserver) Recovered(time.Duration)        {}
func (simObserver) Dropped(dispatch.Drops)         {}
func (simObserver) ServerEnded()                   {}
func (simObserver) Quarantined()                   {}
func (simObserver) LimitReached()                  {}

func (l *sim) addDaemon(ctx context.Context, i int) {
	table := fleet.NewTable()
	table.SetConfig(l.snap.BackendServers)
	for _, e := range l.engines {
		st, _ := e.status()
		table.ApplyStatus(st, time.Now())
	}
	limit := admission.DefaultLimitConfig()
	limit.Initial = l.spec.limit
	if l.spec.limit == 0 {
		limit.Initial, limit.Min = 1e6, 1e6
		limit.Max = 1e6
	}
	gate := dispatch.NewGate(dispatch.GateOptions{MaxStreams: 1 << 20, QueueLimit: 1 << 20, RetryRatio: l.spec.retry, Limit: limit, Seed: l.spec.seed*100 + uint64(i) + 1}, table, time.Now)
	decisions := decision.New(log.NewNopLogger(), 0)
	m := monitor.New(monitor.Options{
		StatusPoll: 500 * time.Millisecond, GapFloor: 250 * time.Millisecond, GapCeiling: 2 * time.Second,
		Health: health.DefaultConfig(), Link: health.DefaultLinkConfig(),
	}, monitor.Dependencies{Engine: l, Table: table, Log: decisions, Logger: log.NewNopLogger(), Owner: monitor.OwnsAll{}, Wake: gate.Wake, Clock: time.Now})
	go m.Run(ctx)
	sealer, _ := dispatch.NewSealer(make([]byte, dispatch.KeyBytes))
	var policy dispatch.Policy
	if l.spec.policy != nil {
		policy = l.spec.policy()
	}
	l.tables = append(l.tables, table)
	l.registries = append(l.registries, quarantine.NewRegistry(quarantine.DefaultPolicy))
	l.daemons = append(l.daemons, dispatch.New(dispatch.Options{
		FailureDomain: fmt.Sprint("d", i%3), FirstToken: 10 * time.Second, GapCeiling: 2 * time.Second, MaxAttempts: 8, RecoverTimeout: 10 * time.Second, MoveThreshold: time.Minute,
	}, dispatch.Dependencies{
		Engine: l, Catalog: simCatalog{l.snap}, Table: table, Planner: routing.NewPlanner(table, time.Now), Gate: gate,
		Health: m, Prober: m, Warm: routing.NewPrefixes(), Sealer: sealer, Log: decisions, Observer: simObserver{l}, Clock: time.Now, Choose: policy,
		Quarantine: l.registries[i], TrialRank: func(key uint64) int { return (i + int(key%uint64(l.spec.daemons))) % l.spec.daemons },
	}))
}

// bound returns the throughput bound of the engines that are alive.
func (l *sim) bound() float64 {
	in := routing.Input{Layers: simLayers}
	var names []string
	per := simLayers / l.spec.stages
	for name, e := range l.engines {
		if !e.isDead() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		var st, i int
		_, _ = fmt.Sscanf(name, "s%d-%d", &st, &i)
		in.Servers = append(in.Servers, routing.Candidate{Name: name, Capacity: l.engines[name].rate, Ranges: []topology.LayerRange{{Lo: st * per, Hi: st*per + per}}})
	}
	in.Link = func(from, to int) float64 { return l.engines[in.Servers[from].Name].link }
	return routing.Build(in).Bound
}

// fastest returns the fastest engine whose name begins with prefix.
func (l *sim) fastest(prefix string) string {
	best := ""
	for name, e := range l.engines {
		if strings.HasPrefix(name, prefix) && (best == "" || e.rate > l.engines[best].rate || e.rate == l.engines[best].rate && name < best) {
			best = name
		}
	}
	return best
}

func (e *simEngine) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

func (e *simEngine) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
}

// crash kills the engine and starts it again after crashRestart. It reports whether it ran.
func (e *simEngine) crash() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return false
	}
	e.dead, e.listensUntil = true, time.Now().Add(e.sim.listensFor)
	time.AfterFunc(crashRestart, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.dead, e.kv = false, map[string]int{}
		e.boot++
	})
	return true
}

// addInFlight adds d to the requests in flight.
func (e *simEngine) addInFlight(d int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight += d
	e.history = append(e.history, sample{time.Now(), e.inFlight})
}

// reported returns the requests in flight as of one report delay ago, and the
// delay.
func (e *simEngine) reported() (int, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delay := e.sim.spec.reportDelay
	n := 0
	for len(e.history) > 1 && time.Since(e.history[1].at) >= delay {
		e.history = e.history[1:]
	}
	if len(e.history) > 0 && time.Since(e.history[0].at) >= delay {
		n = e.history[0].inFlight
	}
	return n, delay
}

// listens reports whether a dead engine still accepts connections.
func (e *simEngine) listens() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead && time.Now().Before(e.listensUntil)
}

func (e *simEngine) status() (backend.Status, error) {
	if e.listens() {
		return backend.Status{}, execution.ErrLost
	}
	if e.isDead() {
		return backend.Status{}, fmt.Errorf("%w: %w", execution.ErrNotSent, syscall.ECONNREFUSED)
	}
	n, delay := e.reported()
	e.mu.Lock()
	boot := e.boot
	e.mu.Unlock()
	st := backend.Status{BackendServer: e.name, Boot: boot, Seq: 1, InFlight: n, LoadAge: delay.Seconds(), Capacity: e.rate}
	var stage, i int
	_, _ = fmt.Sscanf(e.name, "s%d-%d", &stage, &i)
	per := simLayers / e.sim.spec.stages
	st.Holdings = []backend.Holding{{Model: simModel, Version: "v1", Layers: topology.LayerRange{Lo: stage * per, Hi: stage*per + per}}}
	return st, nil
}

// process processes work, in tokens, and returns when it is done; false means that
// the engine is dead. A request with priority skips the queue.
func (e *simEngine) process(work float64, priority int) bool {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return false
	}
	now := time.Now()
	if e.nextFree.Before(now) {
		e.nextFree = now
	}
	e.nextFree = e.nextFree.Add(time.Duration(work / e.rate * float64(time.Second)))
	until := e.nextFree.Add(simTokenDelay)
	if priority > 0 {
		until = now.Add(time.Duration(work/e.rate*float64(time.Second)) + simTokenDelay)
	}
	e.mu.Unlock()
	time.Sleep(until.Sub(now))
	return !e.isDead()
}

// transfer sends one token over the link and returns the time it took.
func (k *simLink) transfer() time.Duration {
	k.mu.Lock()
	k.carried++
	now := time.Now()
	if k.nextFree.Before(now) {
		k.nextFree = now
	}
	if k.rate > 0 {
		k.nextFree = k.nextFree.Add(time.Duration(float64(time.Second) / k.rate))
	}
	d := k.nextFree.Add(k.delay).Sub(now)
	k.mu.Unlock()
	time.Sleep(d)
	return d
}

// Generate implements backend.Engine.
func (l *sim) Generate(ctx context.Context, t backend.Target, g *backend.Generate) (backend.Stream, error) {
	if l.engines[t.BackendServer].isDead() {
		return nil, execution.ErrNotSent
	}
	for _, h := range g.Route {
		if l.engines[h.BackendServer].isDead() {
			return nil, &backend.HopError{BackendServer: h.BackendServer, Err: execution.ErrRefused}
		}
	}
	for _, h := range g.Route {
		l.engines[h.BackendServer].addInFlight(1)
	}
	s := &simStream{sim: l, g: g, ctx: ctx, index: len(g.Prior)}
	if isCrashing(g) {
		l.mu.Lock()
		l.crashingSends = append(l.crashingSends, time.Now())
		l.mu.Unlock()
	}
	if len(g.Prior) > 0 {
		s.prefill()
	}
	return s, nil
}

// Resume implements backend.Engine.
func (l *sim) Resume(context.Context, backend.Target, string, int, int) (backend.Stream, error) {
	return nil, backend.ErrGone
}

// Cancel implements backend.Engine.
func (l *sim) Cancel(context.Context, backend.Target, string, int) error { return nil }

// Status implements backend.Engine.
func (l *sim) Status(_ context.Context, t backend.Target) (backend.Status, error) {
	return l.engines[t.BackendServer].status()
}

// ExportKV implements backend.Engine.
func (l *sim) ExportKV(context.Context, backend.Target, backend.ExportKV) (string, error) {
	return "", backend.ErrUnsupported
}

// Order implements backend.Engine.
func (l *sim) Order(context.Context, backend.Target, backend.Order) error {
	return backend.ErrUnsupported
}

// CacheEvents implements backend.Engine.
func (l *sim) CacheEvents(context.Context, backend.Target, func(backend.CacheEvent)) error {
	return backend.ErrUnsupported
}

type simStream struct {
	sim   *sim
	g     *backend.Generate
	ctx   context.Context
	index int
	once  sync.Once
}

// isCrashing reports whether a request crashes the engines that begin to answer it.
func isCrashing(g *backend.Generate) bool {
	return slices.ContainsFunc(g.Messages, func(m backend.Message) bool { return m.Content == crashingMessage })
}

// prefillWork is the work of recomputing one known token, in tokens.
const prefillWork = 0.1

// prefill recomputes the known tokens on hops that lack a KV cache of them.
func (s *simStream) prefill() {
	for _, h := range s.g.Route {
		e := s.sim.engines[h.BackendServer]
		e.mu.Lock()
		missing := len(s.g.Prior) - e.kv[s.g.RequestID]
		e.mu.Unlock()
		if missing > 0 {
			s.sim.mu.Lock()
			s.sim.recomputed += missing * (h.Layers.Hi - h.Layers.Lo)
			s.sim.mu.Unlock()
			e.process(float64(missing)*prefillWork, s.g.Priority)
		}
	}
}

// Next implements backend.Stream.
func (s *simStream) Next() (backend.Event, error) {
	ev := backend.Event{Type: backend.EventToken, RequestID: s.g.RequestID, Attempt: s.g.Attempt, Index: s.index, Text: "w"}
	if s.index >= s.g.MaxTokens {
		ev.Type = backend.EventDone
		s.release()
		return ev, nil
	}
	if isCrashing(s.g) && s.index > 0 && s.sim.engines[s.g.Route[0].BackendServer].crash() {
		s.sim.mu.Lock()
		s.sim.crashes = append(s.sim.crashes, time.Now())
		s.sim.mu.Unlock()
	}
	for i, h := range s.g.Route {
		e := s.sim.engines[h.BackendServer]
		began := time.Now()
		if !e.process(1, s.g.Priority) {
			return s.failed(i, h.BackendServer)
		}
		if s.ctx.Err() != nil {
			return ev, execution.ErrLost
		}
		load, delay := e.reported()
		hl := backend.HopLoad{BackendServer: h.BackendServer, InFlight: load, AgeSeconds: delay.Seconds(), TokenSeconds: time.Since(began).Seconds(), Capacity: e.rate}
		e.mu.Lock()
		e.kv[s.g.RequestID] = s.index + 1
		e.mu.Unlock()
		if i+1 < len(s.g.Route) {
			hl.NextHop = s.g.Route[i+1].BackendServer
			hl.LinkSeconds = s.sim.link(h.BackendServer, hl.NextHop).transfer().Seconds()
		}
		if s.index%4 == 0 {
			ev.Loads = append(ev.Loads, hl)
		}
	}
	s.sim.mu.Lock()
	s.sim.steps += len(s.g.Route)
	s.sim.mu.Unlock()
	s.index++
	return ev, nil
}

// failed reports a dead hop: a failure event if the head is alive, or a lost
// connection if the head itself is dead.
func (s *simStream) failed(i int, name string) (backend.Event, error) {
	if i == 0 {
		return backend.Event{}, execution.ErrLost
	}
	return backend.Event{Type: backend.EventFailed, RequestID: s.g.RequestID, Attempt: s.g.Attempt, Failed: name}, nil
}

func (s *simStream) release() {
	s.once.Do(func() {
		for _, h := range s.g.Route {
			s.sim.engines[h.BackendServer].addInFlight(-1)
		}
	})
}

// Close implements backend.Stream.
func (s *simStream) Close() error {
	s.release()
	return nil
}

// result is the outcome of one request.
type result struct {
	workspace string
	priority  int
	began     time.Time
	tokens    int
	requested int         // in tokens
	times     []time.Time // arrival of each token
	err       *apierror.Error
	took      time.Duration
}

// simSink records the arrival time of each token.
type simSink struct{ times []time.Time }

func (s *simSink) Token(dispatch.Token) error {
	s.times = append(s.times, time.Now())
	return nil
}

// alertTokens bounds the answers of requests with priority.
const alertTokens = 24

// load is an open-loop arrival process.
type load struct {
	rate      float64 // requests per second
	length    time.Duration
	deadline  time.Duration
	workspace func(r *rand.Rand) *topology.Workspace
	priority  func(r *rand.Rand) int
}

// run sends the load and returns the results when all requests have ended.
func (l *sim) run(ld load) []*result {
	rng := rand.New(rand.NewPCG(l.spec.seed, 2))
	var mu sync.Mutex
	var out []*result
	var wg sync.WaitGroup
	w := &topology.Workspace{Name: "w"}
	end := time.Now().Add(ld.length)
	for n := 0; time.Now().Before(end); n++ {
		req := &dispatch.Request{ID: fmt.Sprint("r", n), Workspace: w, Model: simModel, MaxTokens: 1 + rng.IntN(2*simTokens-1), Repeatable: true}
		if ld.workspace != nil {
			req.Workspace = ld.workspace(rng)
		}
		if ld.priority != nil {
			req.Priority = ld.priority(rng)
		}
		if req.Priority > 0 {
			req.MaxTokens = 1 + req.MaxTokens%alertTokens
		}
		if ld.deadline > 0 {
			req.Deadline = time.Now().Add(ld.deadline)
		}
		d := l.daemons[rng.IntN(len(l.daemons))]
		wg.Go(func() {
			res := l.runRequest(d, req)
			mu.Lock()
			out = append(out, res)
			mu.Unlock()
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / ld.rate * float64(time.Second)))
	}
	wg.Wait()
	return out
}

func (l *sim) runRequest(d *dispatch.Dispatcher, req *dispatch.Request) *result {
	ctx := context.Background()
	if !req.Deadline.IsZero() {
		c, cancel := context.WithDeadline(ctx, req.Deadline)
		defer cancel()
		ctx = c
	}
	r := &result{workspace: req.Workspace.Name, priority: req.Priority, requested: req.MaxTokens, began: time.Now()}
	s := &simSink{}
	out, err := d.Do(ctx, req, s)
	r.took, r.times, r.tokens = time.Since(r.began), s.times, out.Tokens
	if err != nil {
		r.err = apierror.From(err)
	}
	return r
}

// rate returns the tokens delivered per second in [from, to).
func rate(rs []*result, from, to time.Time) float64 {
	n := 0
	for _, r := range rs {
		for _, t := range r.times {
			if !t.Before(from) && t.Before(to) {
				n++
			}
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}
