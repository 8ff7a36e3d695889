package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/availability"
	"github.com/snowspoke/snowspoke/pipeline"
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
// for maxRecoveryHold, another request until a backend server that refused work and to
// which it may be sent is available again. It returns the zero time if the request is not
// held, as when that takes longer than a cooldown.
func (r *run) holdUntil(began, now time.Time) time.Time {
	if r.headSent.Load() {
		return began.Add(maxRecoveryHold)
	}
	if r.yields() {
		return time.Time{}
	}
	exhausted := r.attemptsExhausted()
	at := r.f.nextAvailable(r.req.Service, now, func(s *site.BackendServer) bool { return r.maySendTo(s, exhausted) })
	if at.Sub(now) > cooldowns.AfterRefusal {
		return time.Time{}
	}
	return at
}

// maySendTo reports whether a backend server may be a hop of the next send, whatever its
// state. exhausted is the value of attemptsExhausted.
func (r *run) maySendTo(s *site.BackendServer, exhausted bool) bool {
	tried := r.tried.has(s.ID)
	if r.engine == nil {
		return !tried && !exhausted
	}
	return tried || !exhausted || !s.Held.Has(0)
}

// refusalOf returns the refusal of a request that found no target because of err.
func (r *run) refusalOf(err error, now time.Time) error {
	if errors.Is(err, errReserved) {
		return r.refuseReserved(now)
	}
	return r.withRetryAfter(err, now)
}

// withRetryAfter adds a retry time to a refusal that has none.
func (r *run) withRetryAfter(err error, now time.Time) error {
	var refusal *apierror.Error
	if !errors.As(err, &refusal) || refusal.RetryAfter != 0 || refusal.Kind != apierror.Overloaded && refusal.Kind != apierror.NoRoute {
		return err
	}
	return refusal.WithRetryAfter(r.retryAfter(now))
}

// retryAfter returns the retry time of the refusal of this request. If it has used up its
// attempts, a new request may be served now, unless most backend servers are paused: the
// others then have little room. The least urgent class under contention returns at the rate at
// which it is admitted.
func (r *run) retryAfter(now time.Time) time.Duration {
	if r.yields() {
		d := r.decideReturn(now)
		return d.stated()
	}
	if r.sends == 0 {
		return r.f.retryAfter(r.req.Service, now)
	}
	paused, all := r.f.countPaused(r.f.inv.View(), r.req.Service, now)
	if 2*paused <= all && r.isServable(now) {
		return defaultRetryAfter + rand.N(retryAfterSpread)
	}
	return r.f.retryAfter(r.req.Service, now)
}

// isServable reports whether a new request like this one has a target now.
func (r *run) isServable(now time.Time) bool {
	cs := r.f.candidates(r.f.inv.View(), r.req.Service, r.engine, now)
	if r.engine == nil {
		fresh := &run{f: r.f, req: r.req}
		_, err := fresh.findPlain(cs)
		return err == nil
	}
	_, err := pipeline.Choose(r.f.query(r.req, r.engine), cs, newRand())
	return err == nil
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
	availableAt := f.nextAvailable(service, now, anyServer)
	if availableAt.IsZero() {
		return defaultRetryAfter
	}
	return availableAt.Sub(now) + rand.N(retryAfterSpread)
}

func anyServer(*site.BackendServer) bool { return true }

// nextAvailable returns the earliest time at which a backend server of a service that
// refused work or is paused is available again, the zero time if there is none. allowed
// selects the backend servers.
func (f *Forwarder) nextAvailable(service string, now time.Time, allowed func(*site.BackendServer) bool) time.Time {
	var first time.Time
	for _, s := range f.inv.View().OfService(service) {
		if !allowed(s) {
			continue
		}
		at := f.availableAt(s.ID, now)
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// availableAt returns when a backend server that refused work or is paused is available
// again, the zero time if it is available, has failed or is leaving.
func (f *Forwarder) availableAt(id string, now time.Time) time.Time {
	stated := f.availability.Of(id, now)
	if stated.State == availability.Leaving || f.health.Dead(id, now) {
		return time.Time{}
	}
	at := f.health.RefusedUntil(id, now)
	if stated.Until.After(at) {
		return stated.Until
	}
	return at
}
