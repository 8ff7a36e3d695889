package overload

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recorded records metrics and log lines.
type recorded struct {
	closed int
	lines  []map[string]any
}

func (r *recorded) ProcessLoad(float64, time.Duration) {}

func (r *recorded) ClosedUnread(n int) { r.closed += n }

func (r *recorded) log(keyvals ...any) {
	line := map[string]any{}
	for i := 0; i < len(keyvals); i += 2 {
		line[keyvals[i].(string)] = keyvals[i+1]
	}
	r.lines = append(r.lines, line)
}

// A server counts requests from when their connection is new until they are answered, and closes
// connections beyond its limit, which is logged when it begins, while it lasts, and when it ends.
func TestGuardedServer(t *testing.T) {
	r := &recorded{}
	g, err := NewGuard(GuardOptions{Others: func() float64 { return 0 }, Metrics: r, Log: r.log})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, g.monitor.opts.Probe.Close()) })
	answer := make(chan struct{})
	srv := &http.Server{ConnState: g.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-answer
		_, _ = io.WriteString(w, "ok")
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(g.Listen(l)) }()
	t.Cleanup(func() {
		require.NoError(t, srv.Close())
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	inFlight := func(n int) {
		require.Eventually(t, func() bool { return g.requests.Count() == n }, 5*time.Second, time.Millisecond, "%d in flight", n)
	}
	var conns []net.Conn
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	for range minLimit {
		conns = append(conns, dial())
	}
	inFlight(minLimit) // nothing was read yet
	now := time.Now()
	g.observe(Load{InFlight: minLimit, Usage: 1}, now)
	for range 3 {
		_, err := dial().Read(make([]byte, 1))
		require.Error(t, err, "closed unread")
	}
	_, err = io.WriteString(conns[0], "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	inFlight(minLimit)
	answer <- struct{}{}
	inFlight(minLimit - 1) // an idle connection has no request
	g.observe(Load{InFlight: minLimit, Usage: 1}, now.Add(loadLogInterval))
	for i := range 20 {
		g.observe(Load{}, now.Add(loadLogInterval+time.Duration(i)*UpdateInterval))
	}
	require.Equal(t, 3, r.closed)
	require.Equal(t, minLimit, r.lines[0]["limit"])
	require.Equal(t, 3, r.lines[1]["closed_unread"])
	require.Equal(t, 0, r.lines[len(r.lines)-1]["limit"])
	require.LessOrEqual(t, len(r.lines), 4)
}
