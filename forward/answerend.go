package forward

import (
	"context"
	"errors"
	"fmt"
	"mime"
	"net/http"

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
