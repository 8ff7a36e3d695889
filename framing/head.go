package framing

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// MaxHeadBytes bounds the head of a response, including the interim responses before it.
const MaxHeadBytes = 64 << 10

// Errors of a head.
var (
	// ErrHeadTooLong is returned if the head of a response exceeds MaxHeadBytes.
	ErrHeadTooLong = errors.New("framing: head too long")
	// ErrInvalidHead is returned for a head that is not valid. net/http skips some fields that it cannot
	// read; one of them may determine where the body ends.
	ErrInvalidHead = errors.New("framing: invalid head")
	// ErrInvalidStatus is returned for a status outside of 100 to 599 (RFC 9110, section 15).
	ErrInvalidStatus = errors.New("framing: invalid status")
)

// maxStatus is the highest valid status.
const maxStatus = 599

// ValidStatus reports whether a status is valid.
func ValidStatus(status int) bool { return status >= http.StatusContinue && status <= maxStatus }

// head is the head of a response.
type head struct {
	raw    []byte // includes the empty line at the end
	status int
}

// typicalHeadBytes is the initial capacity for a head.
const typicalHeadBytes = 1 << 10

// readHead reads a head of at most limit bytes. It checks each line as it arrives and is stricter than
// net/http, which parses the head afterwards and checks the values of the fields that determine the end of
// the body. After an error, head has the bytes read so far.
func readHead(r *bufio.Reader, limit int) (head, error) {
	h := head{raw: make([]byte, 0, typicalHeadBytes)}
	line, err := h.readLine(r, limit)
	var minor int
	if err == nil {
		h.status, minor, err = parseStatusLine(line)
	}
	for first := true; err == nil; first = false {
		if line, err = h.readLine(r, limit); err != nil {
			break
		}
		if len(line) == 0 {
			return h, nil
		}
		err = checkField(line, first, minor)
	}
	return h, err
}

// readLine adds a line to the head and returns it without its end. A single LF ends a line as well (RFC 9112,
// section 2.2).
func (h *head) readLine(r *bufio.Reader, limit int) ([]byte, error) {
	begin := len(h.raw)
	for {
		part, err := r.ReadSlice('\n')
		h.raw = append(h.raw, part...)
		switch {
		case len(h.raw) > limit:
			return nil, fmt.Errorf("%w: more than %d bytes", ErrHeadTooLong, limit)
		case err == nil:
			return bytes.TrimSuffix(bytes.TrimSuffix(h.raw[begin:], []byte{'\n'}), []byte{'\r'}), nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// parseStatusLine returns the status and the minor version of HTTP/1 in a status line (RFC 9112,
// sections 2.3 and 4).
func parseStatusLine(line []byte) (status, minor int, err error) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	digit, isHTTP1 := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !isHTTP1 || len(digit) != 1 || !isDigit(digit[0]) {
		return 0, 0, fmt.Errorf("%w: version %.20q", ErrInvalidHead, version)
	}
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0, 0, fmt.Errorf("%w: %.20q", ErrInvalidStatus, code)
	}
	status = int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if !ValidStatus(status) {
		return 0, 0, fmt.Errorf("%w: %d", ErrInvalidStatus, status)
	}
	if !isText(reason) {
		return 0, 0, fmt.Errorf("%w: control byte in the reason phrase", ErrInvalidHead)
	}
	return status, int(digit[0] - '0'), nil
}

// checkField checks a line of a head after the status line. A line that begins with a blank continues the
// one before it (RFC 9112, section 5.2).
func checkField(line []byte, first bool, minor int) error {
	if !isText(line) {
		return fmt.Errorf("%w: control byte in a field", ErrInvalidHead)
	}
	if line[0] == ' ' || line[0] == '\t' {
		if first {
			return fmt.Errorf("%w: blank before the first field", ErrInvalidHead)
		}
		return nil
	}
	name, _, found := bytes.Cut(line, []byte{':'})
	if !found || !isToken(name) {
		return fmt.Errorf("%w: field %.40q", ErrInvalidHead, name)
	}
	// RFC 9112, section 6.1: such a message counts as incorrectly framed.
	if minor == 0 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return fmt.Errorf("%w: transfer coding in HTTP/1.0", ErrInvalidHead)
	}
	return nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isText reports whether bytes may stand in the value of a field (RFC 9110, section 5.5).
func isText(p []byte) bool {
	for _, b := range p {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether bytes are a token, such as the name of a field (RFC 9110, section 5.6.2).
func isToken(p []byte) bool {
	for _, b := range p {
		if !isDigit(b) && (b|0x20 < 'a' || b|0x20 > 'z') && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) < 0 {
			return false
		}
	}
	return len(p) > 0
}
