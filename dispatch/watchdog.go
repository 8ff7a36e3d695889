package dispatch

import (
	"context"
	"strings"
	"sync"
	"time"
)

// stallError is an errStalled with the hops that do not answer.
type stallError struct{ silent []string }

// Error implements error.
func (e *stallError) Error() string {
	if len(e.silent) == 0 {
		return errStalled.Error()
	}
	return errStalled.Error() + ", no answer from " + strings.Join(e.silent, " ")
}

// Is reports whether target is errStalled.
func (e *stallError) Is(target error) bool { return target == errStalled }

// watchdog ends an attempt whose next event does not arrive in time. When the
// bound passes it probes the hops: if one does not answer, the attempt ends at
// once; if all answer, it keeps waiting and doubles the bound up to the ceiling. A
// tight bound therefore costs a probe under load, but does not break streams.
type watchdog struct {
	silent func() []string
	cancel context.CancelCauseFunc

	mu         sync.Mutex
	timer      *time.Timer
	generation int // incremented by arm and disarm; probes of an older generation are ignored
	bound      time.Duration
	ceiling    time.Duration
}

func (r *run) newWatchdog(ctx context.Context, cancel context.CancelCauseFunc) *watchdog {
	route := r.route
	w := &watchdog{cancel: cancel, silent: func() []string { return r.d.prober.Unresponsive(ctx, route) }}
	w.timer = time.AfterFunc(time.Hour, w.onTimeout)
	w.timer.Stop()
	return w
}

// arm starts the timer for the next event.
func (w *watchdog) arm(bound, ceiling time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.generation++
	w.bound, w.ceiling = bound, ceiling
	w.timer.Reset(bound)
}

// disarm stops the timer after the event has arrived.
func (w *watchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.generation++
	w.timer.Stop()
}

// onTimeout runs when the timer expires.
func (w *watchdog) onTimeout() {
	w.mu.Lock()
	generation, last := w.generation, w.bound >= w.ceiling
	w.mu.Unlock()
	var silent []string
	if !last {
		silent = w.silent()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if generation != w.generation {
		return // the event arrived during the probe
	}
	if last || len(silent) > 0 {
		w.cancel(&stallError{silent: silent})
		return
	}
	w.bound = min(2*w.bound, w.ceiling)
	w.timer.Reset(w.bound)
}
