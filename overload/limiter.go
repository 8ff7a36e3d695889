// Package overload limits the requests in progress at a process that is short of processor time.
// Beyond that limit, new connections are closed before anything is read from them, so that their
// callers try another process at once. Without a limit all requests are late together, callers
// give up and try again, and the process does less useful work than at its capacity.
//
// The limit follows from what the process measures of itself: the processor time that it uses,
// and how long events wait for it.
package overload

import (
	"math"
	"sync"
	"time"
)

// Bounds of the load.
const (
	// targetUsage leaves processor time for the work that is not proportional to the requests,
	// and for variations of their rate.
	targetUsage = 0.8
	// targetLag is a part of the time within which events must be passed on, since an event
	// waits for the process more than once on its way.
	targetLag = 25 * time.Millisecond
	// fullUsage is the usage of the other processes from which callers gain nothing by going
	// there. Only maxLag bounds the load then.
	fullUsage = 0.7
	maxLag    = 60 * time.Millisecond
)

// pressure returns the load relative to its bound.
func (l Load) pressure() float64 {
	if l.Others >= fullUsage {
		return float64(l.Lag) / float64(maxLag)
	}
	return max(l.Usage/targetUsage, float64(l.Lag)/float64(targetLag))
}

// Steps of the limit.
const (
	// maxDecrease bounds one decrease. The requests that are in progress end seconds later, and
	// the pressure until then is no reason to go further below them.
	maxDecrease = 1.25
	// growth is the largest increase in one step, beside one request.
	growth = 1.02
	// minLimit is the smallest limit.
	minLimit = 4
	// minPressure is the smallest pressure by which the limit is adapted.
	minPressure = 0.01
	// The limit is lifted when the pressure has been below liftPressure, and no connection was
	// refused, for liftAfter.
	liftPressure = 0.75
	liftAfter    = time.Second
	// maxBurst and limitBurst bound the connections admitted between two updates, relative to
	// the mean rate and to the limit. Requests that begin cost more than those in progress and
	// would delay their events.
	maxBurst   = 1.25
	limitBurst = 0.1
	// rateTime is the time constant of that mean.
	rateTime = time.Second
	// maxRefusalTime is the time after which a connection is admitted despite the limit. The
	// load balancer expects that a process that is ready accepts connections.
	maxRefusalTime = time.Second
	// maxUpdateAge is the time after which a limit that is not updated any more has no effect.
	maxUpdateAge = 5 * time.Second
)

// Limiter decides whether new connections are admitted. It is safe for concurrent use.
type Limiter struct {
	mu           sync.Mutex
	limit        float64   // requests in progress, 0 for no limit
	calmSince    time.Time // since when the limit is not needed, zero if it is
	lastAdmitted time.Time
	admitted     int     // since the last update
	rate         float64 // connections admitted per second, mean
	updatedAt    time.Time
	refused      int // since the last call of TakeRefused
}

// Update adapts the limit to the load. It is called every UpdateInterval while the process is
// busy.
func (l *Limiter) Update(load Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateRate(now)
	p := load.pressure()
	if p > 1 {
		l.calmSince = time.Time{}
		next := max(minLimit, float64(load.InFlight)/min(p, maxDecrease))
		if l.limit == 0 || next < l.limit {
			l.limit = next
		}
		return
	}
	if l.limit == 0 {
		return
	}
	l.limit = min(l.limit*growth+1, max(l.limit, float64(load.InFlight)/max(p, minPressure)))
	if p >= liftPressure {
		l.calmSince = time.Time{}
		return
	}
	if l.calmSince.IsZero() {
		l.calmSince = now
	}
	if now.Sub(l.calmSince) >= liftAfter {
		l.limit, l.calmSince = 0, time.Time{}
	}
}

// updateRate updates the rate at which connections are admitted; l.mu must be held.
func (l *Limiter) updateRate(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); !l.updatedAt.IsZero() && elapsed > 0 {
		l.rate += (1 - math.Exp(-float64(elapsed)/float64(rateTime))) * (float64(l.admitted)/elapsed.Seconds() - l.rate)
	}
	l.admitted, l.updatedAt = 0, now
}

// burst returns the number of connections that may be admitted until the next update; l.mu must
// be held.
func (l *Limiter) burst() float64 {
	return 1 + max(limitBurst*l.limit, maxBurst*l.rate*UpdateInterval.Seconds())
}

// Limit returns the number of requests in progress up to which connections are admitted, 0 for
// no limit.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// Refuses reports whether a connection would not be admitted.
func (l *Limiter) Refuses(inFlight int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refuses(inFlight, now)
}

func (l *Limiter) refuses(inFlight int, now time.Time) bool {
	if l.limit == 0 || now.Sub(l.updatedAt) >= maxUpdateAge || now.Sub(l.lastAdmitted) >= maxRefusalTime {
		return false
	}
	return float64(inFlight) >= l.limit || float64(l.admitted) >= l.burst()
}

// Admit decides whether a new connection is admitted.
func (l *Limiter) Admit(inFlight int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuses(inFlight, now) {
		l.refused++
		l.calmSince = time.Time{}
		return false
	}
	l.lastAdmitted = now
	l.admitted++
	return true
}

// TakeRefused returns the number of connections refused since its last call.
func (l *Limiter) TakeRefused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.refused
	l.refused = 0
	return n
}
