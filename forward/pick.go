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

// pick finds a target. Where there is none the request is held if it is known when
// that may change.
func (r *run) pick(ctx context.Context) (*target, error) {
	began := time.Now()
	var until time.Time
	for {
		t, err := r.find()
		if err == nil && r.permit(ctx, t) {
			return t, nil
		}
		if err == nil {
			continue // without the one that has no room
		}
		now := time.Now()
		if until.IsZero() {
			until = r.holdUntil(began, now)
		}
		if !now.Before(until) || !wait.For(ctx, holdStep) {
			if ctx.Err() != nil {
				return nil, r.ended(ctx)
			}
			if errors.Is(err, errLimits) {
				r.f.observe.LimitReached()
			}
			return nil, r.sayWhen(err, now)
		}
	}
}

// find looks for a target once.
func (r *run) find() (*target, error) {
	now := time.Now()
	view := r.f.inv.View()
	cs := r.f.candidates(view, r.req.Service, r.engine, now)
	if r.attemptsUsed() {
		cs = r.onlyTried(cs)
	}
	cs, back := r.withRoom(cs)
	t, err := r.findAmong(cs, view, now)
	if err != nil && !back.IsZero() {
		return nil, r.limitReached(err, back, now)
	}
	return t, err
}

// findAmong looks for a target among some backend servers.
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
			return nil, r.pipesFull(full, now)
		}
	}
	return &target{path: c.Path, choice: c, tokens: q.Tokens.Mean()}, nil
}

// choose takes the path whose turn it is by the split of the fleet's load, else the
// cheapest one.
func (r *run) choose(q *pipeline.Query, view *inventory.View, cs []pipeline.Candidate, now time.Time) (pipeline.Choice, error) {
	if c, ok := r.f.next(q, r.req.Service, view, cs, now); ok {
		return c, nil
	}
	return pipeline.Choose(q, cs, newRand())
}

// checkLayers asserts that a check of a path's layers found nothing.
func checkLayers(err error) error {
	return invariant.Check(err == nil, invariant.LayersOnceInOrder, "%v", err)
}

// attemptsUsed reports whether the request was sent to as many backend servers
// as it may be; those that have surely ended since do not count.
func (r *run) attemptsUsed() bool {
	return r.tried.living(r.f.surelyEnded) >= r.req.Route.MaxAttempts
}

// surelyEnded reports whether a backend server's process is gone: its record is gone, and
// nobody listened at its address or it looks dead. None of these is enough by itself, and
// streams went to more heads than they may be sent to by each: one whose record is gone may
// serve on, since it drains; one that looks dead may live; and a network that is cut may
// refuse connections for one that serves others.
func (f *Forwarder) surelyEnded(id string) bool {
	return f.inv.View().Servers[id] == nil && (f.health.Ended(id) || f.health.Dead(id, time.Now()))
}

// onlyTried keeps those candidates that may be a first hop only if they were
// already.
func (r *run) onlyTried(cs []pipeline.Candidate) []pipeline.Candidate {
	var out []pipeline.Candidate
	for _, c := range cs {
		if r.tried.has(c.Server.ID) || r.engine != nil && !c.Server.Held.Has(0) {
			out = append(out, c)
		}
	}
	return out
}

// findPlain picks the backend server of a plain service with the fewest
// requests in flight, one that was not tried before.
func (r *run) findPlain(cs []pipeline.Candidate) (*target, error) {
	var best *pipeline.Candidate
	bestCost := 0.0
	full := false
	for i := range cs {
		c := &cs[i]
		if r.tried.has(c.Server.ID) {
			continue // what it refused or failed just now it would again
		}
		refused := r.f.health.Cooling(c.Server.ID, time.Now())
		if c.Server.Slots > 0 && c.Load.Running >= 2*float64(c.Server.Slots) {
			full = true
			continue
		}
		cost := c.Load.Running / float64(max(1, c.Server.Slots))
		if c.Server.FailureDomain != r.f.opts.FailureDomain {
			cost += plainCrossCost
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

// plainCrossCost is what another failure domain costs, as a share of the slots:
// bytes between failure domains are paid for, waiting costs the caller.
const plainCrossCost = 0.35

// plainRefusedCost is what a refusal a moment ago costs: such a backend server is
// asked when no other is left.
const plainRefusedCost = 10
