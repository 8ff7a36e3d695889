package forward

import (
	"time"

	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/site"
)

// While classes of requests compete for the memory of a service, all fractions rest on estimates,
// and some hops are full. Then a request that is more urgent than others waits for a path and for a
// retry, as long as it can still be served in time. The least urgent ones leave the retries to it: a
// daemon of a large fleet has one every few seconds.

// contention is the position of a request among the classes that compete for a service.
type contention struct {
	moreUrgent, lessUrgent bool // whether there is a demand of such classes
}

// contention returns the position of a new request, the zero value if its service is not contended.
func (r *run) contention() (c contention) {
	if r.headSent.Load() || r.req.LastEvent != "" || !r.sheds(r.f.inv.View()) {
		return c
	}
	s := r.f.shedders
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := s.byService[r.req.Service]
	if sh == nil || !sh.gate.Contended() {
		return c
	}
	class := r.urgency()
	for _, d := range sh.state.Demands {
		c.moreUrgent = c.moreUrgent || d.Class < class
		c.lessUrgent = c.lessUrgent || d.Class > class
	}
	return c
}

// waitShare is the part of its objective for which a request waits. The rest is the time to its
// first event.
const waitShare = 0.8

// waitsUntil returns the time until which a request waits for a path and for a retry, the zero time
// if it does not wait.
func (r *run) waitsUntil() time.Time {
	if !r.contention().lessUrgent {
		return time.Time{}
	}
	return r.req.Received.Add(time.Duration(waitShare * float64(r.req.Route.Objective)))
}

// yieldsRetry reports whether a refused request leaves the retries to more urgent ones.
func (r *run) yieldsRetry() bool {
	return r.tracker.State() == execution.Refused && r.yields()
}

// yields reports whether the request is new and of the least urgent class of a service under
// contention. What becomes free goes to more urgent ones, so that waiting for it is in vain.
func (r *run) yields() bool {
	c := r.contention()
	return c.moreUrgent && !c.lessUrgent
}

// ignoresRefusal reports whether a waiting request may use a backend server although it has just
// refused another request. A daemon with many requests has refusals of most hops at any time; with
// the pauses after them its urgent requests would find no path.
func (r *run) ignoresRefusal(s *site.BackendServer, now time.Time) bool {
	return r.noPath && !r.f.health.RefusedUntil(s.ID, now).IsZero() && now.Sub(r.refusedBy[s.ID]) > cooldowns.AfterRefusal
}

// noteRefusal records a backend server that refused the request.
func (r *run) noteRefusal(s *site.BackendServer, now time.Time) {
	if r.refusedBy == nil {
		r.refusedBy = map[string]time.Time{}
	}
	r.refusedBy[s.ID] = now
}
