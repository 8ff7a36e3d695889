package forward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/availability"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/liveness"
	"github.com/snowspoke/snowspoke/memory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/stall"
)

// Inventory provides the cached state of the site.
type Inventory interface {
	View() *inventory.View
	// Age returns the time since the configuration was last read.
	Age(now time.Time) time.Duration
	// Complete reports whether the configuration and all backend servers are known.
	Complete() bool
	// Confirmed reports whether the configuration was ever known to be current.
	Confirmed() bool
}

// Fleet provides the number and distribution of the daemons that share the load.
type Fleet interface {
	Daemons() int // 0 while unknown
	// Shares returns the fraction of the daemons in each failure domain.
	Shares() map[string]float64
}

// Observer receives the events that metrics count.
type Observer interface {
	// Finished reports the result and the duration of a request.
	Finished(kind string, d time.Duration)
	// FirstEvent reports the time from a request to its first event.
	FirstEvent(d time.Duration)
	// Recovered reports the end of an interruption of a stream, with the gap between
	// two events.
	Recovered(cause string, gap time.Duration)
	// LoadsAge reports the age of the other daemons' loads when they are received.
	LoadsAge(age time.Duration)
	// LoadsRefused reports the number of loads that were dropped as impossible.
	LoadsRefused(n int)
	// ServerEnded reports that a backend server ended while it may have run a request.
	ServerEnded()
	// ContactLost reports what became of a backend server with which contact was lost under a
	// request that had just begun.
	ContactLost(v liveness.Verdict)
	// Quarantined reports that a quarantined request was not sent.
	Quarantined()
	// Limits reports the number of known limits of backend servers.
	Limits(known int)
	// LimitReached reports that a request was refused because of limits.
	LimitReached()
	// Unavailable reports that a backend server has stated that it is paused or leaving.
	Unavailable(availability.State)
	// CallPrevented reports that a call was not made because the backend server is paused or
	// leaving.
	CallPrevented(availability.State)
	// Shed reports that a request of a class was refused because of the demand.
	Shed(class int)
	// AdmittedFraction reports the fraction of the requests of a class that is admitted.
	AdmittedFraction(class int, fraction float64)
	// HeaderIgnored reports a header about a backend server that has no effect.
	HeaderIgnored()
	// AnswerEnded reports the end of an answer that was broken off or is not delimited.
	AnswerEnded(f framing.Framing, complete bool)
}

// Options configures a Forwarder.
type Options struct {
	FailureDomain string
	RetryRatio    float64 // retries of the fleet as a fraction of its requests
	RetrySlack    float64 // retries of the fleet allowed per window in addition to the ratio
	RetryWindow   time.Duration
	// Restarted is set if a previous process may have used retries within the window.
	Restarted bool
	// MaxKeyAge is the maximum age of the configuration up to which its keys are
	// accepted, 0 for no maximum.
	MaxKeyAge time.Duration
	// AnswerBytes is the memory for buffered answers of more than memory.FreeBytes, 0 for that of
	// one largest answer.
	AnswerBytes int
}

// Dependencies holds the dependencies of a Forwarder.
type Dependencies struct {
	Inventory Inventory
	Fleet     Fleet
	Backends  Backends
	Log       *Log
	Observer  Observer
	// Stalls records when this process did not run. Such time does not count against
	// backend servers. nil for none.
	Stalls *stall.Monitor
	// Way returns how an address is reached, as far as is known. nil if that is not tracked.
	Way func(address string) detour.Way
	// Quarantine is shared with the other daemons, nil for a private registry.
	Quarantine *quarantine.Registry
	// TrialRank returns the position of this daemon in an order of all daemons that depends on
	// the key and is the same at all of them. nil for a single daemon.
	TrialRank func(key uint64) int
	// Limits holds the limits that backend servers have stated, Sends counts the calls
	// to each backend server, and Permits grants permits. All are nil for a daemon that
	// does not share limits.
	Limits  *quota.Limits
	Sends   *quota.Sends
	Permits Permits
}

// Forwarder forwards requests to backend servers. It is safe for concurrent use.
type Forwarder struct {
	opts         Options
	inv          Inventory
	fleet        Fleet
	backends     Backends
	permitted    metered // makes calls whose permits were taken before
	log          *Log
	observer     Observer
	loads        *Loads
	health       *health.Cooldowns
	budget       *admission.Budget
	reports      *resultCache[Report]
	probes       *resultCache[struct{}]
	healthChecks *resultCache[struct{}] // only used with getSince
	listens      *resultCache[struct{}] // only used with getSince
	ends         liveness.Watcher       // of backend servers with which contact was lost
	silences     *silences
	live         *liveStreams
	quarantine   *quarantine.Registry
	trialRank    func(key uint64) int // nil for a single daemon
	stalls       *stall.Monitor
	way          func(address string) detour.Way // nil if it is not tracked
	deadlines    *deadlines
	splits       *splits
	shedders     *shedders
	longPrompts  *longPrompts
	crossings    crossings
	targetDraws  *draws // of services among the targets of a route
	startDraws   *draws // of the order of candidates, see drawCandidates
	pathDraws    *draws // of the jitter of costs
	splitDraws   *draws // of the first credits of paths in a split
	limits       *quota.Limits
	sends        *quota.Sends
	permits      Permits
	denials      *quota.Denials
	trials       *limitTrials

	availability *availability.Table
	ignored      ignoredHeaders
	answers      *memory.Pool

	started   time.Time    // one window earlier if there was no previous process
	maxKeyAge atomic.Int64 // time.Duration, see Options.MaxKeyAge
	requests  atomic.Int64 // number of requests since the start
	saturated atomic.Int64 // number of saturated backend servers when conditions were last received
}

// defaultRetryWindow is used when Options.RetryWindow is not set.
const defaultRetryWindow = 10 * time.Second

// cooldowns are the times for which a backend server gets no new work. A full backend
// server has capacity again once one of its requests ends. The record of a dead one expires
// after three heartbeats, a few seconds.
var cooldowns = health.CooldownConfig{AfterRefusal: 250 * time.Millisecond, AfterFailure: 4 * time.Second, MaxAfterFailures: 8 * time.Second}

// New returns a Forwarder.
func New(o Options, d Dependencies) *Forwarder {
	if o.RetryWindow <= 0 {
		o.RetryWindow = defaultRetryWindow
	}
	if d.Quarantine == nil {
		d.Quarantine = quarantine.NewRegistry(quarantine.DefaultPolicy)
	}
	if d.Limits == nil {
		d.Limits, d.Sends = quota.NewLimits(), quota.NewSends()
		d.Permits = localPermits{quota.NewPool(localDaemonName, d.Limits, d.Sends), localDaemonName}
	}
	f := &Forwarder{
		way:    d.Way,
		limits: d.Limits, sends: d.Sends, permits: d.Permits, denials: quota.NewDenials(), trials: newLimitTrials(), quarantine: d.Quarantine, trialRank: d.TrialRank, stalls: d.Stalls, deadlines: newDeadlines(),
		started: time.Now(), opts: o, inv: d.Inventory, fleet: d.Fleet, log: d.Log, observer: d.Observer,
		loads: NewLoads(), health: health.NewCooldowns(cooldowns), budget: admission.NewBudget(o.RetryRatio, o.RetrySlack, o.RetryWindow),
		reports: newResultCache[Report](reportAge), probes: newResultCache[struct{}](probeAge), healthChecks: newResultCache[struct{}](0), listens: newResultCache[struct{}](0), silences: newSilences(), live: newLiveStreams(), splits: newSplits(), shedders: newShedders(), longPrompts: newLongPrompts(),
		availability: availability.NewTable(), answers: memory.NewPool(cmp.Or(max(0, o.AnswerBytes), maxAnswerBytes)),
		targetDraws: newDraws(), startDraws: newDraws(), pathDraws: newDraws(), splitDraws: newDraws(),
	}
	f.permitted = metered{d.Backends, f}
	f.backends = f.permitted
	f.maxKeyAge.Store(int64(o.MaxKeyAge))
	f.loads.ownDemands, f.loads.onDemands = f.ownDemands, f.renewAllFractions
	f.loads.onAge = f.noteLoadsAge
	f.loads.onRefused = f.noteRefusedLoads
	f.loads.onConditions = f.noteConditions
	f.stalls.OnWake(f.onWake)
	if !o.Restarted {
		f.started = f.started.Add(-o.RetryWindow)
	}
	return f
}

// InFlight returns the number of requests in progress.
func (f *Forwarder) InFlight() int { return f.loads.InFlight() }

// Loads returns the loads that this daemon causes and those received from others.
func (f *Forwarder) Loads() *Loads { return f.loads }

// SetBounds changes the retry ratio, the retry slack and the maximum key age. See Options.
func (f *Forwarder) SetBounds(ratio, slack float64, maxKeyAge time.Duration) {
	f.budget.Set(ratio, slack)
	f.maxKeyAge.Store(int64(maxKeyAge))
}

// Failed reports whether this daemon considers a backend server dead.
func (f *Forwarder) Failed(id string) bool { return f.health.Dead(id, time.Now()) }

// Leaving reports whether a backend server has stated that it is leaving. Its record may
// still call it ready.
func (f *Forwarder) Leaving(id string) bool {
	return f.availability.Leaving(id)
}

// NoteReachable records that connections to an address succeed again.
func (f *Forwarder) NoteReachable(address string) {
	for _, s := range f.inv.View().Servers {
		if s.Address == address {
			f.health.Recover(s.ID)
			f.log.Add("health", "server", s.ID, "address", address, "state", "reachable")
		}
	}
}

// Do forwards a request and writes its answer to the sink. Its errors are of type
// *apierror.Error and state whether the request ran. If Sink.Head was called before an
// error, the caller's connection must be cut.
func (f *Forwarder) Do(ctx context.Context, req *Request, sink Sink) error {
	r := f.newRun(req, sink)
	ctx, cancel := f.deadlines.withDeadline(ctx, r.deadline)
	defer cancel()
	if f.requests.Add(1)%pruneInterval == 0 {
		f.prune(f.inv.View().Servers)
	}
	f.loads.begin()
	defer f.loads.end()
	f.budget.Earn(time.Now())
	err := r.admit(ctx)
	if err == nil {
		err = r.serve(ctx)
	}
	f.finish(r, err)
	return err
}

// newRun returns the state of a request that was not sent yet.
func (f *Forwarder) newRun(req *Request, sink Sink) *run {
	deadline := req.Deadline
	if t := req.Route.Timeout; t > 0 && req.Received.Add(t).Before(deadline) {
		deadline = req.Received.Add(t)
	}
	return &run{
		f: f, req: req, sink: sink, deadline: deadline, lastEvent: req.LastEvent, guard: quarantine.NewGuard(f.quarantine, req.Fingerprint(), req.Service, req.Parts),
		tracker: execution.New(req.Route.Repeatable()),
	}
}

// pruneInterval is the number of requests between two calls of prune.
const pruneInterval = 1000

// prune removes the state of backend servers that are gone, and expired entries of the
// quarantine.
func (f *Forwarder) prune(known map[string]*site.BackendServer) {
	f.loads.Prune(known)
	f.loads.conditions.prune(known)
	f.health.Prune(func(id string) bool { return known[id] != nil })
	f.reports.prune(known)
	f.probes.prune(known)
	f.healthChecks.prune(known)
	f.listens.prune(known)
	f.silences.prune(known)
	f.trials.prune(known)
	f.quarantine.Forget(time.Now())
	exists := func(id string) bool { return known[id] != nil }
	f.limits.Forget(exists, boottime.Now())
	f.observer.Limits(f.limits.Size())
	f.sends.Forget(exists)
	f.availability.Forget(exists, time.Now())
}

func (f *Forwarder) finish(r *run, err error) {
	kind, detail := "whole", ""
	if err != nil {
		e := apierror.From(err)
		kind, detail = string(e.Kind), e.Error()
	}
	took := boottime.Since(r.req.Received)
	f.observer.Finished(kind, took)
	f.log.Add("finish", "request", r.req.ID, "fingerprint", r.guard.Content(), "parts", partsLabel(r.req.Parts), "route", r.req.Route.Name, "service", r.req.Service, "result", kind,
		"attempts", r.sends, "last_event", r.lastEvent, "took", took.Round(time.Millisecond),
		"first_in", r.firstEventAfter.Round(time.Millisecond), "longest_pause", r.longestPause.Round(time.Millisecond), "detail", detail)
}

// candidates returns the backend servers of a service that may take work, with their
// loads. The list starts at a random server: of equal candidates the first one is
// selected, and daemons must not all select the same server.
func (f *Forwarder) candidates(view *inventory.View, service string, engine *site.Engine, now time.Time) []pipeline.Candidate {
	return f.drawCandidates(view, service, engine, now, newRand(), func(*site.BackendServer, time.Time) bool { return false })
}

// drawCandidates is candidates with the source of the random start, and with servers that are
// cooling down if ignoresRefusal holds for them.
func (f *Forwarder) drawCandidates(
	view *inventory.View, service string, engine *site.Engine, now time.Time, rng *rand.Rand, ignoresRefusal func(*site.BackendServer, time.Time) bool,
) []pipeline.Candidate {
	daemons := float64(max(1, f.fleet.Daemons()))
	servers := view.OfService(service)
	out := make([]pipeline.Candidate, 0, len(servers))
	var waits map[string]time.Duration
	if engine != nil {
		waits = f.live.firstEventWaits(now)
	}
	start, useReportedMemory := rng.IntN(max(1, len(servers))), f.useReportedMemory(service, now)
	for i := range servers {
		s := servers[(start+i)%len(servers)]
		if !f.isUsable(s, engine, now) {
			continue
		}
		if engine != nil && f.health.Cooling(s.ID, now) && !ignoresRefusal(s, now) || f.isPaused(s.ID, now) {
			continue
		}
		load := f.loads.Of(s.ID, daemons, now)
		if !useReportedMemory {
			load.MemoryUsed = 0
		}
		load.WaitMS = max(0, float64(waits[s.ID]-queueWaitThreshold)/float64(time.Millisecond))
		out = append(out, pipeline.Candidate{Server: s, Load: load})
	}
	return out
}

// loadsUnknown reports whether the loads caused by other daemons or by previous processes
// are unknown.
func (f *Forwarder) loadsUnknown(now time.Time) bool {
	return f.loads.othersLoadAge(now) == 0 || now.Sub(f.started) < startupGrace
}

// useReportedMemory reports whether the selection of paths considers the memory usage that
// backend servers report. It does if the loads of other daemons are unknown, or if each daemon
// handles too few requests to spread them by their load. Otherwise the reports would do harm: they are
// half a second old and the same for all daemons, so that all daemons would select the same
// backend servers at once.
func (f *Forwarder) useReportedMemory(service string, now time.Time) bool {
	return f.loadsUnknown(now) || f.splits.needed(service)
}

// isUsable reports whether a backend server may be part of a path: it is not draining or
// leaving, holds layers if the service has an engine, and is not known to have failed.
func (f *Forwarder) isUsable(s *site.BackendServer, engine *site.Engine, now time.Time) bool {
	return !s.Draining && !f.Leaving(s.ID) && (engine == nil || s.Held.Len() > 0) && !f.health.Dead(s.ID, now)
}

// isLeaving reports whether the end of a backend server is planned, or its record is gone.
func (f *Forwarder) isLeaving(id string) bool {
	s := f.inv.View().Servers[id]
	return s == nil || s.Draining || f.Leaving(id)
}

// isPaused reports whether a backend server wants no calls from this daemon now.
func (f *Forwarder) isPaused(id string, now time.Time) bool {
	return f.availability.Of(id, now).IsPaused()
}

// countPaused returns the number of paused backend servers of a service, and of all of it.
func (f *Forwarder) countPaused(view *inventory.View, service string, now time.Time) (paused, all int) {
	servers := view.OfService(service)
	for _, s := range servers {
		if f.isPaused(s.ID, now) {
			paused++
		}
	}
	return paused, len(servers)
}

// queueWaitThreshold is the wait for a first event above which the rest of the wait adds to
// the cost of a head. Shorter waits are normal while a prompt is processed. The waits of
// this daemon's own streams are more recent than the loads received from other daemons.
const queueWaitThreshold = 100 * time.Millisecond

// costJitter is the maximum random increase of a hop's cost, as a fraction. Daemons with
// the same known loads must not all select the same path.
const costJitter = 0.25

func (f *Forwarder) query(req *Request, engine *site.Engine) *pipeline.Query {
	return &pipeline.Query{Engine: engine, Tokens: estimateTokens(req, engine), Near: f.opts.FailureDomain, Jitter: costJitter}
}

// maxHintFactor bounds the caller's hint, as a multiple of the typical answer, which counts with at
// least minHintBase tokens. Without a bound a hint alone, which commits the caller to nothing,
// could make a request too large for every path.
const (
	maxHintFactor = 100
	minHintBase   = 100
)

// estimateTokens estimates the size of a request. The caller's hint is accurate only at
// the median, so it is averaged with the typical answer.
func estimateTokens(req *Request, engine *site.Engine) pipeline.Tokens {
	t := pipeline.TypicalRequest(engine)
	if req.Prompt > 0 {
		t.Prompt = req.Prompt
	}
	if req.Hint > 0 {
		t.Answer = (t.Answer + min(req.Hint, maxHintFactor*max(minHintBase, t.Answer))) / 2
	}
	if req.MaxAnswer > 0 {
		t.Answer = min(t.Answer, req.MaxAnswer)
	}
	return t
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
