package forward

import (
	"bytes"
	"strconv"
)

// event is one complete event of a stream, unparsed.
type event struct {
	raw []byte
	id  string // "" if it has none
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
		if v, found := bytes.CutPrefix(line, []byte("id:")); found {
			ev.id = string(bytes.TrimSpace(v))
		}
	}
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
