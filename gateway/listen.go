package gateway

import (
	"fmt"
	"net"
	"strconv"
)

// listeners holds the listening sockets of a daemon.
type listeners struct {
	callers   net.Listener
	readiness net.Listener
	links     net.Listener // for other daemons
	admin     net.Listener // metrics and the quarantine list, nil for none
}

// listen opens all listening sockets, so that New fails if an address is not available.
func (g *Gateway) listen() error {
	var err error
	open := func(what, address string) net.Listener {
		if err != nil {
			return nil
		}
		var l net.Listener
		if l, err = net.Listen("tcp", address); err != nil {
			err = fmt.Errorf("listen for %s: %w", what, err)
		}
		return l
	}
	g.listeners.callers = open("callers", g.set.Callers)
	g.listeners.readiness = open("readiness checks", g.set.Readiness)
	g.listeners.links = open("other daemons", net.JoinHostPort(g.set.IP, strconv.Itoa(g.set.PeerPort)))
	if g.opts.MetricsPort > 0 {
		g.listeners.admin = open("metrics", net.JoinHostPort(g.set.IP, strconv.Itoa(g.opts.MetricsPort)))
	}
	return err
}

// CallersAddr returns the address for callers.
func (g *Gateway) CallersAddr() string { return g.listeners.callers.Addr().String() }

// ReadinessAddr returns the address for the load balancer's readiness check.
func (g *Gateway) ReadinessAddr() string { return g.listeners.readiness.Addr().String() }
