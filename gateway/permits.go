package gateway

import (
	"context"

	"github.com/snowspoke/snowspoke/forward"
	"github.com/snowspoke/snowspoke/permit"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/site"
)

// permits requests permits from the fleet. It implements forward.Permits.
type permits struct{ g *Gateway }

// Permit implements forward.Permits.
func (p permits) Permit(ctx context.Context, r quota.PermitRequest) quota.Decision {
	return p.g.permits.Permit(ctx, r)
}

// permitMembers returns the daemons that share the limits of backend servers.
func (m *members) permitMembers() []permit.Member {
	all := m.All()
	out := make([]permit.Member, len(all))
	for i, other := range all {
		out[i] = permit.Member{Name: other.Name, Address: other.Address}
	}
	return out
}

// permittedBackends sends the placer's calls to backend servers, subject to permits for
// backend servers that have announced a limit. It implements placer.Backends.
type permittedBackends struct{ g *Gateway }

// Report implements placer.Backends.
func (b permittedBackends) Report(ctx context.Context, s *site.BackendServer) (forward.Report, error) {
	if err := b.g.forward.MayOrder(ctx, s.ID); err != nil {
		return forward.Report{}, err
	}
	return b.g.backends.Report(ctx, s)
}

// Hold implements placer.Backends.
func (b permittedBackends) Hold(ctx context.Context, s *site.BackendServer, layers site.Range, atOnce bool, after, fence uint64) error {
	if err := b.g.forward.MayOrder(ctx, s.ID); err != nil {
		return err
	}
	return b.g.backends.Hold(ctx, s, layers, atOnce, after, fence)
}
