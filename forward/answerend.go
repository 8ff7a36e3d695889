package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/snowspoke/snowspoke/framing"
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
	err     error
}

// checkEnd returns nil if an answer is complete, or why it was broken off. The end of a
// connection ends a body that is not delimited, whether the backend server closed it after
// the answer or its process ended. Only the second also stops it from listening.
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
	case e.empty:
		return errNoEvent
	}
	return nil
}

// checkPath returns an error if the head of a path does not accept connections, or if
// another hop has failed: a head cuts streams that wait for a failed hop. If the network
// does not answer, a request that may be repeated goes on elsewhere. For another one the
// answer stands, because a refused connection alone shows that the process has ended.
func (r *run) checkPath(ctx context.Context, path site.Path) error {
	now := time.Now()
	for _, h := range path[1:] {
		if r.f.health.Dead(h.Server.ID, now) {
			return fmt.Errorf("%w: hop %s", errServerGone, h.Server.ID)
		}
	}
	err := r.f.probeSince(ctx, path[0].Server, now)
	if err == nil || !hasEnded(err) && !r.req.Route.Repeatable() {
		return nil
	}
	return fmt.Errorf("%w: %w", errServerGone, err)
}

// unlessEOF returns err, or nil for io.EOF.
func unlessEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}
