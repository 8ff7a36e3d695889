package forward

import (
	"context"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
)

// deadlines cancels requests whose deadline has passed. Timers stop while the VM is
// suspended, so deadlines are checked again when it resumes; a backend server would otherwise
// get time that the caller does not have. It is safe for concurrent use.
type deadlines struct {
	mu  sync.Mutex
	all map[*deadline]struct{}
}

type deadline struct {
	at  time.Time // on the clock of package boottime
	end context.CancelCauseFunc
}

func newDeadlines() *deadlines { return &deadlines{all: map[*deadline]struct{}{}} }

// withDeadline returns a context that is canceled at a time with context.DeadlineExceeded
// as its cause.
func (d *deadlines) withDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithTimeout(ctx, boottime.Until(at))
	ctx, end := context.WithCancelCause(ctx)
	entry := &deadline{at: at, end: end}
	d.mu.Lock()
	d.all[entry] = struct{}{}
	d.mu.Unlock()
	return ctx, func() {
		d.mu.Lock()
		delete(d.all, entry)
		d.mu.Unlock()
		end(context.Canceled)
		stop()
	}
}

// expire cancels the requests whose deadline has passed and returns their number.
func (d *deadlines) expire() int {
	now := boottime.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for entry := range d.all {
		if !now.Before(entry.at) {
			entry.end(context.DeadlineExceeded)
			n++
		}
	}
	return n
}

// onWake drops outdated state and cancels expired requests after a suspension of the VM.
func (f *Forwarder) onWake(suspended time.Duration) {
	f.loads.forgetOthers()
	f.log.Add("woken", "suspended", suspended.Round(time.Millisecond), "deadlines_passed", f.deadlines.expire(),
		"config_age", f.inv.Age(boottime.Now()).Round(time.Millisecond))
}
