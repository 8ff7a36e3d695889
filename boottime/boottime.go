// Package boottime has the clock that goes on while a VM is suspended. The steady clock
// of package time stands still meanwhile, so what it measures is younger than it seems
// once the VM wakes: keys that were taken away, leases that others hold by now, requests
// whose callers have left.
//
// Of two uses of time one must not be mixed up with the other: what must expire goes by
// this clock; how long this process waits for another one goes by the steady clock,
// less its stalls (package stall).
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the present time on the clock that counts suspended time, for comparison
// with other times of it. Where the system has no such clock it is the steady clock, and
// a suspension goes unnoticed: the time of day may jump for other reasons.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns how long ago a time of this clock was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how long it is until a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Suspended returns for how long the VM has been suspended since this process started.
func Suspended() time.Duration { return max(0, suspended()-atStart) + time.Duration(pretended.Load()) }

// pretended is what tests add to the time for which the VM was suspended.
var pretended atomic.Int64

// Pretend has the VM look as if it had just been suspended for a time, in tests: as in a
// suspension, no other test may run meanwhile.
func Pretend(d time.Duration) { pretended.Add(int64(d)) }

var atStart = suspended()

// readTries is how often both clocks are read: what passes between the two counts as
// suspended, and a process that is stopped just there passes that once.
const readTries = 2

// suspended returns for how long the VM has been suspended since it started.
func suspended() time.Duration {
	least, known := time.Duration(0), false
	for range readTries {
		steady, ok := read(unix.CLOCK_MONOTONIC)
		since, also := read(unix.CLOCK_BOOTTIME)
		if !ok || !also {
			return 0
		}
		if d := since - steady; !known || d < least {
			least, known = d, true
		}
	}
	return least
}

func read(clock int32) (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
