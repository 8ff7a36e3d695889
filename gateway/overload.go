package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/overload"
)

// loadLogInterval is the minimum time between two log lines about the load of this process.
const loadLogInterval = time.Second

// loadLogger logs the load of this process while it is busy.
type loadLogger struct {
	g *Gateway

	mu       sync.Mutex
	loggedAt time.Time
}

// loggedUsage and loggedLag are the bounds from which the load is logged.
const (
	loggedUsage = 0.7
	loggedLag   = 25 * time.Millisecond
)

func (l *loadLogger) observe(load overload.Load, now time.Time) {
	l.g.metrics.ProcessLoad(load.Usage, load.Lag)
	l.mu.Lock()
	defer l.mu.Unlock()
	if load.Usage < loggedUsage && load.Lag < loggedLag || now.Sub(l.loggedAt) < loadLogInterval {
		return
	}
	l.loggedAt = now
	l.g.log.Add("process_load", "usage", round(load.Usage), "lag", load.Lag.Round(time.Millisecond), "in_flight", load.InFlight, "others_usage", round(load.Others))
}

// round rounds a fraction to percents.
func round(fraction float64) float64 { return float64(int(100*fraction+0.5)) / 100 }

// newLoadMonitor returns the monitor of this process's load.
func (g *Gateway) newLoadMonitor() (*overload.Monitor, error) {
	probe, err := overload.NewPipe()
	if err != nil {
		return nil, err
	}
	l := &loadLogger{g: g}
	return overload.NewMonitor(overload.Options{
		Processors: g.set.CPUs, Probe: probe, InFlight: g.conns.inFlight, Others: g.forward.Loads().OthersUsage, Observe: l.observe,
	}), nil
}

// monitorLoad measures the load of this process until ctx ends.
func (g *Gateway) monitorLoad(ctx context.Context) {
	if err := g.loadMonitor.Run(ctx); err != nil {
		_ = level.Error(g.log).Log("msg", "the load of this process is not measured", "err", err)
	}
}
