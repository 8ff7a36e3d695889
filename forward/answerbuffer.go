package forward

import (
	"context"
	"errors"

	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/internal/readall"
	"github.com/snowspoke/snowspoke/memory"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before it is written to the caller.
	maxAnswerBytes = 32 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 64 << 10
)

// errEventTooLong is returned for a stream with an event of more than maxEventBytes.
var errEventTooLong = errors.New("forward: event too long")

// readAnswer reads an answer to its end. A large one of a known length is read once there is memory
// for it, since its request has run. release returns its memory and must be called, also after an
// error.
func (f *Forwarder) readAnswer(ctx context.Context, a *Answer) (body []byte, release func(), err error) {
	if a.Framing != framing.Length || a.Length <= memory.FreeBytes || a.Length > maxAnswerBytes {
		return f.answers.ReadAll(a.Body, maxAnswerBytes)
	}
	body, release, err = f.answers.AwaitRead(ctx, a.Body, int(a.Length))
	if err == nil {
		_, err = a.Body.Read(make([]byte, 1)) // the end of the body
		err = readall.UnlessEOF(err)
	}
	return body, release, err
}
