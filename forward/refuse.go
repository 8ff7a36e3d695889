package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/site"
)

// Handling of requests without a path, because heads are full or layers are not held by
// any backend server. A request is held only until a known time at which that may change;
// a refused caller is told that time.

// Times of refusals.
const (
	// maxRecoveryHold is the maximum hold of a stream that has begun. Callers give up
	// after a gap of two seconds or slightly more.
	maxRecoveryHold = 3 * time.Second
	// defaultRetryAfter is the retry time of a refusal while it is unknown when there
	// will be a path; some request is likely to end within it.
	defaultRetryAfter = 150 * time.Millisecond
	// retryAfterSpread is the range of the random delay added to retry times, so that
	// callers refused together do not return together. It is less than the time for which
	// a refusal counts.
	retryAfterSpread = 100 * time.Millisecond
)

// holdUntil returns the time until which a request without a path is held: a begun stream
// up to maxRecoveryHold, another request until a backend server that refused work is
// available again. The zero time means not at all.
func (r *run) holdUntil(began, now time.Time) time.Time {
	if r.headSent.Load() {
		return began.Add(maxRecoveryHold)
	}
	return r.f.nextAvailable(r.req.Service, now)
}

// withRetryAfter adds a retry time to a refusal that has none.
func (r *run) withRetryAfter(err error, now time.Time) error {
	var refusal *apierror.Error
	if !errors.As(err, &refusal) || refusal.RetryAfter > 0 || refusal.Kind != apierror.Overloaded && refusal.Kind != apierror.NoRoute {
		return err
	}
	return refusal.WithRetryAfter(r.f.retryAfter(r.req.Service, now))
}

// linksFull refuses a request whose prompt cannot cross the links of a path. If they are
// stuck, the retry time is the latest at which they are free.
func (r *run) linksFull(path site.Path, now time.Time) error {
	err := apierror.New(apierror.Overloaded, "the pipes between failure domains are full")
	if free := r.f.linksFreeIn(path, now); free > 0 {
		return err.WithRetryAfter(free + rand.N(retryAfterSpread))
	}
	return err
}

// retryAfter returns the retry time for a refused caller.
func (f *Forwarder) retryAfter(service string, now time.Time) time.Duration {
	availableAt := f.nextAvailable(service, now)
	if availableAt.IsZero() {
		return defaultRetryAfter
	}
	return availableAt.Sub(now) + rand.N(retryAfterSpread)
}

// nextAvailable returns when the first backend server of a service that refused work is
// available again, the zero time if there is none.
func (f *Forwarder) nextAvailable(service string, now time.Time) time.Time {
	var first time.Time
	for _, s := range f.inv.View().OfService(service) {
		at := f.health.Back(s.ID, now)
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}
