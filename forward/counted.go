package forward

import (
	"context"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
)

// counted counts all that reaches a backend server from this daemon. It implements
// Backends.
type counted struct {
	Backends
	sends *quota.Sends
}

// Send implements Backends.
func (c counted) Send(ctx context.Context, o *Outgoing) (*Answer, error) {
	c.sends.Add(o.Server.ID, boottime.Now())
	return c.Backends.Send(ctx, o)
}

// Report implements Backends.
func (c counted) Report(ctx context.Context, s *site.BackendServer) (Report, error) {
	c.sends.Add(s.ID, boottime.Now())
	return c.Backends.Report(ctx, s)
}

// Repath implements Backends.
func (c counted) Repath(ctx context.Context, head *site.BackendServer, requestID string, p site.Path) error {
	c.sends.Add(head.ID, boottime.Now())
	return c.Backends.Repath(ctx, head, requestID, p)
}
