package forward

import (
	"context"
	"errors"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/invariant"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// pick returns a target for the next send. If there is none, it polls until the time
// returned by holdUntil.
func (r *run) pick(ctx context.Context) (*target, error) {
	began := time.Now()
	var until time.Time
	for {
		t, err := r.find()
		if err == nil && r.permit(ctx, t) {
			return t, nil
		}
		if err == nil {
			continue // without the denied server
		}
		now := time.Now()
		if until.IsZero() {
			until = r.holdUntil(began, now)
		}
		if !now.Before(until) || !wait.For(ctx, pollInterval) {
			if ctx.Err() != nil {
				return nil, r.endError(ctx)
			}
			if errors.Is(err, errLimits) {
				r.f.observer.LimitReached()
			}
			return nil, r.withRetryAfter(err, now)
		}
	}
}

// find looks for a target once.
func (r *run) find() (*target, error) {
	now := time.Now()
	view := r.f.inv.View()
	cs := r.f.candidates(view, r.req.Service, r.engine, now)
	if r.attemptsExhausted() {
		cs = r.filterTried(cs)
	}
	cs, availableAt := r.withoutDenied(cs)
	t, err := r.findAmong(cs, view, now)
	if err != nil && !availableAt.IsZero() {
		return nil, r.limitReached(err, availableAt, now)
	}
	return t, err
}

// findAmong looks for a target among some candidates.
func (r *run) findAmong(cs []pipeline.Candidate, view *inventory.View, now time.Time) (*target, error) {
	if r.engine == nil {
		return r.findPlain(cs)
	}
	q := r.f.query(r.req, r.engine)
	c, err := r.choose(q, view, cs, now)
	if errors.Is(err, pipeline.ErrFull) {
		return nil, apierror.Wrap(apierror.Overloaded, err)
	}
	if err != nil {
		return nil, apierror.Wrap(apierror.NoRoute, err)
	}
	if err := checkLayers(c.Path.CheckTiling(r.engine.Layers)); err != nil {
		return nil, err
	}
	if !r.f.mayCross(r.engine, q.Tokens.Prompt, c.Path, now) {
		full := c.Path
		if c, err = pipeline.ChooseWithin(q, cs, newRand()); err != nil {
			return nil, r.linksFull(full, now)
		}
	}
	return &target{path: c.Path, choice: c, tokens: q.Tokens.Mean()}, nil
}

// choose returns the next path of the split of the fleet's load, or the cheapest path if
// no split is followed.
func (r *run) choose(q *pipeline.Query, view *inventory.View, cs []pipeline.Candidate, now time.Time) (pipeline.Choice, error) {
	if c, ok := r.f.nextBySplit(q, r.req.Service, view, cs, now); ok {
		return c, nil
	}
	return pipeline.Choose(q, cs, newRand())
}

// checkLayers asserts that a path's layers are in order, given the error of the check.
func checkLayers(err error) error {
	return invariant.Check(err == nil, invariant.LayersOnceInOrder, "%v", err)
}

// attemptsExhausted reports whether the request was sent to as many backend servers as
// its route allows. Those that have certainly terminated since do not count.
func (r *run) attemptsExhausted() bool {
	return r.tried.countActive(r.f.hasTerminated) >= r.req.Route.MaxAttempts
}

// hasTerminated reports whether the process of a backend server is certainly gone: its
// record is gone, and either connections were refused or it looks dead. None of these
// suffices alone: a server without a record may be draining, one that looks dead may be
// alive, and a partitioned network may refuse connections on behalf of a server that
// serves others.
func (f *Forwarder) hasTerminated(id string) bool {
	return f.inv.View().Servers[id] == nil && (f.health.Ended(id) || f.health.Dead(id, time.Now()))
}

// filterTried removes the candidates that could be a first hop, except those that were
// one before.
func (r *run) filterTried(cs []pipeline.Candidate) []pipeline.Candidate {
	var out []pipeline.Candidate
	for _, c := range cs {
		if r.tried.has(c.Server.ID) || r.engine != nil && !c.Server.Held.Has(0) {
			out = append(out, c)
		}
	}
	return out
}

// findPlain selects the backend server of a plain service with the fewest requests in
// flight among those not tried before.
func (r *run) findPlain(cs []pipeline.Candidate) (*target, error) {
	var best *pipeline.Candidate
	bestCost := 0.0
	full := false
	for i := range cs {
		c := &cs[i]
		if r.tried.has(c.Server.ID) {
			continue // it would refuse or fail the request again
		}
		refused := r.f.health.Cooling(c.Server.ID, time.Now())
		if c.Server.Slots > 0 && c.Load.Running >= 2*float64(c.Server.Slots) {
			full = true
			continue
		}
		cost := c.Load.Running / float64(max(1, c.Server.Slots))
		if c.Server.FailureDomain != r.f.opts.FailureDomain {
			cost += plainCrossDomainCost
		}
		if refused {
			cost += plainRefusedCost
		}
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

// plainCrossDomainCost is the cost of a server in another failure domain, as a fraction
// of its slots. It weighs paid traffic between failure domains against the caller's wait.
const plainCrossDomainCost = 0.35

// plainRefusedCost is the cost of a recent refusal. It exceeds all other costs, so that
// such a server is selected last.
const plainRefusedCost = 10
