package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/site"
)

// maxStartHold is the maximum wait of a request at a daemon that has just started and does
// not know the configuration and the backend servers yet, or whether its keys are current.
// After a restart of all daemons,
// callers retry within milliseconds and do not retry a second refusal. They leave a daemon
// that does not read their request within a second.
const maxStartHold = 900 * time.Millisecond

// AwaitStart blocks until the daemon has started, the request's deadline is near, or
// maxStartHold has passed.
func (f *Forwarder) AwaitStart(ctx context.Context, deadline time.Time) {
	until := earlier(boottime.Now().Add(maxStartHold), deadline.Add(-minTimeLeft))
	for !f.hasStarted() && boottime.Now().Before(until) {
		if !wait.For(ctx, pollInterval) {
			return
		}
	}
}

// hasStarted reports whether this daemon can admit requests. Keys that may have been taken
// away are refused, and a follower has the state shortly before the proof that it is
// current.
func (f *Forwarder) hasStarted() bool {
	return f.inv.Complete() && (f.maxKeyAge.Load() == 0 || f.inv.Confirmed())
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Admission holds what the configuration in force states about a request.
type Admission struct {
	Route     *site.Route
	Service   string
	Workspace *site.Workspace // nil on public routes
	Limits    site.Limits
}

// Admit resolves a request by the configuration in force. key is the caller's key, "" for
// none. Its errors are of type *apierror.Error.
func (f *Forwarder) Admit(host, path, key string) (Admission, error) {
	return f.resolve(host, path, key, f.targetDraws.next)
}

// PreviewAdmit returns what Admit returns for the next request, without changing what that one
// draws.
func (f *Forwarder) PreviewAdmit(host, path, key string) (Admission, error) {
	return f.resolve(host, path, key, f.targetDraws.peek)
}

// resolve implements Admit. draw returns the source with which one of several services of a route
// is selected.
func (f *Forwarder) resolve(host, path, key string, draw func() *rand.Rand) (Admission, error) {
	c := f.inv.View().Config
	if c == nil {
		return Admission{}, apierror.New(apierror.ConfigUnavailable, "no configuration yet")
	}
	route := c.Match(host, path)
	if route == nil {
		return Admission{}, apierror.New(apierror.UnknownRoute, "host %s, path %s, configuration %d", host, path, c.Version)
	}
	a := Admission{Route: route, Limits: c.Limits}
	if len(route.Targets) > 1 {
		a.Service = route.TargetAt(draw().Float64())
	} else {
		a.Service = route.TargetAt(0)
	}
	if !c.NeedsKey(route) {
		return a, nil
	}
	maxAge := time.Duration(f.maxKeyAge.Load())
	if age := f.inv.Age(boottime.Now()); maxAge > 0 && age > maxAge {
		return Admission{}, apierror.New(apierror.ConfigUnavailable, "keys may have been taken away, the configuration was last read %s ago",
			age.Round(time.Millisecond))
	}
	a.Workspace = c.Workspace(key)
	if a.Workspace == nil {
		return Admission{}, apierror.New(apierror.Unauthorized, "unknown key, configuration %d", c.Version)
	}
	return a, nil
}

// Refuse logs and counts a request that is refused before Do.
func (f *Forwarder) Refuse(requestID string, err error) {
	e := apierror.From(err)
	f.observer.Finished(string(e.Kind), 0)
	f.log.Add("refuse", "request", requestID, "result", string(e.Kind), "detail", e.Detail,
		"config_age", f.inv.Age(boottime.Now()).Round(time.Millisecond))
}
