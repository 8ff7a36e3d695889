package httpbackend

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/network"
)

// restartingEndpoint replies until close. Its listener outlives its processes.
type restartingEndpoint struct {
	net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]bool // of the running process
	cut    bool              // the process ends inside its next reply
	idle   time.Duration     // after which connections without a request are closed, 0 for never
	before time.Duration     // before a reply
}

func newRestartingEndpoint(t *testing.T, idle, before time.Duration) *restartingEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &restartingEndpoint{Listener: l, conns: map[net.Conn]bool{}, idle: idle, before: before}
	t.Cleanup(func() { _ = l.Close(); e.restart() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	return e
}

// restart closes all connections, as the end of a process does.
func (e *restartingEndpoint) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
	clear(e.conns)
}

func (e *restartingEndpoint) serve(c net.Conn) {
	if e.idle > 0 {
		_ = c.SetReadDeadline(time.Now().Add(e.idle))
	}
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		_ = c.Close()
		return
	}
	time.Sleep(e.before)
	e.mu.Lock()
	cut := e.cut
	e.mu.Unlock()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc")
	if cut {
		e.restart()
		return
	}
	_, _ = io.WriteString(c, "def")
	_ = c.Close()
}

func (e *restartingEndpoint) call(t *testing.T, s *Services) (string, error) {
	t.Helper()
	reply, err := s.Call(t.Context(), backend.Target{Address: e.Addr().String()}, &backend.ServiceCall{Method: http.MethodGet, Path: "/"})
	require.NoError(t, err)
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return string(data), err
}

func newTestServices() *Services {
	n := network.NewSystem(time.Second)
	return NewServices(network.Client(n, 1), n.DialContext, "http")
}

// A process that starts again at its address at once accepts connections, but has closed those
// of the process before.
func TestReplyOfARestartedEndpointIsNotComplete(t *testing.T) {
	e, s := newRestartingEndpoint(t, 0, 0), newTestServices()
	body, err := e.call(t, s)
	require.NoError(t, err)
	require.Equal(t, "abcdef", body)
	e.mu.Lock()
	e.cut = true
	e.mu.Unlock()
	for range 20 {
		_, err = e.call(t, s)
		require.ErrorIs(t, err, execution.ErrLost)
	}
}

// An endpoint closes connections on which no request arrives. That does not discard its replies.
func TestIdleTimeoutDoesNotDiscardAReply(t *testing.T) {
	e, s := newRestartingEndpoint(t, 30*time.Millisecond, witnessWindow+100*time.Millisecond), newTestServices()
	for range 2 {
		body, err := e.call(t, s)
		require.NoError(t, err)
		require.Equal(t, "abcdef", body)
	}
}
