package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/site"
)

// Reasons why an answer was broken off although its body ended without a read error.
var (
	errPartialEvent = errors.New("forward: answer ended inside an event")
	errNoEvent      = errors.New("forward: stream ended without an event")
	errServerGone   = errors.New("forward: backend server is gone at the end of its answer")
)

// answerEnd is how the body of one send's answer ended.
type answerEnd struct {
	framing framing.Framing
	partial int  // bytes of an incomplete event
	empty   bool // a stream that may not be empty has no event
	moved   bool // the stream was moved to another path after its last event
	err     error
}

// checkEnd returns nil if an answer is complete, or why it was broken off. The end of a
// connection ends a body that is not delimited, whether the backend server closed it after
// the answer or its process ended.
func (r *run) checkEnd(ctx context.Context, path site.Path, e answerEnd) error {
	err := e.check()
	if err == nil && !e.framing.Delimited() {
		err = r.checkPath(ctx, path)
	}
	if err != nil || !e.framing.Delimited() {
		r.f.observer.AnswerEnded(e.framing, err == nil)
		r.f.log.Add("answer_end", "request", r.req.ID, "attempt", r.sends, "by", path[0].Server.ID, "framing", e.framing,
			"last_event", r.lastEvent, "partial_event", e.partial, "complete", err == nil, "err", err)
	}
	return err
}

// check returns why the body alone shows that the answer was broken off, or nil.
func (e answerEnd) check() error {
	switch {
	case e.err != nil:
		return e.err
	case e.partial > 0:
		return fmt.Errorf("%w: %d bytes", errPartialEvent, e.partial)
	case e.empty, e.moved && !e.framing.Delimited():
		return errNoEvent
	}
	return nil
}

// Times of the check whether a backend server still runs.
const (
	// endCheckTimeout bounds the check if there is no response. Packets may be lost, or the
	// queue of new connections full.
	endCheckTimeout  = 1500 * time.Millisecond
	endCheckInterval = 100 * time.Millisecond
)

// checkPath returns an error if a hop of a path has ended or, with an engine, has started
// again. A head closes streams when it loses another hop. If there is no response, a request that
// may be repeated goes on elsewhere. For another one the answer stands, because the network
// alone may be at fault.
func (r *run) checkPath(ctx context.Context, path site.Path) error {
	since := time.Now()
	errs := make([]error, len(path))
	var wg sync.WaitGroup
	check := r.f.checkListening
	if r.engine != nil {
		check = r.f.checkIncarnation
	}
	for i, h := range path {
		if i > 0 && r.f.health.Dead(h.Server.ID, since) {
			return fmt.Errorf("%w: hop %s", errServerGone, h.Server.ID)
		}
		wg.Go(func() { errs[i] = r.f.awaitResponse(ctx, h.Server, since, check) })
	}
	wg.Wait()
	for _, err := range errs {
		if isGone(err) || err != nil && r.req.Route.Repeatable() {
			return fmt.Errorf("%w: %w", errServerGone, err)
		}
	}
	return nil
}

// isGone reports whether an error shows that the process of a backend server has ended.
func isGone(err error) bool { return hasEnded(err) || errors.Is(err, ErrRestarted) }

// endCheck checks whether a backend server runs. Its result is not older than since.
type endCheck func(ctx context.Context, s *site.BackendServer, since time.Time) error

// awaitResponse repeats a check until there is a conclusive result or endCheckTimeout has
// passed.
func (f *Forwarder) awaitResponse(ctx context.Context, s *site.BackendServer, since time.Time, check endCheck) error {
	for begin := since; ; since = time.Now() {
		err := check(ctx, s, since)
		if isGone(err) {
			f.markFailed(s, "gone at the end of its answer", err, time.Now())
		}
		if err == nil || isGone(err) || time.Since(begin) >= endCheckTimeout || !wait.For(ctx, endCheckInterval) {
			return err
		}
	}
}

// checkListening connects to a backend server.
func (f *Forwarder) checkListening(ctx context.Context, s *site.BackendServer, since time.Time) error {
	_, err := f.probes.getSince(s.ID, since, f.reach(ctx, s))
	return err
}

// checkIncarnation asks a backend server of an engine for a report, which also shows whether
// it has started again.
func (f *Forwarder) checkIncarnation(ctx context.Context, s *site.BackendServer, since time.Time) error {
	_, err := f.reports.getSince(s.ID, since, f.fetchReport(ctx, s))
	if IsHeldBack(err) {
		return f.checkListening(ctx, s, since)
	}
	return err
}

// partialEvent returns the number of bytes of an incomplete event at the end of a buffered
// stream, 0 for another answer.
func (r *run) partialEvent(a *Answer, body []byte) int {
	if r.req.Route.Kind != site.Stream || !isEventStream(a.Header) {
		return 0
	}
	for {
		_, rest, ok := nextEvent(body)
		if !ok {
			break
		}
		body = rest
	}
	if isInsideEvent(body) {
		return len(body)
	}
	return 0
}

func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// unlessEOF returns err, or nil for io.EOF.
func unlessEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}
