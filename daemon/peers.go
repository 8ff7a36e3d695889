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
	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/peer"
	"github.com/snowspoke/snowspoke/permit"
	"github.com/snowspoke/snowspoke/store"
)

// roleEntry is the role that the platform's VM list gives to VMs that run daemons.
const roleEntry = "entry"

// buildNode creates the peer node, with which this daemon joins the fleet.
func (d *Daemon) buildNode() {
	self := peer.Member{
		Name: d.cfg.Daemon.Name, Address: d.PeersAddr(), FailureDomain: d.cfg.Daemon.FailureDomain,
		Region: d.cfg.Daemon.Region, Incarnation: uint64(time.Now().UnixMilli()), Operators: d.OperatorsAddr(),
	}
	p := d.cfg.Peers
	d.node = peer.New(peer.Options{
		Self: self, Seeds: p.Seeds, Heartbeat: p.Heartbeat, Suspect: p.Suspect, Dead: p.Dead,
		Degree: p.Degree, Watchers: p.Watchers, Token: d.peerToken(), Scheme: d.peerScheme(), Quarantine: d.quarantine,
	}, d.client(peerConns), d.catalog, d.monitor, d.logger)
	d.node.OnVMs(d.applyVMs)
}

// peerConns is the maximum number of idle connections to each other daemon.
const peerConns = 4

// peerToken returns the token for calls between daemons, derived from the fleet key.
func (d *Daemon) peerToken() string {
	mac := hmac.New(sha256.New, d.key)
	mac.Write([]byte("snowspoke peers"))
	return hex.EncodeToString(mac.Sum(nil))
}

func (d *Daemon) peersHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.PathLink, d.node.Handler(ctx))
	d.node.ServeClaims(mux, d.claimRegistry)
	d.node.ServeQuotas(mux)
	d.node.ServeDemand(mux, d.ownDemand)
	mux.HandleFunc(permit.Path, d.servePermits)
	mux.HandleFunc(detour.Path, d.serveCarried)
	return mux
}

// followStore follows the configuration in the store while this daemon is a watcher
// or has no contact with others.
func (d *Daemon) followStore(ctx context.Context) {
	d.node.Follow(ctx, func(ctx context.Context) {
		catalog.NewFollower(d.catalog, d.store, d.cfg.Platform.Resync, d.node.PublishObjects, d.logger).Run(ctx)
	})
}

// readVMs polls the platform's VM list while this daemon follows the store. Other
// daemons receive the list from their neighbours.
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

// applyVMs applies a VM list. Leaving VMs get no new requests, and live entry VMs
// become seeds. All daemons use the same port for peers.
func (d *Daemon) applyVMs(vms []store.VM) {
	d.table.SetVMs(vms)
	if _, port, err := net.SplitHostPort(d.PeersAddr()); err == nil {
		d.node.SetSeeds(append(entrySeeds(vms, port), d.cfg.Peers.Seeds...))
	}
}

// entrySeeds returns the peer addresses of the live entry VMs.
func entrySeeds(vms []store.VM, port string) []string {
	var out []string
	for _, v := range vms {
		if v.Role == roleEntry && v.State == store.VMLive {
			out = append(out, net.JoinHostPort(v.Address, port))
		}
	}
	return out
}

// peerAdapter gives access to the peer node to components that are built before it.
type peerAdapter struct{ d *Daemon }

// Owns implements monitor.Owner.
func (p peerAdapter) Owns(server string) bool { return p.d.node.Owns(server) }

// PublishStatus implements monitor.Publisher.
func (p peerAdapter) PublishStatus(st backend.Status) { p.d.node.PublishStatus(st) }

// Share implements dispatch.Shares.
func (p peerAdapter) Share(workspace string) float64 { return p.d.node.Share(workspace) }

// Writer implements claims.Peers.
func (p peerAdapter) Writer(shard int) string { return p.d.node.Writer(shard) }

// Propose implements claims.Peers.
func (p peerAdapter) Propose(ctx context.Context, daemon string, r claims.Record) (claims.Result, error) {
	return p.d.node.Propose(ctx, daemon, r)
}

// Answer implements claims.Peers.
func (p peerAdapter) Answer(ctx context.Context, daemon string, key claims.KeyHash, requestID string) (*claims.Answer, error) {
	return p.d.node.Answer(ctx, daemon, key, requestID)
}

// forgetInterval is the time between two removals of expired entries of the quarantine.
const forgetInterval = time.Minute

// forgetCrashes removes expired entries of the quarantine until ctx ends.
func (d *Daemon) forgetCrashes(ctx context.Context) {
	for wait.For(ctx, forgetInterval) {
		d.quarantine.Forget(time.Now())
	}
}
