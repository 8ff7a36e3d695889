package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/site"
)

// Parameters of a run with requests of several priorities.
const (
	classLength  = 12 * time.Second
	peakFrom     = 3 * time.Second
	peakFor      = 8 * time.Second
	classTimeout = 20 * time.Second

	loadsEvery = 800 * time.Millisecond // interval of the exchange of loads
	loadsAge   = 2 * time.Second        // age of loads when they are received
	loadsTTL   = 3 * loadsEvery

	// Demands are exchanged more often than loads and known to all daemons within 0.9 s.
	demandsEvery = 400 * time.Millisecond
	demandsAge   = 500 * time.Millisecond

	faultFrom = peakFrom + time.Second
	faultFor  = 6 * time.Second
)

// classes is the number of priorities.
const classes = 3

// classObjectives are the objectives of the routes, by priority.
var classObjectives = [classes]time.Duration{500 * time.Millisecond, 500 * time.Millisecond, time.Second}

// classFault is a fault of daemons or links. It begins at faultFrom unless stated otherwise.
type classFault int

const (
	noFault   classFault = iota
	lateLoads            // the loads of one daemon are not received for faultFor
	restarts             // a third of the daemons are restarted
	// cutLinks means that a third of the daemons exchange no loads for faultFor, beginning
	// one second before the peak. They then know a demand without the peak.
	cutLinks
)

func (f classFault) String() string {
	return [...]string{"none", "late loads", "restarts", "cut links"}[f]
}

// classLoad is the load and the conditions of a run.
type classLoad struct {
	seed    uint64
	daemons int
	// base and peak are the streams per second by priority, outside the peak and within it.
	base, peak [classes]float64
	// equal gives all routes the same priority, so that load shedding is inactive.
	equal   bool
	fault   classFault
	returns bool // refused callers return once after the stated time
	log     io.Writer
}

// contendedLoad is the load of the first table of docs/design/hard-load.md.
func contendedLoad(daemons int) classLoad {
	return classLoad{seed: 1, daemons: daemons, base: [classes]float64{24, 20, 0}, peak: [classes]float64{24, 20, 200}}
}

// classCount counts callers of one priority. A caller that returns is counted once, by its
// first request.
type classCount struct {
	asked, inTime, late, refused, cut int

	slowestRefusal time.Duration
	retryAfter     []time.Duration // of the refusals
	returned       []time.Time
	returnsServed  int // returned callers that were served in time
}

func (c *classCount) add(o *classCount) {
	c.asked, c.inTime, c.late, c.refused, c.cut = c.asked+o.asked, c.inTime+o.inTime, c.late+o.late, c.refused+o.refused, c.cut+o.cut
	c.slowestRefusal = max(c.slowestRefusal, o.slowestRefusal)
	c.retryAfter, c.returned = append(c.retryAfter, o.retryAfter...), append(c.returned, o.returned...)
	c.returnsServed += o.returnsServed
}

// inTimeShare returns the proportion of callers that were served in time.
func (c *classCount) inTimeShare() float64 { return float64(c.inTime) / float64(max(1, c.asked)) }

// admittedShare returns the proportion of callers that were not refused.
func (c *classCount) admittedShare() float64 {
	return 1 - float64(c.refused)/float64(max(1, c.asked))
}

// classResult is the result of a run, by priority, for the callers that asked during the peak
// and for the others.
type classResult struct {
	peak, calm [classes]classCount
}

// all returns the counts of a priority over the whole run.
func (r *classResult) all(priority int) classCount {
	sum := r.calm[priority]
	sum.add(&r.peak[priority])
	return sum
}

// total returns the counts of all priorities over the whole run.
func (r *classResult) total() (sum classCount) {
	for p := range classes {
		c := r.all(p)
		sum.add(&c)
	}
	return sum
}

// classLab is a lab whose configuration has one route for each priority, and whose daemons
// exchange loads and demands. Unlike in lab, backend servers refuse streams for which they have
// no memory. It implements Backends.
type classLab struct {
	*lab
	load    classLoad
	routes  [classes]*site.Route
	start   time.Time
	daemons []*classDaemon

	mu     sync.Mutex // after lab.mu
	result classResult
}

// classDaemon is a daemon that may be restarted.
type classDaemon struct {
	mu     sync.Mutex
	f      *Forwarder
	ctx    context.Context // of its requests
	cancel context.CancelFunc
	cut    bool // its links are cut
	late   bool // its loads are not received by the others
}

// runClasses runs a load in virtual time.
func runClasses(t *testing.T, load classLoad) (result *classResult) {
	t.Helper()
	virtual.Test(t, func(*testing.T) { result = newClassLab(load).run() })
	return result
}

func newClassLab(load classLoad) *classLab {
	c := &classLab{lab: newLab(load.seed), load: load, start: time.Now()}
	for p := range classes {
		priority := p
		if load.equal {
			priority = 1
		}
		c.routes[p] = &site.Route{
			Name: fmt.Sprint("priority-", p), Host: "lab", Prefix: fmt.Sprintf("/%d/", p), Priority: priority,
			Kind: site.Stream, Resumable: true, MaxAttempts: 2, Timeout: classTimeout, Objective: classObjectives[p],
			Targets: []site.Target{{Service: labService, Weight: 1}},
		}
	}
	services := []*site.Service{{Name: labService, Engine: c.engine}}
	c.view = inventory.NewView(site.NewConfig(1, site.Limits{}, c.routes[:], services, nil), c.view.Servers)
	for n := range load.daemons {
		d := &classDaemon{}
		c.startDaemon(d, n, false)
		c.daemons = append(c.daemons, d)
	}
	return c
}

// startDaemon replaces a daemon by a new one, which knows nothing of the others. The requests
// of the previous one end.
func (c *classLab) startDaemon(d *classDaemon, n int, restarted bool) {
	log := c.load.log
	if log == nil {
		log = io.Discard
	}
	f := New(Options{FailureDomain: string(rune('a' + n%3)), RetryRatio: 0.2, RetrySlack: 200, RetryWindow: 10 * time.Second, Restarted: restarted},
		Dependencies{Inventory: labInventory{c.lab}, Fleet: labFleet(c.load.daemons), Backends: c, Log: NewLog(log), Observer: c.lab})
	f.trialRank = func(key uint64) int { return (n + int(key%uint64(c.load.daemons))) % c.load.daemons }
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancel != nil {
		d.cancel()
	}
	d.f = f
	d.ctx, d.cancel = context.WithCancel(context.Background())
}

// run sends the load, waits for all streams and returns the counts.
func (c *classLab) run() *classResult {
	ctx, cancel := context.WithCancel(context.Background())
	var background, callers sync.WaitGroup
	if len(c.daemons) > 1 {
		background.Go(func() { c.exchangeLoads(ctx) })
		background.Go(func() { c.exchangeDemands(ctx) })
	}
	background.Go(func() { c.causeFault(ctx) })
	rng := rand.New(rand.NewPCG(c.load.seed, 5))
	for n := 0; time.Since(c.start) < classLength; n++ {
		rates := c.load.base
		if c.isPeak(time.Now()) {
			rates = c.load.peak
		}
		total := rates[0] + rates[1] + rates[2]
		time.Sleep(time.Duration(rng.ExpFloat64() / total * float64(time.Second)))
		priority, at, daemon := 0, rng.Float64()*total, rng.IntN(len(c.daemons))
		for priority < classes-1 && at >= rates[priority] {
			at -= rates[priority]
			priority++
		}
		callers.Go(func() { c.ask(fmt.Sprint("r", n), priority, daemon) })
	}
	callers.Wait()
	cancel()
	background.Wait()
	return &c.result
}

func (c *classLab) isPeak(at time.Time) bool {
	since := at.Sub(c.start)
	return since >= peakFrom && since < peakFrom+peakFor
}

// ask sends the request of one caller, and once more after a refusal if callers return.
func (c *classLab) ask(id string, priority, daemon int) {
	began := time.Now()
	got, counted := c.send(id, priority, daemon)
	if !counted {
		return
	}
	if c.load.returns && got.refused > 0 && got.retryAfter[0] > 0 {
		time.Sleep(got.retryAfter[0])
		got.returned = append(got.returned, time.Now())
		again, _ := c.send(id+"-again", priority, (daemon+1)%len(c.daemons))
		got.returnsServed = again.inTime
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isPeak(began) {
		c.result.peak[priority].add(got)
	} else {
		c.result.calm[priority].add(got)
	}
}

// send sends one request and returns its outcome. counted is false if its daemon was
// restarted meanwhile.
func (c *classLab) send(id string, priority, daemon int) (got *classCount, counted bool) {
	d := c.daemons[daemon]
	d.mu.Lock()
	f, ctx := d.f, d.ctx
	d.mu.Unlock()
	now := time.Now()
	req := &Request{
		ID: id, Body: []byte(id), Service: labService, Received: now, Deadline: now.Add(classTimeout), Prompt: labPrompt, Route: c.routes[priority],
	}
	caller := &labCaller{lab: c.lab, sent: now}
	err := f.Do(ctx, req, caller)
	got = &classCount{asked: 1}
	switch {
	case ctx.Err() != nil:
		return got, false
	case err == nil && caller.first <= req.Route.Objective && caller.longest <= labMaxPause:
		got.inTime = 1
	case err == nil:
		got.late = 1
	case caller.events > 0:
		got.cut = 1
	default:
		got.refused, got.slowestRefusal = 1, time.Since(now)
		got.retryAfter = []time.Duration{apierror.From(err).RetryAfter}
	}
	return got, true
}

// causeFault causes the fault of the run.
func (c *classLab) causeFault(ctx context.Context) {
	from := faultFrom
	if c.load.fault == cutLinks {
		from = peakFrom - time.Second
	}
	if c.load.fault == noFault || !wait.For(ctx, from) {
		return
	}
	for n, d := range c.daemons {
		switch {
		case c.load.fault == lateLoads && n == 0:
			d.setLinks(false, true)
		case c.load.fault == restarts && n%3 == 0:
			c.startDaemon(d, n, true)
		case c.load.fault == cutLinks && n%3 == 0:
			d.setLinks(true, false)
		}
	}
	wait.For(ctx, faultFor)
	for _, d := range c.daemons {
		d.setLinks(false, false)
	}
}

func (d *classDaemon) setLinks(cut, late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut, d.late = cut, late
}

// classReport is what a daemon reports to the others.
type classReport struct {
	from    *Forwarder
	items   []relay.LoadItem
	demands []relay.Demand
	cut     bool
	late    bool
}

// exchangeLoads passes each daemon the sum of the loads that the others report, loadsAge later.
func (c *classLab) exchangeLoads(ctx context.Context) {
	for wait.For(ctx, loadsEvery) {
		reports := c.reports(func(r *classReport) { r.items = r.from.loads.OwnLoads() })
		time.AfterFunc(loadsAge, func() {
			c.deliver(reports, func(r *classReport, others relay.Loads) {
				others.Demands = r.from.loads.knownDemands() // newer than the loads
				r.from.loads.SetOthers(others)
			})
		})
	}
}

// exchangeDemands passes each daemon the sum of the demands that the others report.
func (c *classLab) exchangeDemands(ctx context.Context) {
	for wait.For(ctx, demandsEvery) {
		reports := c.reports(func(r *classReport) { r.demands = r.from.loads.OwnDemands() })
		time.AfterFunc(demandsAge, func() {
			c.deliver(reports, func(r *classReport, others relay.Loads) { r.from.loads.SetDemands(others.Demands, others.Daemons) })
		})
	}
}

func (l *Loads) knownDemands() []relay.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.othersDemands
}

// reports returns the reports of all daemons, filled in by fill.
func (c *classLab) reports(fill func(*classReport)) []classReport {
	out := make([]classReport, len(c.daemons))
	for n, d := range c.daemons {
		d.mu.Lock()
		out[n] = classReport{from: d.f, cut: d.cut, late: d.late}
		fill(&out[n])
		d.mu.Unlock()
	}
	return out
}

// deliver passes each daemon that has run since the reports were made and that has links the
// sum of the reports of the others.
func (c *classLab) deliver(reports []classReport, set func(*classReport, relay.Loads)) {
	items, demands, included := map[string]relay.LoadItem{}, map[relay.DemandKey]float64{}, 0
	sum := func(r *classReport, sign int) {
		for _, i := range r.items {
			total := items[i.Server]
			items[i.Server] = relay.LoadItem{
				Server: i.Server, Running: total.Running + sign*i.Running, Heads: total.Heads + sign*i.Heads, KV: total.KV + float64(sign)*i.KV,
			}
		}
		for _, d := range r.demands {
			demands[d.DemandKey] += float64(sign) * d.KV
		}
		included += sign
	}
	for n := range reports {
		if r := &reports[n]; !r.cut && !r.late {
			sum(r, 1)
		}
	}
	for n, d := range c.daemons {
		r := &reports[n]
		d.mu.Lock()
		receives := d.f == r.from && !d.cut && !r.cut
		d.mu.Unlock()
		if !receives {
			continue
		}
		if !r.late {
			sum(r, -1)
		}
		set(r, othersOf(items, demands, included))
		if !r.late {
			sum(r, 1)
		}
	}
}

func othersOf(items map[string]relay.LoadItem, demands map[relay.DemandKey]float64, daemons int) relay.Loads {
	others := relay.Loads{Daemons: daemons, Age: loadsAge, ValidFor: loadsTTL}
	for _, i := range items {
		if i.Running > 0 {
			others.Items = append(others.Items, i)
		}
	}
	for key, kv := range demands {
		if kv > 0 {
			others.Demands = append(others.Demands, relay.Demand{DemandKey: key, KV: kv})
		}
	}
	return others
}

// Send implements Backends.
func (c *classLab) Send(ctx context.Context, o *Outgoing) (*Answer, error) {
	if at := c.fullHop(o.Path); at != "" {
		return &Answer{Status: http.StatusServiceUnavailable, Signed: true, Header: http.Header{}, NotRun: true, AtFault: at, Body: io.NopCloser(http.NoBody)}, nil
	}
	return c.lab.Send(ctx, o)
}

// fullHop returns the address of a hop of a path that has no memory for another stream, ""
// for none. Streams count with their mean size.
func (c *classLab) fullHop(p site.Path) string {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	used := make([]float64, len(p)) // by hop, in layers of streams
	for _, s := range c.streams {
		s.mu.Lock()
		for _, h := range s.path {
			for i := range p {
				if p[i].Server.ID == h.Server.ID {
					used[i] += float64(h.Layers.Len())
				}
			}
		}
		s.mu.Unlock()
	}
	size := pipeline.TypicalRequest(c.engine).Mean()
	for i, h := range p {
		if size*(used[i]+float64(h.Layers.Len())) > c.engine.KVCapacity(h.Server.Kind, h.Server.Held.Len()) {
			return h.Server.Address
		}
	}
	return ""
}

// log writes a table of the result.
func (r *classResult) log(t *testing.T) {
	t.Helper()
	for p := range classes {
		all, peak := r.all(p), &r.peak[p]
		t.Logf("priority %d: asked %d, in time %.3f (%.3f of %d in the peak), late %d, refused %d, cut %d, slowest refusal %v, retry after %s",
			p, all.asked, all.inTimeShare(), peak.inTimeShare(), peak.asked, all.late, all.refused, all.cut, all.slowestRefusal, describe(all.retryAfter))
	}
}

// describe returns the least, middle and largest of some times.
func describe(times []time.Duration) string {
	if len(times) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(times))
	round := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	return fmt.Sprintf("%v, %v, %v", round(sorted[0]), round(sorted[len(sorted)/2]), round(sorted[len(sorted)-1]))
}
