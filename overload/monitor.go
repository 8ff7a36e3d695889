package overload

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/snowspoke/snowspoke/internal/wait"
)

const (
	// UpdateInterval is the time between two updates of the limit while the process is busy.
	UpdateInterval = 100 * time.Millisecond
	// calmInterval is the time between two samples of the usage of a process that is not busy.
	calmInterval = 250 * time.Millisecond
	// probeInterval is the time between two samples of the lag. They are taken only while the
	// process is busy, as they cost processor time.
	probeInterval = 20 * time.Millisecond
	// The process is busy from busyUsage or busyLag on, or if a timer is late by busyLag. It
	// stays busy for busyTime after that.
	busyUsage = 0.4
	busyLag   = 15 * time.Millisecond
	busyTime  = time.Second
)

// Options configure a Monitor.
type Options struct {
	// Processors is the number of processors that the process may use, in fractions, 0 for
	// those that the operating system offers.
	Processors  float64
	ProcessTime func() time.Duration // ProcessTime if nil
	Probe       Probe
	InFlight    func() int
	Others      func() float64 // see Load
	// Observe receives the load every UpdateInterval while the process is busy, and every
	// calmInterval otherwise.
	Observe func(load Load, now time.Time)
	// ObserveLag receives from when to when an event waited for the process. It may be nil.
	ObserveLag func(from, to time.Time)
}

// Monitor measures the load of the process.
type Monitor struct {
	opts  Options
	usage *usageMeter
	lag   lagMeter

	lastUsage atomic.Uint64 // bits of a float64

	// Only used by Run.
	busyUntil time.Time
	updatedAt time.Time
}

// NewMonitor returns a Monitor; Run must be called.
func NewMonitor(o Options) *Monitor {
	if o.ProcessTime == nil {
		o.ProcessTime = ProcessTime
	}
	if o.ObserveLag == nil {
		o.ObserveLag = func(_, _ time.Time) {}
	}
	return &Monitor{opts: o, usage: newUsageMeter(o.Processors, o.ProcessTime)}
}

// Usage returns Load.Usage as measured last.
func (m *Monitor) Usage() float64 { return math.Float64frombits(m.lastUsage.Load()) }

// WaitingSince returns since when an event has waited for the process, the zero time if none does.
func (m *Monitor) WaitingSince() time.Time { return m.lag.pendingSince() }

// Run measures until ctx ends or the probe fails, and closes the probe.
func (m *Monitor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	received := make(chan struct{})
	go func() {
		defer close(received)
		cancel(m.receive())
	}()
	for {
		due := time.Now().Add(m.interval())
		if !wait.For(ctx, time.Until(due)) {
			break
		}
		if err := m.step(due, time.Now()); err != nil {
			cancel(err)
		}
	}
	err := m.opts.Probe.Close()
	<-received
	if cause := context.Cause(ctx); cause != context.Canceled {
		err = fmt.Errorf("overload: probe: %w", cause)
	}
	return err
}

func (m *Monitor) interval() time.Duration {
	if m.busyUntil.IsZero() {
		return calmInterval
	}
	return probeInterval
}

// step takes the samples that are due.
func (m *Monitor) step(due, now time.Time) error {
	if now.Sub(due) > busyLag {
		m.busyUntil = now.Add(busyTime)
	}
	if now.Sub(m.updatedAt) >= UpdateInterval {
		m.update(now)
	}
	if m.busyUntil.IsZero() || !m.lag.begin(due) {
		return nil
	}
	return m.opts.Probe.Send()
}

func (m *Monitor) update(now time.Time) {
	m.updatedAt = now
	load := Load{InFlight: m.opts.InFlight(), Usage: m.usage.sample(now), Lag: m.lag.mean(now), Others: m.opts.Others()}
	m.lastUsage.Store(math.Float64bits(load.Usage))
	if load.Usage >= busyUsage || load.Lag >= busyLag {
		m.busyUntil = now.Add(busyTime)
	}
	if now.After(m.busyUntil) {
		m.busyUntil = time.Time{}
	}
	m.opts.Observe(load, now)
}

func (m *Monitor) receive() error {
	for {
		if err := m.opts.Probe.Receive(); err != nil {
			return err
		}
		now := time.Now()
		m.opts.ObserveLag(m.lag.end(now), now)
	}
}
