package overload

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// loadLogInterval is the minimum time between two log lines about the load of the process.
	loadLogInterval = time.Second
	// loggedUsage and loggedLag are the bounds from which the load is logged.
	loggedUsage = 0.7
	loggedLag   = 25 * time.Millisecond
)

// Metrics records the load of the process.
type Metrics interface {
	// ProcessLoad records Load.Usage and Load.Lag.
	ProcessLoad(usage float64, lag time.Duration)
	// ClosedUnread counts connections that were closed unread.
	ClosedUnread(connections int)
}

// GuardOptions configure a Guard.
type GuardOptions struct {
	// Processors is the number of processors that the process may use, in fractions, 0 for
	// those that the operating system offers.
	Processors float64
	Others     func() float64           // see Load
	ObserveLag func(from, to time.Time) // see Options; it may be nil
	Metrics    Metrics
	Log        func(keyvals ...any) // one line about the load
}

// Guard limits the requests that a server reads while the process is short of processor time.
type Guard struct {
	opts     GuardOptions
	requests InFlight
	limiter  Limiter
	monitor  *Monitor

	// Only used by observe.
	loggedAt time.Time
	limited  bool // as logged last
	closed   int  // connections closed unread since the last log line
}

// NewGuard returns a Guard; Run must be called.
func NewGuard(o GuardOptions) (*Guard, error) {
	probe, err := NewPipe()
	if err != nil {
		return nil, err
	}
	g := &Guard{opts: o}
	g.monitor = NewMonitor(Options{
		Processors: o.Processors, Probe: probe, InFlight: g.requests.Count, Others: o.Others, Observe: g.observe, ObserveLag: o.ObserveLag,
	})
	return g, nil
}

// Track is a hook for http.Server.ConnState.
func (g *Guard) Track(c net.Conn, s http.ConnState) { g.requests.Track(c, s) }

// Listen wraps the listener of the server.
func (g *Guard) Listen(l net.Listener) net.Listener {
	return NewListener(l, &g.limiter, g.requests.Count)
}

// Usage returns the processor time that the process uses, see Load.
func (g *Guard) Usage() float64 { return g.monitor.Usage() }

// WaitingSince returns since when an event has waited for the process, the zero time if none does.
func (g *Guard) WaitingSince() time.Time { return g.monitor.WaitingSince() }

// Run measures the load until ctx ends. An error means that it is not measured any more.
func (g *Guard) Run(ctx context.Context) error { return g.monitor.Run(ctx) }

// observe adapts the limit to the load, and logs both while the process is busy and whenever a
// limit begins or ends.
func (g *Guard) observe(load Load, now time.Time) {
	g.limiter.Update(load, now)
	limit, closed := g.limiter.Limit(), g.limiter.TakeRefused()
	g.closed += closed
	g.opts.Metrics.ProcessLoad(load.Usage, load.Lag)
	g.opts.Metrics.ClosedUnread(closed)
	busy := load.Usage >= loggedUsage || load.Lag >= loggedLag || limit > 0
	if g.limited == (limit > 0) && (!busy || now.Sub(g.loggedAt) < loadLogInterval) {
		return
	}
	g.opts.Log("usage", inPercent(load.Usage), "lag", load.Lag.Round(time.Millisecond), "in_flight", load.InFlight,
		"others_usage", inPercent(load.Others), "limit", limit, "closed_unread", g.closed)
	g.loggedAt, g.limited, g.closed = now, limit > 0, 0
}

// inPercent rounds a fraction to whole percents.
func inPercent(fraction float64) int { return int(math.Round(100 * fraction)) }

// InFlight counts the requests that a server reads or answers, including those that are expected on
// new connections. It is safe for concurrent use.
type InFlight struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Track is a hook for http.Server.ConnState.
func (f *InFlight) Track(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s {
	case http.StateNew, http.StateActive:
		if f.conns == nil {
			f.conns = map[net.Conn]struct{}{}
		}
		f.conns[c] = struct{}{}
	default:
		delete(f.conns, c)
	}
}

// Count returns the number of requests.
func (f *InFlight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}
