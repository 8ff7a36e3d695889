package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// proxy stands between one daemon and the store and can be cut without a word.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cut   chan struct{}
	conns []net.Conn
}

func newProxy(t *testing.T, to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: l, to: to, cut: make(chan struct{})}
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.conns {
			_ = c.Close()
		}
	})
	go p.accept()
	return p
}

func (p *proxy) silence() { close(p.cut) }

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		go p.pass(in, out)
		go p.pass(out, in)
	}
}

// pass copies until the proxy is cut; then what comes is swallowed.
func (p *proxy) pass(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		select {
		case <-p.cut:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// follows waits until the second daemon follows the first.
func follows(t *testing.T, first, second *running) {
	t.Helper()
	require.Eventually(t, func() bool { return first.relay.Reading() && !second.relay.Reading() }, 6*time.Second, 20*time.Millisecond)
}

func TestSourceThatIsCutOffFromTheStoreIsLeft(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.putConfig()
	w.servers("plain", "", "plain-1")
	p := newProxy(t, w.store.Address())
	first := w.daemon("daemon-1", func(s *site.Settings) { s.Store = p.listener.Addr().String() }).ready(t, 1)
	second := w.daemon("daemon-2", nil).ready(t, 1)
	follows(t, first, second)
	p.silence()
	w.putConfig()
	changed := time.Now()
	require.Eventually(t, func() bool {
		return second.inv.View().Config.Version == uint64(w.version)
	}, 3*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(changed), 2*time.Second, "the bound on configurations")
}

func TestDaemonsThatAreNotReachableArePassedOver(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.putConfig()
	w.servers("plain", "", "plain-1")
	first := w.daemon("daemon-1", nil).ready(t, 1)
	first.Kill() // its record stays
	second := w.daemon("daemon-2", nil).ready(t, 1)
	w.putConfig()
	require.Eventually(t, func() bool {
		return second.inv.View().Config.Version == uint64(w.version)
	}, 2*time.Second, 5*time.Millisecond)
	require.Equal(t, http.StatusOK, second.call(t, call{method: "GET", path: "/plain/"}).status)
}

func TestLoadsOfTheDaemonsAreAddedUp(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.putConfig()
	heads, _ := w.pipeline(1, 1)
	heads[0].Events, heads[0].EveryGap = 400, 10*time.Millisecond
	first := w.daemon("daemon-1", nil).ready(t, 2)
	second := w.daemon("daemon-2", nil).ready(t, 2)
	follows(t, first, second)
	for range 3 {
		go first.call(t, call{method: "POST", path: "/stream/"})
	}
	require.Eventually(t, func() bool {
		return second.forward.Loads().Of(heads[0].ID, 2, time.Now()).Running == 3
	}, 2*time.Second, 10*time.Millisecond)
}
