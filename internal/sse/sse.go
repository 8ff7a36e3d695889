// Package sse reads streams of server-sent events.
package sse

import (
	"bufio"
	"bytes"
	"io"
)

// initialBufferBytes is the initial size of the buffer of a Reader.
const initialBufferBytes = 4 << 10

// Event is one event. Its fields are valid until the next call of Next.
type Event struct {
	ID   []byte // nil if the event has none
	Data []byte
}

// Reader reads the events of a stream.
type Reader struct{ sc *bufio.Scanner }

// NewReader returns a reader of events of up to maxBytes each.
func NewReader(r io.Reader, maxBytes int) *Reader {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, min(initialBufferBytes, maxBytes)), maxBytes)
	sc.Split(splitEvent)
	return &Reader{sc: sc}
}

// Next returns the next event that has data. It returns io.EOF if the stream ends after
// an event, and io.ErrUnexpectedEOF if it ends before the empty line of one: such an event
// is incomplete, even if its data can be decoded.
func (r *Reader) Next() (Event, error) {
	for r.sc.Scan() {
		if ev := parse(r.sc.Bytes()); ev.Data != nil {
			return ev, nil
		}
	}
	if err := r.sc.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}

// splitEvent is a bufio.SplitFunc for the lines up to an empty one.
func splitEvent(data []byte, atEOF bool) (advance int, token []byte, err error) {
	for begin := 0; ; {
		n := bytes.IndexByte(data[begin:], '\n')
		if n < 0 {
			break
		}
		end := begin + n
		if len(trimCR(data[begin:end])) == 0 {
			return end + 1, data[:begin], nil
		}
		begin = end + 1
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

func parse(lines []byte) (ev Event) {
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, []byte("\n"))
		name, value, _ := bytes.Cut(trimCR(line), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case string(name) == "id":
			ev.ID = value
		case string(name) != "data":
		case ev.Data == nil:
			ev.Data = value[:len(value):len(value)] // appending copies
		default:
			ev.Data = append(append(ev.Data, '\n'), value...)
		}
	}
	return ev
}

func trimCR(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }
