package framing

import (
	"bufio"
	"errors"
	"io"
	"net/http"
)

// Responses reads responses from a connection. Unlike http.ReadResponse, it bounds their heads and accepts
// only valid ones.
type Responses struct {
	r   *bufio.Reader
	src source
}

// source returns bytes that are read again before those of the connection.
type source struct {
	again []byte
	conn  io.Reader
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if len(s.again) == 0 {
		s.again = nil
		return s.conn.Read(p)
	}
	n := copy(p, s.again)
	s.again = s.again[n:]
	return n, nil
}

// NewResponses returns a reader of the responses on a connection with a buffer of the given size.
func NewResponses(conn io.Reader, bufferBytes int) *Responses {
	r := &Responses{src: source{conn: conn}}
	r.r = bufio.NewReaderSize(&r.src, bufferBytes)
	return r
}

// Buffered returns the number of bytes that were received and not read.
func (r *Responses) Buffered() int { return r.r.Buffered() + len(r.src.again) }

// Read implements io.Reader for the bytes after a head.
func (r *Responses) Read(p []byte) (int, error) { return r.r.Read(p) }

// maxInterim is the number of interim responses that may precede a response.
const maxInterim = 5

// ErrInterim is returned if there are only interim responses.
var ErrInterim = errors.New("framing: too many interim responses")

// Next reads the head of the next response to a request. It skips interim responses (RFC 9110,
// section 15.2), except 101 if the request asks for an upgrade. A head that is not valid is no response,
// and nothing behind it belongs to the request.
func (r *Responses) Next(req *http.Request) (*http.Response, error) {
	left := MaxHeadBytes
	for range maxInterim {
		h, err := readHead(r.r, left)
		if err != nil {
			return nil, err
		}
		if h.status >= http.StatusOK || h.status == http.StatusSwitchingProtocols && req.Header.Get("Upgrade") != "" {
			r.readAgain(h.raw)
			return http.ReadResponse(r.r, req)
		}
		left -= len(h.raw)
	}
	return nil, ErrInterim
}

// readAgain makes the bytes of a head the next ones to read.
func (r *Responses) readAgain(raw []byte) {
	buffered, _ := r.r.Peek(r.r.Buffered()) // never fails
	again := append(raw, buffered...)
	r.src.again = append(again, r.src.again...)
	r.r.Reset(&r.src)
}
