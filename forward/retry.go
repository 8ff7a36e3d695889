package forward

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/internal/wait"
)

// Shares of the fleet's retry budget. Daemons do not ask each other: each keeps
// to a part of what its own requests earn and an even part of the slack.
const (
	// budgetUse is the part of the budget that all daemons together use; the rest
	// is for daemons that come and go within a window.
	budgetUse = 0.8
	// freshUse is the part of a daemon's share that requests may use that have no
	// event yet: a stream that has begun has more to lose.
	freshUse = 0.6
)

// unknownDaemons is how many daemons are taken to share the slack while nobody
// could tell: more than there are today.
const unknownDaemons = 100

// retryPart returns this daemon's part of the fleet's budget for a request; begun
// says that it is a stream of which the caller has events. running is how long
// this process has run, window that of the budget: a process that was started
// again does not know what its predecessor spent within the window, so its slack
// grows from none, slowly at first.
func retryPart(daemons int, begun bool, running, window time.Duration) admission.Part {
	if daemons <= 0 {
		daemons = unknownDaemons
	}
	use := budgetUse
	if !begun {
		use *= freshUse
	}
	grown := min(1, running.Seconds()/window.Seconds())
	return admission.Part{Ratio: use, Slack: use * grown * grown * grown / float64(daemons)}
}

func (r *run) retryPart(now time.Time) admission.Part {
	return retryPart(r.f.fleet.Daemons(), r.headSent.Load(), now.Sub(r.f.started), r.f.opts.RetryWindow)
}

// spendRetry takes a retry of the request out of the budget and returns when, the zero
// time if none is left.
func (r *run) spendRetry() time.Time {
	now := time.Now()
	if !r.f.budget.Spend(now, r.retryPart(now)) {
		return time.Time{}
	}
	return now
}

// reserveRetry takes a retry before a send is ended that may still be going on:
// many streams stand still together, and one that ends without a retry left is
// an answer cut off for nothing but silence.
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

// takeRetry uses what was reserved, or takes a retry now. Until a send has reached a
// backend server none is needed: the budget bounds what reaches them beyond the first
// send of each request. Of 300 daemons, with a retry in some minutes each, most refused the
// requests for which they chose a head that had just died.
func (r *run) takeRetry() bool {
	r.paidAt = time.Time{}
	if reserved := r.reserved.Swap(nil); reserved != nil {
		r.paidAt = *reserved
		return true
	}
	if !r.reached {
		return true
	}
	r.paidAt = r.spendRetry()
	return !r.paidAt.IsZero()
}

// returnRetry gives the retry of a send back that reached no backend server.
func (r *run) returnRetry() {
	if !r.paidAt.IsZero() {
		r.f.budget.Return(r.paidAt)
		r.paidAt = time.Time{}
	}
}

// awaitRetry takes a retry. A stream that has begun waits for one as it waits for
// a path: the budget earns more with each request, and its caller stays for a
// while. Others are answered at once.
func (r *run) awaitRetry(ctx context.Context) bool {
	if r.takeRetry() {
		return true
	}
	if !r.headSent.Load() {
		return false
	}
	for until := time.Now().Add(recoverHold); time.Now().Before(until) && wait.For(ctx, holdStep); {
		if r.takeRetry() {
			return true
		}
	}
	return false
}

// pauseBegun pauses before the next send of a begun stream that did not run: backend
// servers that are full have room again after a while, others than one that is dead have it
// now. It returns false once the stream has stood still for longer than its caller stays.
func (r *run) pauseBegun(ctx context.Context) bool {
	r.refusals++
	pause := holdStep
	if r.life.State() == execution.Refused {
		pause = r.nextPause()
	}
	return time.Since(r.lastAt) < recoverHold && wait.For(ctx, pause)
}

// nextPause returns the pause after a refusal, which grows with each.
func (r *run) nextPause() time.Duration {
	if r.pause == nil {
		r.pause = backoff.NewExponentialBackOff()
		r.pause.InitialInterval = refusedPause
		r.pause.MaxInterval = refusedPauseMost
		r.pause.Multiplier = 2
		r.pause.RandomizationFactor = refusedJitter
	}
	return r.pause.NextBackOff()
}
