package detour

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// longUpload exceeds the buffers of the sockets between a daemon, its carrier and a backend server.
var longUpload = strings.Repeat("x", 32<<20)

// Guards against an orderly end of a carried connection that the backend server has reset (MIXED): the
// carrier's write of a long upload received the reset, and its read the end of the connection.
func TestResetDuringAnUploadIsNoOrderlyEndOfACarriedConnection(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"reset at once": func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"reset after 50 ms": func(c *net.TCPConn) {
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
		},
		"reset after 1 MB": func(c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, 1<<20)
			_ = c.SetLinger(0)
		},
		"closed with unread bytes": func(*net.TCPConn) {},
		"closed for writing": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 2, 10)
			f.daemons[0].link.cut(false)
			address := backend(t, func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 64))
				_, _ = io.WriteString(c, "part")
				end(c)
				_ = c.Close()
			})
			for range 5 {
				c, err := f.daemons[0].Connect(t.Context(), address)
				require.NoError(t, err)
				require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
				go func() { _, _ = io.WriteString(c, longUpload) }()
				answer, err := readUntilEnd(c)
				require.Error(t, err, "an orderly end after %q", answer)
				require.NotErrorIs(t, err, io.ErrUnexpectedEOF)
				require.NoError(t, c.Close())
			}
		})
	}
}

// An orderly end after the whole upload was carried stays one.
func TestAnswerAfterAnUploadEndsInOrder(t *testing.T) {
	f := newTestFleet(t, 2, 10)
	f.daemons[0].link.cut(false)
	address := backend(t, func(c *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, c, int64(len(longUpload)))
		_, _ = io.WriteString(c, "answer")
		_ = c.Close()
	})
	for range 5 {
		c, err := f.daemons[0].Connect(t.Context(), address)
		require.NoError(t, err)
		answer, err := exchange(t, c, longUpload)
		require.NoError(t, err)
		require.Equal(t, "answer", answer)
	}
}
