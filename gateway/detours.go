package gateway

import (
	"iter"
	"net"
	"net/http"
	"time"

	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/network"
)

const (
	// carriedDescriptorsDivisor limits the connections that are carried for other daemons by
	// the VM's file descriptors. Each of them takes two.
	carriedDescriptorsDivisor = 8
	// defaultCarried is the limit if the number of descriptors is unknown.
	defaultCarried = 256
	// carrierUnackedTimeout is how long bytes sent to a carrier may stay unacknowledged.
	carrierUnackedTimeout = time.Second
)

// setUpDetours makes the daemon reach backend servers through other daemons where it cannot
// reach them directly, and carry connections for other daemons.
func (g *Gateway) setUpDetours(direct *network.DirectConnector) {
	dialer := net.Dialer{KeepAlive: -1, ControlContext: network.UserTimeout(carrierUnackedTimeout)}
	g.detours = detour.NewDialer(detour.Options{
		Timing: detour.RegionTiming,
		Direct: direct, Paths: g.paths, Carriers: g.carriers, DialCarrier: dialer.DialContext, Exists: g.isServerAddress,
		Observer: detourObserver{g}, Stalls: g.stalls,
	})
	limit := defaultCarried
	if g.set.Descriptors > 0 {
		limit = g.set.Descriptors / carriedDescriptorsDivisor
	}
	g.carrier = detour.NewServer(detour.ServerOptions{
		Direct: direct, Paths: g.paths, Exists: g.isServerAddress, MaxConnections: limit, Observer: detourObserver{g},
	})
	g.backends.SetConnector(g.detours)
}

// carriers returns the other daemons.
func (g *Gateway) carriers() []detour.Carrier {
	all := g.members.All()
	out := make([]detour.Carrier, 0, len(all))
	for _, m := range all {
		if m.Name != g.set.Name {
			out = append(out, detour.Carrier{Name: m.Name, Domain: m.Domain, Address: m.Address})
		}
	}
	return out
}

// isServerAddress reports whether a known backend server has an address.
func (g *Gateway) isServerAddress(address string) bool {
	return g.serverAddresses.Has(g.inv.View(), serverAddresses, address)
}

// serverAddresses returns the addresses of the backend servers of a view.
func serverAddresses(v *inventory.View) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, s := range v.Servers {
			if !yield(s.Address) {
				return
			}
		}
	}
}

// detourObserver logs and counts how backend servers are reached. It implements
// detour.Observer.
type detourObserver struct{ g *Gateway }

// WayChanged implements detour.Observer. Idle connections of the way until now may have
// stopped working.
func (o detourObserver) WayChanged(address string, before, now detour.Way, carrier string, err error) {
	o.g.log.Add("way", "address", address, "before", before, "now", now, "carrier", carrier, "direct_err", err)
	o.g.backends.DiscardIdle(address)
	if before == detour.Unreachable {
		o.g.forward.NoteReachable(address)
	}
}

// Ways implements detour.Observer.
func (o detourObserver) Ways(count map[detour.Way]int) { o.g.metrics.Ways(count) }

// Carrying implements detour.Observer.
func (o detourObserver) Carrying(connections int) { o.g.metrics.Carrying(connections) }

// CarryRefused implements detour.Observer.
func (o detourObserver) CarryRefused(address string, status int, err error) {
	o.g.metrics.CarryRefused(http.StatusText(status))
	o.g.log.Add("not_carried", "address", address, "status", status, "err", err)
}
