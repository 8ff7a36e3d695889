package httpbackend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 64 << 10

// streamBufferBytes is the initial size of a stream's read buffer.
const streamBufferBytes = 4 << 10

var dataPrefix = []byte("data:")

// sseReader reads the data lines of an event stream.
type sseReader struct{ sc *bufio.Scanner }

func newSSEReader(r io.Reader) *sseReader {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, streamBufferBytes), maxEventBytes)
	return &sseReader{sc: sc}
}

// next returns the data of the next event; it is valid until the next call.
func (r *sseReader) next() ([]byte, error) {
	for r.sc.Scan() {
		line := r.sc.Bytes()
		if bytes.HasPrefix(line, dataPrefix) {
			return bytes.TrimSpace(line[len(dataPrefix):]), nil
		}
	}
	if err := r.sc.Err(); err != nil {
		return nil, err
	}
	return nil, errors.Join(io.EOF)
}
