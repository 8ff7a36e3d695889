package daemon

import (
	"context"
	"crypto/tls"
	"iter"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/peer"
	"github.com/snowspoke/snowspoke/topology"
)

const (
	// backendConnectTimeout and backendProbeTimeout bound a direct connection to a backend
	// server, which may be in another region.
	backendConnectTimeout = 2 * time.Second
	backendProbeTimeout   = 500 * time.Millisecond
	// maxCarried is the number of connections that the daemon carries for others.
	maxCarried = 1024
	// leavingCheckInterval is the time between two checks for carriers that are leaving.
	leavingCheckInterval = 500 * time.Millisecond
)

// buildDetours makes the daemon reach backend servers through other daemons where it cannot
// reach them directly, and carry connections for other daemons.
func (d *Daemon) buildDetours() {
	direct := network.NewDirectConnector(d.net.DialContext, network.Timeouts{Connect: backendConnectTimeout, Probe: backendProbeTimeout}, nil)
	d.paths = detour.NewPaths(d.cfg.Daemon.FailureDomain)
	d.detours = detour.NewDialer(detour.Options{
		Timing: detour.WideAreaTiming,
		Direct: direct, Paths: d.paths, Carriers: d.carriers, DialCarrier: d.dialCarrier, Exists: d.isBackendAddress,
		Header: http.Header{"Authorization": {"Bearer " + d.peerToken()}}, Observer: detourObserver{d},
	})
	d.carrier = detour.NewServer(detour.ServerOptions{
		Direct: direct, Paths: d.paths, Exists: d.isBackendAddress, MaxConnections: maxCarried, Observer: detourObserver{d},
	})
}

// backendNetwork opens connections to backend servers. It implements network.Network.
type backendNetwork struct {
	network.Network
	detours *detour.Dialer
}

// DialContext implements network.Network.
func (n backendNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return n.detours.Connect(ctx, address)
}

// carriers returns the other daemons that are alive.
func (d *Daemon) carriers() []detour.Carrier {
	var out []detour.Carrier
	for _, m := range d.node.Members() {
		if m.Name != d.cfg.Daemon.Name && m.State == peer.Alive {
			out = append(out, detour.Carrier{Name: m.Name, Domain: m.FailureDomain, Address: m.Address})
		}
	}
	return out
}

// dialCarrier opens a connection to another daemon.
func (d *Daemon) dialCarrier(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.net.DialContext(ctx, network, address)
	if err != nil || d.tls == nil {
		return c, err
	}
	secure := tls.Client(c, d.tls.Client())
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return secure, nil
}

// isBackendAddress reports whether a known backend server or endpoint of a service has an
// address.
func (d *Daemon) isBackendAddress(address string) bool {
	return d.backendAddresses.Has(d.catalog.Snapshot(), backendAddresses, address)
}

// backendAddresses returns the addresses of backend servers and endpoints of services.
func backendAddresses(snap *topology.Snapshot) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, b := range snap.BackendServers {
			if !yield(b.Address) {
				return
			}
		}
		for _, s := range snap.Services {
			for i := range s.Endpoints {
				if !yield(s.Endpoints[i].Address) {
					return
				}
			}
		}
	}
}

// serveCarried handles the connections that other daemons ask this one to carry.
func (d *Daemon) serveCarried(w http.ResponseWriter, r *http.Request) {
	if !d.node.Authorized(r) {
		http.Error(w, "wrong token", http.StatusUnauthorized)
		return
	}
	d.carrier.ServeHTTP(w, r)
}

// closeIdleThroughLeaving closes idle connections to backend servers while a daemon that may
// carry some of them is leaving: it waits for them.
func (d *Daemon) closeIdleThroughLeaving(ctx context.Context) {
	for wait.For(ctx, leavingCheckInterval) {
		if d.paths.Count()[detour.Carried] == 0 {
			continue
		}
		for _, m := range d.node.Members() {
			if m.State == peer.Leaving {
				d.closeIdleBackends()
				break
			}
		}
	}
}

// closeIdleBackends closes the idle connections to backend servers.
func (d *Daemon) closeIdleBackends() {
	for _, c := range d.backendClients {
		c.CloseIdleConnections()
	}
}

// detourObserver logs and counts how backend servers are reached. It implements
// detour.Observer.
type detourObserver struct{ d *Daemon }

// WayChanged implements detour.Observer. Idle connections of the way until now may have
// stopped working.
func (o detourObserver) WayChanged(address string, before, now detour.Way, carrier string, err error) {
	_ = level.Info(o.d.logger).Log("msg", "way to a backend server", "address", address, "before", before, "now", now, "carrier", carrier, "direct_err", err)
	o.d.closeIdleBackends()
}

// Ways implements detour.Observer.
func (o detourObserver) Ways(count map[detour.Way]int) { o.d.metrics.Ways(count) }

// Carrying implements detour.Observer.
func (o detourObserver) Carrying(connections int) { o.d.metrics.Carrying(connections) }

// CarryRefused implements detour.Observer.
func (o detourObserver) CarryRefused(address string, status int, err error) {
	o.d.metrics.CarryRefused(http.StatusText(status))
	_ = level.Info(o.d.logger).Log("msg", "connection not carried", "address", address, "status", status, "err", err)
}
