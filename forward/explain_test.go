package forward

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/availability"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/shedding"
	"github.com/snowspoke/snowspoke/site"
)

// sentPaths records the path of the first send of each request. It implements Backends.
type sentPaths struct {
	*lab
	mu    sync.Mutex
	paths map[string]chan site.Path // by request ID
}

// Send implements Backends.
func (s *sentPaths) Send(ctx context.Context, o *Outgoing) (*Answer, error) {
	select {
	case s.of(o.Request.ID) <- slices.Clone(o.Path):
	default:
	}
	return s.lab.Send(ctx, o)
}

func (s *sentPaths) of(id string) chan site.Path {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paths[id] == nil {
		s.paths[id] = make(chan site.Path, 1)
	}
	return s.paths[id]
}

// recordPaths makes a forwarder of the lab record its sends.
func recordPaths(l *lab, f *Forwarder) *sentPaths {
	s := &sentPaths{lab: l, paths: map[string]chan site.Path{}}
	f.backends = metered{s, f}
	return s
}

func hopsOf(p site.Path) []ExplainedHop { return explainedPath(pipeline.Choice{Path: p}, "").Hops }

// Parameters of the comparison of explanations with requests.
const (
	explainAsks     = 60
	explainInterval = 150 * time.Millisecond
	explainWarmUp   = 3 * time.Second
)

// An explanation is of no use if the request then takes another path. It is compared with the path
// of a request that is sent at the same time, while other requests run.
func TestExplainedPathIsTaken(t *testing.T) {
	asks := explainAsks
	if virtual.RaceDetector {
		asks = explainAsks / 3
	}
	for _, c := range []struct {
		daemons   int
		selection Selection
		others    bool // the loads of the other daemons are known
	}{{1, ByCost, false}, {6, ByCost, true}, {60, BySplit, false}, {60, BySplit, true}} {
		t.Run(fmt.Sprintf("daemons=%d,loads=%v", c.daemons, c.others), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				l := newFleetLab(1, c.daemons)
				f := l.forward[0]
				sent := recordPaths(l, f)
				var wg sync.WaitGroup
				wg.Go(func() { l.run(labRate, explainWarmUp+time.Duration(asks)*explainInterval) })
				time.Sleep(explainWarmUp)
				same, told, selected := 0, 0, 0
				for n := range asks {
					time.Sleep(explainInterval)
					if c.others {
						f.loads.SetOthers(relay.Loads{Daemons: c.daemons - 1, Age: time.Second, Items: othersLoads(l, f)})
					}
					req := labRequest(fmt.Sprint("asked", n), nil)
					x := f.Explain(req)
					require.NotNil(t, x.Path, "%+v", x)
					wg.Go(func() { _ = f.Do(context.Background(), req, &labCaller{lab: l, sent: req.Received}) })
					took := hopsOf(<-sent.of(req.ID))
					all := append([]ExplainedPath{*x.Path}, x.Next...)
					if slices.Equal(took, x.Path.Hops) {
						same++
					}
					if slices.ContainsFunc(all, func(p ExplainedPath) bool { return slices.Equal(took, p.Hops) }) {
						told++
					}
					if x.Selection == c.selection {
						selected++
					}
					require.LessOrEqual(t, len(x.Next), maxNextPaths)
					require.Greater(t, x.Path.FirstMS, 0.0)
					require.Greater(t, x.Path.StepMS, 0.0)
					require.Equal(t, c.others, x.LoadsKnown)
				}
				wg.Wait()
				t.Logf("of %d: same %d, told %d, selected by %s %d", asks, same, told, c.selection, selected)
				require.GreaterOrEqual(t, 20*same, 19*asks)
				require.Equal(t, asks, told)
				require.Positive(t, selected, "the case of the test occurs")
			})
		})
	}
}

// othersLoads returns the streams at each server but for those of f, as the other daemons report
// them.
func othersLoads(l *lab, f *Forwarder) []relay.LoadItem {
	own := map[string]int{}
	for _, i := range f.loads.OwnLoads() {
		own[i.Server] = i.Running
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []relay.LoadItem
	for id, s := range l.servers {
		if n := s.streams - own[id]; n > 0 {
			out = append(out, relay.LoadItem{Server: id, Running: n, KV: float64(n * labPrompt)})
		}
	}
	return out
}

// forwarderState is the state of a forwarder that requests change.
type forwarderState struct {
	Loads      []relay.LoadItem
	InFlight   int
	Requests   int64
	Credits    map[string][]pipeline.Turn
	SplitAt    map[string]time.Time
	Draws      [4]uint64
	Crossings  string
	Quarantine []quarantine.Entry
	Trials     map[string]time.Time
	Denials    string
	Health     map[string]bool
	Paused     map[string]time.Time
	Sends      map[string]int
	Budget     string
	Shedding   map[string]any
	Log        int
	LabSends   int
	LabProbes  int
}

func stateOf(l *lab, f *Forwarder, sends *int, log *bytes.Buffer) forwarderState {
	now := time.Now()
	entries, _ := f.quarantine.Since(0, 1000)
	s := forwarderState{
		Loads: f.loads.OwnLoads(), InFlight: f.InFlight(), Requests: f.requests.Load(), Quarantine: entries,
		Draws:   [4]uint64{f.targetDraws.upcoming(), f.startDraws.upcoming(), f.pathDraws.upcoming(), f.splitDraws.upcoming()},
		Credits: map[string][]pipeline.Turn{}, SplitAt: map[string]time.Time{}, Health: map[string]bool{}, Sends: map[string]int{},
		Crossings: fmt.Sprintf("%+v", f.crossings.bucket), Trials: maps.Clone(f.trials.next), Denials: fmt.Sprintf("%+v", f.denials),
		Paused: f.availability.Pauses(now), Budget: fmt.Sprintf("%+v", f.budget), LabSends: *sends, LabProbes: l.probes,
	}
	s.Shedding = map[string]any{}
	for name, sh := range f.shedders.byService {
		rng := *sh.rng
		var admitted []bool
		for gate := sh.gate.Clone(rand.New(&rng).Float64); len(admitted) < 50; {
			admitted = append(admitted, gate.Admit(shedClass, 1, now))
		}
		s.Shedding[name] = []any{*sh.rng, sh.meter.Clone(), sh.returns.Clone(nil), sh.shares.Clone(), sh.gate.Fraction(shedClass), admitted, sh.hold, sh.state, sh.at, maps.Clone(sh.logged)}
	}
	f.log.Flush()
	f.log.Flush() // the first one logs that lines were dropped
	s.Log = log.Len()
	slices.SortFunc(s.Loads, func(a, b relay.LoadItem) int { return bytes.Compare([]byte(a.Server), []byte(b.Server)) })
	for name, sp := range f.splits.byService {
		s.Credits[name], s.SplitAt[name] = sp.parts[allParts].Turns(&pipeline.Query{Engine: l.engine}, nil, 0), sp.at
	}
	for id := range l.view.Servers {
		s.Health[id] = f.health.Cooling(id, now)
		s.Sends[id] = f.sends.Recent(id, boottime.Now())
	}
	return s
}

// countedSends counts the calls that are made.
type countedSends struct {
	*lab
	n *int
}

// Send implements Backends.
func (c countedSends) Send(ctx context.Context, o *Outgoing) (*Answer, error) {
	c.lab.mu.Lock()
	*c.n++
	c.lab.mu.Unlock()
	return c.lab.Send(ctx, o)
}

// newExplainLab returns a lab and a forwarder whose calls and log are recorded.
func newExplainLab(daemons int) (l *lab, f *Forwarder, sends *int, log *bytes.Buffer) {
	l, sends, log = newLab(1), new(int), &bytes.Buffer{}
	f = New(Options{FailureDomain: "a", RetryRatio: 0.2, RetrySlack: 200, RetryWindow: 10 * time.Second},
		Dependencies{Inventory: labInventory{l}, Fleet: labFleet(daemons), Backends: countedSends{l, sends}, Log: NewLog(log), Observer: l})
	l.forward = []*Forwarder{f}
	return l, f, sends, log
}

// An operator asks while the daemon serves. The question must not change what callers get: each
// case has state that a real request would change.
func TestExplainChangesNothing(t *testing.T) {
	suspect := labRequest("suspect", nil)
	length := 2 * time.Second
	if virtual.RaceDetector {
		length = time.Second
	}
	for name, c := range map[string]struct {
		daemons int
		prepare func(t *testing.T, l *lab, f *Forwarder)
		check   func(t *testing.T, x *Explanation)
	}{
		"cost":              {1, nil, func(t *testing.T, x *Explanation) { require.Equal(t, ByCost, x.Selection) }},
		"split":             {60, nil, func(t *testing.T, x *Explanation) { require.Equal(t, BySplit, x.Selection) }},
		"split out of date": {60, func(*testing.T, *lab, *Forwarder) { time.Sleep(minSplitInterval + splitInterval) }, nil},
		"other backends":    {60, func(_ *testing.T, l *lab, _ *Forwarder) { time.Sleep(splitInterval); l.without(1) }, nil},
		"suspect":           {1, func(_ *testing.T, _ *lab, f *Forwarder) { recordEnds(f, suspect, 1) }, nil},
		"due for a trial":   {1, func(_ *testing.T, _ *lab, f *Forwarder) { recordEnds(f, suspect, 2); time.Sleep(2 * time.Minute) }, func(t *testing.T, x *Explanation) { require.Contains(t, x.Notes[0], "trial") }},
		"quarantined":       {1, func(_ *testing.T, _ *lab, f *Forwarder) { recordEnds(f, suspect, 2) }, func(t *testing.T, x *Explanation) { require.Equal(t, apierror.Quarantined, x.Refusal.Kind) }},
		"crosses domains": {1, func(_ *testing.T, l *lab, _ *Forwarder) { l.onlyCrossing() }, func(t *testing.T, x *Explanation) {
			require.NotEqual(t, x.Path.Hops[0].FailureDomain, x.Path.Hops[len(x.Path.Hops)-1].FailureDomain)
		}},
		"limited": {1, func(_ *testing.T, l *lab, f *Forwarder) { limitAllHeads(l, f) }, func(t *testing.T, x *Explanation) { require.NotEmpty(t, x.Notes) }},
		"shed, refused": {1, func(t *testing.T, l *lab, f *Forwarder) { l.overloadUntil(t, f, true) }, func(t *testing.T, x *Explanation) {
			require.True(t, x.Shedding.Refused)
			require.Less(t, x.Shedding.Fraction, 1.0)
		}},
		"shed, admitted": {1, func(t *testing.T, l *lab, f *Forwarder) { l.overloadUntil(t, f, false) }, func(t *testing.T, x *Explanation) {
			require.False(t, x.Shedding.Refused)
			require.Less(t, x.Shedding.Fraction, 1.0)
		}},
		"shed, out of date": {1, func(t *testing.T, l *lab, f *Forwarder) {
			l.prioritize()
			l.overload(t, f, shedPerSecond, 3*time.Second)
			time.Sleep(3 * shedInterval)
		}, nil},
		"nobody holds layer": {1, func(_ *testing.T, l *lab, _ *Forwarder) { l.without(len(l.servers)) }, func(t *testing.T, x *Explanation) { require.Equal(t, apierror.NoRoute, x.Refusal.Kind) }},
	} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				l, f, sends, log := newExplainLab(c.daemons)
				l.run(labRate, length)
				if c.prepare != nil {
					c.prepare(t, l, f)
				}
				req := *suspect
				if strings.HasPrefix(name, "shed") {
					req = *lowPriority("asked")
				}
				req.Received, req.Deadline = time.Now(), time.Now().Add(soundDeadline)
				synctest.Wait() // until the last request is sent or refused
				before := stateOf(l, f, sends, log)
				var x *Explanation
				for range 20 {
					x = f.Explain(&req)
				}
				require.Equal(t, before, stateOf(l, f, sends, log))
				if c.check != nil {
					c.check(t, x)
				}
			})
		})
	}
}

// shedClass is the class of the requests of overload.
const shedClass = shedding.Class(55)

// prioritize makes load shedding apply to the service of the lab.
func (l *lab) prioritize() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var routes []*site.Route
	for p := range 2 {
		routes = append(routes, &site.Route{Name: fmt.Sprint(p), Host: "h", Prefix: fmt.Sprintf("/%d/", p), Priority: p, Targets: []site.Target{{Service: labService, Weight: 1}}})
	}
	l.view = inventory.NewView(site.NewConfig(2, site.Limits{}, routes, []*site.Service{{Name: labService, Engine: l.engine}}, nil), l.view.Servers)
}

// lowPriority returns a request of shedClass.
func lowPriority(id string) *Request {
	req := labRequest(id, nil)
	req.Route.Priority = 5
	return req
}

// Requests that overload sends in a second: just more than can be served, and so many that the
// fractions alone refuse them.
const (
	shedPerSecond = 200
	manyPerSecond = 300
)

// overload sends more requests of shedClass than can be served, and returns while they run. Those
// that still run at the end of the test are cancelled.
func (l *lab) overload(t *testing.T, f *Forwarder, perSecond int, length time.Duration) {
	var wg sync.WaitGroup
	t.Cleanup(wg.Wait)
	for n := range int(length.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		req := lowPriority(fmt.Sprint("low", n))
		wg.Go(func() { _ = f.Do(t.Context(), req, &labCaller{lab: l, sent: req.Received}) })
	}
}

// overloadUntil overloads a prioritized service until the next request of shedClass is refused, or
// admitted.
func (l *lab) overloadUntil(t *testing.T, f *Forwarder, refused bool) {
	l.prioritize()
	l.overload(t, f, shedPerSecond, 3*time.Second)
	for range 100 {
		synctest.Wait()
		if f.Explain(lowPriority("asked")).Shedding.Refused == refused {
			return
		}
		l.overload(t, f, shedPerSecond, time.Second/shedPerSecond)
	}
}

// While requests are shed, the explanation tells which one is refused, and the Retry-After.
func TestExplainedSheddingDecides(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l, f, _, _ := newExplainLab(1)
		sent := recordPaths(l, f)
		l.prioritize()
		l.overload(t, f, manyPerSecond, 4*time.Second)
		var wg sync.WaitGroup
		t.Cleanup(wg.Wait)
		refused, same := 0, 0
		for n := range explainAsks {
			time.Sleep(explainInterval / 10)
			synctest.Wait()
			req := lowPriority(fmt.Sprint("asked", n))
			x := f.Explain(req)
			require.NotNil(t, x.Shedding)
			failed := make(chan error, 1)
			wg.Go(func() {
				failed <- f.Do(t.Context(), req, &labCaller{lab: l, sent: req.Received})
			})
			select {
			case p := <-sent.of(req.ID):
				if x.Refusal == nil && slices.Equal(hopsOf(p), x.Path.Hops) {
					same++
				}
			case err := <-failed:
				if !x.Shedding.Refused {
					// Refused without a path, as the usage is planned up to the capacity.
					if x.Refusal != nil && x.Refusal.Kind == apierror.From(err).Kind {
						same++
					}
					continue
				}
				refused++
				same++
				require.Equal(t, apierror.From(err).Kind, x.Refusal.Kind)
				require.InDelta(t, inMilliseconds(apierror.From(err).Answer().RetryAfter), x.Refusal.RetryAfterMS, 0.001)
				require.Nil(t, x.Path)
				require.NotEmpty(t, x.Next, "where it would go otherwise")
			}
		}
		t.Logf("of %d: as explained %d, refused %d", explainAsks, same, refused)
		require.GreaterOrEqual(t, 20*same, 19*explainAsks)
		require.Greater(t, refused, explainAsks/10)
		require.Less(t, refused, explainAsks)
	})
}

// recordEnds records the ends of backend servers under a request.
func recordEnds(f *Forwarder, req *Request, n int) {
	guard := quarantine.NewGuard(f.quarantine, req.Fingerprint(), req.Service, req.Parts)
	for i := range n {
		guard.RecordEnd(quarantine.Server(i+1), quarantine.Likely, time.Now())
		time.Sleep(time.Second)
	}
}

// limitAllHeads makes all first hops state a limit, and each due for a trial.
func limitAllHeads(l *lab, f *Forwarder) {
	for id, s := range l.view.Servers {
		if s.Held.Has(0) {
			f.limits.Apply(quota.LimitReport{Server: id, Stated: true, Rate: 10, SentAt: boottime.Now(), At: boottime.Now()})
			f.trials.postpone(id, boottime.Now())
		}
	}
	time.Sleep(2 * limitIdle)
}

// without removes the records of n backend servers.
func (l *lab) without(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	servers := maps.Clone(l.view.Servers)
	for _, id := range slices.Sorted(maps.Keys(servers))[:n] {
		delete(servers, id)
	}
	l.view = inventory.NewView(l.view.Config, servers)
}

// onlyCrossing leaves first hops in one failure domain, and all others in the others.
func (l *lab) onlyCrossing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	servers := maps.Clone(l.view.Servers)
	maps.DeleteFunc(servers, func(_ string, s *site.BackendServer) bool { return s.Held.Has(0) != (s.FailureDomain == "a") })
	l.view = inventory.NewView(l.view.Config, servers)
}

// A request that would be refused or held is explained with the answer that its caller gets.
func TestExplainedRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(l *lab, f *Forwarder, req *Request)
		kind    apierror.Kind
		held    bool
	}{
		"deadline":    {func(_ *lab, _ *Forwarder, req *Request) { req.Deadline = req.Received.Add(time.Millisecond) }, apierror.DeadlinePassed, false},
		"quarantined": {func(_ *lab, f *Forwarder, req *Request) { recordEnds(f, req, 2) }, apierror.Quarantined, false},
		"all refused": {func(l *lab, f *Forwarder, _ *Request) {
			for id := range l.servers {
				f.health.Refuse(id, time.Now())
			}
		}, apierror.NoRoute, true},
		"all paused": {func(l *lab, f *Forwarder, _ *Request) {
			for id := range l.servers {
				f.availability.Apply(availability.Statement{Server: id, Pause: 3 * time.Second}, time.Now())
			}
		}, apierror.Overloaded, false},
		"memory full": {func(l *lab, f *Forwarder, _ *Request) {
			var items []relay.LoadItem
			for id := range l.servers {
				items = append(items, relay.LoadItem{Server: id, Running: 1, KV: 1e9})
			}
			f.loads.SetOthers(relay.Loads{Daemons: 1, Items: items})
		}, apierror.Overloaded, false},
	} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				l, f, _, _ := newExplainLab(2)
				req := labRequest("r", nil)
				c.prepare(l, f, req)
				req.Received = time.Now()
				if name != "deadline" {
					req.Deadline = req.Received.Add(soundDeadline)
				}
				x := f.Explain(req)
				require.Nil(t, x.Path)
				require.NotNil(t, x.Refusal)
				require.Equal(t, c.kind, x.Refusal.Kind)
				require.Equal(t, c.held, !x.HeldUntil.IsZero())
				require.LessOrEqual(t, len(x.Next), maxNextPaths)

				if c.held {
					return // it is served after the hold
				}
				err := f.Do(context.Background(), req, &labCaller{lab: l, sent: req.Received})
				e := apierror.From(err)
				require.Equal(t, c.kind, e.Kind)
				require.InDelta(t, inMilliseconds(e.Answer().RetryAfter), x.Refusal.RetryAfterMS, inMilliseconds(quarantine.RetrySpread))
			})
		})
	}
}
