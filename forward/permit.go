package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
)

// A request is sent to a backend server with a limit only with a permit of the fleet, see
// package quota. Without a permit it is sent elsewhere. If no other backend server can
// serve it, it is refused at once, since later requests would overtake a waiting one.

// Permits grants permits for calls to backend servers with limits.
type Permits interface {
	// Permit requests a permit for one call to each backend server of r. A granted call
	// counts as sent.
	Permit(ctx context.Context, r quota.PermitRequest) quota.Decision
}

// localPermits grants the permits of a daemon that does not share limits.
type localPermits struct {
	pool *quota.Pool
	name string
}

const localDaemonName = "alone"

// Permit implements Permits.
func (a localPermits) Permit(_ context.Context, r quota.PermitRequest) quota.Decision {
	return a.pool.Decide(a.name, r, boottime.Now())
}

// class returns the quota class of the request.
func (r *run) class() quota.Class {
	c := quota.Class{Priority: r.priority()}
	if r.req.Workspace != nil {
		c.Workspace = r.req.Workspace.Name
	}
	return c
}

// permit takes a permit for each hop of a target that has a limit. If a hop is denied, it
// returns false, and the hop then counts as full for the request's class.
func (r *run) permit(ctx context.Context, t *target) bool {
	limited := r.f.limitedHops(t.path)
	if len(limited) == 0 {
		return true
	}
	class := r.class()
	d := r.f.permits.Permit(ctx, quota.PermitRequest{Servers: limited, Class: class})
	if d.Granted {
		t.permitted = limited[0] == t.head().ID
		return true
	}
	r.f.denials.Add(class, d, boottime.Now())
	limit, _ := r.f.limits.Of(d.Server)
	r.f.log.Add("limit_reached", "request", r.req.ID, "server", d.Server, "rate", limit.Rate, "known_for", limitAge(limit, boottime.Now()),
		"priority", class.Priority, "workspace", class.Workspace, "after", d.After.Round(time.Millisecond), "back", d.RetryAfter.Round(time.Millisecond))
	return false
}

// limitedHops returns the IDs of the hops of a path that have limits, in order.
func (f *Forwarder) limitedHops(p site.Path) []string {
	var limited []string
	for _, h := range p {
		if _, known := f.limits.Of(h.Server.ID); known {
			limited = append(limited, h.Server.ID)
		}
	}
	return limited
}

// withoutDenied removes the backend servers that count as full for the request's class. It
// returns the earliest time at which one of these is available again, the zero time if none
// was removed.
func (r *run) withoutDenied(cs []pipeline.Candidate) (allowed []pipeline.Candidate, availableAt time.Time) {
	if r.f.limits.Size() == 0 {
		return cs, time.Time{}
	}
	class, now := r.class(), boottime.Now()
	allowed = make([]pipeline.Candidate, 0, len(cs))
	for _, c := range cs {
		until, denied := r.f.denials.Of(c.Server.ID, class, now)
		if !denied {
			allowed = append(allowed, c)
			continue
		}
		if availableAt.IsZero() || until.Before(availableAt) {
			availableAt = until
		}
	}
	return allowed, availableAt
}

// errLimits marks a refusal because of limits.
var errLimits = errors.New("forward: backend servers have named limits")

// limitReached returns the refusal of a request because of limits. Its retry time is when a
// limit has capacity again, or earlier if a backend server that refused work becomes
// available before that.
func (r *run) limitReached(err error, availableAt, now time.Time) error {
	wait := max(0, boottime.Until(availableAt)) + rand.N(retryAfterSpread)
	if again := r.f.nextAvailable(r.req.Service, now, anyServer); !again.IsZero() {
		wait = min(wait, r.f.retryAfter(r.req.Service, now))
	}
	return apierror.Wrap(apierror.Overloaded, fmt.Errorf("%w: %w", errLimits, err)).WithRetryAfter(wait)
}
