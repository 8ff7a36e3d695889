package forward

import (
	"bytes"
	"strconv"
)

// event is one complete event of a stream, unparsed.
type event struct {
	raw    []byte
	id     string // "" if it has none
	fields bool   // has lines other than comments
}

// nextEvent splits a buffer into its first complete event and the rest; ok is false if there
// is no complete event. An event ends with an empty line.
func nextEvent(buf []byte) (ev event, rest []byte, ok bool) {
	for at := 0; ; {
		i := bytes.IndexByte(buf[at:], '\n')
		if i < 0 {
			return event{}, buf, false
		}
		line := bytes.TrimSuffix(buf[at:at+i], []byte("\r"))
		at += i + 1
		if len(line) == 0 {
			ev.raw = buf[:at]
			return ev, buf[at:], true
		}
		ev.fields = ev.fields || !isComment(line)
		if v, found := bytes.CutPrefix(line, []byte("id:")); found {
			ev.id = string(bytes.TrimSpace(v))
		}
	}
}

func isComment(line []byte) bool { return bytes.HasPrefix(line, []byte(":")) }

// isInsideEvent reports whether a stream that ends with these bytes, which hold no complete
// event, has ended inside an event. Complete comment lines may end a stream.
func isInsideEvent(buf []byte) bool {
	for len(buf) > 0 {
		line, rest, complete := bytes.Cut(buf, []byte("\n"))
		if !complete || !isComment(line) {
			return true
		}
		buf = rest
	}
	return false
}

// after reports whether an event follows the last delivered one by its ID. Numeric IDs must
// increase; events with other IDs always follow.
func after(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	a, aerr := strconv.ParseUint(id, 10, 64)
	b, berr := strconv.ParseUint(last, 10, 64)
	return aerr != nil || berr != nil || a > b
}
