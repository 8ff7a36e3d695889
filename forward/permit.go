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
)

// A request is sent to backend servers that have named a limit only with a permit of the
// fleet (package quota). Where it gets none it goes elsewhere; where nobody else can serve
// it either it is refused at once: waiting would only put it behind those that come later.

// Permits gives permits for calls to backend servers with limits.
type Permits interface {
	// Permit asks for one call to each of some backend servers. What is granted counts as
	// sent.
	Permit(ctx context.Context, r quota.PermitRequest) quota.Decision
}

// alone gives the permits of a daemon that shares them with nobody.
type alone struct {
	pool *quota.Pool
	name string
}

const aloneName = "alone"

// Permit implements Permits.
func (a alone) Permit(_ context.Context, r quota.PermitRequest) quota.Decision {
	return a.pool.Decide(a.name, r, boottime.Now())
}

// class returns for whom the request's permits are.
func (r *run) class() quota.Class {
	c := quota.Class{Priority: r.priority()}
	if r.req.Workspace != nil {
		c.Workspace = r.req.Workspace.Name
	}
	return c
}

// permit takes a permit for each hop of a path that has named a limit. It returns false
// where one has no room: it counts as full for this class then.
func (r *run) permit(ctx context.Context, t *target) bool {
	var limited []string
	for _, h := range t.path {
		if _, known := r.f.limits.Of(h.Server.ID); known {
			limited = append(limited, h.Server.ID)
		}
	}
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
	r.f.log.Add("limit_reached", "request", r.req.ID, "server", d.Server, "rate", limit.Rate, "known_for", ageOf(limit, boottime.Now()),
		"priority", class.Priority, "workspace", class.Workspace, "after", d.After.Round(time.Millisecond), "back", d.Back.Round(time.Millisecond))
	return false
}

// withRoom leaves out the backend servers that have no room for the request by their
// limits, and returns when its caller may come back to the first of them, the zero time
// if there is none.
func (r *run) withRoom(cs []pipeline.Candidate) (left []pipeline.Candidate, back time.Time) {
	if r.f.limits.Size() == 0 {
		return cs, time.Time{}
	}
	class, now := r.class(), boottime.Now()
	left = make([]pipeline.Candidate, 0, len(cs))
	for _, c := range cs {
		again, denied := r.f.denials.Of(c.Server.ID, class, now)
		if !denied {
			left = append(left, c)
			continue
		}
		if back.IsZero() || again.Before(back) {
			back = again
		}
	}
	return left, back
}

// errLimits says that a request could be served but for limits.
var errLimits = errors.New("forward: backend servers have named limits")

// limitReached refuses a request that could be served but for limits. Its caller may come
// back when a call for it is due, or before if another backend server is asked again.
func (r *run) limitReached(err error, back, now time.Time) error {
	wait := max(0, boottime.Until(back)) + rand.N(returnSpread)
	if again := r.f.nextBack(r.req.Service, now); !again.IsZero() {
		wait = min(wait, r.f.returnAfter(r.req.Service, now))
	}
	return apierror.Wrap(apierror.Overloaded, fmt.Errorf("%w: %w", errLimits, err)).WithRetryAfter(wait)
}
