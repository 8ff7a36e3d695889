package forward

import (
	"context"
	"errors"
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

// ErrNotAccepting is returned for a call that was not made, or was turned away, because the
// backend server has stated that it accepts no such call now.
var ErrNotAccepting = errors.New("forward: the backend server accepts no such call now")

// IsHeldBack reports whether a call was not made although the backend server may be sound.
func IsHeldBack(err error) bool {
	return errors.Is(err, ErrNoPermit) || errors.Is(err, ErrNotAccepting)
}

// metered counts all calls of this daemon to backend servers, and makes none that CheckCall
// forbids. It takes permits for reports, health checks and orders to a server with a limit; the
// permit for a request is taken before Send. A connection alone is not a call. It implements
// Backends.
type metered struct {
	Backends
	f *Forwarder
}

// Send implements Backends.
func (m metered) Send(ctx context.Context, o *Outgoing) (*Answer, error) {
	if err := m.f.CheckCall(o.Server.ID, CallRequest); err != nil {
		return nil, err
	}
	if !o.Permitted {
		m.f.sends.Add(o.Server.ID, boottime.Now())
	}
	return m.Backends.Send(ctx, o)
}

// Report implements Backends.
func (m metered) Report(ctx context.Context, s *site.BackendServer) (Report, error) {
	if err := m.f.permitCall(ctx, s.ID, CallReport); err != nil {
		return Report{}, err
	}
	return m.Backends.Report(ctx, s)
}

// reportPermitted is Report with a permit that was taken before.
func (m metered) reportPermitted(ctx context.Context, s *site.BackendServer) (Report, error) {
	if err := m.f.CheckCall(s.ID, CallReport); err != nil {
		return Report{}, err
	}
	return m.Backends.Report(ctx, s)
}

// CheckHealth implements Backends.
func (m metered) CheckHealth(ctx context.Context, s *site.BackendServer, path string) error {
	if err := m.f.permitCall(ctx, s.ID, CallHealth); err != nil {
		return err
	}
	return m.Backends.CheckHealth(ctx, s, path)
}

// Repath implements Backends.
func (m metered) Repath(ctx context.Context, head *site.BackendServer, requestID string, p site.Path) error {
	if err := m.f.MayOrder(ctx, head.ID); err != nil {
		return err
	}
	return m.Backends.Repath(ctx, head, requestID, p)
}

// MayOrder takes a permit for an order, or for the report that precedes it, and counts
// the call. It returns ErrNoPermit if the backend server's limit is reached, and
// ErrNotAccepting if CheckCall forbids the order.
func (f *Forwarder) MayOrder(ctx context.Context, server string) error {
	return f.permitCall(ctx, server, CallOrder)
}

// permitCall takes a permit for a report, a health check or an order if the backend server has
// a limit, and counts the call.
func (f *Forwarder) permitCall(ctx context.Context, server string, call CallKind) error {
	if err := f.CheckCall(server, call); err != nil {
		return err
	}
	if _, limited := f.limits.Of(server); !limited {
		f.sends.Add(server, boottime.Now())
		return nil
	}
	priority := quota.ReportPriority
	if call == CallOrder {
		priority = quota.OrderPriority
	}
	d := f.permits.Permit(ctx, quota.PermitRequest{Servers: []string{server}, Class: quota.Class{Priority: priority}})
	if !d.Granted {
		return fmt.Errorf("%s: %w", server, ErrNoPermit)
	}
	return nil
}

// CheckCall returns ErrNotAccepting if a backend server has stated that it accepts no such
// call from this daemon now. It is asked before any call, also right before the call is
// written to a connection.
func (f *Forwarder) CheckCall(server string, call CallKind) error {
	s := f.availability.Of(server, time.Now())
	refusesRequests := s.State == availability.Leaving
	if !s.IsPaused() && !(refusesRequests && call == CallRequest) {
		return nil
	}
	f.observer.CallPrevented(s.State)
	return fmt.Errorf("%w: %w: %s is %s", execution.ErrNotSent, ErrNotAccepting, server, s.State)
}
