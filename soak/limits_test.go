package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/platform/sitetrial"
	"github.com/snowspoke/snowspoke/platform/standin"
)

// Bounds on the calls that a backend server with a limit may get. From limitDelay after
// it first reported a limit, the calls within any limitWindow must not exceed limitFactor
// times the limit plus limitSlack. A limit has reached all daemons limitPropagation after the
// report. A daemon that was started, frozen, resumed or cut off within tolerancePeriod may
// send toleratedCalls more, as it may not know the limit yet.
const (
	limitWindow      = 4 * time.Second
	limitDelay       = 3 * time.Second
	limitPropagation = 500 * time.Millisecond
	limitFactor      = 1.5
	limitSlack       = 5
	toleratedCalls   = 4
	tolerancePeriod  = 3 * time.Second
)

// maxLimitInterval is the maximum time until further backend servers report limits.
const maxLimitInterval = 4 * time.Second

// reportLimits makes random backend servers report limits that change and end, until ctx
// ends.
func (f *faults) reportLimits(ctx context.Context, r *rand.Rand) {
	for wait.For(ctx, time.Duration(r.Int64N(int64(maxLimitInterval)))) {
		all := f.site.Servers()
		for range 1 + r.IntN(3) {
			srv, first, then := all[r.IntN(len(all))], r.IntN(len(limitRates)), r.IntN(len(limitRates))
			f.reporters.Go(func() { reportLimit(ctx, srv, first, then) })
		}
	}
}

// limitRates are the limits that backend servers report, in calls per second.
var limitRates = []string{"0", "0.5", "2", "6"}

// reportLimit makes a backend server report one limit and then another, each for a second
// longer than limitDelay, and then none.
func reportLimit(ctx context.Context, srv *sitetrial.Server, first, then int) {
	for _, rate := range []int{first, then} {
		srv.SetLimit(limitRates[rate])
		wait.For(ctx, limitDelay+time.Second)
	}
	srv.SetLimit("")
}

// clearLimits waits for running reports and removes the limits of all backend servers.
func (f *faults) clearLimits() {
	f.reporters.Wait()
	for _, srv := range f.site.Servers() {
		srv.SetLimit("")
	}
}

// noteDisturbance records that a daemon was started, frozen, resumed or cut off now.
func (f *faults) noteDisturbance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbedAt = append(f.disturbedAt, time.Now())
}

// tolerated returns the number of calls tolerated in a window on top of the limit.
func (f *faults) tolerated(from, to time.Time) int {
	n := 0
	for _, at := range f.disturbedAt {
		if at.Add(tolerancePeriod).After(from) && at.Before(to) {
			n += toleratedCalls
		}
	}
	return n
}

// checkLimits checks that no backend server got more calls than its limit allows in any
// window. Calls from before the limit reached the daemons count too: if they exceed the
// bound, only tolerated calls may follow in the window. If the limit changed within the
// window, the highest value applies.
func (f *faults) checkLimits(seed uint64) {
	for _, srv := range f.site.Servers() {
		arrivals := srv.Arrivals()
		for i, last := range arrivals {
			if last.Limit == "" || last.At.Sub(last.Since) < limitDelay {
				continue
			}
			before, after, rate := countCalls(arrivals[:i+1], last)
			tolerated := float64(f.tolerated(last.At.Add(-limitWindow), last.At))
			remaining := max(0, limitFactor*rate*limitWindow.Seconds()+limitSlack-float64(before))
			if !assert.LessOrEqual(f.t, float64(after), remaining+tolerated, "seed %d: %s with a limit of %g, %d calls before", seed, srv.ID, rate, before) {
				return
			}
		}
	}
}

// countCalls counts the calls in the window that ends with last: those before and those
// after the limit reached all daemons. rate is the highest limit reported in the window.
func countCalls(arrivals []standin.Arrival, last standin.Arrival) (before, after int, rate float64) {
	for _, a := range arrivals {
		if last.At.Sub(a.At) >= limitWindow {
			continue
		}
		if a.At.Before(last.Since.Add(limitPropagation)) {
			before++
		} else {
			after++
		}
		if a.Limit == "" {
			continue
		}
		if r, err := strconv.ParseFloat(a.Limit, 64); err == nil {
			rate = max(rate, r)
		}
	}
	return before, after, rate
}
