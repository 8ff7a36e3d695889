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

// limits are this daemon's part in keeping what backend servers take from all daemons
// together, as the configuration declares it.
type limits struct {
	declared *quota.Limits
	sends    *quota.Sends
	pool     *quota.Pool
	calls    *dispatch.CallLimits
	node     *permit.Node // set once the daemon is a member of the fleet
}

func (d *Daemon) buildLimits() {
	l := &d.limits
	l.declared, l.sends = quota.NewLimits(), quota.NewSends()
	l.pool = quota.NewPool(d.cfg.Daemon.Name, l.declared, l.sends)
	l.calls = dispatch.NewCallLimits(l.declared, l.sends, permitsOf{d})
}

// linkLimits has this daemon share its parts of the limits with the others. All daemons know
// the limits from the configuration, so they tell each other none.
func (d *Daemon) linkLimits() {
	l := &d.limits
	l.node = permit.New(permit.Options{
		Name: d.cfg.Daemon.Name, Members: d.sharing, Limits: l.declared, Pool: l.pool, Sends: l.sends,
		Client: d.client(peerConns), Scheme: d.peerScheme(), Header: http.Header{"Authorization": {"Bearer " + d.peerToken()}},
		Logger: d.logger,
	})
}

func (d *Daemon) sharing() []permit.Member {
	all := d.node.Sharing(time.Now())
	out := make([]permit.Member, len(all))
	for i, m := range all {
		out[i] = permit.Member{Name: m.Name, Address: m.Address}
	}
	return out
}

// servePermits serves the links of other daemons that contribute their parts.
func (d *Daemon) servePermits(w http.ResponseWriter, r *http.Request) {
	if !d.node.Authorized(r) {
		http.Error(w, "wrong token", http.StatusUnauthorized)
		return
	}
	d.limits.node.ServeHTTP(w, r)
}

// declareLimits takes the limits of the configuration in force.
func (d *Daemon) declareLimits() {
	snap := d.catalog.Snapshot()
	rates := snap.CallLimits()
	for _, c := range d.limits.declared.Declare(rates, boottime.Now()) {
		_ = level.Info(d.logger).Log("msg", "limit of a backend server", "server", c.Server, "change", c.Change, "rate", c.Rate, "config", snap.Revision)
	}
	d.metrics.Limits(len(rates))
}

// permitsOf gives parts that are built before the links between daemons access to them. It
// implements dispatch.Permits.
type permitsOf struct{ d *Daemon }

// Permit implements dispatch.Permits.
func (p permitsOf) Permit(ctx context.Context, r quota.PermitRequest) quota.Decision {
	return p.d.limits.node.Permit(ctx, r)
}
