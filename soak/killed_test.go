package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/sitetrial"
)

// The death of the daemon's process resets the connections of HTTP/1.0 callers, to whom an
// orderly close is the end of the answer.
func TestKilledDaemonResetsHTTP10Streams(t *testing.T) {
	site := sitetrial.New([]string{"a"}, 2, 2, 2)
	t.Cleanup(site.Close)
	for _, srv := range site.Servers() {
		srv.Events, srv.EventGap = streamEvents, streamGap
	}
	p := newProcess(t, "daemon-0", "a", site.Store.Address())
	require.Eventually(t, p.isReady, 10*time.Second, 20*time.Millisecond)
	c, err := net.Dial("tcp", p.callers)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.0\r\nHost: %s\r\nAuthorization: Bearer %s\r\nSnowspoke-Request-Id: old\r\nContent-Length: 0\r\n\r\n",
		sitetrial.StreamPath, sitetrial.Host, sitetrial.Key)
	require.NoError(t, err)
	first := make([]byte, 4<<10)
	n, err := c.Read(first)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(first[:n]), fmt.Sprint("HTTP/1.0 ", http.StatusOK)), "%s", first[:n])
	p.signal(syscall.SIGKILL)
	rest, err := io.ReadAll(c)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.NotContains(t, string(rest), fmt.Sprintf("id: %d\n", streamEvents))
}
