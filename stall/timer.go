package stall

import (
	"context"
	"sync"
	"time"
)

// Timer calls a function once the process has run for some time.
type Timer struct {
	monitor *Monitor
	call    func()

	mu    sync.Mutex
	timer *time.Timer
	since time.Time
	d     time.Duration
}

// AfterFunc returns a timer that calls f in its own goroutine once the process has run for
// d. Stalls do not count towards d, and f is not called immediately after one.
func (m *Monitor) AfterFunc(d time.Duration, f func()) *Timer {
	t := &Timer{monitor: m, call: f, since: time.Now(), d: d}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, t.fire)
	return t
}

func (t *Timer) fire() {
	if !t.due(time.Now()) {
		return
	}
	t.call()
}

// due reports whether the process has run for the duration. Otherwise it re-arms the timer,
// also if Reset was called while this call was pending.
func (t *Timer) due(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	stalled := t.monitor.StallTime(t.since, now)
	left := t.d - (now.Sub(t.since) - stalled)
	if left <= 0 {
		return true
	}
	t.timer.Reset(max(left, settleTime))
	return false
}

// Reset restarts the timer.
func (t *Timer) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since, t.d = time.Now(), d
	t.timer.Reset(d)
}

// Stop stops the timer. f may already be running.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}

// WithTimeout returns a context that ends with the cause context.DeadlineExceeded once the
// process has run for d.
func (m *Monitor) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if m == nil {
		return context.WithTimeout(ctx, d)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	t := m.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}
