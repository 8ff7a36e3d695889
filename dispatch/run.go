package dispatch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/routing"
	"github.com/snowspoke/snowspoke/topology"
)

// run is the state of one request. It is used from one goroutine.
type run struct {
	execution.Tracker
	d            *Dispatcher
	req          *Request
	sink         Sink
	began        time.Time
	snap         *topology.Snapshot
	model        *topology.Model
	class        topology.Class
	delivery     *Delivery
	prior        []int32 // tokens delivered so far
	attempt      int
	version      string // of the model, fixed by the first attempt
	route        topology.Route
	ticket       *ticket
	avoid        map[string]bool
	eventIDs     *Attempt
	kv           string // handle of a transferred KV cache for the next attempt
	finishReason string // finish reason given by the engine
	produced     bool   // the current attempt has produced a token
	moveVersion  uint64 // fleet version for which a move was last evaluated
	gap          health.Gap
	retryBackoff *backoff.ExponentialBackOff // between two searches for a route
	firstAt      time.Time                   // of the first token delivered
	lastAt       time.Time                   // of the last token delivered
	failedAt     time.Time                   // set while the stream is interrupted
	guard        *quarantine.Guard
	evidence     evidence // of the current attempt
	skipTo       int      // the caller already has the tokens below this index
}

// resolve sets the model, version and class of the request from the configuration
// in force.
func (r *run) resolve() error {
	snap := r.d.catalog.Snapshot()
	m := snap.Models[r.req.Model]
	if m == nil {
		return apierror.New(apierror.UnknownModel, "model %q", r.req.Model)
	}
	if !m.HasAdapter(r.req.Adapter) {
		return apierror.New(apierror.UnknownModel, "model %q has no adapter %q", r.req.Model, r.req.Adapter)
	}
	class, ok := snap.ClassOf(r.req.Workspace, r.req.Labels)
	if !ok {
		return apierror.New(apierror.Forbidden, "no rule of workspace %s admits labels %v", r.req.Workspace.Name, r.req.Labels)
	}
	r.snap, r.class = snap, class
	version := r.version // a stream stays on its first version
	if version == "" {
		_, version = r.d.planner.Serving(snap, class, m, r.req.Adapter)
	}
	if version != m.Version {
		other := *m
		other.Version = version
		m = &other
	}
	r.model = m
	return nil
}

// runAndFinish runs begin, releases the ticket and converts an error into one that
// correctly states whether the request ran.
func (r *run) runAndFinish(ctx context.Context, begin func(context.Context) error) (Outcome, error) {
	err := begin(ctx)
	if r.ticket != nil {
		r.d.gate.Release(r.ticket, r.delivery.Next(), r.req.MaxTokens)
	}
	r.d.observe.Dropped(r.delivery.drops)
	if err != nil {
		err = r.Answer(err)
	} else {
		r.d.gate.EarnRetry(r.req.Workspace.Name, r.model.Name)
	}
	err = r.d.finish(r.req, r.attempt, err, r.began)
	return Outcome{
		RequestID: r.req.ID, Version: r.version, Tokens: r.delivery.Next(),
		FinishReason: r.finishReason, Attempts: r.attempt + 1,
	}, err
}

// runNew admits the request and runs attempts until one completes.
func (r *run) runNew(ctx context.Context) error {
	if err := r.resolve(); err != nil {
		return err
	}
	r.boundTokens()
	if err := r.admitQuarantine(ctx); err != nil {
		return err
	}
	t, err := r.d.gate.Admit(ctx, r.req, r.model, r.key(), r.choose)
	if err != nil {
		return err
	}
	r.ticket = t
	r.useRoute(t.choice, decision.Route, "admitted after "+t.waited.Round(time.Microsecond).String())
	return r.runAttempts(ctx)
}

// defaultMaxTokens bounds an answer if neither the request nor the model does.
const defaultMaxTokens = 1024

// boundTokens limits the length of the answer to what the model allows.
func (r *run) boundTokens() {
	limit := r.model.MaxTokens
	if limit == 0 && r.req.MaxTokens == 0 {
		limit = defaultMaxTokens
	}
	if r.req.MaxTokens == 0 || limit > 0 && r.req.MaxTokens > limit {
		r.req.MaxTokens = limit
	}
}

func (r *run) key() routing.Key {
	return routing.Key{Class: r.class.Key, Model: r.model.Name, Version: r.model.Version, Adapter: r.req.Adapter}
}

func (r *run) binding() *routing.Binding {
	return r.d.planner.Plan(r.snap, r.class, r.model, r.req.Adapter)
}

// choose picks a route for new work under the configuration now in force.
func (r *run) choose(rng *rand.Rand) (routing.Choice, error) {
	if err := r.resolve(); err != nil {
		return routing.Choice{}, routing.ErrNoRoute
	}
	b := r.binding()
	return r.chooseIn(b, rng)
}

// chooseIn picks a route of a plan. The error is a *pausedError if only paused backend
// servers are left for some layers.
func (r *run) chooseIn(b *routing.Binding, rng *rand.Rand) (routing.Choice, error) {
	c, err := r.d.policy(b.Plan, b.At(r.d.clock()), r.routeOptions(), rng)
	if errors.Is(err, routing.ErrNoRoute) {
		return c, r.withPauses(b.Plan, err)
	}
	return c, err
}

// withPauses returns a *pausedError instead of err if servers of the plan are paused.
func (r *run) withPauses(p *routing.Plan, err error) error {
	names := make([]string, len(p.Servers))
	for i := range p.Servers {
		names[i] = p.Servers[i].Name
	}
	if paused := r.d.pauses.errorOf(names...); paused != nil {
		return paused
	}
	return err
}

func (r *run) routeOptions() routing.Options {
	o := routing.Options{FailureDomain: r.d.opts.FailureDomain, Avoid: r.avoidNow()}
	if r.req.CacheKey != 0 {
		o.Warm = r.d.warm.Servers(r.req.CacheKey)
	}
	return o
}

// avoidNow returns the backend servers that have failed this request and those that are
// paused.
func (r *run) avoidNow() map[string]bool {
	paused := r.d.pauses.all()
	if len(paused) == 0 {
		return r.avoid
	}
	avoid := maps.Clone(r.avoid)
	for name := range paused {
		avoid[name] = true
	}
	return avoid
}

// useRoute sets the route of the next attempt and logs the decision.
func (r *run) useRoute(c routing.Choice, kind decision.Kind, reason string) {
	r.route = c.Route
	r.version = r.model.Version
	if c.Affinity {
		reason += ", prefix cached"
	}
	r.d.log.Add(decision.Record{
		Time: r.d.clock(), Kind: kind, RequestID: r.req.ID, Attempt: r.attempt, Workspace: r.req.Workspace.Name,
		Subject: r.model.Name, Chosen: c.Route.String(), Reason: reason, Rejected: r.rejectedServers(c),
		Bound: r.binding().Plan.Bound, Load: c.Load,
	})
}

func (r *run) rejectedServers(c routing.Choice) string {
	var b []byte
	for name := range r.avoid {
		b = append(b, name+":failed "...)
	}
	if c.Rejected != "" {
		b = append(b, c.Rejected+":busier"...)
	}
	return string(b)
}

// runAttempts runs attempts until one completes or no other may be made.
func (r *run) runAttempts(ctx context.Context) error {
	for {
		res := r.runAttempt(ctx)
		if res.err == nil {
			return nil
		}
		complete, err := r.handleFailure(ctx, res)
		if complete || err != nil {
			return err
		}
	}
}

// result is how an attempt ended; err is nil when the answer is complete.
type result struct {
	err    error
	failed string          // backend server that failed, if known
	final  bool            // no other attempt may follow
	move   *routing.Choice // new route of a stream that moves
}

// handleFailure decides what follows a failed attempt. complete is true if the answer
// could be completed after all. If complete is false and err is nil, another attempt
// has been prepared.
func (r *run) handleFailure(ctx context.Context, res result) (complete bool, err error) {
	if res.final {
		r.abandon()
		return false, r.finalError(ctx, res.err)
	}
	if errors.Is(res.err, execution.ErrLost) && res.failed != "" {
		r.attributeEnd(ctx, res.failed)
		if err := r.checkQuarantine(ctx, true); err != nil {
			r.abandon()
			return false, err
		}
	}
	if r.failedAt.IsZero() {
		r.failedAt = r.d.clock()
	}
	if r.attempt+1 >= r.d.opts.MaxAttempts {
		r.abandon()
		return false, r.giveUp(res.err)
	}
	if res.move != nil {
		r.moveStream(ctx, res)
		return false, nil
	}
	if errors.Is(res.err, execution.ErrNotSent) || errors.Is(res.err, execution.ErrRefused) {
		return false, r.retryElsewhere(ctx, res)
	}
	if res.failed == r.route[0].BackendServer && errors.Is(res.err, execution.ErrLost) {
		// Only the connection may have broken; the head may still have the stream.
		if res = r.resume(ctx, r.delivery.Next(), res); res.err == nil {
			return true, nil
		}
		if res.final {
			r.abandon()
			return false, r.finalError(ctx, res.err)
		}
	}
	if !r.Repeatable() {
		return r.resumeOnly(ctx, res)
	}
	return false, r.recover(ctx, res)
}

// finalError returns the error of a request that its caller canceled, whose deadline
// passed, or that failed with an error that another attempt cannot avoid.
func (r *run) finalError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return r.EndError(ctx, r.progress())
	}
	return err
}

func (r *run) progress() string { return fmt.Sprintf("after %d tokens", r.delivery.Next()) }

// giveUp returns the error of a request that is not sent again after err.
func (r *run) giveUp(err error) error {
	if paused := asPausedError(err); paused != nil && r.NotRun() {
		return paused.apiError()
	}
	var limitErr *limitReached
	if errors.As(err, &limitErr) && r.NotRun() {
		r.d.observe.LimitReached()
		return limitErr.apiError()
	}
	return r.FinalError(err)
}

// retryElsewhere prepares another route for an attempt that did not run. The retry
// is taken out of the budget, except in these cases: the request has already run in
// part, a backend server of its route is leaving or paused, or its route reached a
// declared limit. A request stopped by a declared limit or a pause is refused at once if no
// other route is left, since later requests would overtake it while it waits.
func (r *run) retryElsewhere(ctx context.Context, res result) error {
	if res.failed != "" {
		r.avoid[res.failed] = true
	}
	if r.HasRun() {
		return r.reroute(ctx, res, "recover")
	}
	var limitErr *limitReached
	atLimit := errors.As(res.err, &limitErr)
	if !atLimit && !errors.Is(res.err, errLeaving) && asPausedError(res.err) == nil && !r.d.gate.SpendRetry(r.req.Workspace.Name, r.model.Name) {
		return r.FinalError(res.err)
	}
	c, err := r.chooseIn(r.binding(), rand.New(rand.NewPCG(rand.Uint64(), 1)))
	if err != nil && atLimit {
		return r.giveUp(limitErr)
	}
	if paused := asPausedError(err); paused != nil && r.NotRun() {
		return paused.apiError()
	}
	if err != nil {
		return r.reroute(ctx, res, "retry")
	}
	r.prepareAttempt(c, decision.Route, "retry after "+res.err.Error())
	return nil
}

func (r *run) prepareAttempt(c routing.Choice, kind decision.Kind, reason string) {
	r.d.gate.Swap(r.ticket, c)
	r.attempt++
	r.useRoute(c, kind, reason)
}

// leavingHop returns the first hop of the route that is leaving, or "".
func (r *run) leavingHop() string {
	i := slices.IndexFunc(r.route, func(h topology.Hop) bool { return r.d.table.Leaving(h.BackendServer) })
	if i < 0 {
		return ""
	}
	return r.route[i].BackendServer
}
