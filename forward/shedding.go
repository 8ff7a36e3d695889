package forward

import (
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/shedding"
)

// shedders holds the state of load shedding of each service whose routes have different
// priorities. It is safe for concurrent use.
type shedders struct {
	mu        sync.Mutex
	byService map[string]*shedder
}

// shedder is the state of load shedding of one service.
type shedder struct {
	rng     *rand.PCG // of gate and returns
	meter   *shedding.Meter
	gate    *shedding.Gate
	returns *shedding.Returns
	shares  *shedding.FairShares
	state   shedding.State // for which the fractions were computed last

	// Estimates that state follows from.
	history  shedding.History
	hold     shedding.HoldRatio
	spread   shedding.HoldSpread
	accepted shedding.Acceptance

	at     time.Time // when they were computed
	logged map[shedding.Class]float64
}

// shedInterval is the least time between two computations of the fractions of a service. Demands of
// other daemons arrive every 0.1 s, the usage by this daemon changes with each request.
const shedInterval = 100 * time.Millisecond

func newShedders() *shedders { return &shedders{byService: map[string]*shedder{}} }

func (s *shedders) of(service string) *shedder {
	sh := s.byService[service]
	if sh == nil {
		sh = newShedder()
		s.byService[service] = sh
	}
	return sh
}

func newShedder() *shedder {
	rng := rand.NewPCG(rand.Uint64(), rand.Uint64())
	random := rand.New(rng).Float64
	return &shedder{
		rng: rng, meter: shedding.NewMeter(), gate: shedding.NewGate(random), returns: shedding.NewReturns(random), shares: shedding.NewFairShares(),
		logged: map[shedding.Class]float64{},
	}
}

// urgency returns the class of the request. Requests of a workspace without a priority have that
// of their route.
func (r *run) urgency() shedding.Class { return shedding.ClassOf(r.priority(), r.req.Route.Priority) }

// sheds reports whether load shedding applies to the requests of the service of this one.
func (r *run) sheds(view *inventory.View) bool {
	return r.engine != nil && view.Config.Prioritizes(r.req.Service)
}

// shed refuses a new request whose class is over its share of the capacity. Callers of begun
// streams have events already and are not refused.
func (r *run) shed() error {
	view := r.f.inv.View()
	if !r.maybeShed(view) {
		return nil
	}
	now, s := time.Now(), r.f.shedders
	s.mu.Lock()
	sh := s.of(r.req.Service)
	if r.f.renewFractions(sh, r.req.Service, r.engine, view, now) {
		r.f.logFractions(sh, r.req.Service, now)
	}
	d := r.decideShed(sh, now)
	s.mu.Unlock()
	r.admitted = d.admitted
	if d.admitted {
		return nil
	}
	r.logShed(&d)
	return d.refusal()
}

// maybeShed reports whether load shedding applies to this request. It does not to retries within the
// daemon and to streams whose callers have events.
func (r *run) maybeShed(view *inventory.View) bool {
	return r.sends == 0 && !r.headSent.Load() && r.req.LastEvent == "" && r.sheds(view)
}

// shedDecision is the decision of load shedding on a request.
type shedDecision struct {
	class    shedding.Class
	fraction float64 // of the class
	share    float64 // fraction of the workspace as a multiple of that of the class
	admitted bool
	after    time.Duration // Retry-After of a refused request, 0 for none
}

func (d *shedDecision) refusal() error {
	return apierror.New(apierror.Overloaded, "%.2f of the requests of class %d are admitted", d.fraction, d.class).WithRetryAfter(d.stated())
}

// stated returns the Retry-After that the caller is told.
func (d *shedDecision) stated() time.Duration {
	if d.after <= 0 {
		return apierror.NoRetryAfter
	}
	return d.after
}

// decideShed counts the request in the demand and decides on it.
func (r *run) decideShed(sh *shedder, now time.Time) shedDecision {
	class, tokens := r.urgency(), estimateTokens(r.req, r.engine)
	kv := tokens.Mean() * float64(r.engine.Layers)
	sh.meter.Add(class, kv, now)
	sh.shares.Add(class, r.workspaceName(), kv, now)
	d := shedDecision{class: class, fraction: sh.gate.Fraction(class)}
	d.share = sh.shares.Multiple(class, r.workspaceName(), d.fraction, now)
	d.admitted = sh.gate.Admit(class, d.share, now)
	if !d.admitted {
		d.after = r.nextReturn(sh, &d, now)
	}
	r.reserve = sh.state.Reserve(class)
	return d
}

// errReserved is the cause of the refusal of a request that may use only memory which is
// reserved for more urgent ones.
var errReserved = errors.New("forward: the free memory is reserved for more urgent requests")

// refuseReserved returns the refusal of a new request that finds no path within its reserve.
func (r *run) refuseReserved(now time.Time) error {
	d := r.decideReturn(now)
	if r.preview == nil {
		r.logShed(&d)
	}
	return apierror.Wrap(apierror.Overloaded, errReserved).WithRetryAfter(d.stated())
}

// decideReturn returns when the caller of a request that found no capacity should return.
func (r *run) decideReturn(now time.Time) shedDecision {
	s := r.f.shedders
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := s.of(r.req.Service)
	if r.preview != nil {
		sh = sh.clone()
	}
	d := shedDecision{class: r.urgency(), share: 1}
	d.fraction = sh.gate.Fraction(d.class)
	d.after = r.nextReturn(sh, &d, now)
	return d
}

func (r *run) logShed(d *shedDecision) {
	r.f.observer.Shed(int(d.class))
	r.f.log.Add("shed", "request", r.req.ID, "service", r.req.Service, "class", int(d.class), "workspace", r.workspaceName(),
		"fraction", math.Round(100*d.fraction)/100, "share", math.Round(100*d.share)/100, "reserve", math.Round(100*r.reserve)/100,
		"retry_after", d.after.Round(time.Millisecond))
}

// maxReturnDivisor is the part of its remaining time that a caller waits before it returns: a
// third. Callers ignore a longer Retry-After.
const maxReturnDivisor = 3

// nextReturn returns after which time the caller of this refused request should return.
func (r *run) nextReturn(sh *shedder, d *shedDecision, now time.Time) time.Duration {
	return sh.returns.Next(d.class, d.fraction*sh.meter.Rate(d.class, now), boottime.Until(r.deadline)/maxReturnDivisor, now)
}

func (r *run) workspaceName() string {
	if r.req.Workspace == nil {
		return ""
	}
	return r.req.Workspace.Name
}

// clone returns a copy that changes independently, but for what was logged. It draws the same
// random numbers.
func (sh *shedder) clone() *shedder {
	c, rng := *sh, *sh.rng
	random := rand.New(&rng).Float64
	c.rng, c.meter, c.shares = &rng, sh.meter.Clone(), sh.shares.Clone()
	c.gate, c.returns, c.history = sh.gate.Clone(random), sh.returns.Clone(random), sh.history.Clone()
	return &c
}

// previewShed returns the decision of shed on this request and the state that leads to it. It
// changes nothing.
func (r *run) previewShed(view *inventory.View, now time.Time) (shedDecision, shedding.State) {
	s := r.f.shedders
	s.mu.Lock()
	sh := s.byService[r.req.Service]
	if sh == nil {
		sh = newShedder()
	}
	sh = sh.clone()
	s.mu.Unlock()
	r.f.renewFractions(sh, r.req.Service, r.engine, view, now)
	return r.decideShed(sh, now), sh.state
}

// logThreshold is the change of a fraction from which it is logged.
const logThreshold = 0.1

func (f *Forwarder) logFractions(sh *shedder, service string, now time.Time) {
	total := 0.0
	for _, d := range sh.state.Demands {
		total += d.KV
	}
	for _, d := range sh.state.Demands {
		part := sh.gate.Fraction(d.Class)
		before, known := sh.logged[d.Class]
		if !known {
			before = 1
		}
		if math.Abs(part-before) < logThreshold {
			continue
		}
		sh.logged[d.Class] = part
		f.observer.AdmittedFraction(int(d.Class), part)
		f.log.Add("shedding", "service", service, "class", int(d.Class), "fraction", math.Round(100*part)/100,
			"demand", int(d.KV), "demand_all", int(total), "in_use", int(sh.state.InUse), "capacity", int(sh.state.Capacity),
			"hold", sh.state.Hold.Full.Round(time.Millisecond))
	}
}

// ownDemands returns the demand of this daemon's callers at all services.
func (f *Forwarder) ownDemands() []relay.Demand {
	now := time.Now()
	s := f.shedders
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []relay.Demand
	for service, sh := range s.byService {
		hash := relay.ServiceHash(service)
		for _, d := range sh.meter.Demands(now) {
			out = append(out, relay.Demand{DemandKey: relay.DemandKey{Service: hash, Class: uint8(d.Class)}, KV: d.KV})
		}
	}
	return out
}
