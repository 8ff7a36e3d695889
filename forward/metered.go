package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/snowspoke/snowspoke/availability"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
)

// ErrNoPermit is returned for a call that was not made because the backend server's limit
// is reached.
var ErrNoPermit = fmt.Errorf("forward: the backend server's limit is reached: %w", execution.ErrNotSent)

// Priorities of calls other than requests. Orders are few and precede all requests,
// because requests in progress depend on them. Reports come last, because the many reports
// on stalled streams would use up the limit.
const (
	orderPriority  = -1
	reportPriority = 1 << 10
)

// metered counts all calls of this daemon to backend servers. It takes permits for reports
// and orders to a server with a limit; the permit for a request is taken before Send. A
// connection alone is not a call. It implements Backends.
type metered struct {
	Backends
	f *Forwarder
}

// Send implements Backends.
func (m metered) Send(ctx context.Context, o *Outgoing) (*Answer, error) {
	if !o.Permitted {
		m.f.sends.Add(o.Server.ID, boottime.Now())
	}
	m.f.countCall(o.Server.ID)
	return m.Backends.Send(ctx, o)
}

// Report implements Backends.
func (m metered) Report(ctx context.Context, s *site.BackendServer) (Report, error) {
	if err := m.f.permitCall(ctx, s.ID, reportPriority); err != nil {
		return Report{}, err
	}
	return m.Backends.Report(ctx, s)
}

// Repath implements Backends.
func (m metered) Repath(ctx context.Context, head *site.BackendServer, requestID string, p site.Path) error {
	if err := m.f.MayOrder(ctx, head.ID); err != nil {
		return err
	}
	return m.Backends.Repath(ctx, head, requestID, p)
}

// MayOrder takes a permit for an order, or for the report that precedes it, and counts
// the call. It returns ErrNoPermit if the backend server's limit is reached.
func (f *Forwarder) MayOrder(ctx context.Context, server string) error {
	return f.permitCall(ctx, server, orderPriority)
}

// permitCall takes a permit for one call if the backend server has a limit, and counts the
// call.
func (f *Forwarder) permitCall(ctx context.Context, server string, priority int) error {
	f.countCall(server)
	if _, limited := f.limits.Of(server); !limited {
		f.sends.Add(server, boottime.Now())
		return nil
	}
	d := f.permits.Permit(ctx, quota.PermitRequest{Servers: []string{server}, Class: quota.Class{Priority: priority}})
	if !d.Granted {
		return fmt.Errorf("%s: %w", server, ErrNoPermit)
	}
	return nil
}

// countCall counts a call to a backend server that is paused or leaving.
func (f *Forwarder) countCall(server string) {
	if s := f.availability.Of(server, time.Now()); s.State != availability.Accepting {
		f.observer.CallWhileUnavailable(s.State)
	}
}
