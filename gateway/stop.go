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
	// closesAfter is when answers begin to close their connections: before, a
	// caller that reconnects could come back to this daemon.
	closesAfter = 2000 * time.Millisecond
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
	serving stage = iota
	stopping
	closing  // answers close their connections
	refusing // new requests are refused
)

// stop is the planned stop: readiness fails at once and the duty is given up;
// requests are taken until the balancer has moved; then connections end with
// their requests, and the process before the grace does. Idle connections are
// left open until then: one that is closed may just carry a request.
func (g *Gateway) stop(stopDuty context.CancelFunc) {
	began := time.Now()
	_ = level.Info(g.log).Log("msg", "stopping", "in_flight", g.forward.InFlight())
	g.stage.Store(int32(stopping))
	stopDuty()
	time.Sleep(closesAfter)
	g.stage.Store(int32(closing))
	time.Sleep(balancerMoves - closesAfter)
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
	idle   map[net.Conn]time.Time // since when
	active map[net.Conn]struct{}
	heard  atomic.Int64 // when a byte last came, in nanoseconds
}

func newCallerConns() *callerConns {
	return &callerConns{idle: map[net.Conn]time.Time{}, active: map[net.Conn]struct{}{}}
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
	return &heardConn{c, l.conns}, nil
}

type heardConn struct {
	net.Conn
	conns *callerConns
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.conns.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// note is the server's ConnState hook.
func (c *callerConns) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, conn)
	delete(c.active, conn)
	switch state {
	case http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = struct{}{}
	}
}

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

func (c *callerConns) sweep(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if now.Sub(since) > limit {
			_ = conn.Close()
			delete(c.idle, conn)
		}
	}
}
