package framing

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// MaxHeadBytes bounds the head of a response, including the interim responses before it.
const MaxHeadBytes = 64 << 10

// ErrHeadTooLong is returned if the head of a response exceeds MaxHeadBytes.
var ErrHeadTooLong = errors.New("framing: head too long")

// Responses reads responses from a connection. Unlike http.ReadResponse, it bounds their heads: the
// lines of a head may come without end.
type Responses struct {
	r     *bufio.Reader
	limit headLimit
}

// headLimit is a reader that fails once the limit of a head is reached.
type headLimit struct {
	src     io.Reader
	limited bool
	left    int
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.src.Read(p)
	}
	if l.left <= 0 {
		return 0, fmt.Errorf("%w: more than %d bytes", ErrHeadTooLong, MaxHeadBytes)
	}
	n, err := l.src.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// NewResponses returns a reader of the responses on a connection with a buffer of the given size.
func NewResponses(src io.Reader, bufferBytes int) *Responses {
	r := &Responses{limit: headLimit{src: src}}
	r.r = bufio.NewReaderSize(&r.limit, bufferBytes)
	return r
}

// Buffered returns the number of bytes that were received and not read.
func (r *Responses) Buffered() int { return r.r.Buffered() }

// Read implements io.Reader for the bytes after a head.
func (r *Responses) Read(p []byte) (int, error) { return r.r.Read(p) }

// maxInterim is the number of interim responses that may precede a response.
const maxInterim = 5

// ErrInterim is returned if there are only interim responses.
var ErrInterim = errors.New("framing: too many interim responses")

// ErrInvalidStatus is returned for a status outside of 100 to 599 (RFC 9110, section 15).
var ErrInvalidStatus = errors.New("framing: invalid status")

// maxStatus is the highest valid status.
const maxStatus = 599

// ValidStatus reports whether a status is valid.
func ValidStatus(status int) bool { return status >= http.StatusContinue && status <= maxStatus }

// Next reads the head of the next response to a request. It skips interim responses (RFC 9110,
// section 15.2), except 101 if the request asks for an upgrade. A response with an invalid status is
// none, and nothing behind it belongs to the request.
func (r *Responses) Next(req *http.Request) (*http.Response, error) {
	r.limit.limited, r.limit.left = true, MaxHeadBytes
	defer func() { r.limit.limited = false }()
	for range maxInterim {
		resp, err := http.ReadResponse(r.r, req)
		if err != nil {
			return resp, err
		}
		if !ValidStatus(resp.StatusCode) {
			return nil, fmt.Errorf("%w: %d", ErrInvalidStatus, resp.StatusCode)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols && req.Header.Get("Upgrade") != "" {
			return resp, nil
		}
	}
	return nil, ErrInterim
}
