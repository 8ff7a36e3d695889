package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/dispatch"
	"github.com/snowspoke/snowspoke/permit"
	"github.com/snowspoke/snowspoke/quota"
)

// limits enforces the declared limits on calls to backend servers, which apply to
// all daemons together.
type limits struct {
	declared *quota.Limits
	sends    *quota.Sends
	pool     *quota.Pool
	calls    *dispatch.CallLimits
	node     *permit.Node // set by linkLimits
}

func (d *Daemon) buildLimits() {
	l := &d.limits
	l.declared, l.sends = quota.NewLimits(), quota.NewSends()
	l.pool = quota.NewPool(d.cfg.Daemon.Name, l.declared, l.sends)
	l.calls = dispatch.NewCallLimits(l.declared, l.sends, permitAdapter{d})
}

// linkLimits creates the permit node, which shares the declared limits with other
// daemons. The limits themselves are not exchanged, since every daemon reads them from
// the configuration. It must be called after buildNode.
func (d *Daemon) linkLimits() {
	l := &d.limits
	l.node = permit.New(permit.Options{
		Name: d.cfg.Daemon.Name, Members: d.permitMembers, Limits: l.declared, Pool: l.pool, Sends: l.sends,
		Client: d.client(peerConns), Scheme: d.peerScheme(), Header: http.Header{"Authorization": {"Bearer " + d.peerToken()}},
		Logger: d.logger,
	})
}

// permitMembers returns the daemons that share the limits.
func (d *Daemon) permitMembers() []permit.Member {
	all := d.node.ShareHolders(time.Now())
	out := make([]permit.Member, len(all))
	for i, m := range all {
		out[i] = permit.Member{Name: m.Name, Address: m.Address}
	}
	return out
}

// servePermits handles the permit links of other daemons.
func (d *Daemon) servePermits(w http.ResponseWriter, r *http.Request) {
	if !d.node.Authorized(r) {
		http.Error(w, "wrong token", http.StatusUnauthorized)
		return
	}
	d.limits.node.ServeHTTP(w, r)
}

// declareLimits applies the limits of the configuration in force and logs changes.
func (d *Daemon) declareLimits() {
	snap := d.catalog.Snapshot()
	rates := snap.CallLimits()
	for _, c := range d.limits.declared.Declare(rates, boottime.Now()) {
		_ = level.Info(d.logger).Log("msg", "limit of a backend server", "server", c.Server, "change", c.Change, "rate", c.Rate, "config", snap.Revision)
	}
	d.metrics.Limits(len(rates))
}

// permitAdapter implements dispatch.Permits for components that are built before
// limits.node is set.
type permitAdapter struct{ d *Daemon }

// Permit implements dispatch.Permits.
func (p permitAdapter) Permit(ctx context.Context, r quota.PermitRequest) quota.Decision {
	return p.d.limits.node.Permit(ctx, r)
}
