package gateway

import (
	"fmt"
	"net"
	"strconv"
)

// listeners are the open addresses of a daemon.
type listeners struct {
	callers net.Listener
	checks  net.Listener
	links   net.Listener // to other daemons
	figures net.Listener // metrics, nil for none
}

// listen opens the addresses, so that a daemon that cannot serve does not start.
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
	g.listeners.checks = open("readiness checks", g.set.Readiness)
	g.listeners.links = open("other daemons", net.JoinHostPort(g.set.IP, strconv.Itoa(g.set.PeerPort)))
	if g.opts.MetricsPort > 0 {
		g.listeners.figures = open("metrics", net.JoinHostPort(g.set.IP, strconv.Itoa(g.opts.MetricsPort)))
	}
	return err
}

// CallersAddr returns the address that callers reach.
func (g *Gateway) CallersAddr() string { return g.listeners.callers.Addr().String() }

// ReadinessAddr returns the address of the balancer's check.
func (g *Gateway) ReadinessAddr() string { return g.listeners.checks.Addr().String() }
