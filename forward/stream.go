package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/stall"
)

// Bounds of silence in a stream.
const (
	// firstSilence is how long a stream may take to its first event before its head
	// is asked, at least.
	firstSilence = 350 * time.Millisecond
	// gapSilence is the same between two events, at least.
	gapSilence = 220 * time.Millisecond
	// heardWithin is how long ago another stream of the same hop may have had an
	// event for the hop to count as alive without a probe.
	heardWithin = 70 * time.Millisecond
	// silenceFactor widens both by the predicted times: a busy path is slow.
	silenceFactor = 3
	// askAgain is the pause before a head is asked again that knows of no stall.
	askAgain = 120 * time.Millisecond
	// silenceMost ends a send that was silent for this long while its head has
	// nothing waiting: callers give up after two seconds, and another path may need
	// half of one. A head with requests waiting is only busy.
	silenceMost = 1100 * time.Millisecond
	// repathTries bounds the paths that are tried for one interruption.
	repathTries = 4
)

// Causes of the end of a send.
var (
	errSilent    = errors.New("forward: stream stands still")
	errHeadDead  = errors.New("forward: first hop does not answer")
	errStalled   = errors.New("forward: hop stalls streams")
	errBroken    = errors.New("forward: stream broke off")
	errElsewhere = errors.New("forward: goes on elsewhere, its repaired path would cross failure domains")
)

// stream is one send of a stream.
type stream struct {
	r       *run
	attempt int // number of this send, from 1
	cancel  context.CancelCauseFunc
	timer   *stall.Timer

	mu       sync.Mutex
	path     site.Path
	leave    func() // takes it out of the loads
	tokens   float64
	bound    time.Duration // silence after which the head is asked
	quietAt  time.Time     // last event, or the send
	progress progress
	asking   bool
	begun    bool    // this send has had an event
	stepMS   float64 // predicted for the path, 0 for one that was moved
	late     int     // pauses in a row that were late for that
	probed   bool    // all hops, since the last event
	moved    bool    // since the last event
	ended    bool
}

func (r *run) sendStream(ctx context.Context, t *target, left time.Duration) (execution.Verdict, error) {
	sctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &stream{r: r, progress: r.progress, attempt: r.sends, cancel: cancel, path: t.path, tokens: t.tokens, quietAt: time.Now(), stepMS: t.choice.StepMS}
	s.leave = r.f.loads.Enter(t.path, t.tokens)
	s.bound = max(firstSilence, silenceFactor*time.Duration(t.choice.FirstMS*float64(time.Millisecond)))
	s.timer = r.f.stalls.AfterFunc(s.probeAfter(true), func() { s.check(sctx) })
	r.f.live.add(s)
	defer s.end()
	a, err := r.f.backends.Send(sctx, r.outgoing(t, left))
	if err != nil {
		err = whyEnded(ctx, sctx, err)
	}
	if v, rerr := r.refused(t, a, err); v != execution.Answered {
		return v, rerr
	}
	defer a.Body.Close()
	if a.Status != http.StatusOK || !a.Sealed {
		return r.whole(ctx, t, a)
	}
	s.begin(max(gapSilence, silenceFactor*time.Duration(t.choice.StepMS*2*float64(time.Millisecond))))
	return s.relay(ctx, sctx, a)
}

// probeAfter returns the silence after which the hops are probed.
func (s *stream) probeAfter(first bool) time.Duration {
	return s.r.f.silences.probeAfter(s.currentPath()[0].Server.ID, first)
}

func (s *stream) end() {
	s.timer.Stop()
	s.mu.Lock()
	s.ended = true
	leave := s.leave
	s.mu.Unlock()
	leave()
	s.r.f.live.remove(s)
}

// begin notes that the head of the answer has come: the stream runs, and its head is
// asked after a silence of bound.
func (s *stream) begin(bound time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound, s.progress.headAt = bound, s.r.progress.headAt
}

// stageAtLastSign returns how far the stream had come when it last gave a sign of life.
func (s *stream) stageAtLastSign() sendStage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress.stage(s.quietAt.Sub(s.progress.headAt))
}

// readSize is what one read of a stream takes at most.
const readSize = 8 << 10

// whyEnded adds to the error of a send why this daemon itself ended it, if it did:
// sctx is the context of the send, ctx that of the request.
func whyEnded(ctx, sctx context.Context, err error) error {
	if cause := context.Cause(sctx); cause != nil && ctx.Err() == nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// relay hands on whole events until the stream ends.
func (s *stream) relay(ctx, sctx context.Context, a *Answer) (execution.Verdict, error) {
	var held []byte
	buf := make([]byte, readSize)
	for {
		n, err := a.Body.Read(buf)
		held = append(held, buf[:n]...)
		var gone error
		if held, gone = s.handOn(a, held, err == io.EOF); gone != nil {
			return execution.Answered, apierror.Wrap(apierror.CallerGone, gone)
		}
		if err == io.EOF {
			s.r.f.served(s.currentPath())
			return execution.Answered, nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return execution.Answered, s.r.ended(ctx)
			}
			err = whyEnded(ctx, sctx, fmt.Errorf("%w: %w", errBroken, err))
			s.r.interrupted(err)
			return execution.MayHaveRun, err
		}
	}
}

// handOn hands on the whole events of a buffer that the caller does not have
// yet, and returns the rest. At the end of a stream all of it is handed on.
func (s *stream) handOn(a *Answer, held []byte, last bool) (rest []byte, gone error) {
	r := s.r
	var out []byte
	rest = held
	for {
		ev, left, ok := nextEvent(rest)
		if !ok {
			break
		}
		rest = left
		if !after(ev.id, r.lastEvent) {
			continue
		}
		if ev.id != "" {
			r.lastEvent = ev.id
		}
		out = append(out, ev.raw...)
	}
	if last {
		out = append(out, rest...)
		rest = nil
	}
	if len(out) == 0 && !last {
		return rest, nil
	}
	if len(out) > 0 {
		s.heard()
	}
	if !r.headSent.Load() {
		r.headSent.Store(true)
		r.f.observe.FirstEvent(boottime.Since(r.req.Received))
		if err := r.sink.Head(a.Status, a.Header); err != nil {
			return nil, err
		}
	}
	return append(held[:0], rest...), r.sink.Events(out)
}

// heard notes that events have come.
func (s *stream) heard() {
	now := time.Now()
	s.mu.Lock()
	gap, moved := now.Sub(s.quietAt), s.moved
	s.r.notePause(now)
	s.quietAt, s.moved, s.probed = now, false, false
	head, first := s.path[0].Server.ID, !s.begun
	s.begun = true
	s.notePace(first, moved, gap, now)
	s.mu.Unlock()
	s.r.f.silences.observe(head, first, gap)
	s.timer.Reset(s.probeAfter(false))
	if moved {
		s.r.recovered("path moved", gap)
	}
	s.r.resumed(now)
}

// notePace looks whether the stream's events come late again and again; the caller
// holds the lock.
func (s *stream) notePace(first, moved bool, gap time.Duration, now time.Time) {
	if first || moved {
		return
	}
	known := s.r.f.loads.conditions
	if !known.late(gap, s.stepMS) {
		s.late = 0
		return
	}
	s.late++
	if s.late >= lateInRow {
		s.late = 0
		known.suspect(s.path, now)
	}
}

// interrupted notes that events stopped coming, and why.
func (r *run) interrupted(why error) {
	if r.failedAt.IsZero() {
		r.failedAt = time.Now()
		if !r.lastAt.IsZero() {
			r.failedAt = r.lastAt
		}
		r.cause = causeOf(why)
	}
}

// causeOf names the cause of an interruption for logs.
func causeOf(why error) string {
	for _, cause := range []error{errElsewhere, errHeadDead, errSilent} {
		if errors.Is(why, cause) {
			return cause.Error()
		}
	}
	return errBroken.Error()
}

// notePause keeps the longest pause between two events.
func (r *run) notePause(now time.Time) {
	if r.lastAt.IsZero() {
		r.firstIn = boottime.Since(r.req.Received)
		return
	}
	r.longest = max(r.longest, now.Sub(r.lastAt))
}

// resumed notes that events come again after an interruption.
func (r *run) resumed(now time.Time) {
	r.lastAt = now
	if r.failedAt.IsZero() {
		return
	}
	gap := now.Sub(r.failedAt)
	r.failedAt = time.Time{}
	r.pause = nil
	r.recovered(r.cause, gap)
}

// recovered counts an interruption that is over, from the last event before it.
func (r *run) recovered(cause string, gap time.Duration) {
	r.f.observe.Recovered(cause, gap)
	r.f.log.Add("recovered", "request", r.req.ID, "cause", cause, "gap", gap.Round(time.Millisecond), "after_event", r.lastEvent)
}

func (s *stream) currentPath() site.Path {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path
}
