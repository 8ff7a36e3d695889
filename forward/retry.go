package forward

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/internal/wait"
)

// Shares of the fleet's retry budget. Daemons do not coordinate: each uses a fraction of
// the retries that its own requests earn, and an even share of the slack.
const (
	// budgetShare is the fraction of the budget that all daemons together use. The rest
	// is for daemons that join or leave within a window.
	budgetShare = 0.8
	// freshShare is the fraction of a daemon's share that is available to requests
	// without an event. The rest is reserved for begun streams.
	freshShare = 0.6
)

// assumedDaemons is the number of daemons assumed to share the slack while the real
// number is unknown. It exceeds any expected number.
const assumedDaemons = 100

// retryPart returns the part of the fleet's budget that a daemon may use for a request.
// begun is set for a stream whose caller has received events. running is the uptime of the
// process, and window the window of the budget. Retries of a previous process within the
// window are unknown, so the slack grows from zero with the cube of the uptime.
func retryPart(daemons int, begun bool, running, window time.Duration) admission.Part {
	if daemons <= 0 {
		daemons = assumedDaemons
	}
	use := budgetShare
	if !begun {
		use *= freshShare
	}
	grown := min(1, running.Seconds()/window.Seconds())
	return admission.Part{Ratio: use, Slack: use * grown * grown * grown / float64(daemons)}
}

func (r *run) retryPart(now time.Time) admission.Part {
	return retryPart(r.f.fleet.Daemons(), r.headSent.Load(), now.Sub(r.f.started), r.f.opts.RetryWindow)
}

// spendRetry takes a retry from the budget and returns when it was taken, the zero time if
// none is left.
func (r *run) spendRetry() time.Time {
	now := time.Now()
	if !r.f.budget.Spend(now, r.retryPart(now)) {
		return time.Time{}
	}
	return now
}

// reserveRetry takes a retry before a send is ended that may still make progress, and
// reports whether it got one. Many streams may stall at once, and a stream whose send is
// ended while no retry is left is cut off.
func (r *run) reserveRetry() bool {
	if r.reserved.Load() != nil {
		return true
	}
	at := r.spendRetry()
	if at.IsZero() {
		return false
	}
	r.reserved.Store(&at)
	return true
}

// takeRetry uses the reserved retry, or takes one now, and reports whether the next send is
// allowed. No retry is needed until a send has reached a backend server: the budget bounds
// the sends that reach backend servers beyond the first one of each request. A daemon of a
// large fleet has a retry every few minutes and would otherwise refuse most requests whose
// head has just died.
func (r *run) takeRetry() bool {
	r.retryTakenAt = time.Time{}
	if reserved := r.reserved.Swap(nil); reserved != nil {
		r.retryTakenAt = *reserved
		return true
	}
	if !r.reached {
		return true
	}
	r.retryTakenAt = r.spendRetry()
	return !r.retryTakenAt.IsZero()
}

// returnRetry returns the retry of a send that reached no backend server.
func (r *run) returnRetry() {
	if !r.retryTakenAt.IsZero() {
		r.f.budget.Return(r.retryTakenAt)
		r.retryTakenAt = time.Time{}
	}
}

// awaitRetry takes a retry and reports whether it got one. Begun streams and requests that
// wait under contention poll for a retry, since the budget grows with each request; for other
// requests it returns at once.
func (r *run) awaitRetry(ctx context.Context) bool {
	if r.yieldsRetry() {
		return false
	}
	if r.takeRetry() {
		return true
	}
	until := r.waitsUntil()
	if r.headSent.Load() {
		until = time.Now().Add(maxRecoveryHold)
	}
	for time.Now().Before(until) && wait.For(ctx, pollInterval) {
		if r.takeRetry() {
			return true
		}
	}
	return false
}

// pauseBegun waits before the next send of a begun stream whose last send did not run. The
// pause is longer after a refusal, until backend servers have capacity again. pauseBegun
// returns false if ctx ends or the last event is maxRecoveryHold old.
func (r *run) pauseBegun(ctx context.Context) bool {
	r.refusals++
	pause := pollInterval
	if r.tracker.State() == execution.Refused {
		pause = r.nextPause()
	}
	return time.Since(r.lastEventAt) < maxRecoveryHold && wait.For(ctx, pause)
}

// nextPause returns the pause after a refusal, which grows exponentially.
func (r *run) nextPause() time.Duration {
	if r.refusalBackoff == nil {
		r.refusalBackoff = backoff.NewExponentialBackOff()
		r.refusalBackoff.InitialInterval = minRefusalDelay
		r.refusalBackoff.MaxInterval = maxRefusalDelay
		r.refusalBackoff.Multiplier = 2
		r.refusalBackoff.RandomizationFactor = refusalJitter
	}
	return r.refusalBackoff.NextBackOff()
}
