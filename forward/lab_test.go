package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/snowspoke/snowspoke/availability"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/liveness"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// lab simulates a site of backend servers and one or several daemons in virtual time. Each
// server processes prompts one after the other. A token takes the predicted step time of
// each hop under its load. It implements Backends and Observer.
type lab struct {
	engine  *site.Engine
	view    *inventory.View
	forward []*Forwarder // of the daemons, which receive requests in turn
	rng     *rand.Rand

	slow   float64         // factor of the time of each token
	chunks *chunkedPrefill // model of servers that process prompts in steps, nil if they process whole prompts

	mu      sync.Mutex
	servers map[string]*labServer
	streams map[string]*labStream

	gaps        []time.Duration // pauses between two events at the caller
	recovered   []time.Duration // durations of interruptions
	inTime      int             // completed streams without a late event
	completed   int
	refused     int
	cut         int // streams that ended early
	tokens      int
	inFlight    int
	maxInFlight int
	probes      int                    // connections made by probes
	hopFaults   int                    // sends refused because of a dead hop
	arrivals    map[string][]time.Time // of crashing requests, by body
	listensFor  time.Duration          // for which a killed server accepts connections
	ended       int                    // servers that ended and were restarted
	quarantined int                    // quarantined attempts
	crashParts  []string               // parts of the prompts of crashing requests
	crashEnds   map[string][]time.Time // of servers under requests with each of these parts, nil if not recorded
}

type labServer struct {
	id       string
	readFree time.Time // when it has processed its last prompt
	streams  int
	killed   bool // connections are refused
	// listensUntil is when a killed server begins to refuse connections. Until then it accepts
	// them and closes them unread.
	listensUntil time.Time
	silent       bool // connections time out
}

// listens reports whether a killed server still accepts connections.
func (s *labServer) listens() bool { return s.killed && time.Now().Before(s.listensUntil) }

func (s *labServer) dead() bool { return s.killed || s.silent }

// labStream is the answer to one send of a streamed request. It implements io.ReadCloser.
type labStream struct {
	lab     *lab
	ctx     context.Context
	request *Request
	next    int       // number of events sent to the caller, including those of previous sends
	ready   time.Time // when all hops have processed the prompt

	mu   sync.Mutex
	path site.Path
}

const (
	labEvents     = 86 // per stream, two tokens each
	labPrompt     = 800
	labTokens     = 2 // per event
	labCutTimeout = 2 * time.Second
	labMaxPause   = 200 * time.Millisecond
	labService    = "model"
)

// labEngine returns a model of 80 layers on four kinds of accelerators.
func labEngine() *site.Engine {
	return &site.Engine{
		Slots: 192, Layers: 80, LayerMB: 1750, KVTokenBytes: 590000, StepMS: 0.85, PerRequestMS: 0.00382,
		ContextPerKMS: 0.00512, PrefillPerSecond: 196000, PrefillPairsMS: 0.166, Stride: 2, Prompt: labPrompt, Answer: labEvents * labTokens,
		ActivationBytes: 29500, LinkMbps: 480000, CrossDomainMbps: 9000, LoadsAtOnce: 6,
		Models: []site.EngineModel{{Name: "m", Load: 14 * time.Second}},
		Kinds: map[string]site.Accelerator{
			"large":  {MemoryMB: 72000, Slowdown: 1.4, PrefillSlowdown: 1},
			"middle": {MemoryMB: 36000, Slowdown: 3.1, PrefillSlowdown: 3.2},
			"small":  {MemoryMB: 21600, Slowdown: 16, PrefillSlowdown: 8.2},
			"least":  {MemoryMB: 14400, Slowdown: 15, PrefillSlowdown: 15},
		},
	}
}

// newLab returns a lab with layers placed in three failure domains and one daemon.
func newLab(seed uint64) *lab {
	l := &lab{
		engine: labEngine(), slow: 1, rng: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*labServer{}, streams: map[string]*labStream{},
	}
	var states []pipeline.ServerState
	for domain, kinds := range map[string]map[string]int{
		"a": {"middle": 2, "small": 4, "least": 7}, "b": {"large": 1, "middle": 1, "small": 5, "least": 7}, "c": {"middle": 1, "small": 8, "least": 3},
	} {
		for kind, n := range kinds {
			for i := range n {
				id := fmt.Sprintf("%s-%s-%d", domain, kind, i)
				states = append(states, pipeline.ServerState{Server: &site.BackendServer{
					ID: id, Service: labService, Address: id, FailureDomain: domain, Slots: l.engine.Slots, Kind: kind,
				}})
			}
		}
	}
	servers := map[string]*site.BackendServer{}
	for _, o := range pipeline.Place(l.engine, states, false).Orders {
		s := *o.Server
		s.Held = o.Layers
		servers[s.ID] = &s
		l.servers[s.ID] = &labServer{id: s.ID}
	}
	services := []*site.Service{{Name: labService, Engine: l.engine}}
	l.view = inventory.NewView(site.NewConfig(1, site.Limits{}, nil, services, nil), servers)
	l.forward = []*Forwarder{l.forwarder("", fixed{l.view})}
	return l
}

// forwarder returns the forwarder of a new daemon.
func (l *lab) forwarder(domain string, fleet Fleet) *Forwarder {
	return New(Options{FailureDomain: domain, RetryRatio: 0.2, RetrySlack: 200, RetryWindow: 10 * time.Second},
		Dependencies{Inventory: labInventory{l}, Fleet: fleet, Backends: l, Log: NewLog(io.Discard), Observer: l})
}

// labInventory returns the current servers. It implements Inventory.
type labInventory struct{ *lab }

func (i labInventory) View() *inventory.View {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view
}
func (i labInventory) Age(time.Time) time.Duration { return 0 }
func (i labInventory) Complete() bool              { return true }
func (i labInventory) Confirmed() bool             { return true }

// labFleet is a number of daemons, spread evenly over the failure domains. It implements
// Fleet.
type labFleet int

func (f labFleet) Daemons() int { return int(f) }
func (f labFleet) Shares() map[string]float64 {
	return map[string]float64{"a": 1.0 / 3, "b": 1.0 / 3, "c": 1.0 / 3}
}

// newFleetLab returns a lab with several daemons that have just started and exchange no
// loads.
func newFleetLab(seed uint64, daemons int) *lab {
	l := newLab(seed)
	l.forward = nil
	for n := range daemons {
		f := l.forwarder(string(rune('a'+n%3)), labFleet(daemons))
		f.trialRank = func(key uint64) int { return (n + int(key%uint64(daemons))) % daemons }
		l.forward = append(l.forward, f)
	}
	return l
}

// capacity returns the number of typical requests that the layout can hold at once.
func (l *lab) capacity() int {
	var states []pipeline.ServerState
	for _, s := range l.view.Servers {
		states = append(states, pipeline.ServerState{Server: s, Assigned: s.Held})
	}
	return pipeline.BoundOf(l.engine, states).Requests
}

// kill ends the server that runs a layer for the most streams. If silent, connections to
// the server time out, else they are refused.
func (l *lab) kill(layer int, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var busiest *labServer
	for id, server := range l.servers {
		if l.view.Servers[id].Held.Has(layer) && (busiest == nil || server.streams > busiest.streams) {
			busiest = server
		}
	}
	busiest.killed, busiest.silent = !silent, silent
}

// run sends streams at a rate for a duration and waits for all of them.
func (l *lab) run(perSecond float64, length time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(l.rng.ExpFloat64() / perSecond * float64(time.Second)))
		wg.Go(func() { l.call(n) })
	}
	wg.Wait()
}

// call sends a stream and records its result.
func (l *lab) call(n int) {
	now := time.Now()
	req := &Request{
		ID: fmt.Sprint("r", n), Body: fmt.Appendf(nil, "body %d", n), Service: labService, Received: now, Deadline: now.Add(20 * time.Second), Prompt: labPrompt,
		Route: &site.Route{Kind: site.Stream, Resumable: true, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: 500 * time.Millisecond},
	}
	l.count(1)
	got := &labCaller{lab: l, sent: now}
	err := l.forward[n%len(l.forward)].Do(context.Background(), req, got)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	switch {
	case err == nil:
		l.completed++
		if got.first <= req.Route.Objective && got.longest <= labMaxPause {
			l.inTime++
		}
	case got.events > 0:
		l.cut++
	default:
		l.refused++
	}
}

// count adds n to the number of streams in flight.
func (l *lab) count(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight += n
	l.maxInFlight = max(l.maxInFlight, l.inFlight)
}

// labCaller receives a stream and measures its pauses. It implements Sink.
type labCaller struct {
	lab        *lab
	sent, last time.Time
	first      time.Duration
	longest    time.Duration
	events     int
}

func (c *labCaller) Head(int, http.Header) error             { return nil }
func (c *labCaller) Complete(int, http.Header, []byte) error { return nil }
func (c *labCaller) Events([]byte) error {
	now := time.Now()
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	c.lab.tokens += labTokens
	if c.events == 0 {
		c.first = now.Sub(c.sent)
	} else {
		c.lab.gaps = append(c.lab.gaps, now.Sub(c.last))
		c.longest = max(c.longest, now.Sub(c.last))
	}
	c.events++
	c.last = now
	return nil
}

// Finished implements Observer.
func (l *lab) Finished(string, time.Duration) {}

// FirstEvent implements Observer.
func (l *lab) FirstEvent(time.Duration) {}

// LoadsAge implements Observer.
func (l *lab) LoadsAge(time.Duration) {}

// LoadsRefused implements Observer.
func (l *lab) LoadsRefused(int) {}

// ServerEnded implements Observer.
func (l *lab) ServerEnded() {}

// Quarantined implements Observer.
func (l *lab) Quarantined() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quarantined++
}

// Limits implements Observer.
func (l *lab) Limits(int) {}

// LimitReached implements Observer.
func (l *lab) LimitReached() {}

// Unavailable implements Observer.
func (l *lab) Unavailable(availability.State) {}

// CallPrevented implements Observer.
func (l *lab) CallPrevented(availability.State) {}

// Shed implements Observer.
func (l *lab) Shed(int) {}

// AdmittedFraction implements Observer.
func (l *lab) AdmittedFraction(int, float64) {}

// HeaderIgnored implements Observer.
func (l *lab) HeaderIgnored() {}

// ContactLost implements Observer.
func (l *lab) ContactLost(liveness.Verdict) {}

// AnswerEnded implements Observer.
func (l *lab) AnswerEnded(framing.Framing, bool) {}

// Recovered implements Observer.
func (l *lab) Recovered(_ string, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recovered = append(l.recovered, gap)
}

// Send implements Backends.
func (l *lab) Send(ctx context.Context, o *Outgoing) (*Answer, error) {
	l.mu.Lock()
	head := *l.servers[o.Server.ID]
	l.mu.Unlock()
	if head.listens() {
		return nil, execution.ErrLost
	}
	if head.killed {
		return nil, fmt.Errorf("%w: %w", execution.ErrNotSent, syscall.ECONNREFUSED)
	}
	if head.silent {
		<-ctx.Done()
		return nil, execution.ErrLost
	}
	a := &Answer{Status: http.StatusOK, Signed: true, Header: http.Header{}, Framing: framing.Chunked}
	at := l.deadHop(o.Path)
	if at != "" {
		l.mu.Lock()
		l.hopFaults++
		l.mu.Unlock()
	}
	if at != "" || head.streams >= l.engine.Slots {
		a.Status, a.NotRun, a.AtFault, a.Body = http.StatusServiceUnavailable, true, at, io.NopCloser(http.NoBody)
		return a, nil
	}
	s := &labStream{lab: l, ctx: ctx, request: o.Request}
	if l.isCrashing(o.Request) {
		return l.crash(ctx, o.Server, o.Request, a)
	}
	if o.LastEvent != "" {
		_, _ = fmt.Sscan(o.LastEvent, &s.next)
	}
	l.pass(s, o.Path)
	if l.chunks != nil {
		l.chunks.process(o.Path, o.Request.Prompt)
	}
	a.Body = s
	return a, nil
}

// deadHop returns the address of a dead hop of a path, "" for none.
func (l *lab) deadHop(p site.Path) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range p {
		if l.servers[h.Server.ID].dead() {
			return h.Server.Address
		}
	}
	return ""
}

// pass routes a stream over a path. New hops process all its tokens so far.
func (l *lab) pass(s *labStream, p site.Path) {
	l.mu.Lock()
	defer l.mu.Unlock()
	had := map[string]site.Range{}
	for _, h := range s.path {
		had[h.Server.ID] = h.Layers
		l.servers[h.Server.ID].streams--
	}
	at := time.Now()
	for _, h := range p {
		server := l.servers[h.Server.ID]
		server.streams++
		if had[h.Server.ID] == h.Layers || l.chunks != nil {
			continue
		}
		prefill := pipeline.HopPrefillMS(l.engine, h.Server.Kind, h.Layers.Len(), s.request.Prompt+float64(s.next*labTokens))
		at = boottime.Later(at, server.readFree).Add(milliseconds(prefill))
		server.readFree = at
	}
	s.mu.Lock()
	s.path, s.ready = p, at
	s.mu.Unlock()
	l.streams[s.request.ID] = s
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// step returns the duration of one event under the current load.
func (l *lab) step(p site.Path) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := 0.0
	for i, h := range p {
		ms += pipeline.HopStepMS(l.engine, h.Server.Kind, h.Layers.Len(), float64(l.servers[h.Server.ID].streams), pipeline.TypicalRequest(l.engine).Mean())
		if i > 0 {
			ms += pipeline.LinkMS(l.engine, p[i-1].Server.FailureDomain, h.Server.FailureDomain)
		}
	}
	return milliseconds(l.slow * labTokens * ms)
}

// Read returns one event when it is due. A stream with a dead hop stalls until it is
// moved. It fails if its head was killed, or after labCutTimeout.
func (s *labStream) Read(buf []byte) (int, error) {
	if s.next >= labEvents {
		return 0, io.EOF
	}
	stalledSince := time.Now()
	for {
		s.mu.Lock()
		p, ready := s.path, s.ready
		s.mu.Unlock()
		if !wait.For(s.ctx, max(0, time.Until(ready))+s.lab.step(p)) {
			return 0, context.Cause(s.ctx)
		}
		at := s.lab.deadHop(p)
		if at == p[0].Server.Address && s.lab.killed(at) || at != "" && time.Since(stalledSince) > labCutTimeout {
			return 0, syscall.ECONNRESET
		}
		s.mu.Lock()
		moved := !ready.Equal(s.ready)
		s.mu.Unlock()
		if at == "" && !moved {
			break
		}
	}
	s.next++
	return copy(buf, fmt.Sprintf("id: %d\ndata: token\n\n", s.next)), nil
}

func (l *lab) killed(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers[id].killed
}

// Close implements io.Closer.
func (s *labStream) Close() error {
	l := s.lab
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range s.path {
		l.servers[h.Server.ID].streams--
	}
	s.path = nil
	if l.streams[s.request.ID] == s {
		delete(l.streams, s.request.ID)
	}
	return nil
}

// Report implements Backends.
func (l *lab) Report(ctx context.Context, s *site.BackendServer) (Report, error) {
	l.mu.Lock()
	listens := l.servers[s.ID].listens()
	l.mu.Unlock()
	if listens {
		return Report{}, execution.ErrLost
	}
	return Report{}, l.Reach(ctx, s)
}

// CheckHealth implements Backends.
func (l *lab) CheckHealth(ctx context.Context, s *site.BackendServer, _ string) error {
	return l.Reach(ctx, s)
}

// Listens implements Backends.
func (l *lab) Listens(ctx context.Context, s *site.BackendServer) error { return l.Reach(ctx, s) }

// Reach implements Backends.
func (l *lab) Reach(ctx context.Context, s *site.BackendServer) error {
	l.mu.Lock()
	c := *l.servers[s.ID]
	l.probes++
	l.mu.Unlock()
	if c.listens() {
		return nil
	}
	if c.killed {
		return syscall.ECONNREFUSED
	}
	if c.silent {
		wait.For(ctx, 60*time.Millisecond) // two overlapping attempts
		return context.DeadlineExceeded
	}
	return nil
}

var errNoStream = errors.New("lab: no such stream")

// Repath implements Backends.
func (l *lab) Repath(_ context.Context, _ *site.BackendServer, id string, p site.Path) error {
	if at := l.deadHop(p); at != "" {
		return &HopError{Address: at, Err: ErrOrderRefused}
	}
	l.mu.Lock()
	s := l.streams[id]
	l.mu.Unlock()
	if s == nil {
		return errNoStream
	}
	l.pass(s, p)
	return nil
}
