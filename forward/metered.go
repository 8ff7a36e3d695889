package forward

import (
	"context"
	"fmt"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
)

// ErrNoPermit says that a call was not made since its backend server takes no more now.
var ErrNoPermit = fmt.Errorf("forward: the backend server's limit is reached: %w", execution.ErrNotSent)

// Priorities of calls that are no requests. Orders are few and come before any request,
// since requests that are under way depend on them. Reports come last: those on streams
// that stand still are many, and would leave no room for what callers want.
const (
	orderPriority  = -1
	reportPriority = 1 << 10
)

// metered counts all that reaches a backend server from this daemon, and makes reports and
// orders to one that has named a limit only with a permit. Requests have theirs before
// they are sent. A connection alone is no call. It implements Backends.
type metered struct {
	Backends
	f *Forwarder
}

// Send implements Backends.
func (m metered) Send(ctx context.Context, o *Outgoing) (*Answer, error) {
	if !o.Permitted {
		m.f.sends.Add(o.Server.ID, boottime.Now())
	}
	return m.Backends.Send(ctx, o)
}

// Report implements Backends.
func (m metered) Report(ctx context.Context, s *site.BackendServer) (Report, error) {
	if err := m.f.mayCall(ctx, s.ID, reportPriority); err != nil {
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

// MayOrder takes a permit for an order, or the report that comes before it, and counts that
// as sent. It returns ErrNoPermit where the backend server's limit is reached.
func (f *Forwarder) MayOrder(ctx context.Context, server string) error {
	return f.mayCall(ctx, server, orderPriority)
}

func (f *Forwarder) mayCall(ctx context.Context, server string, priority int) error {
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
