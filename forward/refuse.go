package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/site"
)

// What becomes of a request for which there is no path. This answers the moments in
// which heads are full and refuse, or layers lie nowhere. A request is held only until
// something is known to change, and its caller is told to come back when it does.

// Times of refusals.
const (
	// recoverHold is the longest hold of a stream that has begun: callers give up
	// after a gap of two seconds or a little more, and until then a path may come.
	recoverHold = 3 * time.Second
	// retryAfter is what a refused caller is told while nobody knows when there will be
	// a path again: long enough for some request to end.
	retryAfter = 150 * time.Millisecond
	// returnSpread is the time over which refused callers come back, so that those who
	// are refused together do not return together: less than the time for which a
	// refusal counts.
	returnSpread = 100 * time.Millisecond
)

// holdUntil returns until when a request without a path is held. A stream that has
// begun has much to lose. Another one waits only if it is known when that may change:
// when a backend server that refused work is asked again. Held instead for a fifth of
// its objective whatever was known, as much was served (-0.002 +- 0.005 of worth, 15
// days of trouble with six daemons), and callers heard of it later.
func (r *run) holdUntil(began, now time.Time) time.Time {
	if r.headSent.Load() {
		return began.Add(recoverHold)
	}
	return r.f.nextBack(r.req.Service, now)
}

// sayWhen adds to a refusal when its caller may come back.
func (r *run) sayWhen(err error, now time.Time) error {
	var refusal *apierror.Error
	if !errors.As(err, &refusal) || refusal.RetryAfter > 0 || refusal.Kind != apierror.Overloaded && refusal.Kind != apierror.NoRoute {
		return err
	}
	return refusal.WithRetryAfter(r.f.returnAfter(r.req.Service, now))
}

// pipesFull refuses a request whose prompt cannot go through the pipes of a path. Where
// they are stuck its caller is told when they are free at the latest.
func (r *run) pipesFull(path site.Path, now time.Time) error {
	err := apierror.New(apierror.Overloaded, "the pipes between failure domains are full")
	if free := r.f.pipeFree(path, now); free > 0 {
		return err.WithRetryAfter(free + rand.N(returnSpread))
	}
	return err
}

// returnAfter returns when a refused caller may come back.
func (f *Forwarder) returnAfter(service string, now time.Time) time.Duration {
	back := f.nextBack(service, now)
	if back.IsZero() {
		return retryAfter
	}
	return back.Sub(now) + rand.N(returnSpread)
}

// nextBack returns when the first backend server of a service that refused work is
// asked again, the zero time if none is known.
func (f *Forwarder) nextBack(service string, now time.Time) time.Time {
	var first time.Time
	for _, s := range f.inv.View().OfService(service) {
		at := f.health.Back(s.ID, now)
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}
