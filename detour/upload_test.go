package detour

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/tcptest"
)

const (
	// smallBuffer is the size of the buffers between the carrier and the backend server.
	smallBuffer = 128 << 10
	// carriedUpload exceeds these buffers, and fits into those between the daemon and its carrier: the
	// daemon has written all of it when the connection ends.
	carriedUpload = 1 << 20
)

// newUploadFleet starts a daemon that is cut off from backend servers, and its carrier.
func newUploadFleet(t *testing.T) *testDaemon {
	t.Helper()
	f := newTestFleet(t, 2, 10)
	f.daemons[0].link.cut(false)
	f.daemons[1].link.writeBuffer = smallBuffer
	return f.daemons[0]
}

// carryUpload sends an upload over a carried connection, sends to written once the daemon has written all of
// it, and reads to the end of the connection.
func carryUpload(t *testing.T, d *testDaemon, address string, written chan<- struct{}) (string, error) {
	t.Helper()
	c, err := d.Connect(t.Context(), address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(c, strings.Repeat("x", carriedUpload))
	require.NoError(t, err)
	written <- struct{}{}
	answer, err := io.ReadAll(c)
	return string(answer), err
}

// Guards against an orderly end of a carried connection that the backend server has reset (MIXED): the
// carrier's write of an upload received the reset, and its read the end of the connection.
func TestResetDuringAnUploadIsNoOrderlyEndOfACarriedConnection(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"reset": func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"reset after a part of the upload": func(c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, carriedUpload/2)
			_ = c.SetLinger(0)
		},
		"closed with unread bytes": func(*net.TCPConn) {},
		"closed for writing before": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			written := make(chan struct{})
			address := tcptest.Serve(t, func(c *net.TCPConn) {
				_ = c.SetReadBuffer(smallBuffer)
				_, _ = io.ReadFull(c, make([]byte, 64))
				_, _ = io.WriteString(c, "part")
				<-written
				end(c)
			})
			d := newUploadFleet(t)
			for range 10 {
				answer, err := carryUpload(t, d, address, written)
				require.Error(t, err, "an orderly end after %q", answer)
			}
		})
	}
}

// A connection that ends in order after the upload does so at the daemon.
func TestCarriedAnswerToAnUploadEndsInOrder(t *testing.T) {
	written := make(chan struct{}, 1)
	address := tcptest.Serve(t, func(c *net.TCPConn) {
		_ = c.SetReadBuffer(smallBuffer)
		_, _ = io.CopyN(io.Discard, c, carriedUpload)
		<-written
		_, _ = io.WriteString(c, "answer")
	})
	d := newUploadFleet(t)
	for range 10 {
		answer, err := carryUpload(t, d, address, written)
		require.NoError(t, err)
		require.Equal(t, "answer", answer)
	}
}
