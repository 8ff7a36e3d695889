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

const (
	// balancerDelay is how long the load balancer may go on sending connections after
	// readiness fails. It checks once a second and removes a daemon after two failures.
	balancerDelay = 2800 * time.Millisecond
	// graceMargin is the part of the grace that is reserved for the end of the process.
	graceMargin = 500 * time.Millisecond
	// stopPollInterval is the time between two checks for running requests.
	stopPollInterval = 50 * time.Millisecond
	// quietPeriod is how long no byte from a caller may have arrived before the process
	// ends.
	quietPeriod = 300 * time.Millisecond
)

// stage is the progress of a planned stop.
type stage int32

const (
	serving  stage = iota
	closing        // responses close their connections
	refusing       // new requests are refused
)

// stop performs a planned stop. Readiness fails and the placement lease is released at
// once; connections close with their responses. After balancerDelay idle connections are
// closed and new requests are refused. It returns when no requests and no connections of
// other daemons are left, at the latest graceMargin before the end of the grace.
func (g *Gateway) stop(stopRoles context.CancelFunc) {
	began := time.Now()
	_ = level.Info(g.log).Log("msg", "stopping", "in_flight", g.forward.InFlight())
	g.stage.Store(int32(closing))
	g.carrier.Stop()
	stopRoles()
	time.Sleep(balancerDelay)
	g.conns.closeIdle()
	g.stage.Store(int32(refusing))
	for time.Since(began) < g.set.Grace-graceMargin {
		if g.conns.quiet(quietPeriod) && g.carrier.Carried() == 0 {
			return
		}
		time.Sleep(stopPollInterval)
	}
	_ = level.Warn(g.log).Log("msg", "grace period is over", "cut_off", g.forward.InFlight(), "carried", g.carrier.Carried())
}

// isRefusing reports whether new requests are refused because the daemon is stopping.
func (g *Gateway) isRefusing() bool { return stage(g.stage.Load()) >= refusing }

// refuseWhenStopping closes connections with their responses once the daemon stops, and
// refuses requests that arrive after balancerDelay, since a stream might not end within
// the grace.
func (g *Gateway) refuseWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stage(g.stage.Load()) >= closing {
			w.Header()["Connection"] = []string{"close"}
		}
		if g.isRefusing() {
			g.ingress.RefuseStopping(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// callerConns tracks the connections of callers: which of them are idle, and when a byte
// last arrived. It closes connections that are idle for too long. The limit comes from
// the configuration and may change, so http.Server's IdleTimeout is not used.
type callerConns struct {
	mu       sync.Mutex
	all      map[*trackedConn]struct{}
	active   map[net.Conn]struct{} // a request is being read or answered
	lastRead atomic.Int64          // when a byte last arrived, in Unix nanoseconds
}

func newCallerConns() *callerConns {
	return &callerConns{all: map[*trackedConn]struct{}{}, active: map[net.Conn]struct{}{}}
}

// listen wraps a listener to track its connections.
func (c *callerConns) listen(l net.Listener) net.Listener { return trackedListener{l, c} }

type trackedListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.conns.lastRead.Store(time.Now().UnixNano())
	tc := &trackedConn{Conn: c, conns: l.conns, idleSince: time.Now()}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.all[tc] = struct{}{}
	return tc, nil
}

// trackedConn is a caller's connection that records since when it is idle. Reading a
// byte and closing an idle connection exclude each other, so that a request that has
// been read is never cut off.
type trackedConn struct {
	net.Conn
	conns *callerConns

	mu        sync.Mutex
	idleSince time.Time // zero while a request is in progress
	closed    bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.conns.lastRead.Store(time.Now().UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.idleSince = time.Time{}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.all, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// markIdle marks the connection as idle from now on.
func (c *trackedConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Now()
}

// markActive marks the connection as not idle. It returns false if the connection is closed.
func (c *trackedConn) markActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	return !c.closed
}

// closeIfIdle closes the connection if it has been idle for minIdle.
func (c *trackedConn) closeIfIdle(now time.Time, minIdle time.Duration) {
	c.mu.Lock()
	idle := !c.idleSince.IsZero() && now.Sub(c.idleSince) >= minIdle
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}

// connKey is the context key of the net.Conn of a caller.
type connKey struct{}

// trackRequests marks the connection of each request as active. The server does not do so for a
// request that it has read together with the one before it.
func (g *Gateway) trackRequests(s *http.Server) {
	next, withConn := s.Handler, s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(withConn(ctx, c), connKey{}, c)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(net.Conn)
		if !g.conns.begin(c) {
			panic(http.ErrAbortHandler)
		}
		g.overload.Track(c, http.StateActive)
		next.ServeHTTP(w, r)
	})
}

// begin records that a request on a connection is answered from now on. It returns false if the
// connection was closed as idle before.
func (c *callerConns) begin(conn net.Conn) bool {
	if tc, ok := conn.(*trackedConn); ok && !tc.markActive() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active[conn] = struct{}{}
	return true
}

// trackState is the server's ConnState hook.
func (c *callerConns) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, conn)
	switch state {
	case http.StateIdle:
		if tc, ok := conn.(*trackedConn); ok {
			tc.markIdle()
		}
	case http.StateActive:
		c.active[conn] = struct{}{}
	}
}

// closeIdle closes all idle connections.
func (c *callerConns) closeIdle() { c.sweep(time.Now(), 0) }

// quiet reports whether no request is being read or answered and no byte has arrived
// for d.
func (c *callerConns) quiet(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0 && time.Since(time.Unix(0, c.lastRead.Load())) >= d
}

// sweepInterval is the time between two checks for idle connections.
const sweepInterval = time.Second

// Run closes connections that are idle for longer than limit until ctx ends. A limit of
// 0 disables it.
func (c *callerConns) Run(ctx context.Context, limit func() time.Duration) {
	t := time.NewTicker(sweepInterval)
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

// sweep closes the connections that have been idle for minIdle.
func (c *callerConns) sweep(now time.Time, minIdle time.Duration) {
	c.mu.Lock()
	conns := make([]*trackedConn, 0, len(c.all))
	for tc := range c.all {
		conns = append(conns, tc)
	}
	c.mu.Unlock()
	for _, tc := range conns {
		tc.closeIfIdle(now, minIdle)
	}
}
