package httpbackend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/internal/tcptest"
	"github.com/snowspoke/snowspoke/network"
)

// longUpload exceeds the buffers of the sockets.
var longUpload = make([]byte, 16<<20)

// newEarlyEndpoint starts an endpoint that answers when it has read the head of a request, and then does
// what end says. It closes connections without a request only with its listener.
func newEarlyEndpoint(t *testing.T, reply string, end func(c *net.TCPConn, r io.Reader)) backend.Target {
	t.Helper()
	return backend.Target{Address: tcptest.Serve(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, reply)
		end(c, r)
	})}
}

// earlyEnds are the ways in which an endpoint ends the connection before it has read the request.
var earlyEnds = map[string]func(c *net.TCPConn, r io.Reader){
	"reset at once": func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) },
	"reset after 60 ms": func(c *net.TCPConn, _ io.Reader) {
		time.Sleep(60 * time.Millisecond)
		_ = c.SetLinger(0)
	},
	"reset after 1 MB": func(c *net.TCPConn, r io.Reader) {
		_, _ = io.CopyN(io.Discard, r, 1<<20)
		_ = c.SetLinger(0)
	},
	"closed with unread bytes": func(*net.TCPConn, io.Reader) {},
	"closed for writing": func(c *net.TCPConn, _ io.Reader) {
		_ = c.CloseWrite()
		time.Sleep(100 * time.Millisecond)
	},
}

func upload(t *testing.T, s *Services, target backend.Target) (framing.Framing, string, error) {
	t.Helper()
	reply, err := s.Call(t.Context(), target, &backend.ServiceCall{Method: http.MethodPost, Path: "/", Body: longUpload})
	if err != nil {
		return 0, "", err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return reply.Framing, string(data), err
}

// Guards against a part of a reply that counts as a whole one (MIXED): an endpoint replied to a long upload at
// once, without a length, and reset the connection during the upload.
func TestEarlyReplyResetDuringTheUploadIsNotComplete(t *testing.T) {
	for name, end := range earlyEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target, s := newEarlyEndpoint(t, "HTTP/1.1 200 OK\r\n\r\npart", end), newTestServices()
			for range 10 {
				_, body, err := upload(t, s, target)
				require.Error(t, err, "a complete reply: %q", body)
			}
		})
	}
}

// A reset that arrives before the request is written is received by the write of the request.
func TestReplyResetBeforeTheRequestIsNotComplete(t *testing.T) {
	address := tcptest.Serve(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = c.SetLinger(0)
	})
	n := network.NewSystem(time.Second)
	alive := newEarlyEndpoint(t, "", nil)
	s := NewServices(network.Client(slowNetwork{n}, 1), func(ctx context.Context, kind, _ string) (net.Conn, error) {
		return n.DialContext(ctx, kind, alive.Address) // other connections of the endpoint stay open
	}, "http")
	for range 40 {
		reply, err := s.Call(t.Context(), backend.Target{Address: address}, &backend.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		if err != nil {
			continue
		}
		body, err := io.ReadAll(reply.Body)
		require.Error(t, err, "a complete reply: %q", body)
		require.NoError(t, reply.Body.Close())
	}
}

// slowNetwork is a network whose connections are reset, if they are, before they are used, and whose
// failed writes return late.
type slowNetwork struct{ *network.System }

func (n slowNetwork) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	c, err := n.System.DialContext(ctx, kind, address)
	time.Sleep(10 * time.Millisecond)
	return slowConn{c}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
	}
	return n, err
}

// A reply that ends with its connection after the whole request was read is complete.
func TestReplyUntilCloseToALongUploadIsComplete(t *testing.T) {
	target := newEarlyEndpoint(t, "", func(c *net.TCPConn, r io.Reader) {
		_, _ = io.CopyN(io.Discard, r, int64(len(longUpload)))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
	})
	s := newTestServices()
	for range 10 {
		f, body, err := upload(t, s, target)
		require.NoError(t, err)
		require.Equal(t, framing.UntilClose, f)
		require.Equal(t, "whole", body)
	}
}

// A reply whose framing shows that it is whole is never cut. The transport may close the connection before
// it has read an early one.
func TestEarlyReplyWithAFramingIsWholeOrLost(t *testing.T) {
	for name, end := range earlyEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, reply := range []string{"Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"} {
				target, s := newEarlyEndpoint(t, "HTTP/1.1 200 OK\r\n"+reply, end), newTestServices()
				for range 10 {
					_, body, err := upload(t, s, target)
					require.True(t, err != nil || body == "whole", "%q", body)
				}
			}
		})
	}
}

// Guards against a panic when the transport tells of the end of two writes of one request: it sends a request
// without a body again if a kept connection fails, before the first write may have ended.
func TestSecondEndOfAnUploadIsIgnored(t *testing.T) {
	var u uploadTrace
	u.begin()
	u.begin()
	u.end(nil)
	require.NotPanics(t, func() { u.end(io.ErrClosedPipe) })
	require.NoError(t, u.await(t.Context()))
}
