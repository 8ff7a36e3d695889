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

// startHold is how long a request waits for a daemon that was just started to know
// the configuration and the backend servers, which takes it half a second. When all
// daemons were killed their callers come back within milliseconds of the start, and
// a second refusal would be their last: 176 of 3,200 requests of a day. Callers
// leave a daemon that has not read their request after a second.
const startHold = 900 * time.Millisecond

// AwaitStart waits, but no longer than a caller does, until requests can be told
// apart and sent.
func (f *Forwarder) AwaitStart(ctx context.Context, deadline time.Time) {
	until := earlier(boottime.Now().Add(startHold), deadline.Add(-leastLeft))
	for !f.inv.Complete() && boottime.Now().Before(until) {
		if !wait.For(ctx, holdStep) {
			return
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Admission is what the configuration in force says of a request.
type Admission struct {
	Route     *site.Route
	Service   string
	Workspace *site.Workspace // nil on public routes
	Limits    site.Limits
}

// Admit looks a request up in the configuration in force; key is what the caller
// presented, "" for none.
func (f *Forwarder) Admit(host, path, key string) (Admission, error) {
	c := f.inv.View().Config
	if c == nil {
		return Admission{}, apierror.New(apierror.ConfigUnavailable, "no configuration yet")
	}
	route := c.Match(host, path)
	if route == nil {
		return Admission{}, apierror.New(apierror.UnknownRoute, "host %s, path %s, configuration %d", host, path, c.Version)
	}
	a := Admission{Route: route, Limits: c.Limits, Service: route.TargetAt(rand.Float64())}
	if !c.NeedsKey(route) {
		return a, nil
	}
	most := time.Duration(f.keysFreshFor.Load())
	if age := f.inv.Age(boottime.Now()); most > 0 && age > most {
		return Admission{}, apierror.New(apierror.ConfigUnavailable, "keys may have been taken away, the configuration was last read %s ago",
			age.Round(time.Millisecond))
	}
	a.Workspace = c.Workspace(key)
	if a.Workspace == nil {
		return Admission{}, apierror.New(apierror.Unauthorized, "unknown key, configuration %d", c.Version)
	}
	return a, nil
}

// Refuse logs a request that is refused before it is carried.
func (f *Forwarder) Refuse(requestID string, err error) {
	e := apierror.From(err)
	f.observe.Finished(string(e.Kind), 0)
	f.log.Add("refuse", "request", requestID, "result", string(e.Kind), "detail", e.Detail,
		"config_age", f.inv.Age(boottime.Now()).Round(time.Millisecond))
}
