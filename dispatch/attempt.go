package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/invariant"
)

// errStalled ends an attempt whose next token did not arrive in time.
var errStalled = errors.New("dispatch: no token within the bound")

// errMoving ends an attempt whose stream continues on another route.
var errMoving = errors.New("dispatch: stream moves")

// errLeaving reports that a backend server of the route began to leave before
// the request was sent.
var errLeaving = fmt.Errorf("%w: backend server is leaving", execution.ErrNotSent)

// errIncomplete reports that the engine ended an answer before all of its tokens
// arrived.
var errIncomplete = errors.New("dispatch: tokens missing at the end")

// runAttempt runs one attempt along the current route.
func (r *run) runAttempt(ctx context.Context) result {
	if err := r.checkRoute(); err != nil {
		return result{err: err, failed: r.leavingHop(), final: !errors.Is(err, errLeaving)}
	}
	if err := r.checkQuarantine(ctx, r.HasRun()); err != nil {
		return result{err: err, final: true}
	}
	if limitErr := r.d.limits.acquire(ctx, r.route.BackendServers(), classOf(r.req.Workspace.Name, r.req.Priority)); limitErr != nil {
		return result{err: limitErr, failed: limitErr.server}
	}
	// The head may have been paused after the route was chosen.
	if paused := r.d.pauses.errorOf(r.route[0].BackendServer); paused != nil {
		return result{err: paused, failed: r.route[0].BackendServer}
	}
	if err := r.beginAttempt(); err != nil {
		return result{err: err, final: true}
	}
	actx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := r.newWatchdog(ctx, cancel)
	defer watch.disarm()
	if err := r.Transition(execution.Sent); err != nil {
		return result{err: err, final: true}
	}
	if err := r.checkNoLeaving(); err != nil {
		_ = r.Transition(execution.NotSent)
		return result{err: err, final: true}
	}
	watch.arm(r.d.opts.FirstToken, r.d.opts.FirstToken)
	s, err := r.d.engine.Generate(actx, r.head(), r.generate())
	watch.disarm()
	if err != nil {
		return r.handleSendError(ctx, actx, err)
	}
	defer s.Close()
	r.evidence.opened = true
	r.d.warm.Sent(r.req.CacheKey, r.route[0].BackendServer)
	return r.readEvents(ctx, actx, s, watch)
}

// checkRoute checks that the route tiles the model's layers and that none of its
// backend servers is leaving.
func (r *run) checkRoute() error {
	if err := r.route.CheckTiling(r.model.Layers); err != nil {
		return err
	}
	if name := r.leavingHop(); name != "" {
		return fmt.Errorf("%w: %s", errLeaving, name)
	}
	return nil
}

// leavingGrace is how long new work may still be sent to a backend server that is
// known to be leaving.
const leavingGrace = 3 * time.Second

// checkNoLeaving asserts, right before the send, that no hop has been leaving for
// longer than leavingGrace.
func (r *run) checkNoLeaving() error {
	for _, h := range r.route {
		d := r.d.table.LeavingFor(h.BackendServer)
		if err := invariant.Check(d <= leavingGrace, invariant.NoWorkAfterLeave,
			"request %s goes to %s, which has been leaving for %s", r.req.ID, h.BackendServer, d); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) beginAttempt() error {
	r.delivery.Begin(r.attempt)
	r.produced = false
	r.evidence = r.newEvidence()
	eventIDs, err := r.d.sealer.Attempt(&Position{
		Workspace: r.req.Workspace.Name, RequestID: r.req.ID, Attempt: r.attempt, Model: r.model.Name,
		Version: r.version, Adapter: r.req.Adapter, Route: r.route, BodyHash: r.req.BodyHash, Repeatable: r.Repeatable(),
	})
	r.eventIDs = eventIDs
	return err
}

func (r *run) head() backend.Target {
	return backend.Target{BackendServer: r.route[0].BackendServer, Address: r.route[0].Address}
}

func (r *run) generate() *backend.Generate {
	return &backend.Generate{
		RequestID: r.req.ID, Attempt: r.attempt, Model: r.model.Name, Version: r.version, Adapter: r.req.Adapter,
		Layers: r.model.Layers, Route: r.route, Prompt: r.req.Prompt, Messages: r.req.Messages, Prior: r.prior,
		KV: r.kv, MaxTokens: r.req.MaxTokens, Priority: r.req.Priority, Sampling: r.req.Sampling,
		CacheKey: r.req.CacheKey,
	}
}

// handleSendError sets the execution state after a stream could not be opened and
// returns the result of the attempt.
func (r *run) handleSendError(ctx, actx context.Context, err error) result {
	head := r.route[0].BackendServer
	r.d.pauses.note(head, r.req.ID, err)
	if ctx.Err() != nil {
		if errors.Is(err, execution.ErrNotSent) {
			_ = r.Transition(execution.NotSent)
		} else {
			_ = r.Transition(execution.Unknown)
		}
		return result{err: context.Cause(ctx), final: true}
	}
	switch {
	case errors.Is(err, execution.ErrNotSent):
		if verr := r.Transition(execution.NotSent); verr != nil {
			return result{err: verr, final: true}
		}
		r.d.health.Signal(head, health.Unreachable)
		return result{err: err, failed: head}
	case errors.Is(err, execution.ErrRefused):
		return r.handleRefusal(err, refusingServer(err, head))
	}
	_ = r.Transition(execution.Unknown)
	if cause := context.Cause(actx); errors.Is(cause, errStalled) {
		return result{err: cause}
	}
	r.d.health.Signal(head, health.Lost)
	return result{err: err, failed: head}
}

// refusingServer returns the backend server that caused a refusal.
func refusingServer(err error, head string) string {
	var hop *backend.HopError
	if errors.As(err, &hop) {
		return hop.BackendServer
	}
	return head
}

// handleRefusal records that this attempt did not run. A refusal by the head means that
// it is busy; a later hop that the head could not use counts as unreachable.
func (r *run) handleRefusal(err error, server string) result {
	if verr := r.Transition(execution.Refused); verr != nil {
		return result{err: verr, final: true}
	}
	if server != r.route[0].BackendServer {
		r.d.health.Signal(server, health.Unreachable)
		return result{err: err, failed: server}
	}
	r.d.health.Signal(server, health.Refused)
	r.d.gate.Shrink(server)
	return result{err: err, failed: server}
}

// readEvents processes events until the attempt ends or its stream should move.
func (r *run) readEvents(ctx, actx context.Context, s backend.Stream, watch *watchdog) result {
	bound, ceiling := r.d.opts.FirstToken, r.d.opts.FirstToken
	for {
		watch.arm(bound, ceiling)
		ev, err := s.Next()
		watch.disarm()
		if err != nil {
			return r.handleReadError(ctx, actx, err)
		}
		if !r.delivery.IsCurrent(&ev) {
			continue
		}
		res, done := r.handleEvent(ev)
		if done {
			return res
		}
		if c, hop := r.moveTarget(); c != nil {
			_ = r.Transition(execution.Unknown)
			return result{err: errMoving, failed: hop, move: c}
		}
		if len(ev.Loads) > 0 || bound == r.d.opts.FirstToken {
			bound, ceiling = r.d.health.GapBound(r.route, &r.gap), r.d.opts.GapCeiling
		}
	}
}

// handleEvent handles one event of this attempt.
func (r *run) handleEvent(ev backend.Event) (result, bool) {
	for _, l := range ev.Loads {
		r.d.health.ObserveLoad(l)
		r.d.gate.ObserveHop(l)
	}
	switch ev.Type {
	case backend.EventToken:
		if err := r.deliver(ev); err != nil {
			_ = r.Transition(execution.Unknown)
			return result{err: err, final: true}, true
		}
		return result{}, false
	case backend.EventDone:
		return r.handleDone(ev), true
	case backend.EventRefused:
		server := ev.Failed
		if server == "" {
			server = r.route[0].BackendServer
		}
		if r.produced {
			_ = r.Transition(execution.Unknown) // tokens were produced, so it ran
			return result{err: fmt.Errorf("%w: refused after tokens", execution.ErrLost), failed: server}, true
		}
		return r.handleRefusal(fmt.Errorf("%w: %s", execution.ErrRefused, ev.Reason), server), true
	case backend.EventFailed:
		r.MarkRan()
		_ = r.Transition(execution.Unknown)
		r.d.health.Signal(ev.Failed, health.Failed)
		return result{err: fmt.Errorf("%w: backend server %s failed: %s", execution.ErrLost, ev.Failed, ev.Reason), failed: ev.Failed}, true
	}
	return result{}, false
}

// deliver passes the tokens that are now in order to the sink.
func (r *run) deliver(ev backend.Event) error {
	r.MarkRan()
	r.produced = true
	for _, e := range r.delivery.Accept(ev) {
		r.prior = append(r.prior, e.Token)
		r.recordTimes()
		if e.Index < r.skipTo {
			continue
		}
		if err := r.sink.Token(Token{Index: e.Index, Text: e.Text, EventID: r.eventIDs.Seal(e.Index)}); err != nil {
			return err
		}
	}
	return nil
}

// recordTimes records the time to the first token, the time between tokens and the
// pause of a recovery.
func (r *run) recordTimes() {
	now := r.d.clock()
	r.noteToken(now)
	if r.firstAt.IsZero() {
		r.firstAt = now
		r.d.observe.FirstToken(now.Sub(r.began))
	}
	if !r.lastAt.IsZero() && r.failedAt.IsZero() {
		r.gap.Observe(now.Sub(r.lastAt))
	}
	if !r.failedAt.IsZero() {
		since := r.failedAt
		if !r.lastAt.IsZero() {
			since = r.lastAt
		}
		r.d.observe.Recovered(now.Sub(since))
		r.failedAt = time.Time{}
	}
	r.lastAt = now
}

// handleDone ends an attempt for which the engine reported completion.
func (r *run) handleDone(ev backend.Event) result {
	if !r.delivery.IsComplete(ev.Index) {
		_ = r.Transition(execution.Unknown)
		return result{err: errIncomplete}
	}
	if err := r.delivery.checkComplete(ev.Index); err != nil {
		return result{err: err, final: true}
	}
	if err := r.Transition(execution.Delivered); err != nil {
		return result{err: err, final: true}
	}
	r.finishReason = ev.FinishReason
	r.guard.Survived(r.d.clock())
	for _, h := range r.route {
		r.d.health.Signal(h.BackendServer, health.Success)
	}
	return result{}
}

// handleReadError ends an attempt whose stream ended without a final event.
func (r *run) handleReadError(ctx, actx context.Context, err error) result {
	_ = r.Transition(execution.Unknown)
	if ctx.Err() != nil {
		return result{err: context.Cause(ctx), final: true}
	}
	if cause := context.Cause(actx); errors.Is(cause, errStalled) {
		return result{err: cause}
	}
	head := r.route[0].BackendServer
	r.d.health.Signal(head, health.Lost)
	return result{err: err, failed: head}
}

// abandon cancels the attempt on every hop, in the background. It does nothing if
// the attempt did not run or is complete.
func (r *run) abandon() {
	if r.NotRun() || r.State() == execution.Delivered {
		return
	}
	r.cancelAttempt(r.attempt)
}

// cancelTimeout bounds each cancel call.
const cancelTimeout = 2 * time.Second

// cancelAttempt cancels and fences an attempt on every hop of its route. It does
// not wait, since later events of the attempt are dropped.
func (r *run) cancelAttempt(attempt int) {
	for _, h := range r.route {
		t := backend.Target{BackendServer: h.BackendServer, Address: h.Address}
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
			defer stop()
			_ = r.d.engine.Cancel(ctx, t, r.req.ID, attempt)
		}()
	}
}
