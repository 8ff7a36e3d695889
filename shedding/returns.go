package shedding

import "time"

// Returns schedules the return of refused callers, so that they come back at the pace at which
// requests of their class are admitted instead of together. It is not safe for concurrent
// use.
type Returns struct {
	due    map[Class]time.Time // of the last slot taken
	random func() float64
}

const (
	// minReturnTime is the least time after which a refused caller returns. Capacity does not
	// become available sooner than a request ends.
	minReturnTime = 150 * time.Millisecond
	// returnSpread is the range of the random part of return times. Without it, callers that are
	// refused at the same time by many daemons would return at the same time.
	returnSpread = 100 * time.Millisecond
)

// NewReturns returns a schedule without refused callers. random returns values in [0, 1).
func NewReturns(random func() float64) *Returns {
	return &Returns{due: map[Class]time.Time{}, random: random}
}

// Next returns after which time the next refused caller of a class should return, 0 if it does
// not accept minReturnTime. pace is the number of requests of the class that this daemon
// admits per second. latest is the longest time that the caller accepts; callers who would be
// due later share it and take no slot.
func (r *Returns) Next(class Class, pace float64, latest time.Duration, now time.Time) time.Duration {
	if latest < minReturnTime {
		return 0
	}
	wait := latest
	if interval := 1 / pace; interval >= 0 && interval < latest.Seconds() {
		due := r.due[class]
		if due.Before(now) {
			due = now
		}
		due = due.Add(time.Duration(interval * float64(time.Second)))
		until := max(minReturnTime, due.Sub(now))
		if until <= latest {
			wait, r.due[class] = until, now.Add(until)
		}
	}
	base := max(minReturnTime, min(wait, latest-returnSpread))
	return base + time.Duration(r.random()*float64(min(returnSpread, latest-base)))
}
