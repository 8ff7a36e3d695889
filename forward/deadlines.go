package forward

import (
	"context"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
)

// deadlines ends requests whose time is up. Timers stand still while the VM is
// suspended: after that the deadlines that have passed meanwhile are looked for, so that
// no backend server is given time that the caller does not have. It is safe for
// concurrent use.
type deadlines struct {
	mu  sync.Mutex
	all map[*deadline]struct{}
}

type deadline struct {
	at  time.Time // on the clock of package boottime
	end context.CancelCauseFunc
}

func newDeadlines() *deadlines { return &deadlines{all: map[*deadline]struct{}{}} }

// with returns a context that ends with context.DeadlineExceeded as its cause at a time.
func (d *deadlines) with(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithTimeout(ctx, boottime.Until(at))
	ctx, end := context.WithCancelCause(ctx)
	one := &deadline{at: at, end: end}
	d.mu.Lock()
	d.all[one] = struct{}{}
	d.mu.Unlock()
	return ctx, func() {
		d.mu.Lock()
		delete(d.all, one)
		d.mu.Unlock()
		end(context.Canceled)
		stop()
	}
}

// passed ends the requests whose deadline has passed, and returns how many there were.
func (d *deadlines) passed() int {
	now := boottime.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for one := range d.all {
		if !now.Before(one.at) {
			one.end(context.DeadlineExceeded)
			n++
		}
	}
	return n
}

// wake is called when the VM has been suspended for a time.
func (f *Forwarder) wake(suspended time.Duration) {
	f.loads.forgetOthers()
	f.log.Add("woken", "suspended", suspended.Round(time.Millisecond), "deadlines_passed", f.deadlines.passed(),
		"config_age", f.inv.Age(boottime.Now()).Round(time.Millisecond))
}
