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

// errStalled ends an attempt that has produced no token within the bound.
var errStalled = errors.New("dispatch: no token within the bound")

// errMove ends an attempt whose stream goes on over another route.
var errMove = errors.New("dispatch: stream moves")

// errLeaving says that a chosen backend server began to leave before the send.
var errLeaving = fmt.Errorf("%w: backend server is leaving", execution.ErrNotSent)

// errGap says that the engine called an answer done of which tokens are missing.
var errGap = errors.New("dispatch: tokens missing at the end")

// once runs one attempt along the present route.
func (r *run) once(ctx context.Context) result {
	if err := r.beforeSend(); err != nil {
		return result{err: err, failed: r.leavingHop(), final: !errors.Is(err, errLeaving)}
	}
	if full := r.d.limits.enter(ctx, r.route.BackendServers(), classOf(r.req.Workspace.Name, r.req.Priority)); full != nil {
		return result{err: full, failed: full.server}
	}
	if err := r.beginAttempt(); err != nil {
		return result{err: err, final: true}
	}
	actx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := r.newWatchdog(ctx, cancel)
	defer watch.disarm()
	if err := r.Move(execution.Sent); err != nil {
		return result{err: err, final: true}
	}
	if err := r.checkNoLeaving(); err != nil {
		_ = r.Move(execution.NotSent)
		return result{err: err, final: true}
	}
	watch.arm(r.d.opts.FirstToken, r.d.opts.FirstToken)
	s, err := r.d.engine.Generate(actx, r.head(), r.generate())
	watch.disarm()
	if err != nil {
		return r.sendFailed(ctx, actx, err)
	}
	defer s.Close()
	r.d.warm.Sent(r.req.CacheKey, r.route[0].BackendServer)
	return r.read(ctx, actx, s, watch)
}

// beforeSend is the last look before a request is sent: the route must tile the
// model, and none of its backend servers may be leaving.
func (r *run) beforeSend() error {
	if err := r.route.CheckTiling(r.model.Layers); err != nil {
		return err
	}
	if name := r.leavingHop(); name != "" {
		return fmt.Errorf("%w: %s", errLeaving, name)
	}
	return nil
}

// leaveGrace is how long after a backend server is known to leave new work may
// still be on its way to it.
const leaveGrace = 3 * time.Second

// checkNoLeaving asserts, right before the send, that no hop has long been known
// to leave.
func (r *run) checkNoLeaving() error {
	for _, h := range r.route {
		d := r.d.table.LeavingFor(h.BackendServer)
		if err := invariant.Check(d <= leaveGrace, invariant.NoWorkAfterLeave,
			"request %s goes to %s, which leaves since %s", r.req.ID, h.BackendServer, d); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) beginAttempt() error {
	r.delivery.Begin(r.attempt)
	r.produced = false
	sealed, err := r.d.sealer.Attempt(&Place{
		Workspace: r.req.Workspace.Name, RequestID: r.req.ID, Attempt: r.attempt, Model: r.model.Name,
		Version: r.version, Adapter: r.req.Adapter, Route: r.route, BodyHash: r.req.BodyHash, Repeatable: r.Repeatable(),
	})
	r.sealed = sealed
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

// sendFailed turns the error of opening a stream into a result and a state.
func (r *run) sendFailed(ctx, actx context.Context, err error) result {
	head := r.route[0].BackendServer
	if ctx.Err() != nil {
		if errors.Is(err, execution.ErrNotSent) {
			_ = r.Move(execution.NotSent)
		} else {
			_ = r.Move(execution.Unknown)
		}
		return result{err: context.Cause(ctx), final: true}
	}
	switch {
	case errors.Is(err, execution.ErrNotSent):
		if verr := r.Move(execution.NotSent); verr != nil {
			return result{err: verr, final: true}
		}
		r.d.health.Signal(head, health.Unreachable)
		return result{err: err, failed: head}
	case errors.Is(err, execution.ErrRefused):
		return r.refused(err, refusedBy(err, head))
	}
	_ = r.Move(execution.Unknown)
	if cause := context.Cause(actx); errors.Is(cause, errStalled) {
		return result{err: cause}
	}
	r.d.health.Signal(head, health.Lost)
	return result{err: err, failed: head}
}

// refusedBy returns the backend server that a refusal is about.
func refusedBy(err error, head string) string {
	var hop *backend.HopError
	if errors.As(err, &hop) {
		return hop.BackendServer
	}
	return head
}

// refused notes that this attempt surely did not run. A head that refuses is
// busy; a hop that the head could not use is looked at as unreachable.
func (r *run) refused(err error, server string) result {
	if verr := r.Move(execution.Refused); verr != nil {
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

// read takes events until the attempt ends.
func (r *run) read(ctx, actx context.Context, s backend.Stream, watch *watchdog) result {
	bound, ceil := r.d.opts.FirstToken, r.d.opts.FirstToken
	for {
		watch.arm(bound, ceil)
		ev, err := s.Next()
		watch.disarm()
		if err != nil {
			return r.broken(ctx, actx, err)
		}
		if !r.delivery.Mine(&ev) {
			continue
		}
		res, done := r.event(ev)
		if done {
			return res
		}
		if c, hop := r.moveTarget(); c != nil {
			_ = r.Move(execution.Unknown)
			return result{err: errMove, failed: hop, move: c}
		}
		if len(ev.Loads) > 0 || bound == r.d.opts.FirstToken {
			bound, ceil = r.d.health.GapBound(r.route, &r.gap), r.d.opts.GapCeiling
		}
	}
}

// event handles one event of this attempt.
func (r *run) event(ev backend.Event) (result, bool) {
	for _, l := range ev.Loads {
		r.d.health.Load(l)
		r.d.gate.ObserveHop(l)
	}
	switch ev.Type {
	case backend.EventToken:
		if err := r.deliver(ev); err != nil {
			_ = r.Move(execution.Unknown)
			return result{err: err, final: true}, true
		}
		return result{}, false
	case backend.EventDone:
		return r.done(ev), true
	case backend.EventRefused:
		server := ev.Failed
		if server == "" {
			server = r.route[0].BackendServer
		}
		if r.produced {
			_ = r.Move(execution.Unknown) // it ran, whatever the engine says
			return result{err: fmt.Errorf("%w: refused after tokens", execution.ErrLost), failed: server}, true
		}
		return r.refused(fmt.Errorf("%w: %s", execution.ErrRefused, ev.Reason), server), true
	case backend.EventFailed:
		r.MarkRan()
		_ = r.Move(execution.Unknown)
		r.d.health.Signal(ev.Failed, health.Failed)
		return result{err: fmt.Errorf("%w: backend server %s failed: %s", execution.ErrLost, ev.Failed, ev.Reason), failed: ev.Failed}, true
	}
	return result{}, false
}

// deliver hands on the tokens that are in order now.
func (r *run) deliver(ev backend.Event) error {
	r.MarkRan()
	r.produced = true
	for _, e := range r.delivery.Accept(ev) {
		r.prior = append(r.prior, e.Token)
		r.noteTime()
		if e.Index < r.skipTo {
			continue
		}
		if err := r.sink.Token(Token{Index: e.Index, Text: e.Text, EventID: r.sealed.Seal(e.Index)}); err != nil {
			return err
		}
	}
	return nil
}

// noteTime measures the time to the first token and the gap of a recovery.
func (r *run) noteTime() {
	now := r.d.clock()
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

// done ends an attempt that the engine calls complete.
func (r *run) done(ev backend.Event) result {
	if !r.delivery.Whole(ev.Index) {
		_ = r.Move(execution.Unknown)
		return result{err: errGap}
	}
	if err := r.delivery.checkWhole(ev.Index); err != nil {
		return result{err: err, final: true}
	}
	if err := r.Move(execution.Delivered); err != nil {
		return result{err: err, final: true}
	}
	r.finish = ev.FinishReason
	for _, h := range r.route {
		r.d.health.Signal(h.BackendServer, health.Success)
	}
	return result{}
}

// broken ends an attempt whose stream ended without a final event.
func (r *run) broken(ctx, actx context.Context, err error) result {
	_ = r.Move(execution.Unknown)
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

// abandon cancels the attempt at every stage in the background.
func (r *run) abandon() {
	if r.NotRun() || r.State() == execution.Delivered {
		return
	}
	r.cancelAttempt(r.attempt)
}

// cancelTimeout bounds the cancelling of an attempt.
const cancelTimeout = 2 * time.Second

// cancelAttempt cancels and fences an attempt on every hop of its route. It does
// not wait: events of the attempt are dropped anyhow.
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
