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

// AfterFunc returns a timer that calls f in a goroutine of its own once the process has
// run for d. Stalls count neither among d nor does f follow one at once.
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

// due reports whether the process has run for the time; if not, the timer goes on. That
// may also be as it was started anew while this call was on its way.
func (t *Timer) due(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.monitor.Held(t.since, now)
	left := t.d - (now.Sub(t.since) - held)
	if left <= 0 {
		return true
	}
	t.timer.Reset(max(left, settle))
	return false
}

// Reset starts the timer anew.
func (t *Timer) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since, t.d = time.Now(), d
	t.timer.Reset(d)
}

// Stop stops the timer; f may be running already.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}

// WithTimeout returns a context that ends with context.DeadlineExceeded as its cause
// once the process has run for d.
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
