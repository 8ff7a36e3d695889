package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/site"
)

// A request has no path if heads are full or if no backend server holds some layers. It is
// held only until a known time at which that may change. The refusal of a request states
// when the caller should retry.

// Times of refusals.
const (
	// maxRecoveryHold is the maximum time for which a begun stream is held. Callers give
	// up after a gap of two seconds or slightly more.
	maxRecoveryHold = 3 * time.Second
	// defaultRetryAfter is the retry time of a refusal if it is unknown when there will
	// be a path. Some request is likely to end within this time.
	defaultRetryAfter = 150 * time.Millisecond
	// retryAfterSpread is the range of the random delay that is added to retry times, so
	// that callers refused together do not return together. It is shorter than the
	// cooldown of a backend server after a refusal.
	retryAfterSpread = 100 * time.Millisecond
)

// holdUntil returns the time until which a request without a path is held: a begun stream
// for maxRecoveryHold, another request until a backend server that refused work is
// available again. It returns the zero time if the request is not held.
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

// linksFull returns the refusal of a request that may not use the cross-domain links of a
// path. If a link is stuck, the retry time is when all are expected to be free.
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

// nextAvailable returns the earliest time at which a backend server of a service that
// refused work is available again, the zero time if there is none.
func (f *Forwarder) nextAvailable(service string, now time.Time) time.Time {
	var first time.Time
	for _, s := range f.inv.View().OfService(service) {
		at := f.health.RefusedUntil(s.ID, now)
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}
