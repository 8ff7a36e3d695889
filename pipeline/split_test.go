package pipeline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// fleetDomains are the failure domains of a site with hundreds of servers.
var fleetDomains = []string{"a", "b", "c", "d", "e"}

// fleetServers returns the placed servers of five failure domains. Each domain has as
// many servers as siteServers returns.
func fleetServers(t testing.TB, e *site.Engine) []Candidate {
	t.Helper()
	var servers []ServerState
	for _, domain := range fleetDomains {
		for i, s := range siteServers() {
			servers = append(servers, newServer(fmt.Sprintf("%s-%02d", domain, i), domain, s.Server.Kind))
		}
	}
	placeUntilStable(t, e, servers)
	return candidates(servers)
}

// evenDemand returns a demand with the same number of requests from each failure
// domain.
func evenDemand(requests float64) Demand {
	d := Demand{Requests: requests, Domains: map[string]float64{}}
	for _, domain := range fleetDomains {
		d.Domains[domain] = 1 / float64(len(fleetDomains))
	}
	return d
}

// plannedUsage returns the fraction of each backend server's memory that a split plans
// to use.
func plannedUsage(e *site.Engine, cs []Candidate, d Demand) map[string]float64 {
	out := map[string]float64{}
	for _, domain := range fleetDomains {
		shares := Split(e, cs, d, domain)
		duration := 0.0
		for _, sh := range shares {
			duration += sh.Rate * sh.DurationMS
		}
		for _, sh := range shares {
			requests := d.Requests * d.Domains[domain] * sh.Rate * sh.DurationMS / duration
			for _, h := range sh.Choice.Path {
				out[h.Server.ID] += requests * TypicalRequest(e).Mean() * float64(h.Layers.Len()) / e.KVCapacity(h.Server.Kind, h.Server.Held.Len())
			}
		}
	}
	return out
}

// A split leaves memory on every server for requests that are larger than typical, even
// close to the total capacity.
func TestSplitLeavesHeadroomOnEveryServer(t *testing.T) {
	e := testEngine()
	cs := fleetServers(t, e)
	for _, load := range []float64{0.6, 0.8} {
		for id, full := range plannedUsage(e, cs, evenDemand(load*totalCapacity(e, cs))) {
			require.Less(t, full, 0.97, "%s at a load of %v", id, load)
		}
	}
}

// A split routes most requests around slow servers. The rest pass through servers whose
// layers no other server of the failure domain holds.
func TestSplitAvoidsSlowServers(t *testing.T) {
	e := testEngine()
	cs := fleetServers(t, e)
	r := rand.New(rand.NewPCG(5, 6))
	slow := map[string]bool{}
	for _, i := range r.Perm(len(cs))[:len(cs)/6] {
		slow[cs[i].Server.ID] = true
	}
	passing := func(cs []Candidate) float64 {
		sum := 0.0
		for _, domain := range fleetDomains {
			for _, sh := range Split(e, cs, evenDemand(0.6*totalCapacity(e, cs)), domain) {
				if slices.ContainsFunc(sh.Choice.Path, func(h site.Hop) bool { return slow[h.Server.ID] }) {
					sum += sh.Rate / float64(len(fleetDomains))
				}
			}
		}
		return sum
	}
	require.Greater(t, passing(cs), 0.9)
	for i := range cs {
		if slow[cs[i].Server.ID] {
			cs[i].Load.Slowdown = 12
		}
	}
	require.Less(t, passing(cs), 0.35)
}

// For a load beyond the slots of all heads of a failure domain, a split still returns
// only valid paths, with rates that add up to 1.
func TestSplitBeyondTheSlotsOfAllHeads(t *testing.T) {
	e := testEngine()
	cs := fleetServers(t, e)
	for _, c := range cs {
		c.Server.Slots = 5
	}
	for _, load := range []float64{0.6, 1, 3} {
		for _, domain := range fleetDomains {
			sum := 0.0
			for _, sh := range Split(e, cs, evenDemand(load*totalCapacity(e, cs)), domain) {
				require.NoError(t, sh.Choice.Path.CheckTiling(e.Layers))
				sum += sh.Rate
			}
			require.InDelta(t, 1, sum, 1e-9, "%s at a load of %v", domain, load)
		}
	}
}

// The order of the candidates does not affect a split, so daemons need not exchange
// their splits.
func TestAllDaemonsMakeTheSameSplit(t *testing.T) {
	e := testEngine()
	cs := fleetServers(t, e)
	d := evenDemand(0.7 * totalCapacity(e, cs))
	want := Split(e, cs, d, "b")
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(cs), func(i, j int) { cs[i], cs[j] = cs[j], cs[i] })
	require.Equal(t, want, Split(e, cs, d, "b"))
	rate := 0.0
	for _, s := range want {
		require.NoError(t, s.Choice.Path.CheckTiling(e.Layers))
		rate += s.Rate
	}
	require.InDelta(t, 1, rate, 1e-9)
}

// Shortly after a start hardly any load is reported. A split must not use the two fastest
// paths only.
func TestUnderreportedLoadDoesNotNarrowSplit(t *testing.T) {
	e := testEngine()
	cs := fleetServers(t, e)
	require.Equal(t, Split(e, cs, evenDemand(minLoadShare*totalCapacity(e, cs)), "c"), Split(e, cs, evenDemand(7), "c"))
	require.Equal(t, Split(e, cs, evenDemand(minLoadShare*totalCapacity(e, cs)), "c"), Split(e, cs, evenDemand(0), "c"))
}

// A failure domain without a path is served by the others.
func TestSplitOfDomainWithoutServers(t *testing.T) {
	e := testEngine()
	cs := slices.DeleteFunc(fleetServers(t, e), func(c Candidate) bool { return c.Server.FailureDomain == "d" })
	shares := Split(e, cs, evenDemand(0.6*totalCapacity(e, cs)), "d")
	require.NotEmpty(t, shares)
	heads := map[string]bool{}
	for _, s := range shares {
		heads[s.Choice.Path[0].Server.FailureDomain] = true
	}
	require.Greater(t, len(heads), 1, "heads in more than one failure domain")
	require.Empty(t, Split(e, nil, evenDemand(10), "d"))
}

// Few daemons that handle many requests each spread them by their load.
func TestFewDaemonsNeedNoSplit(t *testing.T) {
	e := testEngine()
	cs := fleetServers(t, e)
	require.False(t, NeedsSplit(e, cs, 8))
	require.True(t, NeedsSplit(e, cs, 60))
	require.True(t, NeedsSplit(e, cs, 300))
}

// Paths are taken in proportion to their rates; unusable paths are skipped.
func TestPathsAreTakenByRate(t *testing.T) {
	e := choiceEngine()
	cs := twoPipelines(e)
	rot := &Rotation{}
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 100}}
	paths := []site.Path{
		{{Server: cs[0].Server, Layers: cs[0].Server.Held}, {Server: cs[1].Server, Layers: cs[1].Server.Held}},
		{{Server: cs[2].Server, Layers: cs[2].Server.Held}, {Server: cs[3].Server, Layers: cs[3].Server.Held}},
	}
	rot.SetShares([]Share{{Choice: Choice{Path: paths[0]}, Rate: 0.75, Heads: 10, DurationMS: 1000}, {Choice: Choice{Path: paths[1]}, Rate: 0.25, Heads: 10, DurationMS: 1000}}, rand.New(rand.NewPCG(1, 2)))
	count := func(n int, age time.Duration) map[string]int {
		out := map[string]int{}
		for range n {
			c, ok := rot.Next(q, cs, age)
			require.True(t, ok)
			out[c.Path[0].Server.ID]++
		}
		return out
	}
	require.InDelta(t, 75, count(100, 0)["fast0"], 2)
	cs[0].Load.Heads, cs[2].Load.Heads = 15, 10
	require.InDelta(t, 75, count(100, 0)["fast0"], 2, "unreported loads do not count")
	require.InDelta(t, 69, count(100, 500*time.Millisecond)["fast0"], 4, "1.5 times the planned load, reported recently")
	require.InDelta(t, 74, count(100, 5*time.Second)["fast0"], 4, "1.5 times the planned load, reported long ago")
	cs[0].Load.Heads, cs[2].Load.Heads = 0, 0
	cs[0].Load.WaitMS = 300
	require.InDelta(t, 43, count(100, 0)["fast0"], 4, "own requests wait at the head")
	cs[0].Load.WaitMS = 0
	cs[1].Load.KVUsed = e.KVCapacity("fast", cs[1].Server.Held.Len())
	require.Zero(t, count(20, 0)["fast0"], "no memory for the request")
	cs[2].Load.Heads = float64(cs[2].Server.Slots)
	_, ok := rot.Next(q, cs, 0)
	require.False(t, ok, "no free slots on the other path")
	_, ok = rot.Next(q, cs[2:], 0)
	require.False(t, ok, "backend servers of the path are gone")
}

// simulation simulates a fleet of daemons that receive each other's loads with a delay.
type simulation struct {
	engine      *site.Engine
	cs          []Candidate
	index       map[string]int
	daemons     int
	loadAge     time.Duration
	rng         *rand.Rand
	now         time.Duration
	actual      []Load   // of all daemons
	own         [][]Load // by daemon
	reported    [][]Load // reported loads, newest last
	completions []completion
	rotations   []Rotation
	// orphaned are requests of daemons that have ended. No daemon reports them, but
	// actual includes them.
	orphaned []Load
	// serverReports are the reports of the servers, newest last, nil if daemons do not
	// use them.
	serverReports [][]Load
	reportAge     time.Duration // age of the reports that daemons use, 0 for none
	warmup        time.Duration // not included in the results
	duration      time.Duration // simulated time

	requests, late, refused int
}

// completion is the end of a request.
type completion struct {
	at     time.Duration
	daemon int
	path   site.Path
}

const (
	simulationStep     = 20 * time.Millisecond
	simulationDuration = 40 * time.Second
	simulationWarmup   = 10 * time.Second // not included in the results
)

// newSimulation returns a fleet whose daemons know the loads of loadAge ago.
func newSimulation(t testing.TB, daemons int, loadAge time.Duration) *simulation {
	e := testEngine()
	sim := &simulation{engine: e, cs: fleetServers(t, e), index: map[string]int{}, daemons: daemons, loadAge: loadAge, rng: rand.New(rand.NewPCG(7, 9))}
	for i := range sim.cs {
		sim.index[sim.cs[i].Server.ID] = i
	}
	sim.actual, sim.orphaned, sim.warmup, sim.duration = make([]Load, len(sim.cs)), make([]Load, len(sim.cs)), simulationWarmup, simulationDuration
	sim.own = make([][]Load, daemons)
	for i := range sim.own {
		sim.own[i] = make([]Load, len(sim.cs))
	}
	sim.rotations = make([]Rotation, daemons)
	return sim
}

func (sim *simulation) domain(daemon int) string { return fleetDomains[daemon%len(fleetDomains)] }

// applySplit computes the split of each failure domain once, since it is the same for all
// daemons of the domain.
func (sim *simulation) applySplit(d Demand) {
	for i, domain := range fleetDomains {
		shares := Split(sim.engine, sim.cs, d, domain)
		for n := i; n < sim.daemons; n += len(fleetDomains) {
			sim.rotations[n].SetShares(shares, sim.rng)
		}
	}
}

// view returns the candidates with the loads that a daemon knows.
func (sim *simulation) view(daemon int) []Candidate {
	out := slices.Clone(sim.cs)
	for i := range out {
		own := sim.own[daemon][i]
		out[i].Load = own
		if len(sim.reported) > 0 {
			o := sim.reported[0][i]
			others := float64(sim.daemons-1) / float64(sim.daemons)
			out[i].Load = Load{Running: own.Running + o.Running*others, Heads: own.Heads + o.Heads*others, KVUsed: own.KVUsed + o.KVUsed*others}
		}
		out[i].Load.OwnKV = own.KVUsed * float64(sim.daemons)
		if len(sim.serverReports) > 0 {
			out[i].Load.MemoryUsed, out[i].Load.Waiting = sim.serverReports[0][i].MemoryUsed, sim.serverReports[0][i].Waiting
		}
	}
	return out
}

func (sim *simulation) run(perSecond float64, choose func(daemon int, q *Query, cs []Candidate) (Choice, error)) {
	for ; sim.now < sim.duration; sim.now += simulationStep {
		sim.completeRequests()
		if sim.now%(200*time.Millisecond) == 0 {
			sim.report()
		}
		for n := sim.arrivals(perSecond); n > 0; n-- {
			daemon := sim.rng.IntN(sim.daemons)
			q := &Query{Engine: sim.engine, Tokens: TypicalRequest(sim.engine), Near: sim.domain(daemon), Jitter: 0.25}
			sim.begin(daemon, q, choose)
		}
	}
}

// arrivals draws the number of requests in one step.
func (sim *simulation) arrivals(perSecond float64) int {
	n := 0
	for at := sim.rng.ExpFloat64() / perSecond; at < simulationStep.Seconds(); at += sim.rng.ExpFloat64() / perSecond {
		n++
	}
	return n
}

func (sim *simulation) report() {
	reported := slices.Clone(sim.actual)
	for i := range reported {
		reported[i].Running -= sim.orphaned[i].Running
		reported[i].Heads -= sim.orphaned[i].Heads
		reported[i].KVUsed -= sim.orphaned[i].KVUsed
	}
	sim.reported = recent(append(sim.reported, reported), sim.loadAge)
	if sim.reportAge > 0 {
		sim.serverReports = recent(append(sim.serverReports, sim.currentReports()), sim.reportAge)
	}
}

// recent returns the reports without the oldest one if it is older than age.
func recent(reports [][]Load, age time.Duration) [][]Load {
	if keep := int(age/(200*time.Millisecond)) + 1; len(reports) > keep {
		return reports[1:]
	}
	return reports
}

// currentReports returns the reports of the servers at this moment.
func (sim *simulation) currentReports() []Load {
	out := make([]Load, len(sim.actual))
	for i, l := range sim.actual {
		s := sim.cs[i].Server
		out[i].MemoryUsed = l.KVUsed / sim.engine.KVCapacity(s.Kind, s.Held.Len())
		if out[i].MemoryUsed > 1 {
			out[i] = Load{MemoryUsed: 1, Waiting: 1}
		}
	}
	return out
}

func (sim *simulation) begin(daemon int, q *Query, choose func(int, *Query, []Candidate) (Choice, error)) {
	counts := sim.now >= sim.warmup
	if counts {
		sim.requests++
	}
	choice, err := choose(daemon, q, sim.view(daemon))
	if err != nil || sim.actual[sim.index[choice.Path[0].Server.ID]].Heads >= float64(sim.engine.Slots) {
		if counts {
			sim.refused++
		}
		return
	}
	sim.add(daemon, choice.Path, 1)
	steps := make([]step, len(choice.Path))
	for i, h := range choice.Path {
		n := sim.index[h.Server.ID]
		steps[i] = step{cand: &Candidate{Server: h.Server, Load: sim.actual[n]}, run: h.Layers}
	}
	got := predict(q, steps)
	if counts && got.Fullest > 1 {
		sim.late++ // waits for memory
	}
	duration := time.Duration((got.FirstMS + got.StepMS*q.Tokens.Answer) * float64(time.Millisecond))
	sim.completions = append(sim.completions, completion{at: sim.now + duration, daemon: daemon, path: choice.Path})
}

func (sim *simulation) completeRequests() {
	sim.completions = slices.DeleteFunc(sim.completions, func(e completion) bool {
		if e.at > sim.now {
			return false
		}
		sim.add(e.daemon, e.path, -1)
		return true
	})
}

// endedDaemon marks requests of daemons that have ended.
const endedDaemon = -1

// restart simulates a restart of all daemons. The servers continue a number of running
// requests, which are distributed according to the split.
func (sim *simulation) restart(requests float64) {
	d := evenDemand(requests)
	for _, domain := range fleetDomains {
		for _, sh := range Split(sim.engine, sim.cs, d, domain) {
			duration := time.Duration(sh.DurationMS * float64(time.Millisecond))
			for range int(sh.Rate * requests * d.Domains[domain]) {
				sim.add(endedDaemon, sh.Choice.Path, 1)
				sim.completions = append(sim.completions, completion{at: time.Duration(sim.rng.Int64N(int64(duration))), daemon: endedDaemon, path: sh.Choice.Path})
			}
		}
	}
}

func (sim *simulation) add(daemon int, p site.Path, sign float64) {
	for i, h := range p {
		of := sim.orphaned
		if daemon != endedDaemon {
			of = sim.own[daemon]
		}
		for _, l := range []*Load{&sim.actual[sim.index[h.Server.ID]], &of[sim.index[h.Server.ID]]} {
			l.Running += sign
			l.KVUsed += sign * TypicalRequest(sim.engine).Mean() * float64(h.Layers.Len())
			if i == 0 {
				l.Heads += sign
			}
		}
	}
}

func (sim *simulation) lateShare() float64    { return float64(sim.late) / float64(sim.requests) }
func (sim *simulation) refusedShare() float64 { return float64(sim.refused) / float64(sim.requests) }

// rateOf returns the requests per second that keep a fraction of the total capacity
// in use.
func rateOf(e *site.Engine, cs []Candidate, load float64) float64 {
	requests := load * totalCapacity(e, cs)
	perSecond := 0.0
	d := evenDemand(requests)
	for _, domain := range fleetDomains {
		duration := 0.0
		for _, s := range Split(e, cs, d, domain) {
			duration += s.Rate * s.DurationMS
		}
		perSecond += requests * d.Domains[domain] / (duration / 1000)
	}
	return perSecond
}

// simulateLoad simulates a load with delayed reports. Paths are chosen by the split
// or by the lowest cost.
func simulateLoad(t testing.TB, load float64, split bool) *simulation {
	sim := newSimulation(t, 300, 6*time.Second)
	rate := rateOf(sim.engine, sim.cs, load)
	cheapest := func(_ int, q *Query, cs []Candidate) (Choice, error) { return Choose(q, cs, sim.rng) }
	if !split {
		sim.run(rate, cheapest)
		return sim
	}
	sim.applySplit(evenDemand(load * totalCapacity(sim.engine, sim.cs)))
	sim.run(rate, func(daemon int, q *Query, cs []Candidate) (Choice, error) {
		if got, ok := sim.rotations[daemon].Next(q, cs, sim.loadAge); ok {
			return got, nil
		}
		return Choose(q, cs, sim.rng)
	})
	return sim
}

// With loads that are six seconds old, at 0.8 of the capacity, a split does not oscillate.
// If each of 300 daemons takes the cheapest path, they choose the same heads, and requests
// wait for memory there.
func TestSplitWithStaleLoadsKeepsRequestsInTime(t *testing.T) {
	sim := simulateLoad(t, 0.8, true)
	require.Less(t, sim.lateShare(), 0.02)
	require.Less(t, sim.refusedShare(), 0.005)
	before := simulateLoad(t, 0.8, false)
	require.Greater(t, before.lateShare()+before.refusedShare(), sim.lateShare()+sim.refusedShare())
}

// BenchmarkStaleLoads reports the fractions of requests that wait for memory and that
// are refused, by load and by how paths are chosen.
func BenchmarkStaleLoads(b *testing.B) {
	for _, load := range []float64{0.5, 0.8} {
		for _, split := range []bool{false, true} {
			b.Run(fmt.Sprintf("load=%v/split=%v", load, split), func(b *testing.B) {
				for b.Loop() {
					sim := simulateLoad(b, load, split)
					b.ReportMetric(sim.lateShare(), "late_share")
					b.ReportMetric(sim.refusedShare(), "refused_share")
				}
			})
		}
	}
}

// BenchmarkSplit computes a split at the size of a site.
func BenchmarkSplit(b *testing.B) {
	e := testEngine()
	cs := fleetServers(b, e)
	d := evenDemand(0.7 * totalCapacity(e, cs))
	for b.Loop() {
		Split(e, cs, d, "a")
	}
}

// simulateRestart simulates the first four seconds after a restart of all daemons, at
// twice the request rate, while the servers continue the previous requests.
func simulateRestart(t testing.TB, reportAge time.Duration) *simulation {
	sim := newSimulation(t, 75, 3*time.Second)
	sim.warmup, sim.reportAge, sim.duration = 0, reportAge, 4*time.Second
	load := 0.8 * totalCapacity(sim.engine, sim.cs)
	rate := 2 * rateOf(sim.engine, sim.cs, 0.8)
	sim.restart(load)
	sim.applySplit(evenDemand(load))
	sim.run(rate, func(daemon int, q *Query, cs []Candidate) (Choice, error) {
		if got, ok := sim.rotations[daemon].Next(q, cs, sim.loadAge); ok {
			return got, nil
		}
		return Choose(q, cs, sim.rng)
	})
	return sim
}

// After a restart of all daemons, no daemon counts the requests that are still running.
// With reports of the servers, fewer new requests are sent to servers where requests wait
// for memory.
func TestServerReportsIncludeUncountedRequests(t *testing.T) {
	before, after := simulateRestart(t, 0), simulateRestart(t, time.Second)
	t.Logf("waiting for memory %.3f, without reports %.3f; refused %.3f, without reports %.3f", after.lateShare(), before.lateShare(), after.refusedShare(), before.refusedShare())
	require.Less(t, after.lateShare(), 0.5*before.lateShare())
	require.Less(t, after.lateShare()+after.refusedShare(), before.lateShare()+before.refusedShare())
}

// With few daemons, server reports are not worth using: six daemons with loads that are one
// second old, at 1.5 times the capacity, refuse and delay fewer requests without the
// reports, which are the same for all daemons.
func TestFewDaemonsDoBetterWithOwnLoads(t *testing.T) {
	simulate := func(reportAge time.Duration) *simulation {
		sim := newSimulation(t, 6, time.Second)
		sim.reportAge, sim.warmup, sim.duration = reportAge, 5*time.Second, 13*time.Second
		sim.run(rateOf(sim.engine, sim.cs, 1.5), func(_ int, q *Query, cs []Candidate) (Choice, error) { return Choose(q, cs, sim.rng) })
		return sim
	}
	own, reported := simulate(0), simulate(500*time.Millisecond)
	t.Logf("waiting for memory %.3f, with reports %.3f; refused %.3f, with reports %.3f", own.lateShare(), reported.lateShare(), own.refusedShare(), reported.refusedShare())
	require.Less(t, own.lateShare()+own.refusedShare(), reported.lateShare()+reported.refusedShare())
}
