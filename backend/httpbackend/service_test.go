package httpbackend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/network"
)

// Only the end of a reply without a length or chunks is checked, once.
func TestEndOfReply(t *testing.T) {
	errDial := errors.New("refused")
	for _, c := range []struct {
		reply  string
		listen error
		want   error // nil for a complete reply
		dials  int
	}{
		{"Content-Length: 3\r\n\r\nabc", errDial, nil, 0},
		{"Content-Length: 4\r\n\r\nabc", nil, io.ErrUnexpectedEOF, 0},
		{"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", errDial, nil, 0},
		{"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", nil, io.ErrUnexpectedEOF, 0},
		{"\r\nabc", nil, nil, 1},
		{"\r\nabc", errDial, execution.ErrLost, 1},
		{"Content-Encoding: gzip\r\n\r\nabc", errDial, execution.ErrLost, 1},
	} {
		_, target := newEngine(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := http.NewResponseController(w).Hijack()
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n" + c.reply))
			_ = conn.Close()
		})
		dials := 0
		s := NewServices(network.Client(network.NewSystem(time.Second), 1), func(context.Context, string, string) (net.Conn, error) {
			dials++
			one, _ := net.Pipe()
			return one, c.listen
		}, "http")
		reply, err := s.Call(t.Context(), target, &backend.ServiceCall{Method: http.MethodGet, Path: "/"})
		require.NoError(t, err)
		for range 2 {
			_, err = io.ReadAll(reply.Body)
			require.ErrorIs(t, err, c.want, c.reply)
		}
		require.Equal(t, c.dials, dials, c.reply)
		require.Equal(t, c.dials == 0, reply.Framing.Delimited(), c.reply)
		require.NoError(t, reply.Body.Close())
	}
}
