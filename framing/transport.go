package framing

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// transport is an http.Transport that accepts only valid heads.
type transport struct{ *http.Transport }

// CheckHeads makes an HTTP/1 transport accept only valid heads of responses, and returns it. t must not have
// been used, and its DialContext must be set.
func CheckHeads(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(c), nil
	}
	// Otherwise the transport adds TLS above the checked connection.
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secure, err := startTLS(ctx, c, t.TLSClientConfig, address)
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		return newCheckedConn(secure), nil
	}
	return transport{t}
}

// startTLS starts TLS on a connection to an address.
func startTLS(ctx context.Context, c net.Conn, conf *tls.Config, address string) (net.Conn, error) {
	if conf = conf.Clone(); conf == nil {
		conf = &tls.Config{}
	}
	if conf.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fmt.Errorf("framing: %w", err)
		}
		conf.ServerName = host
	}
	secure := tls.Client(c, conf)
	return secure, secure.HandshakeContext(ctx)
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *checkedConn
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if conn, _ = i.Conn.(*checkedConn); conn != nil {
				conn.expected.Store(true)
			}
		},
	})))
	if err != nil && conn != nil {
		if cause := conn.err.Load(); cause != nil {
			err = fmt.Errorf("%w: %w", err, *cause)
		}
	}
	return resp, err
}

// checkedBufferBytes is the size of the buffer of a checked connection.
const checkedBufferBytes = 4 << 10

// checkedConn is a connection of a transport, which has one request in progress at a time. It checks each
// head before the transport reads it. Reads are not concurrent.
type checkedConn struct {
	net.Conn
	r        *bufio.Reader
	expected atomic.Bool           // the head of a response is expected
	ahead    []byte                // of a head that was checked
	err      atomic.Pointer[error] // of a head that is not valid, nil for none; follows ahead
}

func newCheckedConn(c net.Conn) *checkedConn {
	return &checkedConn{Conn: c, r: bufio.NewReaderSize(c, checkedBufferBytes)}
}

// NetConn returns the connection below.
func (c *checkedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	if len(c.ahead) == 0 && c.err.Load() == nil {
		// The transport may begin to read before the request.
		if _, err := c.r.Peek(1); err != nil {
			return 0, err
		}
		if c.expected.Load() {
			c.readHead()
		}
	}
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	if err := c.err.Load(); err != nil {
		return 0, *err
	}
	return c.r.Read(p)
}

// readHead reads and checks a head. The first byte of one that is not valid is passed on: without it, the
// transport might send the request again on another connection.
func (c *checkedConn) readHead() {
	h, err := readHead(c.r, MaxHeadBytes)
	if err != nil {
		c.ahead = h.raw[:1]
		c.err.Store(&err)
		return
	}
	c.ahead = h.raw
	c.expected.Store(h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols)
}
