package shedding

import "time"

// Returns schedules the return of refused callers, so that they come back at the pace at which
// requests of their class are admitted instead of together. It is not safe for concurrent
// use.
type Returns struct {
	due map[Class]time.Time // of the caller refused last
}

// minReturnTime is the least time after which a refused caller returns. Capacity does not
// become available sooner than a request ends.
const minReturnTime = 150 * time.Millisecond

// NewReturns returns a schedule without refused callers.
func NewReturns() *Returns { return &Returns{due: map[Class]time.Time{}} }

// Next returns after which time the next refused caller of a class should return. pace is
// the number of requests of the class that this daemon admits per second. latest is the
// longest time that the caller accepts; callers who would be due later share it.
func (r *Returns) Next(class Class, pace float64, latest time.Duration, now time.Time) time.Duration {
	interval := latest
	if pace > 0 {
		interval = min(latest, time.Duration(float64(time.Second)/pace))
	}
	due := r.due[class]
	if due.Before(now) {
		due = now
	}
	due = due.Add(interval)
	if last := now.Add(latest); due.After(last) {
		due = last
	}
	r.due[class] = due
	return max(minReturnTime, due.Sub(now))
}
