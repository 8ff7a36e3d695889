package gateway

import (
	"context"

	"github.com/snowspoke/snowspoke/forward"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
)

// permits asks the fleet for permits. It implements forward.Permits.
type permits struct{ g *Gateway }

// Permit implements forward.Permits.
func (p permits) Permit(ctx context.Context, r quota.PermitRequest) quota.Decision {
	return p.g.relay.Permit(ctx, r)
}

// permittedOrders makes reports and orders of the placement duty with permits where a
// backend server has named a limit. It implements placer.Backends.
type permittedOrders struct{ g *Gateway }

// Report implements placer.Backends.
func (o permittedOrders) Report(ctx context.Context, s *site.BackendServer) (forward.Report, error) {
	if err := o.g.forward.MayOrder(ctx, s.ID); err != nil {
		return forward.Report{}, err
	}
	return o.g.backends.Report(ctx, s)
}

// Hold implements placer.Backends.
func (o permittedOrders) Hold(ctx context.Context, s *site.BackendServer, layers site.Range, atOnce bool, after, fence uint64) error {
	if err := o.g.forward.MayOrder(ctx, s.ID); err != nil {
		return err
	}
	return o.g.backends.Hold(ctx, s, layers, atOnce, after, fence)
}
