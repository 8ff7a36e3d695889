package gateway

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/overload"
)

const (
	// loadLogInterval is the minimum time between two log lines about the load of this process.
	loadLogInterval = time.Second
	// loggedUsage and loggedLag are the bounds from which the load is logged.
	loggedUsage = 0.7
	loggedLag   = 25 * time.Millisecond
)

// overloadGuard limits the requests that this process reads while it is short of processor time.
type overloadGuard struct {
	g       *Gateway
	limiter *overload.Limiter
	monitor *overload.Monitor

	// Only used by observe.
	loggedAt time.Time
	limited  bool // as logged last
	closed   int  // connections closed unread since the last log line
}

func newOverloadGuard(g *Gateway) (*overloadGuard, error) {
	probe, err := overload.NewPipe()
	if err != nil {
		return nil, err
	}
	o := &overloadGuard{g: g, limiter: &overload.Limiter{}}
	o.monitor = overload.NewMonitor(overload.Options{
		Processors: g.set.CPUs, Probe: probe, InFlight: g.conns.inFlight, Others: g.forward.Loads().OthersUsage, Observe: o.observe,
		ObserveLag: g.stalls.NoteLag,
	})
	g.stalls.SetLag(o.monitor.WaitingSince)
	return o, nil
}

// listen wraps the listener for callers.
func (o *overloadGuard) listen(l net.Listener) net.Listener {
	return overload.NewListener(l, o.limiter, o.g.conns.inFlight)
}

// run measures the load of this process until ctx ends.
func (o *overloadGuard) run(ctx context.Context) {
	if err := o.monitor.Run(ctx); err != nil {
		_ = level.Error(o.g.log).Log("msg", "the load of this process is not measured", "err", err)
	}
}

// observe adapts the limit to the load, and logs both while the process is busy and whenever a
// limit begins or ends.
func (o *overloadGuard) observe(load overload.Load, now time.Time) {
	o.limiter.Update(load, now)
	limit, closed := o.limiter.Limit(), o.limiter.TakeRefused()
	o.closed += closed
	o.g.metrics.ProcessLoad(load.Usage, load.Lag)
	o.g.metrics.ClosedUnread(closed)
	busy := load.Usage >= loggedUsage || load.Lag >= loggedLag || limit > 0
	if o.limited == (limit > 0) && (!busy || now.Sub(o.loggedAt) < loadLogInterval) {
		return
	}
	o.g.log.Add("process_load", "usage", inPercent(load.Usage), "lag", load.Lag.Round(time.Millisecond), "in_flight", load.InFlight,
		"others_usage", inPercent(load.Others), "limit", limit, "closed_unread", o.closed)
	o.loggedAt, o.limited, o.closed = now, limit > 0, 0
}

// inPercent rounds a fraction to whole percents.
func inPercent(fraction float64) int { return int(math.Round(100 * fraction)) }
