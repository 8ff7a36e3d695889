package stall

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns for how long the VM has been suspended since it started: the
// steady clock stands still meanwhile, the one since the start does not. It is 0 where
// the system has no such clock: suspension then goes unnoticed, as the time of day may
// jump for other reasons.
func suspendedTime() time.Duration {
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

// readTries is how often both clocks are read: what passes between the two counts as
// suspended, and a process that is stopped just there passes that once.
const readTries = 2

func read(clock int32) (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
