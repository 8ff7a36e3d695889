package untilclose

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// get10 sends an HTTP/1.0 request and reads the answer to the end of the connection.
func get10(t *testing.T, srv *httptest.Server) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	if srv.TLS != nil {
		pool := x509.NewCertPool()
		pool.AddCert(srv.Certificate())
		c = tls.Client(c, &tls.Config{RootCAs: pool, ServerName: "example.com", MinVersion: tls.VersionTLS13})
	}
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	_, body, _ := strings.Cut(string(answer), "\r\n\r\n")
	return body, err
}

// large exceeds the buffers of the server and of the sockets.
var large = strings.Repeat("0123456789abcdef", 1<<20)

// An answer that ends with its connection ends in order exactly if the caller has got all
// of it.
func TestOnlyCompleteAnswersEndInOrder(t *testing.T) {
	part := func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
	}
	for name, c := range map[string]struct {
		body     string
		complete bool
		serve    func(w http.ResponseWriter, srv *httptest.Server, g *Guard)
	}{
		"complete":       {"part", true, func(w http.ResponseWriter, _ *httptest.Server, _ *Guard) { part(w) }},
		"complete large": {large, true, func(w http.ResponseWriter, _ *httptest.Server, _ *Guard) { _, _ = io.WriteString(w, large) }},
		"aborted": {"part", false, func(w http.ResponseWriter, _ *httptest.Server, _ *Guard) {
			part(w)
			panic(http.ErrAbortHandler)
		}},
		"aborted at once": {"", false, func(http.ResponseWriter, *httptest.Server, *Guard) { panic(http.ErrAbortHandler) }},
		"write failed": {"part", false, func(w http.ResponseWriter, _ *httptest.Server, _ *Guard) {
			part(w)
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(-time.Second))
			_, _ = io.WriteString(w, "rest")
		}},
		"server closed": {"part", false, func(w http.ResponseWriter, srv *httptest.Server, g *Guard) {
			part(w)
			g.Reset()
			_ = srv.Config.Close()
		}},
	} {
		for _, secure := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, TLS %v", name, secure), func(t *testing.T) {
				t.Parallel()
				var g Guard
				srv := httptest.NewUnstartedServer(nil)
				srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.serve(w, srv, &g) })
				g.Protect(srv.Config)
				if secure {
					srv.StartTLS()
				} else {
					srv.Start()
				}
				defer srv.Close()
				body, err := get10(t, srv)
				require.Equal(t, c.complete, err == nil, "%v", err)
				require.True(t, body == c.body, "%d bytes", len(body))
			})
		}
	}
}
