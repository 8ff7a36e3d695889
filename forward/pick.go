package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/invariant"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// pick returns a target for the next send. If there is none, it polls for one until the
// time that holdUntil returns.
func (r *run) pick(ctx context.Context) (*target, error) {
	if err := r.checkQuarantine(ctx); err != nil {
		return nil, err
	}
	if err := r.shed(); err != nil {
		return nil, err
	}
	if t := r.limitTrial(ctx); t != nil {
		return t, nil
	}
	r.delaySuspect(ctx)
	began := time.Now()
	var until time.Time
	for {
		if err := r.checkQuarantine(ctx); err != nil {
			return nil, err
		}
		t, err := r.find(ctx)
		if r.awaitsPath && wait.For(ctx, pollInterval) {
			continue
		}
		if err == nil && r.permit(ctx, t) {
			return t, nil
		}
		if err == nil {
			continue // find skips the denied server
		}
		now := time.Now()
		if until.IsZero() {
			waits := r.waitsUntil()
			until = boottime.Later(r.holdUntil(began, now), waits)
			r.noPath = r.noPath || apierror.Is(err, apierror.NoRoute) && !waits.IsZero()
		}
		if !now.Before(until) || !wait.For(ctx, pollInterval) {
			if ctx.Err() != nil {
				return nil, r.endError(ctx)
			}
			if errors.Is(err, errLimits) {
				r.f.observer.LimitReached()
			}
			if apierror.Is(err, apierror.Quarantined) {
				r.noteReserved()
			}
			return nil, r.refusalOf(err, now)
		}
	}
}

// find returns a target among the backend servers that may take the request now.
func (r *run) find(ctx context.Context) (*target, error) {
	now := time.Now()
	view := r.f.inv.View()
	return r.findIn(r.options(ctx, view, now), view, now)
}

func (r *run) findIn(o options, view *inventory.View, now time.Time) (*target, error) {
	t, err := r.findAmong(o.candidates, view, now)
	if err != nil && o.reserved != nil {
		return nil, o.reserved
	}
	if err != nil && !o.deniedUntil.IsZero() {
		return nil, r.limitReached(err, o.deniedUntil, now)
	}
	if err != nil {
		return nil, r.withPauses(err, view, now)
	}
	return t, nil
}

// options are the backend servers that may take the request now.
type options struct {
	candidates  []pipeline.Candidate
	reserved    error     // see withoutReserved
	deniedUntil time.Time // see withoutDenied
}

func (r *run) options(ctx context.Context, view *inventory.View, now time.Time) options {
	var o options
	cs := r.f.drawCandidates(view, r.req.Service, r.engine, now, r.startDraw(), r.ignoresRefusal)
	cs, o.reserved = r.withoutReserved(ctx, cs, view, now)
	if r.attemptsExhausted() {
		cs = r.filterTried(cs)
	}
	o.candidates, o.deniedUntil = r.withoutDenied(cs)
	return o
}

// withPauses returns the refusal of a request without a target. If backend servers of the
// service are paused, it is Overloaded.
func (r *run) withPauses(err error, view *inventory.View, now time.Time) error {
	paused, _ := r.f.countPaused(view, r.req.Service, now)
	if paused == 0 {
		return err
	}
	return apierror.Wrap(apierror.Overloaded, fmt.Errorf("%d backend servers are paused: %w", paused, err))
}

// findAmong returns a target among some candidates.
func (r *run) findAmong(cs []pipeline.Candidate, view *inventory.View, now time.Time) (*target, error) {
	if r.engine == nil {
		return r.findPlain(cs)
	}
	q, rng := r.f.query(r.req, r.engine), r.pathDraw()
	if r.sends == 0 {
		q.Reserve = r.reserve
	}
	c, err := r.choose(q, view, cs, now, rng)
	if errors.Is(err, pipeline.ErrFull) && q.Reserve > 0 && !r.awaitsPath {
		return nil, apierror.Wrap(apierror.Overloaded, errReserved)
	}
	if errors.Is(err, pipeline.ErrFull) {
		return nil, apierror.Wrap(apierror.Overloaded, err)
	}
	if err != nil {
		return nil, apierror.Wrap(apierror.NoRoute, err)
	}
	if err := checkLayers(c.Path.CheckTiling(r.engine.Layers)); err != nil {
		return nil, err
	}
	if !r.f.cross(r.engine, q.Tokens.Prompt, c.Path, now, r.preview == nil) {
		full := c.Path
		if c, err = pipeline.ChooseWithin(q, cs, rng); err != nil {
			return nil, r.linksFull(full, now)
		}
	}
	return &target{path: c.Path, choice: c, tokens: q.Tokens.Mean()}, nil
}

// choose returns the next path of the split of the fleet's load, or the cheapest path if
// the requests of the service do not follow a split. Prompts of different lengths take different
// paths if they have capacity.
func (r *run) choose(q *pipeline.Query, view *inventory.View, cs []pipeline.Candidate, now time.Time, rng *rand.Rand) (pipeline.Choice, error) {
	if c, ok := r.chooseByLength(q, view, cs, now, rng); ok {
		return c, nil
	}
	if r.awaitsPath {
		return pipeline.Choice{}, pipeline.ErrFull
	}
	if c, ok := r.nextOfSplit(q, view, cs, now, nil, allParts); ok {
		return c, nil
	}
	if q.Reserve > 0 && r.f.splits.needed(r.req.Service) {
		// Paths beside the split would fill its hops unevenly.
		return pipeline.Choice{}, pipeline.ErrFull
	}
	return pipeline.Choose(q, cs, rng)
}

// nextOfSplit returns the next path of the split over a part, see nextBySplit. A preview does not
// change the split.
func (r *run) nextOfSplit(
	q *pipeline.Query, view *inventory.View, cs []pipeline.Candidate, now time.Time, plan *pipeline.LongPlan, p part,
) (pipeline.Choice, bool) {
	if r.preview != nil {
		return r.previewSplit(q, view, cs, now, plan, p)
	}
	return r.f.nextBySplit(q, r.req.Service, view, cs, now, plan, p)
}

// checkLayers asserts that the check of a path's layers returned no error.
func checkLayers(err error) error {
	return invariant.Check(err == nil, invariant.LayersOnceInOrder, "%v", err)
}

// attemptsExhausted reports whether the request was sent to as many first hops as its route
// allows. First hops that have certainly terminated since do not count.
func (r *run) attemptsExhausted() bool {
	return r.tried.countActive(r.f.hasTerminated) >= r.req.Route.MaxAttempts
}

// hasTerminated reports whether a backend server has certainly terminated: another process has
// its address, or its record is gone, and it has refused a connection or looks dead. Neither of
// the latter suffices alone. A server without a record may be draining, and a server that looks
// dead may be alive. In a partitioned network, connections may be refused on behalf of a server
// that still serves others.
func (f *Forwarder) hasTerminated(id string) bool {
	return f.health.Replaced(id) || f.inv.View().Servers[id] == nil && (f.health.Ended(id) || f.health.Dead(id, time.Now()))
}

// filterTried removes the candidates that would be a new first hop of the request.
func (r *run) filterTried(cs []pipeline.Candidate) []pipeline.Candidate {
	var out []pipeline.Candidate
	for _, c := range cs {
		if r.maySendTo(c.Server, true) {
			out = append(out, c)
		}
	}
	return out
}

// findPlain selects the backend server of a plain service with the lowest cost among
// those not tried before. The cost is the load per slot plus plainCrossDomainCost and
// plainRefusedCost where they apply.
func (r *run) findPlain(cs []pipeline.Candidate) (*target, error) {
	now := time.Now()
	var best *pipeline.Candidate
	bestCost := 0.0
	full := false
	for i := range cs {
		c := &cs[i]
		if r.tried.has(c.Server.ID) {
			continue // it would refuse or fail the request again
		}
		if r.f.plainFull(c, now) {
			full = true
			continue
		}
		cost := r.f.plainCost(c, now)
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best == nil {
		kind := apierror.NoRoute
		if full {
			kind = apierror.Overloaded
		}
		return nil, apierror.New(kind, "service %s: no backend server is free", r.req.Service)
	}
	return &target{path: site.Path{{Server: best.Server}}, tokens: 0}, nil
}

// plainFull reports whether a plain backend server is full.
func (f *Forwarder) plainFull(c *pipeline.Candidate, now time.Time) bool {
	fullAt := f.fullAt(c.Server, now)
	return fullAt > 0 && c.Load.Running >= fullAt
}

// plainCost returns the cost of a plain backend server, see findPlain.
func (f *Forwarder) plainCost(c *pipeline.Candidate, now time.Time) float64 {
	cost := c.Load.Running / float64(max(1, c.Server.Slots))
	if c.Server.FailureDomain != f.opts.FailureDomain {
		cost += plainCrossDomainCost
	}
	if f.health.Cooling(c.Server.ID, now) {
		cost += plainRefusedCost
	}
	return cost
}

// fullAt returns the number of requests in progress at which a plain backend server is full,
// 0 if there is none.
func (f *Forwarder) fullAt(s *site.BackendServer, now time.Time) float64 {
	if f.availability.Sheds(s.ID, now) {
		return float64(s.Slots)
	}
	return assumedQueue * float64(s.Slots)
}

// assumedQueue is the number of requests that a plain backend server is assumed to hold,
// running and queued, as a multiple of its slots.
const assumedQueue = 2

// plainCrossDomainCost is the extra cost of a server in another failure domain, as a
// fraction of its slots. It weighs billed traffic between failure domains against the
// caller's wait.
const plainCrossDomainCost = 0.35

// plainRefusedCost is the extra cost of a server that refused work recently. It exceeds all
// other costs of a server with slots, so that such a server is selected last.
const plainRefusedCost = 10
