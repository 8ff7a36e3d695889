package dispatch

import (
	"context"
	"strings"
	"sync"
	"time"
)

// stallError ends an attempt that produced no token in time; it is errStalled.
type stallError struct{ silent []string }

// Error implements error.
func (e *stallError) Error() string {
	if len(e.silent) == 0 {
		return errStalled.Error()
	}
	return errStalled.Error() + ", no answer from " + strings.Join(e.silent, " ")
}

// Is makes a stallError an errStalled.
func (e *stallError) Is(target error) bool { return target == errStalled }

// watchdog ends an attempt that is silent for too long. When the bound passes
// it asks the hops whether they answer at all: if one does not, the attempt ends
// at once; if all do, they are slow, and it waits on, twice as long each time up
// to the ceiling. Under load a tight bound then costs a question, not a stream.
type watchdog struct {
	silent func() []string
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	turn  int // grows with each arm and disarm; an answer to an older turn is void
	bound time.Duration
	ceil  time.Duration
}

func (r *run) newWatchdog(ctx context.Context, cancel context.CancelCauseFunc) *watchdog {
	route := r.route
	w := &watchdog{cancel: cancel, silent: func() []string { return r.d.alive.Silent(ctx, route) }}
	w.timer = time.AfterFunc(time.Hour, w.fire)
	w.timer.Stop()
	return w
}

// arm starts waiting for the next event.
func (w *watchdog) arm(bound, ceil time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn++
	w.bound, w.ceil = bound, ceil
	w.timer.Reset(bound)
}

// disarm says that the event has come.
func (w *watchdog) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn++
	w.timer.Stop()
}

func (w *watchdog) fire() {
	w.mu.Lock()
	turn, last := w.turn, w.bound >= w.ceil
	w.mu.Unlock()
	var silent []string
	if !last {
		silent = w.silent()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if turn != w.turn {
		return // the event came meanwhile
	}
	if last || len(silent) > 0 {
		w.cancel(&stallError{silent: silent})
		return
	}
	w.bound = min(2*w.bound, w.ceil)
	w.timer.Reset(w.bound)
}
