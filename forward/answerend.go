package forward

import (
	"io"

	"github.com/snowspoke/snowspoke/framing"
)

// answerEnd is how the body of an answer ended.
type answerEnd struct {
	framing framing.Framing
	partial int   // bytes of an incomplete event
	err     error // read error, nil at the end of the body
}

// noteAnswerEnd records the end of an answer, unless its framing shows that it is complete.
func (r *run) noteAnswerEnd(t *target, e answerEnd) {
	if e.framing.Delimited() && e.partial == 0 && e.err == nil {
		return
	}
	r.f.observer.AnswerEnded(e.framing)
	r.f.log.Add("answer_end", "request", r.req.ID, "attempt", r.sends, "by", t.head().ID, "framing", e.framing,
		"last_event", r.lastEvent, "partial_event", e.partial, "err", e.err)
}

// unlessEOF returns err, or nil for io.EOF.
func unlessEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}
