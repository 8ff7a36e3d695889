package daemon

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/catalog"
	"github.com/snowspoke/snowspoke/claims"
	"github.com/snowspoke/snowspoke/peer"
	"github.com/snowspoke/snowspoke/permit"
	"github.com/snowspoke/snowspoke/store"
)

// roleEntry marks the VMs that run daemons in the platform's VM list.
const roleEntry = "entry"

// buildNode makes this daemon a member of the fleet.
func (d *Daemon) buildNode() {
	self := peer.Member{
		Name: d.cfg.Daemon.Name, Address: d.PeersAddr(), FailureDomain: d.cfg.Daemon.FailureDomain,
		Region: d.cfg.Daemon.Region, Incarnation: uint64(time.Now().UnixMilli()), Operators: d.OperatorsAddr(),
	}
	p := d.cfg.Peers
	d.node = peer.New(peer.Options{
		Self: self, Seeds: p.Seeds, Heartbeat: p.Heartbeat, Suspect: p.Suspect, Dead: p.Dead,
		Degree: p.Degree, Watchers: p.Watchers, Token: d.peerToken(), Scheme: d.peerScheme(),
	}, d.client(peerConns), d.catalog, d.monitor, d.logger)
	d.node.OnVMs(d.takeVMs)
}

// peerConns is the number of idle connections kept to each other daemon.
const peerConns = 4

// peerToken is derived from the fleet's key, so that only daemons have it.
func (d *Daemon) peerToken() string {
	mac := hmac.New(sha256.New, d.key)
	mac.Write([]byte("snowspoke peers"))
	return hex.EncodeToString(mac.Sum(nil))
}

func (d *Daemon) peersHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.PathLink, d.node.Handler(ctx))
	d.node.ServeClaims(mux, d.book)
	d.node.ServeQuotas(mux)
	d.node.ServeDemand(mux, d.ownDemand)
	mux.HandleFunc(permit.Path, d.servePermits)
	return mux
}

// followStore follows the store while this daemon is due to.
func (d *Daemon) followStore(ctx context.Context) {
	d.node.Follow(ctx, func(ctx context.Context) {
		catalog.NewFollower(d.catalog, d.store, d.cfg.Platform.Resync, d.node.PublishObjects, d.logger).Run(ctx)
	})
}

// readVMs reads the platform's VM list while this daemon is due to follow the
// store; the others get it from their neighbours.
func (d *Daemon) readVMs(ctx context.Context) {
	d.node.Follow(ctx, func(ctx context.Context) {
		t := time.NewTicker(d.cfg.Platform.VMPoll)
		defer t.Stop()
		for {
			if vms, err := d.store.ListVMs(ctx); err == nil {
				d.node.PublishVMs(vms)
			}
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	})
}

// takeVMs puts a VM list into use: leaving VMs get no new work, and the entry
// VMs are where other daemons may be found. Daemons listen for each other on the
// same port everywhere.
func (d *Daemon) takeVMs(vms []store.VM) {
	d.table.SetVMs(vms)
	if _, port, err := net.SplitHostPort(d.PeersAddr()); err == nil {
		d.node.SetSeeds(append(entrySeeds(vms, port), d.cfg.Peers.Seeds...))
	}
}

func entrySeeds(vms []store.VM, port string) []string {
	var out []string
	for _, v := range vms {
		if v.Role == roleEntry && v.State == store.VMLive {
			out = append(out, net.JoinHostPort(v.Address, port))
		}
	}
	return out
}

// peersOf gives parts that are built before the node access to it.
type peersOf struct{ d *Daemon }

// Owns implements monitor.Owner.
func (p peersOf) Owns(server string) bool { return p.d.node.Owns(server) }

// PublishStatus implements monitor.Publisher.
func (p peersOf) PublishStatus(st backend.Status) { p.d.node.PublishStatus(st) }

// Share implements dispatch.Shares.
func (p peersOf) Share(workspace string) float64 { return p.d.node.Share(workspace) }

// Writer implements claims.Peers.
func (p peersOf) Writer(shard int) string { return p.d.node.Writer(shard) }

// Propose implements claims.Peers.
func (p peersOf) Propose(ctx context.Context, daemon string, r claims.Record) (claims.Verdict, error) {
	return p.d.node.Propose(ctx, daemon, r)
}

// Answer implements claims.Peers.
func (p peersOf) Answer(ctx context.Context, daemon string, key claims.KeyHash, requestID string) (*claims.Answer, error) {
	return p.d.node.Answer(ctx, daemon, key, requestID)
}
