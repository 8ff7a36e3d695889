package gateway

import (
	"context"

	"github.com/snowspoke/snowspoke/forward"
	"github.com/snowspoke/snowspoke/permit"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
)

// permits asks the fleet for permits. It implements forward.Permits.
type permits struct{ g *Gateway }

// Permit implements forward.Permits.
func (p permits) Permit(ctx context.Context, r quota.PermitRequest) quota.Decision {
	return p.g.permits.Permit(ctx, r)
}

// permitted returns the daemons that keep limits together.
func (m *members) permitted() []permit.Member {
	all := m.All()
	out := make([]permit.Member, len(all))
	for i, other := range all {
		out[i] = permit.Member{Name: other.Name, Address: other.Address}
	}
	return out
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
