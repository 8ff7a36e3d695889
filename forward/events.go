package forward

import (
	"bytes"
	"strconv"
)

// event is one whole event of a stream as its bytes came.
type event struct {
	raw []byte
	id  string // "" if it has none
}

// nextEvent takes the first whole event off a buffer; ok is false when there is
// none. An event ends with an empty line.
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

// after reports whether an event ID comes after the last one handed on. IDs are
// rising numbers; others are taken as they come.
func after(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	a, aerr := strconv.ParseUint(id, 10, 64)
	b, berr := strconv.ParseUint(last, 10, 64)
	return aerr != nil || berr != nil || a > b
}
