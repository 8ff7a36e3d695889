package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/internal/readall"
	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/stall"
)

// Bounds of the silence of a stream.
const (
	// minFirstSilence is the minimum wait for the first event before the head is asked
	// for a report.
	minFirstSilence = 350 * time.Millisecond
	// minNextSilence is the same between two events.
	minNextSilence = 220 * time.Millisecond
	// recentEventWindow is the maximum age of an event of another stream for which the
	// hops of that stream count as alive without a probe.
	recentEventWindow = 70 * time.Millisecond
	// silenceFactor is the multiple of the predicted time that applies instead of a
	// minimum if it is longer, as on a busy path.
	silenceFactor = 3
	// askRetryInterval is the pause before a head that did not report a stall is asked
	// again.
	askRetryInterval = 120 * time.Millisecond
	// maxSilence is the silence that ends a send whose head has no waiting requests.
	// Callers give up after two seconds, and another path may take half a second. A head
	// with waiting requests is merely busy.
	maxSilence = 1100 * time.Millisecond
	// maxCutSilence is the same for a direct connection to a head that cannot be connected to
	// directly by now: that connection has probably stopped working.
	maxCutSilence = 450 * time.Millisecond
	// maxRepathAttempts is the maximum number of paths that one call of move tries.
	maxRepathAttempts = 4
)

// Causes of the end of a send.
var (
	errSilent          = errors.New("forward: stream stands still")
	errHeadDead        = errors.New("forward: first hop does not answer")
	errStalled         = errors.New("forward: hop stalls streams")
	errBroken          = errors.New("forward: stream broke off")
	errResumeElsewhere = errors.New("forward: goes on elsewhere, its repaired path would cross failure domains")
)

// stream is one send of a streamed request.
type stream struct {
	r       *run
	attempt int // number of this send, starting at 1
	cancel  context.CancelCauseFunc
	timer   *stall.Timer

	mu          sync.Mutex
	path        site.Path
	leave       func() // removes the stream from the loads
	tokens      float64
	askAfter    time.Duration // silence after which the head is asked for a report
	sentAt      time.Time
	silentSince time.Time // time of the last event, or of the send before the first event
	progress    progress
	checking    bool
	begun       bool    // this send has received an event
	stepMS      float64 // predicted token step of the path, 0 after a move
	carried     bool    // another daemon carries the connection
	lateEvents  int     // number of consecutive late pauses
	probed      bool    // all hops were probed since the last event
	moved       bool    // the path changed since the last event
	ended       bool

	hasEvents bool // this send has received an event with fields; only used by relay
}

// sendStream sends a streamed request to its first hop and forwards the answer to the
// caller.
func (r *run) sendStream(ctx context.Context, t *target, left time.Duration) (execution.Result, error) {
	sctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &stream{r: r, progress: r.progress, attempt: r.sends, cancel: cancel, path: t.path, tokens: t.tokens, sentAt: time.Now(), silentSince: time.Now(), stepMS: t.choice.StepMS}
	s.leave = r.f.loads.Enter(t.path, t.tokens)
	r.beginHold()
	s.askAfter = max(minFirstSilence, silenceFactor*time.Duration(t.choice.FirstMS*float64(time.Millisecond)))
	s.timer = r.f.stalls.AfterFunc(s.probeAfter(true), func() { s.check(sctx) })
	r.f.live.add(s)
	defer s.end()
	a, err := r.f.backends.Send(sctx, r.outgoing(t, left))
	if err != nil {
		err = withCause(ctx, sctx, err)
	}
	if result, rerr := r.refused(t, a, err); result != execution.Answered {
		return result, rerr
	}
	defer a.Body.Close()
	if a.Status != http.StatusOK || !a.Signed {
		return r.relayComplete(ctx, t, a)
	}
	s.begin(max(minNextSilence, silenceFactor*time.Duration(t.choice.StepMS*2*float64(time.Millisecond))), a.Carrier != "")
	return s.relay(ctx, sctx, a)
}

// probeAfter returns the silence after which the hops are probed.
func (s *stream) probeAfter(first bool) time.Duration {
	return s.r.f.silences.probeAfter(s.currentPath()[0].Server.ID, first)
}

// end stops the checks of the stream and removes it from the loads.
func (s *stream) end() {
	s.timer.Stop()
	s.mu.Lock()
	s.ended = true
	leave := s.leave
	s.mu.Unlock()
	leave()
	s.r.f.live.remove(s)
}

// begin records the head of the answer and sets the silence after which the head is asked
// for a report.
func (s *stream) begin(askAfter time.Duration, carried bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carried = carried
	s.askAfter, s.progress.headAt = askAfter, s.r.progress.headAt
}

// stageAtLastEvent returns the stage of the send at its last event, or when it was sent if there was
// none, and that time.
func (s *stream) stageAtLastEvent() (stage sendStage, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress.stage(s.silentSince.Sub(s.progress.beganAt)), s.silentSince
}

// readSize is the buffer size of one read of a stream.
const readSize = 8 << 10

// withCause adds the cause to the error of a send that this daemon ended. ctx is the
// context of the request, and sctx that of the send.
func withCause(ctx, sctx context.Context, err error) error {
	if cause := context.Cause(sctx); cause != nil && ctx.Err() == nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// relay forwards complete events to the caller until the stream ends.
func (s *stream) relay(ctx, sctx context.Context, a *Answer) (execution.Result, error) {
	var pending []byte
	buf := make([]byte, readSize)
	for {
		n, err := a.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		var sinkErr error
		if pending, sinkErr = s.forwardEvents(a, pending); sinkErr != nil {
			return execution.Answered, apierror.Wrap(apierror.CallerGone, sinkErr)
		}
		if err == nil && len(pending) > maxEventBytes {
			err = errEventTooLong
		}
		if err != nil {
			return s.finish(ctx, sctx, a, pending, readall.UnlessEOF(err))
		}
	}
}

// finish ends the stream at the end of its body, or at a read error. pending are the bytes
// after the last complete event.
func (s *stream) finish(ctx, sctx context.Context, a *Answer, pending []byte, readErr error) (execution.Result, error) {
	err := readErr
	if err == nil || sctx.Err() == nil { // otherwise this daemon has ended the send
		err = s.r.checkEnd(ctx, s.currentPath(), s.endOf(a, pending, readErr))
	}
	if err == nil {
		if sinkErr := s.write(a, pending); sinkErr != nil {
			return execution.Answered, apierror.Wrap(apierror.CallerGone, sinkErr)
		}
		s.r.f.markServed(s.currentPath())
		s.r.observeHold(time.Since(s.sentAt))
		return execution.Answered, nil
	}
	if ctx.Err() != nil {
		return execution.Answered, s.r.endError(ctx)
	}
	s.r.unfinished = !errors.Is(err, errServerGone)
	err = withCause(ctx, sctx, fmt.Errorf("%w: %w", errBroken, err))
	s.r.noteInterruption(err)
	return execution.MayHaveRun, err
}

// endOf describes the end of the stream. Only a resumed stream may have no event, if the
// caller has them all. Without a delimited framing it may not if the send before ended
// before the stream did.
func (s *stream) endOf(a *Answer, pending []byte, readErr error) answerEnd {
	s.mu.Lock()
	end := answerEnd{framing: a.Framing, moved: s.moved, err: readErr}
	s.mu.Unlock()
	end.empty = !s.hasEvents && (s.r.lastEvent == "" || s.r.unfinished && !a.Framing.Delimited())
	if isInsideEvent(pending) {
		end.partial = len(pending)
	}
	return end
}

// forwardEvents writes the complete events of a buffer that the caller has not received yet,
// and returns the rest.
func (s *stream) forwardEvents(a *Answer, pending []byte) (rest []byte, sinkErr error) {
	r := s.r
	var out []byte
	rest = pending
	for {
		ev, left, ok := nextEvent(rest)
		if !ok {
			break
		}
		rest = left
		s.hasEvents = s.hasEvents || ev.fields && (ev.id == r.lastEvent || after(ev.id, r.lastEvent))
		if !after(ev.id, r.lastEvent) {
			continue
		}
		if ev.id != "" {
			r.lastEvent = ev.id
		}
		if ev.fields {
			r.unnumbered.Store(r.lastEvent == "")
		}
		out = append(out, ev.raw...)
	}
	if len(out) == 0 {
		return rest, nil
	}
	return append(pending[:0], rest...), s.write(a, out)
}

// write writes a part of the stream to the caller, after the head of the answer.
func (s *stream) write(a *Answer, out []byte) error {
	r := s.r
	if len(out) > 0 {
		s.eventsReceived()
	}
	if !r.headSent.Load() {
		r.headSent.Store(true)
		r.f.observer.FirstEvent(boottime.Since(r.req.Received))
		if err := r.sink.Head(a.Status, a.Header); err != nil {
			return err
		}
	}
	return r.sink.Events(out)
}

// eventsReceived updates the state of the stream when events are received.
func (s *stream) eventsReceived() {
	now := time.Now()
	s.mu.Lock()
	gap, moved := now.Sub(s.silentSince), s.moved
	s.r.notePause(now)
	s.silentSince, s.moved, s.probed = now, false, false
	head, first := s.path[0].Server.ID, !s.begun
	s.begun = true
	if first {
		s.progress.beganAt = now
	}
	s.detectSlowdown(first, moved, gap, now)
	s.mu.Unlock()
	s.r.f.silences.observe(head, first, gap)
	s.timer.Reset(s.probeAfter(false))
	if moved {
		s.r.recordRecovery("path moved", gap)
	}
	s.r.noteResumed(now)
	s.r.lastHeardAt = now
	s.r.noteEvent(now)
}

// detectSlowdown marks the hops of the path as suspects if events are repeatedly late;
// s.mu must be held.
func (s *stream) detectSlowdown(first, moved bool, gap time.Duration, now time.Time) {
	if first || moved {
		return
	}
	c := s.r.f.loads.conditions
	if !c.late(gap, s.stepMS) {
		s.lateEvents = 0
		return
	}
	s.lateEvents++
	if s.lateEvents >= lateThreshold {
		s.lateEvents = 0
		c.suspect(s.path, now)
	}
}

// noteInterruption records the start and the cause of an interruption, unless one is already
// recorded.
func (r *run) noteInterruption(why error) {
	if r.interruptedAt.IsZero() {
		r.interruptedAt = time.Now()
		if !r.lastEventAt.IsZero() {
			r.interruptedAt = r.lastEventAt
		}
		r.cause = causeOf(why)
	}
}

// causeOf returns the logged cause of an interruption.
func causeOf(why error) string {
	for _, cause := range []error{errResumeElsewhere, errHeadDead, errSilent} {
		if errors.Is(why, cause) {
			return cause.Error()
		}
	}
	return errBroken.Error()
}

// notePause records the time to the first event or the longest pause between two events.
func (r *run) notePause(now time.Time) {
	if r.lastEventAt.IsZero() {
		r.firstEventAfter = boottime.Since(r.req.Received)
		return
	}
	r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
}

// noteResumed ends an interruption, if there is one.
func (r *run) noteResumed(now time.Time) {
	r.lastEventAt = now
	if r.interruptedAt.IsZero() {
		return
	}
	gap := now.Sub(r.interruptedAt)
	r.interruptedAt = time.Time{}
	r.refusalBackoff = nil
	r.recordRecovery(r.cause, gap)
}

// recordRecovery counts and logs the end of an interruption. gap is the time between the
// events before and after it.
func (r *run) recordRecovery(cause string, gap time.Duration) {
	r.f.observer.Recovered(cause, gap)
	r.f.log.Add("recovered", "request", r.req.ID, "cause", cause, "gap", gap.Round(time.Millisecond), "after_event", r.lastEvent)
}

func (s *stream) currentPath() site.Path {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path
}
