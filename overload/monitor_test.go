package overload

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/internal/wait"
)

// delayed is a Probe whose round trips take a given time.
type delayed struct {
	sent chan struct{}

	mu     sync.Mutex
	delay  time.Duration
	trips  int
	closed context.Context
	close  context.CancelFunc
}

func newDelayed(delay time.Duration) *delayed {
	ctx, cancel := context.WithCancel(context.Background())
	return &delayed{sent: make(chan struct{}, 1), delay: delay, closed: ctx, close: cancel}
}

func (d *delayed) Send() error {
	d.sent <- struct{}{}
	return nil
}

var errClosed = errors.New("closed")

func (d *delayed) Receive() error {
	select {
	case <-d.sent:
	case <-d.closed.Done():
		return errClosed
	}
	d.mu.Lock()
	delay := d.delay
	d.trips++
	d.mu.Unlock()
	if !wait.For(d.closed, delay) {
		return errClosed
	}
	return nil
}

func (d *delayed) Close() error {
	d.close()
	return nil
}

// setDelay sets the delay of later round trips and returns the number of earlier ones.
func (d *delayed) setDelay(delay time.Duration) (trips int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
	return d.trips
}

// process is a process that uses a given fraction of two processors.
type process struct {
	mu    sync.Mutex
	usage float64
	used  time.Duration
	at    time.Time
}

func (p *process) set(usage float64) {
	p.time()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage = usage
}

func (p *process) time() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !p.at.IsZero() {
		p.used += time.Duration(2 * p.usage * float64(now.Sub(p.at)))
	}
	p.at = now
	return p.used
}

// observed is the load observed last.
type observed struct {
	mu   sync.Mutex
	load Load
}

func (o *observed) set(l Load, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.load = l
}

func (o *observed) get() Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.load
}

func runMonitor(t *testing.T, p *process, probe Probe) (*Monitor, *observed) {
	o := &observed{}
	m := NewMonitor(Options{
		Processors: 2, ProcessTime: p.time, Probe: probe, Observe: o.set,
		InFlight: func() int { return 7 }, Others: func() float64 { return 0.25 },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return m, o
}

// The usage is a fraction of the processors that the process may use, and the lag is that of the
// probe. Both follow changes within a second.
func TestLoadFollowsTheProcess(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		p, probe := &process{}, newDelayed(time.Millisecond)
		m, o := runMonitor(t, p, probe)
		for _, c := range []struct {
			usage float64
			lag   time.Duration
		}{{0.5, 40 * time.Millisecond}, {0.9, 2 * time.Millisecond}, {0.6, 90 * time.Millisecond}} {
			p.set(c.usage)
			probe.setDelay(c.lag)
			time.Sleep(1500 * time.Millisecond)
			load := o.get()
			require.InDelta(t, c.usage, load.Usage, 0.05)
			require.InDelta(t, c.usage, m.Usage(), 0.05)
			require.InDelta(t, float64(c.lag), float64(load.Lag), float64(5*time.Millisecond))
			require.Equal(t, 7, load.InFlight)
			require.Equal(t, 0.25, load.Others)
		}
	})
}

// A process that is not busy takes no samples of the lag.
func TestCalmProcessIsNotProbed(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		p, probe := &process{}, newDelayed(time.Millisecond)
		_, o := runMonitor(t, p, probe)
		p.set(0.2)
		time.Sleep(5 * time.Second)
		require.Zero(t, probe.setDelay(time.Millisecond))
		require.InDelta(t, 0.2, o.get().Usage, 0.05)
	})
}

// A round trip that does not end counts as it grows, up to a bound.
func TestPendingRoundTripCounts(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		p, probe := &process{}, newDelayed(time.Millisecond)
		_, o := runMonitor(t, p, probe)
		p.set(0.9)
		time.Sleep(2 * time.Second)
		require.Less(t, o.get().Lag, 5*time.Millisecond)
		probe.setDelay(time.Hour)
		time.Sleep(300 * time.Millisecond)
		require.Greater(t, o.get().Lag, 25*time.Millisecond)
		time.Sleep(2 * time.Second)
		require.Equal(t, maxLagSample, o.get().Lag)
	})
}

// A probe that fails ends the monitor with its error.
func TestFailedProbeEndsTheMonitor(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		probe := newDelayed(time.Millisecond)
		m := NewMonitor(Options{
			Probe: probe, Observe: func(Load, time.Time) {}, InFlight: func() int { return 0 }, Others: func() float64 { return 1 },
		})
		require.NoError(t, probe.Close())
		require.ErrorIs(t, m.Run(t.Context()), errClosed)
	})
}

// Bytes of the pipe arrive, and closing it ends a read.
func TestPipe(t *testing.T) {
	p, err := NewPipe()
	require.NoError(t, err)
	for range 3 {
		require.NoError(t, p.Send())
		require.NoError(t, p.Receive())
	}
	received := make(chan error, 1)
	go func() { received <- p.Receive() }()
	require.NoError(t, p.Close())
	require.Error(t, <-received)
}
