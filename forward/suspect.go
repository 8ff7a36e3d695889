package forward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/site"
)

// A stream under which a backend server has just ended may end the next one as well. Until that
// is known it is a suspect. One first hop of each service is reserved for requests that are not
// suspects, so that several suspects at once do not end all of them.

// Times of suspects.
const (
	// suspectDelay is the time from the end of a backend server to the next send of a suspect.
	// Other suspects that were sent at the same time end their backend servers meanwhile.
	suspectDelay = 100 * time.Millisecond
	// suspectRetryAfter is the retry time of a suspect without another first hop. It exceeds
	// the time after which all daemons know that the request is a suspect.
	suspectRetryAfter = 2 * time.Second
)

// minReserving is the number of first hops from which a service has a reserved one. With two,
// a suspect could be sent nowhere after the end of one, which may have had other reasons.
const minReserving = 3

// delaySuspect waits until a suspect may be sent again, or ctx ends.
func (r *run) delaySuspect(ctx context.Context) {
	d, suspect := r.suspicion()
	if suspect {
		wait.For(ctx, time.Until(d.SuspectSince.Add(suspectDelay)))
	}
}

// suspicion returns the evidence against the request, and whether it is a suspect, also while
// it is not known what became of a backend server that it has met. A stream
// whose caller has received an event is not, since a request that ends its backend server does
// so when it begins to run. An answer that is no stream does not tell when that was, so each end
// speaks against all requests in progress, which is too little.
func (r *run) suspicion() (d quarantine.Decision, suspect bool) {
	if !r.isStream() || r.headSent.Load() {
		return d, false
	}
	d = r.guard.Check()
	if lostAt := r.unexplainedAt.Load(); lostAt != nil && r.unresolved.Load() > 0 {
		d.SuspectSince = boottime.Later(d.SuspectSince, *lostAt)
	}
	return d, !d.SuspectSince.IsZero()
}

// withoutReserved removes the reserved first hop of the service, and those that look dead, from
// the candidates for a suspect. refusal is the error for a suspect that has no other first hop,
// nil if nothing was removed.
func (r *run) withoutReserved(ctx context.Context, cs []pipeline.Candidate, view *inventory.View, now time.Time) (rest []pipeline.Candidate, refusal error) {
	d, suspect := r.suspicion()
	if !suspect {
		return cs, nil
	}
	reserved := r.reservedFirstHop(ctx, view, boottime.Later(d.SuspectSince, now.Add(-probeAge)), now)
	if reserved == nil {
		return cs, nil
	}
	rest = slices.DeleteFunc(slices.Clone(cs), func(c pipeline.Candidate) bool {
		return c.Server == reserved || r.f.health.Dead(c.Server.ID, now)
	})
	err := apierror.New(apierror.Quarantined, "%d backend servers ended as they ran it, %s is reserved for other requests", d.Ends, reserved.ID)
	return rest, err.WithRetryAfter(suspectRetryAfter + rand.N(quarantine.RetrySpread))
}

// reservedFirstHop returns the first hop that suspects of the service leave free, nil if there
// is none: the one with the lowest ID that responds to a check begun at since or later. The
// order is the same at all daemons, and the check finds those that have ended at the same time
// under another suspect. A preview checks nothing and takes each to respond.
func (r *run) reservedFirstHop(ctx context.Context, view *inventory.View, since, now time.Time) *site.BackendServer {
	hops := slices.DeleteFunc(slices.Clone(view.OfService(r.req.Service)), func(s *site.BackendServer) bool { return !s.Held.Has(0) })
	if len(hops) < minReserving {
		return nil
	}
	slices.SortFunc(hops, func(a, b *site.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range hops {
		if r.f.isUsable(s, r.engine, now) && (r.preview != nil || r.responds(ctx, s, since)) {
			return s
		}
	}
	return nil
}

// responds reports whether a backend server answers a check begun at since or later. One that is
// ending may accept a connection.
func (r *run) responds(ctx context.Context, s *site.BackendServer, since time.Time) bool {
	if r.f.probeSince(ctx, s, since) != nil {
		return false
	}
	v, _ := r.endCheck()(ctx, s, since)
	return v.Conclusive() && !v.Gone()
}

// noteReserved logs and counts the refusal of a suspect without another first hop.
func (r *run) noteReserved() {
	r.logQuarantine("reserved", r.guard.Check())
	r.f.observer.Quarantined()
}
