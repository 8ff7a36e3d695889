package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/quota"
)

// PathQuota is the path at which demands are reported to owners.
const PathQuota = "/peer/v1/quota"

// quotaReport reports a daemon's demands to the owner of their workspaces.
type quotaReport struct {
	Daemon  string         `cbor:"1,keyasint"`
	Demands []quota.Demand `cbor:"2,keyasint"`
}

// quotas divides the limits of workspaces among daemons: tracker holds this
// daemon's shares, owner the workspaces that this daemon owns. mu guards both.
type quotas struct {
	mu      sync.Mutex
	tracker *quota.Tracker
	owner   *quota.Owner
}

func newQuotas() *quotas {
	return &quotas{tracker: quota.NewTracker(time.Now()), owner: quota.NewOwner()}
}

// Share returns this daemon's share of a workspace's limit and counts one
// request of the workspace.
func (n *Node) Share(workspace string) float64 {
	working := len(n.working())
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	return n.quotas.tracker.Share(workspace, working, time.Now())
}

// ReportQuotas reports demands to the owners until ctx ends.
func (n *Node) ReportQuotas(ctx context.Context) {
	t := time.NewTicker(quota.ReportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.reportQuotas(ctx)
		}
	}
}

func (n *Node) reportQuotas(ctx context.Context) {
	n.quotas.mu.Lock()
	demands := n.quotas.tracker.Report(time.Now())
	n.quotas.mu.Unlock()
	working := n.working()
	byOwner := map[string][]quota.Demand{}
	for _, d := range demands {
		if r := rank("quota "+d.Workspace, working); len(r) > 0 {
			byOwner[r[0].Name] = append(byOwner[r[0].Name], d)
		}
	}
	for owner, part := range byOwner {
		n.requestGrants(ctx, owner, part)
	}
}

// requestGrants requests grants from an owner, which may be this daemon. If the
// owner does not answer, the previous grants expire.
func (n *Node) requestGrants(ctx context.Context, owner string, demands []quota.Demand) {
	in := quotaReport{Daemon: n.opts.Self.Name, Demands: demands}
	var grants []quota.Grant
	if owner == n.opts.Self.Name {
		grants = n.grant(in)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if err := n.call(callCtx, owner, PathQuota, in, &grants); err != nil {
			return
		}
	}
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	for _, g := range grants {
		n.quotas.tracker.Apply(g, time.Now())
	}
}

func (n *Node) grant(in quotaReport) []quota.Grant {
	working := len(n.working())
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	out := make([]quota.Grant, 0, len(in.Demands))
	for _, d := range in.Demands {
		out = append(out, n.quotas.owner.Grant(in.Daemon, d, working, time.Now()))
	}
	return out
}

// ServeQuotas adds the handler that answers reported demands with grants to mux.
func (n *Node) ServeQuotas(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathQuota, func(w http.ResponseWriter, r *http.Request) {
		var in quotaReport
		if n.readCall(w, r, &in) {
			n.writeCall(w, n.grant(in))
		}
	})
}
