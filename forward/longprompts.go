package forward

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// longPrompts holds the mix of prompts and the paths of long prompts of each service. See
// pipeline.LongPlan. It is safe for concurrent use.
type longPrompts struct {
	mu        sync.Mutex
	byService map[string]*longService
}

// longService is the state of one service.
type longService struct {
	mix     pipeline.PromptMix
	running int                // own requests in flight
	plan    *pipeline.LongPlan // replaced, not changed
	view    *inventory.View
	usable  int
	slow    int       // version of the slowdowns, see conditions.slowVersion
	at      time.Time // when the plan was computed
}

// longPlanInterval is the time after which the paths of long prompts are recomputed for a changed
// demand. Changes of the backend servers apply after minSplitInterval, as for a split.
const longPlanInterval = 5 * time.Second

// placement states how the path of a request was selected, for the log.
type placement string

const (
	placedShared   placement = ""         // all requests share all paths
	placedLong     placement = "long"     // on the paths of long prompts
	placedShort    placement = "short"    // on the other paths
	placedOverflow placement = "overflow" // on any path, as its own ones had no capacity
)

func newLongPrompts() *longPrompts { return &longPrompts{byService: map[string]*longService{}} }

// begin counts a request in the mix of prompts. The returned function must be called at its end.
func (l *longPrompts) begin(service string, e *site.Engine, req *Request, now time.Time) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byService[service]
	if s == nil {
		s = &longService{plan: &pipeline.LongPlan{}}
		l.byService[service] = s
	}
	s.mix.Add(e, req.Prompt, req.Route.Objective, s.running, now)
	s.running++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.running--
	}
}

// longPlan returns the paths of the long prompts of a service, nil if there are none.
func (f *Forwarder) longPlan(service string, e *site.Engine, view *inventory.View, now time.Time) *pipeline.LongPlan {
	f.longPrompts.mu.Lock()
	defer f.longPrompts.mu.Unlock()
	s := f.longPrompts.byService[service]
	if s == nil {
		return nil
	}
	f.renewLongPlan(s, service, e, view, now)
	if !s.plan.Active() {
		return nil
	}
	return s.plan
}

// longPlan returns the paths of the long prompts of the service, nil if there are none. A preview
// takes them as they were computed last.
func (r *run) longPlan(view *inventory.View, now time.Time) *pipeline.LongPlan {
	if r.preview == nil {
		return r.f.longPlan(r.req.Service, r.engine, view, now)
	}
	r.f.longPrompts.mu.Lock()
	defer r.f.longPrompts.mu.Unlock()
	if s := r.f.longPrompts.byService[r.req.Service]; s != nil && s.plan.Active() {
		return s.plan
	}
	return nil
}

// renewLongPlan recomputes the paths of long prompts if they are outdated.
func (f *Forwarder) renewLongPlan(s *longService, service string, e *site.Engine, view *inventory.View, now time.Time) {
	if !s.mix.Active(now) {
		if s.plan.Active() {
			f.setLongPlan(s, service, pipeline.LongPlan{Reason: pipeline.ReasonNoDemand}, pipeline.LongDemand{})
		}
		s.at = time.Time{}
		return
	}
	since := now.Sub(s.at)
	if since < minSplitInterval {
		return
	}
	all := f.usableServers(view, service, e, now)
	slow := f.loads.conditions.slowVersion()
	if s.view == view && s.usable == len(all) && s.slow == slow && since < longPlanInterval {
		return
	}
	s.view, s.usable, s.slow, s.at = view, len(all), slow, now
	d := s.mix.Demand(f.fleet.Daemons(), now)
	inFlight := max(f.requestsInFlight(all, now), s.mix.InFlight(f.fleet.Daemons(), now))
	f.setLongPlan(s, service, pipeline.PlanLongPrompts(e, all, d, inFlight, s.plan), d)
}

// setLongPlan replaces the paths of long prompts and logs them if they change. They change at most
// every minSplitInterval.
func (f *Forwarder) setLongPlan(s *longService, service string, plan pipeline.LongPlan, d pipeline.LongDemand) {
	if plan.Equal(s.plan) && plan.Reason == s.plan.Reason {
		return // the split that was computed for the previous value still applies
	}
	s.plan = &plan
	paths := ""
	for i, p := range plan.Paths[:min(len(plan.Paths), maxLoggedPaths)] {
		if i > 0 {
			paths += " "
		}
		paths += p.String()
	}
	f.log.Add("long_prompts", "service", service, "paths", len(plan.Paths), "reason", plan.Reason, "load", int(100*plan.Load),
		"long_per_s", math.Round(100*d.PerSecond)/100, "tokens", int(d.Tokens), "on", paths)
}

// longHoldShare is the fraction of its objective for which a long prompt waits for capacity on its
// paths before it takes any. Each long prompt on another path delays the short ones there: a
// few in a hundred suffice for a p99 above their bound.
const longHoldShare = 0.25

func longPathHold(objective time.Duration) time.Duration {
	return time.Duration(longHoldShare * float64(objective))
}

// maxLoggedPaths bounds the paths in one log line.
const maxLoggedPaths = 4

// chooseByLength returns a path among those for prompts of the request's length; ok is false if
// they have no capacity, or if prompts share all paths. A request that was sent before takes any
// path: it was refused or interrupted on its own, and has few attempts.
func (r *run) chooseByLength(q *pipeline.Query, view *inventory.View, cs []pipeline.Candidate, now time.Time, rng *rand.Rand) (c pipeline.Choice, ok bool) {
	r.placement, r.awaitsPath = placedShared, false
	plan := r.longPlan(view, now)
	if plan == nil {
		return pipeline.Choice{}, false
	}
	if r.sends > 0 {
		r.placement = placedOverflow
		return pipeline.Choice{}, false
	}
	part := shortPart
	r.placement = placedShort
	if pipeline.IsLongPrompt(r.engine, q.Tokens.Prompt) {
		part, r.placement = longPart, placedLong
	}
	own := cs[:plan.Partition(cs, part == longPart)]
	if c, ok := r.nextOfSplit(q, view, own, now, plan, part); ok {
		return c, true
	}
	if c, err := pipeline.Choose(q, own, rng); err == nil {
		return c, true
	}
	r.awaitsPath = part == longPart && boottime.Since(r.req.Received) < longPathHold(r.req.Route.Objective)
	r.placement = placedOverflow
	return pipeline.Choice{}, false
}
