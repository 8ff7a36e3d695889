package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

// Times of a planned stop.
const (
	// balancerMoves is how long the balancer may go on sending connections: it asks
	// once a second and takes a daemon out after two misses.
	balancerMoves = 2800 * time.Millisecond
	// graceMargin is left of the grace for the end of the process.
	graceMargin = 500 * time.Millisecond
	// stopPoll is the pause between two looks at what is still running.
	stopPoll = 50 * time.Millisecond
	// lingers is how long connections are served after the last request, for one
	// that is on its way.
	lingers = 300 * time.Millisecond
)

// stop is the planned stop: readiness fails at once and the duty is given up;
// requests are taken until the balancer has moved; then connections end with
// their requests, and the process before the grace does.
func (g *Gateway) stop(stopDuty context.CancelFunc) {
	began := time.Now()
	_ = level.Info(g.log).Log("msg", "stopping", "in_flight", g.forward.InFlight())
	g.stopping.Store(true)
	stopDuty()
	time.Sleep(balancerMoves)
	g.callers.SetKeepAlivesEnabled(false)
	quietSince := time.Time{}
	for time.Since(began) < g.set.Grace-graceMargin {
		if g.forward.InFlight() > 0 {
			quietSince = time.Time{}
		} else if quietSince.IsZero() {
			quietSince = time.Now()
		} else if time.Since(quietSince) > lingers {
			return
		}
		time.Sleep(stopPoll)
	}
	_ = level.Warn(g.log).Log("msg", "grace is over", "cut_off", g.forward.InFlight())
}

// idleConns closes connections of callers that have rested for too long. The
// limit comes with the configuration and may change, so it is not a setting of
// the HTTP server.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// note is the server's ConnState hook.
func (c *idleConns) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.since[conn] = time.Now()
		return
	}
	delete(c.since, conn)
}

// idleSweep is the pause between two looks at idle connections.
const idleSweep = time.Second

// Run closes idle connections until ctx ends.
func (c *idleConns) Run(ctx context.Context, limit func() time.Duration) {
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

func (c *idleConns) sweep(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.since {
		if now.Sub(since) > limit {
			_ = conn.Close()
			delete(c.since, conn)
		}
	}
}
