package forward

import (
	"errors"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before it is written to the caller.
	maxAnswerBytes = 32 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 64 << 10
)

// errEventTooLong is returned for a stream with an event of more than maxEventBytes.
var errEventTooLong = errors.New("forward: event too long")
