package httpbackend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/internal/rfc9112"
	"github.com/snowspoke/snowspoke/internal/tcptest"
	"github.com/snowspoke/snowspoke/network"
)

// serveResponse answers requests with these bytes, and closes the connection after each. Connections without
// a request stay open. It returns the endpoint.
func serveResponse(t *testing.T, text string) backend.Target {
	t.Helper()
	return backend.Target{Address: tcptest.Serve(t, func(c *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, text)
	})}
}

// replyReaders are calls that read replies. Each returns an error if the reply was not complete.
var replyReaders = map[string]func(ctx context.Context, n network.Network, target backend.Target) error{
	"service": func(ctx context.Context, n network.Network, target backend.Target) error {
		s := NewServices(network.Client(n, 1), n.DialContext, "http")
		reply, err := s.Call(ctx, target, &backend.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		if err != nil {
			return err
		}
		defer reply.Body.Close()
		_, err = io.ReadAll(reply.Body)
		return err
	},
	"order": func(ctx context.Context, n network.Network, target backend.Target) error {
		return NewEngines(network.Client(n, 1), "http").Order(ctx, target, backend.Order{})
	},
	"status": func(ctx context.Context, n network.Network, target backend.Target) error {
		_, err := NewEngines(network.Client(n, 1), "http").Status(ctx, target)
		return err
	},
	"stream": func(ctx context.Context, n network.Network, target backend.Target) error {
		s, err := NewEngines(network.Client(n, 1), "http").Resume(ctx, target, "r-1", 1, 0)
		if err != nil {
			return err
		}
		defer s.Close()
		_, err = s.Next()
		return err
	},
}

// replyBody is a body that each of replyReaders accepts.
func replyBody(reader string) string {
	if reader == "stream" {
		return "data: {}\n\n"
	}
	return "{}"
}

// Guards against replies with an invalid head that are used as far as net/http can read them (MIXED).
func TestInvalidRepliesAreNotComplete(t *testing.T) {
	for _, c := range rfc9112.Invalid {
		for name, read := range replyReaders {
			if name == "stream" && (c.Section == "7.1" || c.Section == "7.1.2" || c.Section == "8") {
				continue // an event is delivered before the end of its body
			}
			t.Run(c.String()+"/"+name, func(t *testing.T) {
				t.Parallel()
				err := read(t.Context(), network.NewSystem(0), serveResponse(t, c.Encode("", replyBody(name))))
				require.Error(t, err)
				require.NotErrorIs(t, err, execution.ErrNotSent)
			})
		}
	}
}

// Valid replies in any form are read.
func TestValidRepliesAreComplete(t *testing.T) {
	for _, c := range rfc9112.Valid {
		for name, read := range replyReaders {
			t.Run(c.String()+"/"+name, func(t *testing.T) {
				t.Parallel()
				require.NoError(t, read(t.Context(), network.NewSystem(0), serveResponse(t, c.Encode("", replyBody(name)))))
			})
		}
	}
}

// Guards against a head that stops in its middle and counts as that of a reply with an empty or a short body
// (MIXED), at each of its bytes.
func TestHeadThatStopsInItsMiddleIsNoReply(t *testing.T) {
	for _, fields := range []string{"Content-Length: 16\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "\r\n"
		for name, read := range replyReaders {
			t.Run(name+"/"+fields, func(t *testing.T) {
				t.Parallel()
				for cut := range len(head) {
					err := read(t.Context(), network.NewSystem(0), serveResponse(t, head[:cut]))
					require.ErrorIs(t, err, execution.ErrLost, "cut at byte %d", cut)
				}
			})
		}
	}
}
