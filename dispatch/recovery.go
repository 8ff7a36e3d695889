package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/routing"
)

// resumeTimeout bounds the opening of a resumed stream, and so the delay that a
// dead host adds to recovery.
const resumeTimeout = 250 * time.Millisecond

// recover continues a repeatable request as the next attempt, on the route that
// keeps the most layers on surviving hops.
func (r *run) recover(ctx context.Context, res result) error {
	r.avoidFailed(ctx, &res)
	r.cancelAttempt(r.attempt)
	return r.reroute(ctx, res, "recover")
}

// avoidFailed adds the failed hops to r.avoid.
func (r *run) avoidFailed(ctx context.Context, res *result) {
	if res.failed != "" {
		r.avoid[res.failed] = true
		return
	}
	silent := r.silentHops(ctx, res.err)
	for _, name := range silent {
		r.avoid[name] = true
		r.d.health.Signal(name, health.Unreachable)
	}
	if len(silent) > 0 {
		return
	}
	// Every hop answers but no token arrived, so any of them may be at fault.
	for _, h := range r.route {
		r.avoid[h.BackendServer] = true
		r.d.health.Signal(h.BackendServer, health.Stalled)
	}
}

// silentHops returns the hops that do not answer. It takes them from the watchdog if
// that found any, and otherwise probes the route.
func (r *run) silentHops(ctx context.Context, err error) []string {
	var stall *stallError
	if errors.As(err, &stall) && len(stall.silent) > 0 {
		return stall.silent
	}
	return r.d.prober.Unresponsive(ctx, r.route)
}

// reroute finds another route for the request, waiting up to RecoverTimeout for
// one, and prepares the next attempt.
func (r *run) reroute(ctx context.Context, res result, why string) error {
	deadline := r.d.clock().Add(r.d.opts.RecoverTimeout)
	for {
		changed := r.d.table.Changed()
		c, err := r.repair()
		if err == nil {
			r.prepareAttempt(c, decision.Recover, why+" after "+res.err.Error())
			return nil
		}
		left := deadline.Sub(r.d.clock())
		if left <= 0 {
			return r.noRouteError(res, err)
		}
		// No route is left without the failed hops; they may have recovered.
		clear(r.avoid)
		if !waitFor(ctx, changed, min(left, r.nextRetryDelay())) {
			return r.finalError(ctx, context.Cause(ctx))
		}
	}
}

// Bounds of the jittered delay between two searches for a route.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

func (r *run) nextRetryDelay() time.Duration {
	if r.retryBackoff == nil {
		r.retryBackoff = backoff.NewExponentialBackOff()
		r.retryBackoff.InitialInterval = initialRetryDelay
		r.retryBackoff.MaxInterval = maxRetryDelay
	}
	return r.retryBackoff.NextBackOff()
}

// waitFor waits until ch is closed or d has passed. It returns false if ctx ends
// first.
func waitFor(ctx context.Context, ch <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ch:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func (r *run) repair() (routing.Choice, error) {
	if err := r.resolve(); err != nil {
		return routing.Choice{}, err
	}
	b := r.binding()
	return routing.Repair(b.Plan, b.At(r.d.clock()), r.routeOptions(), r.route)
}

func (r *run) noRouteError(res result, err error) error {
	if r.NotRun() {
		return routeError(r.model.Name, err)
	}
	return r.FinalError(res.err)
}

// resumeOnly handles a request that is not repeatable. A stalled stream is resumed
// for as long as every hop answers; otherwise the request ends with an error that
// states whether it ran.
func (r *run) resumeOnly(ctx context.Context, res result) (complete bool, err error) {
	for errors.Is(res.err, errStalled) && len(r.silentHops(ctx, res.err)) == 0 {
		res = r.resume(ctx, r.delivery.Next(), res)
		if res.err == nil {
			return true, nil
		}
		if res.final {
			r.abandon()
			return false, r.finalError(ctx, res.err)
		}
	}
	r.cancelAttempt(r.attempt)
	return false, r.FinalError(res.err)
}

// resume continues reading the stream of the current attempt. It resumes again
// when the connection breaks, as long as each read delivers tokens. If the stream
// cannot be opened, it returns cause with that error joined to it.
func (r *run) resume(ctx context.Context, from int, cause result) result {
	for {
		s, err := r.openResume(ctx, from)
		if err != nil {
			cause.err = errors.Join(cause.err, err)
			return cause
		}
		before := r.delivery.Next()
		res := r.readResumed(ctx, s)
		connectionBroke := errors.Is(res.err, execution.ErrLost) && res.failed == r.route[0].BackendServer
		if res.err == nil || res.final || !connectionBroke || r.delivery.Next() == before {
			return res
		}
		from, cause = r.delivery.Next(), res
	}
}

func (r *run) readResumed(ctx context.Context, s backend.Stream) result {
	actx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := r.newWatchdog(ctx, cancel)
	defer watch.disarm()
	stop := context.AfterFunc(actx, func() { _ = s.Close() })
	defer func() {
		stop()
		_ = s.Close()
	}()
	return r.readEvents(ctx, actx, s, watch)
}

// openResume reopens the stream at the head. Only the opening is bounded by
// resumeTimeout.
func (r *run) openResume(ctx context.Context, from int) (backend.Stream, error) {
	rctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(resumeTimeout, cancel)
	r.d.limits.countContinued(r.route[0].BackendServer)
	s, err := r.d.engine.Resume(rctx, r.head(), r.req.ID, r.attempt, from)
	if err != nil || !timer.Stop() {
		cancel()
		if err == nil {
			_ = s.Close()
			err = execution.ErrLost
		}
		return nil, err
	}
	return &cancelStream{Stream: s, cancel: cancel}, nil
}

// cancelStream cancels its context when it is closed.
type cancelStream struct {
	backend.Stream
	cancel context.CancelFunc
}

// Close implements backend.Stream.
func (c *cancelStream) Close() error {
	c.cancel()
	return c.Stream.Close()
}

// Resume continues a stream that another daemon started. The caller has all tokens
// up to and including pos.Index.
func (d *Dispatcher) Resume(ctx context.Context, req *Request, pos *Position, sink Sink) (Outcome, error) {
	req.Model, req.Adapter, req.Repeatable = pos.Model, pos.Adapter, pos.Repeatable
	r := d.newRun(req, sink)
	r.adopt(pos)
	return r.runAndFinish(ctx, r.runResumed)
}

// adopt restores the state of a run from an event ID.
func (r *run) adopt(p *Position) {
	r.Tracker = execution.NewSent(p.Repeatable)
	r.attempt, r.route, r.version = p.Attempt, p.Route, p.Version
	r.skipTo = p.Index + 1
}

// runResumed reads the stream from its first token, so that the request can be
// recovered if a hop fails later. The caller gets only the tokens that it lacks.
func (r *run) runResumed(ctx context.Context) error {
	if err := r.resolve(); err != nil {
		return apierror.New(apierror.StaleEventID, "%v", err)
	}
	r.boundTokens()
	if err := r.beginAttempt(); err != nil {
		return err
	}
	r.d.log.Add(decision.Record{
		Time: r.d.clock(), Kind: decision.Resume, RequestID: r.req.ID, Attempt: r.attempt,
		Workspace: r.req.Workspace.Name, Subject: r.model.Name, Chosen: r.route.String(), Reason: "caller came back with an event ID",
	})
	r.ticket = r.d.gate.Adopt(r.key(), routing.Choice{Route: r.route})
	res := r.resume(ctx, 0, result{err: execution.ErrLost, failed: r.route[0].BackendServer})
	if res.err == nil {
		return nil
	}
	if res.final {
		r.abandon()
		return r.finalError(ctx, res.err)
	}
	if r.delivery.Next() < r.skipTo {
		// The caller has tokens that were not read again here. Continuing on another
		// route could join two different answers.
		return apierror.New(apierror.StaleEventID, "%v", res.err)
	}
	complete, err := r.handleFailure(ctx, res)
	if complete || err != nil {
		return err
	}
	return r.runAttempts(ctx)
}
