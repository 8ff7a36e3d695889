// Package boottime provides a clock that advances while a VM is suspended. The steady clock
// of package time does not, so after a resume it underestimates the age of keys, leases
// and requests.
//
// Use this clock for what must expire. To limit how long this process waits for another
// process, use the steady clock less the stalls of this process (package stall).
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the current time of the clock that counts suspensions, for comparison with
// other times of this clock. On systems without such a clock it is the steady clock, and
// suspensions are not detected; the time of day is no substitute since it may be adjusted.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns the time elapsed since a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Suspended returns how long the VM has been suspended since this process started.
func Suspended() time.Duration { return max(0, suspended()-atStart) + time.Duration(simulated.Load()) }

// simulated is the suspension added by tests, in nanoseconds.
var simulated atomic.Int64

// SimulateSuspension simulates a suspension of the VM that has just ended, for tests. It
// affects the whole process, so no other test may run at the same time.
func SimulateSuspension(d time.Duration) { simulated.Add(int64(d)) }

// atStart is the value of suspended at the start of this process.
var atStart = suspended()

// readAttempts is how often both clocks are read. The time between the reads of the two
// clocks counts as suspended. Taking the minimum of the attempts removes the effect of a
// process that was stopped between the reads of one attempt.
const readAttempts = 2

// suspended returns how long the VM has been suspended since it started.
func suspended() time.Duration {
	shortest, known := time.Duration(0), false
	for range readAttempts {
		steady, steadyOK := read(unix.CLOCK_MONOTONIC)
		boot, bootOK := read(unix.CLOCK_BOOTTIME)
		if !steadyOK || !bootOK {
			return 0
		}
		if d := boot - steady; !known || d < shortest {
			shortest, known = d, true
		}
	}
	return shortest
}

func read(clock int32) (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
