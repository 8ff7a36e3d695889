package forward

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/stall"
)

// Inventory gives what is known of the site.
type Inventory interface {
	View() *inventory.View
	Age(now time.Time) time.Duration
	// Complete reports whether the configuration and all backend servers are known.
	Complete() bool
}

// Fleet tells how many daemons share the load.
type Fleet interface {
	Daemons() int // 0 while not known
	// Shares returns the part of the daemons in each failure domain.
	Shares() map[string]float64
}

// Observer counts what happens to requests.
type Observer interface {
	Finished(kind string, d time.Duration)
	FirstEvent(d time.Duration)
	Recovered(cause string, gap time.Duration)
	// LoadsAge is told how old the loads of the other daemons were as they came.
	LoadsAge(age time.Duration)
	// LoadsRefused is told how many loads were dropped as impossible.
	LoadsRefused(n int)
	// EndedUnder is told that a backend server ended while it may have run a request.
	EndedUnder()
	// HeldBack is told that a request is not sent because of that.
	HeldBack()
	// Limits is told how many limits of backend servers are known, as that changes.
	Limits(known int)
	// LimitReached is told that a request is refused since limits leave no room for it.
	LimitReached()
}

// Options are the settings of a forwarder.
type Options struct {
	FailureDomain string
	RetryRatio    float64 // retries of all daemons together, as a share of requests
	RetrySlack    float64 // retries beyond the ratio in a window, of all daemons
	RetryWindow   time.Duration
	// Restarted says that another process may have run here within the window, whose
	// retries count as well.
	Restarted bool
	// KeysFreshFor is how long after the last good read of the configuration keys
	// are still taken, 0 for ever.
	KeysFreshFor time.Duration
}

// Parts are what a forwarder works with.
type Parts struct {
	Inventory Inventory
	Fleet     Fleet
	Backends  Backends
	Log       *Log
	Observer  Observer
	// Stalls are those of this process, which no backend server is judged by; nil for none.
	Stalls *stall.Monitor
	// Quarantine is shared with the other daemons, nil for one of its own.
	Quarantine *quarantine.Book
	// Limits are those that backend servers have named, Sends what was sent to each, and
	// Permits gives permits; all nil for a daemon that shares limits with nobody.
	Limits  *quota.Limits
	Sends   *quota.Sends
	Permits Permits
}

// Forwarder carries requests. It is safe for concurrent use.
type Forwarder struct {
	opts       Options
	inv        Inventory
	fleet      Fleet
	backends   Backends
	log        *Log
	observe    Observer
	loads      *Loads
	health     *health.Cooldowns
	budget     *admission.Budget
	reports    *recent[Report]
	probes     *recent[struct{}]
	silences   *silences
	live       *liveStreams
	quarantine *quarantine.Book
	stalls     *stall.Monitor
	deadlines  *deadlines
	splits     *splits
	crossings  crossings
	limits     *quota.Limits
	sends      *quota.Sends
	permits    Permits
	denials    *quota.Denials

	started      time.Time    // earlier by a window where nothing ran before
	keysFreshFor atomic.Int64 // see Options
	requests     atomic.Int64
	crowded      atomic.Int64 // backend servers that were crowded when last told
}

// defaultRetryWindow is that of a site which sets none.
const defaultRetryWindow = 10 * time.Second

// cooldowns are the times for which a backend server gets no work. One that is
// full has room again after about as long as some request takes to end; the
// record of a dead one lapses after three heartbeats, a few seconds.
var cooldowns = health.CooldownConfig{Refused: 250 * time.Millisecond, Failed: 4 * time.Second, FailedMost: 8 * time.Second}

// New returns a forwarder.
func New(o Options, p Parts) *Forwarder {
	if o.RetryWindow <= 0 {
		o.RetryWindow = defaultRetryWindow
	}
	if p.Quarantine == nil {
		p.Quarantine = quarantine.NewBook(quarantine.DefaultPolicy)
	}
	if p.Limits == nil {
		p.Limits, p.Sends = quota.NewLimits(), quota.NewSends()
		p.Permits = alone{quota.NewPool(aloneName, p.Limits, p.Sends), aloneName}
	}
	f := &Forwarder{
		limits: p.Limits, sends: p.Sends, permits: p.Permits, denials: quota.NewDenials(), quarantine: p.Quarantine, stalls: p.Stalls, deadlines: newDeadlines(),
		started: time.Now(), opts: o, inv: p.Inventory, fleet: p.Fleet, log: p.Log, observe: p.Observer,
		loads: NewLoads(), health: health.NewCooldowns(cooldowns), budget: admission.NewBudget(o.RetryRatio, o.RetrySlack, o.RetryWindow),
		reports: newRecent[Report](reportAge), probes: newRecent[struct{}](probeAge), silences: newSilences(), live: newLiveStreams(), splits: newSplits(),
	}
	f.backends = metered{p.Backends, f}
	f.keysFreshFor.Store(int64(o.KeysFreshFor))
	f.loads.observe = f.noteLoadsAge
	f.loads.refused = f.noteRefusedLoads
	f.loads.noteConditions = f.noteConditions
	f.stalls.OnWake(f.wake)
	if !o.Restarted {
		f.started = f.started.Add(-o.RetryWindow)
	}
	return f
}

// InFlight returns the requests that are being carried.
func (f *Forwarder) InFlight() int { return f.loads.InFlight() }

// Loads returns the loads that this daemon causes and knows.
func (f *Forwarder) Loads() *Loads { return f.loads }

// SetBounds changes the bounds on retries and on the age of keys.
func (f *Forwarder) SetBounds(ratio, slack float64, keysFreshFor time.Duration) {
	f.budget.Set(ratio, slack)
	f.keysFreshFor.Store(int64(keysFreshFor))
}

// Failed reports whether a backend server looks dead to this daemon's requests.
func (f *Forwarder) Failed(id string) bool { return f.health.Dead(id, time.Now()) }

// Do carries a request and hands its answer to the sink. An error is an
// *apierror.Error whose statement about execution is true; if the sink has
// taken a head already, the answer must be cut off.
func (f *Forwarder) Do(ctx context.Context, req *Request, sink Sink) error {
	until := req.Deadline
	if t := req.Route.Timeout; t > 0 && req.Received.Add(t).Before(until) {
		until = req.Received.Add(t)
	}
	ctx, cancel := f.deadlines.with(ctx, until)
	defer cancel()
	if f.requests.Add(1)%forgetEvery == 0 {
		f.forget(f.inv.View().Servers)
	}
	f.loads.begin()
	defer f.loads.end()
	f.budget.Earn(time.Now())
	r := &run{
		f: f, req: req, sink: sink, until: until, lastEvent: req.LastEvent, print: req.Fingerprint(),
		life: execution.New(req.Route.Repeatable()),
	}
	err := r.admit(time.Now())
	if err == nil {
		err = r.serve(ctx)
	}
	f.finish(r, err)
	return err
}

// forgetEvery is the number of requests after which what is known of backend
// servers that are gone is forgotten.
const forgetEvery = 1000

func (f *Forwarder) forget(known map[string]*site.BackendServer) {
	f.loads.Prune(known)
	f.loads.conditions.prune(known)
	f.health.Prune(func(id string) bool { return known[id] != nil })
	f.reports.prune(known)
	f.probes.prune(known)
	f.silences.prune(known)
	f.quarantine.Forget(time.Now())
	there := func(id string) bool { return known[id] != nil }
	f.limits.Forget(there, boottime.Now())
	f.observe.Limits(f.limits.Size())
	f.sends.Forget(there)
}

func (f *Forwarder) finish(r *run, err error) {
	kind, detail := "whole", ""
	if err != nil {
		e := apierror.From(err)
		kind, detail = string(e.Kind), e.Error()
	}
	took := boottime.Since(r.req.Received)
	f.observe.Finished(kind, took)
	f.log.Add("finish", "request", r.req.ID, "fingerprint", r.print, "route", r.req.Route.Name, "service", r.req.Service, "result", kind,
		"attempts", r.sends, "last_event", r.lastEvent, "took", took.Round(time.Millisecond),
		"first_in", r.firstIn.Round(time.Millisecond), "longest_pause", r.longest.Round(time.Millisecond), "detail", detail)
}

// candidates returns the backend servers of a service that may take work, as
// the choice of a path sees them. They begin anywhere: of equals the first is
// taken, and daemons must not all take the same.
func (f *Forwarder) candidates(view *inventory.View, service string, engine *site.Engine, now time.Time) []pipeline.Candidate {
	daemons := float64(max(1, f.fleet.Daemons()))
	servers := view.OfService(service)
	out := make([]pipeline.Candidate, 0, len(servers))
	var waits map[string]time.Duration
	if engine != nil {
		waits = f.live.waits(now)
	}
	begin, wordCounts := rand.IntN(max(1, len(servers))), f.wordCounts(service, now)
	for i := range servers {
		s := servers[(begin+i)%len(servers)]
		if !f.takesWork(s, engine, now) {
			continue
		}
		if engine != nil && f.health.Cooling(s.ID, now) {
			continue
		}
		load := f.loads.Of(s.ID, daemons, now)
		if !wordCounts {
			load.Full = 0
		}
		load.WaitMS = max(0, float64(waits[s.ID]-queueFrom)/float64(time.Millisecond))
		out = append(out, pipeline.Candidate{Server: s, Load: load})
	}
	return out
}

// loadsUnknown reports whether this daemon knows little of what the others have sent, or
// their predecessors.
func (f *Forwarder) loadsUnknown(now time.Time) bool {
	return f.loads.newsAge(now) == 0 || now.Sub(f.started) < startUnknown
}

// wordCounts reports whether the word of a service's backend servers on their memory counts:
// where the loads are unknown, or the service's requests too few for each daemon to spread
// them by itself. Daemons that see many requests spread them evenly by what they have sent.
// The word is half a second old and the same for all, so that they all go to the same
// backend servers at once: at one and a half times the load of a site of six daemons that
// cost 0.03 of what was served in time.
func (f *Forwarder) wordCounts(service string, now time.Time) bool {
	return f.loadsUnknown(now) || f.splits.needed(service)
}

// takesWork reports whether a backend server may be on a path: it is not leaving,
// holds layers where the service has an engine, and is not known to have failed.
func (f *Forwarder) takesWork(s *site.BackendServer, engine *site.Engine, now time.Time) bool {
	return !s.Draining && (engine == nil || s.Held.Len() > 0) && !f.health.Dead(s.ID, now)
}

// queueFrom is the wait for a first event from which on it counts against a head:
// less is what reading a prompt takes. Loads that other daemons told are a second
// old; with what the own streams wait for, requests went to a head with all slots
// taken and 90 requests waiting for 12 s no more: served in time 0.844 instead of
// 0.836, worth 0.594 instead of 0.570 over three days of trouble at 59 daemons.
const queueFrom = 100 * time.Millisecond

// chooseJitter is the share by which costs vary at random: daemons that see the
// same loads, which are up to a second old, must not all choose the same path.
const chooseJitter = 0.25

func (f *Forwarder) query(req *Request, engine *site.Engine) *pipeline.Query {
	return &pipeline.Query{Engine: engine, Tokens: tokensOf(req, engine), Near: f.opts.FailureDomain, Jitter: chooseJitter}
}

// tokensOf estimates the size of a request: the caller's hint is right at the
// median only, so it counts half.
func tokensOf(req *Request, engine *site.Engine) pipeline.Tokens {
	t := pipeline.Usual(engine)
	if req.Prompt > 0 {
		t.Prompt = req.Prompt
	}
	if req.Hint > 0 {
		t.Answer = (t.Answer + req.Hint) / 2
	}
	if req.MaxAnswer > 0 {
		t.Answer = min(t.Answer, req.MaxAnswer)
	}
	return t
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
