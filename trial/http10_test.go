package trial

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/api"
	"github.com/snowspoke/snowspoke/topology"
)

// loopbackWorld starts a world with one daemon on the operating system's network, and waits
// until the daemon serves.
func loopbackWorld(t *testing.T) *World {
	t.Helper()
	w, err := NewWorld(1, Loopback, log.NewNopLogger())
	require.NoError(t, err)
	t.Cleanup(w.Close)
	w.waitForToken(t)
	return w
}

// waitForToken waits until the daemon can serve and knows the token of requests.
func (w *World) waitForToken(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		resp, err := w.post10(t, "/services/"+Service+"/a", "wait")
		return w.Daemons[0].canServe() && err == nil && resp.StatusCode == http.StatusOK
	}, 5*time.Second, 50*time.Millisecond)
}

// send writes a request on a new connection. It does not check that the body is whole.
func (w *World) send(t *testing.T, path, version, body string, headers ...string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", w.Daemons[0].cfg.Listen.Callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(c, "POST %s HTTP/%s\r\nHost: snowspoke\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n%s", path, version, Token, strings.Join(headers, "\r\n"), body)
	require.NoError(t, err)
	return c.(*net.TCPConn)
}

func (w *World) post10(t *testing.T, path, body string, headers ...string) (*http.Response, error) {
	t.Helper()
	c := w.send(t, path, "1.0", body, append(headers, fmt.Sprint("Content-Length: ", len(body)))...)
	return http.ReadResponse(bufio.NewReader(c), nil)
}

// A long reply that its service broke off ends with a reset for an HTTP/1.0 caller.
func TestTruncatedReplyIsResetForHTTP10(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 400<<10))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer broken.Close()
	w := loopbackWorld(t)
	w.Platform.Set(string(topology.KindService), "long", &topology.Service{Endpoints: []topology.Endpoint{
		{Name: "long-1", Address: broken.Listener.Addr().String(), FailureDomain: "bogota-1"},
	}})
	var err error
	require.Eventually(t, func() bool { // until the service is known
		var resp *http.Response
		if resp, err = w.post10(t, "/services/long/x", ""); err != nil || resp.StatusCode != http.StatusOK {
			return err != nil
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return true
	}, 5*time.Second, 50*time.Millisecond)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// The crash of a daemon resets the streams of its HTTP/1.0 callers. A stream that ends
// during a planned stop is complete.
func TestStreamOfAKilledDaemonIsResetForHTTP10(t *testing.T) {
	w := loopbackWorld(t)
	body := fmt.Sprintf(`{"model":%q,"prompt":"p","max_tokens":500,"stream":true}`, Model)
	for _, crash := range []bool{false, true} {
		w.waitForToken(t)
		resp, err := w.post10(t, "/v1/completions", body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		cycled := make(chan error, 1)
		go func() { cycled <- w.Daemons[0].Cycle(crash, 0) }()
		stream, err := io.ReadAll(resp.Body)
		require.NoError(t, <-cycled)
		if crash {
			require.ErrorIs(t, err, syscall.ECONNRESET)
		} else {
			require.NoError(t, err)
		}
		require.Equal(t, crash, !strings.HasSuffix(string(stream), "data: [DONE]\n\n"))
	}
}

// An answer that is kept under an idempotency key has a length, so that an HTTP/1.0
// connection can be kept after it.
func TestHTTP10ConnectionIsKeptAfterAKeyedCall(t *testing.T) {
	w := loopbackWorld(t)
	resp, err := w.post10(t, "/services/"+Service+"/a", "x", "Connection: keep-alive", api.HeaderKey+": k")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Positive(t, resp.ContentLength)
	require.False(t, resp.Close)
}
