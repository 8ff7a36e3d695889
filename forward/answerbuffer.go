package forward

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/snowspoke/snowspoke/internal/readall"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before it is written to the caller.
	maxAnswerBytes = 32 << 20
	// freeAnswerBytes is the size up to which an answer is buffered without a part of the memory
	// for answers, so that larger ones do not affect typical ones.
	freeAnswerBytes = 64 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 64 << 10
)

// errNoAnswerMemory is returned for an answer that exceeds the memory for answers. The body of an
// answer may have no end.
var errNoAnswerMemory = errors.New("forward: no memory for the answer")

// errEventTooLong is returned for a stream with an event of more than maxEventBytes.
var errEventTooLong = errors.New("forward: event too long")

// answerMemory is the memory for the buffered answers of all requests. It is safe for concurrent
// use.
type answerMemory struct {
	mu   sync.Mutex
	free int // bytes
}

// newAnswerMemory returns memory of a number of bytes, 0 for that of one largest answer.
func newAnswerMemory(bytes int) *answerMemory {
	if bytes <= 0 {
		bytes = maxAnswerBytes
	}
	return &answerMemory{free: bytes}
}

// take reserves memory and reports whether there was enough.
func (m *answerMemory) take(bytes int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if bytes > m.free {
		return false
	}
	m.free -= bytes
	return true
}

func (m *answerMemory) give(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += bytes
}

// readAll reads an answer to its end. release returns its memory and must be called, also after an
// error.
func (m *answerMemory) readAll(r io.Reader) (data []byte, release func(), err error) {
	reserved := 0
	release = func() { m.give(reserved) }
	for {
		if len(data) == cap(data) {
			size := max(512, 2*cap(data))
			if size > freeAnswerBytes {
				if size > maxAnswerBytes || !m.take(size-reserved) {
					return nil, release, fmt.Errorf("%w: %d bytes", errNoAnswerMemory, size)
				}
				reserved = size
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, release, readall.UnlessEOF(err)
		}
	}
}
