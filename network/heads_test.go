package network

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/framing"
)

// scriptedServer answers the requests on each connection with these responses, one after the other, and
// counts requests and connections. conf is nil without TLS.
type scriptedServer struct {
	address               string
	requests, connections atomic.Int32
}

func newScriptedServer(t *testing.T, conf *tls.Config, responses ...string) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	if conf != nil {
		l = tls.NewListener(l, conf)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedServer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			s.connections.Add(1)
			go s.serve(c, responses)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn, responses []string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, response := range responses {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		s.requests.Add(1)
		_, _ = io.WriteString(c, response)
	}
	_, _ = r.ReadByte() // until the client closes
}

func get(t *testing.T, client *http.Client, url string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	require.NoError(t, err)
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

const (
	validResponse   = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	invalidResponse = "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody"
)

// Each response on a kept connection is checked, with and without TLS. A request without a body, which the
// transport may repeat after a failure of a kept connection, is not.
func TestHeadsOnKeptConnectionsAreChecked(t *testing.T) {
	srv := httptest.NewUnstartedServer(nil)
	srv.StartTLS()
	defer srv.Close()
	pool := x509.NewCertPool()
	pool.AddCert(srv.Certificate())
	for scheme, conf := range map[string]*tls.Config{"http": nil, "https": srv.TLS} {
		t.Run(scheme, func(t *testing.T) {
			s := newScriptedServer(t, conf, validResponse, validResponse, invalidResponse, validResponse)
			client := TLSClient(NewSystem(time.Second), 1, &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13})
			defer client.CloseIdleConnections()
			for range 2 {
				body, err := get(t, client, scheme+"://"+s.address)
				require.NoError(t, err)
				require.Equal(t, "body", body)
			}
			_, err := get(t, client, scheme+"://"+s.address)
			require.ErrorIs(t, err, framing.ErrInvalidHead)
			require.EqualValues(t, 3, s.requests.Load())
			require.EqualValues(t, 1, s.connections.Load())
		})
	}
}

// The name of a server is verified.
func TestServersOfOtherNamesAreRefused(t *testing.T) {
	srv := httptest.NewTLSServer(http.NotFoundHandler())
	defer srv.Close()
	pool := x509.NewCertPool()
	pool.AddCert(srv.Certificate())
	client := TLSClient(NewSystem(time.Second), 1, &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13, ServerName: "other.invalid"})
	_, err := get(t, client, srv.URL)
	var wrongName x509.HostnameError
	require.ErrorAs(t, err, &wrongName)
}
