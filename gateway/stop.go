package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
)

// Times of a planned stop, from its beginning unless said otherwise.
const (
	// balancerMoves is how long the balancer may go on sending connections: it asks
	// once a second and takes a daemon out after two misses.
	balancerMoves = 2800 * time.Millisecond
	// graceMargin is left of the grace for the end of the process.
	graceMargin = 500 * time.Millisecond
	// stopPoll is the pause between two looks at what is still running.
	stopPoll = 50 * time.Millisecond
	// quietFor is how long no caller may have sent a byte before the process ends.
	quietFor = 300 * time.Millisecond
)

// stage is how far a planned stop is.
type stage int32

const (
	serving  stage = iota
	closing        // answers close their connections
	refusing       // new requests are refused
)

// stop is the planned stop: readiness fails at once and the duty is given up;
// connections end with their requests. Once the balancer has moved, connections
// that rest are closed, and the process ends before the grace does.
func (g *Gateway) stop(stopDuty context.CancelFunc) {
	began := time.Now()
	_ = level.Info(g.log).Log("msg", "stopping", "in_flight", g.forward.InFlight())
	g.stage.Store(int32(closing))
	stopDuty()
	time.Sleep(balancerMoves)
	g.conns.closeResting()
	g.stage.Store(int32(refusing))
	for time.Since(began) < g.set.Grace-graceMargin {
		if g.conns.quiet(quietFor) {
			return
		}
		time.Sleep(stopPoll)
	}
	_ = level.Warn(g.log).Log("msg", "grace is over", "cut_off", g.forward.InFlight())
}

// refuseLate closes connections with their answers once the daemon stops, and
// refuses requests that come after the balancer has moved: a stream might not
// end within the grace.
func (g *Gateway) refuseLate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		at := stage(g.stage.Load())
		if at >= closing {
			w.Header()["Connection"] = []string{"close"}
		}
		if at >= refusing {
			g.ingress.RefuseStopping(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// callerConns follows the connections of callers: which of them rest, and when
// a byte last came. It closes those that have rested for too long; the limit
// comes with the configuration and may change, so it is not a setting of the
// HTTP server.
type callerConns struct {
	mu     sync.Mutex
	all    map[*heardConn]struct{}
	active map[net.Conn]struct{} // a request is being read or answered
	heard  atomic.Int64          // when a byte last came, in nanoseconds
}

func newCallerConns() *callerConns {
	return &callerConns{all: map[*heardConn]struct{}{}, active: map[net.Conn]struct{}{}}
}

// listen wraps a listener so that arriving bytes are noticed.
func (c *callerConns) listen(l net.Listener) net.Listener { return heardListener{l, c} }

type heardListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l heardListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.conns.heard.Store(time.Now().UnixNano())
	h := &heardConn{Conn: c, conns: l.conns, since: time.Now()}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.all[h] = struct{}{}
	return h, nil
}

// heardConn is a caller's connection that knows whether it rests. A byte that
// arrives and the closing of a resting connection exclude each other: a request
// that was read is never cut off by it.
type heardConn struct {
	net.Conn
	conns *callerConns

	mu     sync.Mutex
	since  time.Time // resting since then; zero while a request is on it
	closed bool
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.conns.heard.Store(time.Now().UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.since = time.Time{}
	return n, err
}

// Close implements net.Conn.
func (c *heardConn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.all, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

func (c *heardConn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = time.Now()
}

// closeIfResting closes the connection if it has rested for so long.
func (c *heardConn) closeIfResting(now time.Time, least time.Duration) {
	c.mu.Lock()
	resting := !c.since.IsZero() && now.Sub(c.since) >= least
	c.closed = c.closed || resting
	c.mu.Unlock()
	if resting {
		_ = c.Close()
	}
}

// note is the server's ConnState hook.
func (c *callerConns) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, conn)
	switch state {
	case http.StateIdle:
		if h, ok := conn.(*heardConn); ok {
			h.rest()
		}
	case http.StateActive:
		c.active[conn] = struct{}{}
	}
}

// closeResting closes the connections that rest now.
func (c *callerConns) closeResting() { c.sweep(time.Now(), 0) }

// quiet reports whether no request is being read or answered and no byte came
// for a while.
func (c *callerConns) quiet(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0 && time.Since(time.Unix(0, c.heard.Load())) >= d
}

// idleSweep is the pause between two looks at idle connections.
const idleSweep = time.Second

// Run closes idle connections until ctx ends.
func (c *callerConns) Run(ctx context.Context, limit func() time.Duration) {
	t := time.NewTicker(idleSweep)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if d := limit(); d > 0 {
				c.sweep(now, d)
			}
		}
	}
}

func (c *callerConns) sweep(now time.Time, least time.Duration) {
	c.mu.Lock()
	conns := make([]*heardConn, 0, len(c.all))
	for h := range c.all {
		conns = append(conns, h)
	}
	c.mu.Unlock()
	for _, h := range conns {
		h.closeIfResting(now, least)
	}
}
