package daemon

import (
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/snowspoke/snowspoke/api"
	"github.com/snowspoke/snowspoke/catalog"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/invariant"
	"github.com/snowspoke/snowspoke/topology"
)

// Reasons for not being ready.
var (
	errStopping  = errors.New("stopping")
	errNotSynced = errors.New("no complete configuration yet")
	errNotJoined = errors.New("no other daemon heard yet")
	errNotPolled = errors.New("backend servers not asked yet")
)

// Ready implements api.Inspector. It returns the reason why the daemon is not ready,
// or nil.
func (d *Daemon) Ready() error {
	if d.stopping.Load() {
		return errStopping
	}
	if d.catalog.Mark().Revision == 0 || !d.catalog.Complete() {
		return errNotSynced
	}
	if !d.node.Joined() {
		return errNotJoined
	}
	if !d.monitor.Polled() {
		return errNotPolled
	}
	return nil
}

// Status implements api.Inspector.
func (d *Daemon) Status() api.Status {
	mark := d.catalog.Mark()
	running, waiting := d.gate.InFlight()
	s := api.Status{
		Daemon: d.cfg.Daemon.Name, FailureDomain: d.cfg.Daemon.FailureDomain, Ready: d.Ready() == nil,
		Revision: mark.Revision, Digest: fmt.Sprintf("%016x", mark.Digest), StoreBehind: d.catalog.Behind(),
		Rejected: d.catalog.Rejected(), Running: running, Waiting: waiting, Violations: invariant.Total(),
	}
	now := time.Now()
	for _, info := range d.table.View().Servers {
		b := api.BackendServerStatus{
			Name: info.Config.Name, FailureDomain: info.Config.FailureDomain, Accelerator: info.Config.Accelerator,
			Usable: info.Usable, Leaving: d.table.Leaving(info.Config.Name), Capacity: info.Capacity,
			InFlight: info.Live.InFlight(), Load: info.Live.Load(now), Weight: info.Live.Weight(),
		}
		for _, h := range info.Holdings {
			b.Holdings = append(b.Holdings, h.Model+"/"+h.Version+h.Layers.String())
		}
		s.BackendServers = append(s.BackendServers, b)
	}
	s.Models = d.models()
	if h := d.leaseManager.Holder(); h.Fencing > 0 {
		_, held := d.leaseManager.Held()
		s.Leases = append(s.Leases, api.LeaseStatus{Name: leasePlacement, Holder: h.Holder, Fencing: h.Fencing, Mine: held})
	}
	for _, m := range d.node.Members() {
		s.Peers = append(s.Peers, api.PeerStatus{
			Name: m.Name, Address: m.Address, Operators: m.Operators, FailureDomain: m.FailureDomain,
			State: m.State.String(), Incarnation: m.Incarnation,
		})
	}
	return s
}

// models returns the bound of each model for unrestricted requests, sorted by model.
func (d *Daemon) models() []api.ModelStatus {
	snap := d.catalog.Snapshot()
	var out []api.ModelStatus
	for name, m := range snap.Models {
		b, version := d.planner.Serving(snap, topology.Class{}, m, "")
		out = append(out, api.ModelStatus{Model: name, Version: version, Bound: b.Plan.Bound, Cut: b.Plan.Cut})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}

// Explain implements api.Inspector. id is a request ID or the name of a backend
// server or model.
func (d *Daemon) Explain(id string) []decision.Record {
	return d.decisions.Find(func(r *decision.Record) bool { return r.RequestID == id || r.Subject == id })
}

// ObjectResult implements api.Inspector.
func (d *Daemon) ObjectResult(kind, name string) (catalog.Result, bool) {
	return d.catalog.Result(kind, name)
}
