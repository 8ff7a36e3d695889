// Package memnet is a network in memory for tests: whole daemons and stand-ins
// talk over it in the virtual time of testing/synctest, and links between hosts
// can be cut.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
)

// Errors of connections.
var (
	errRefused = errors.New("memnet: connection refused")
	errInUse   = errors.New("memnet: address in use")
)

// Net is a set of hosts, each with an IP number.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	cut       map[[2]string]bool
	healed    chan struct{}
	port      int
}

// New returns an empty network.
func New() *Net {
	return &Net{listeners: map[string]*listener{}, conns: map[*conn]bool{}, cut: map[[2]string]bool{}, healed: make(chan struct{}), port: 1024}
}

// Host is one host's view of the network; it implements network.Network.
type Host struct {
	net *Net
	ip  string
}

// Host returns the host with an IP number.
func (n *Net) Host(ip string) *Host { return &Host{net: n, ip: ip} }

// Listen implements network.Network. Port 0 picks a free one; the IP number of
// the address is replaced by the host's.
func (h *Host) Listen(address string) (net.Listener, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("memnet: %w", err)
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if port == "0" {
		h.net.port++
		port = strconv.Itoa(h.net.port)
	}
	l := &listener{net: h.net, address: net.JoinHostPort(h.ip, port), accept: make(chan net.Conn), closed: make(chan struct{})}
	if h.net.listeners[l.address] != nil {
		return nil, errInUse
	}
	h.net.listeners[l.address] = l
	return l, nil
}

// DialContext implements network.Network. Across a cut it waits until the cut
// heals or the context ends, as packets that are dropped do.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("memnet: %w", err)
	}
	for {
		l, cut, healed := h.net.lookup(h.ip, ip, address)
		if cut {
			select {
			case <-healed:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		if l == nil {
			return nil, errRefused
		}
		return h.net.connect(ctx, h.ip, ip, l)
	}
}

func (n *Net) lookup(from, to, address string) (*listener, bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[address], n.cut[pair(from, to)], n.healed
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (n *Net) connect(ctx context.Context, from, to string, l *listener) (net.Conn, error) {
	near, far := net.Pipe()
	a := &conn{Conn: near, net: n, pair: pair(from, to), local: addr(from + ":1"), remote: addr(l.address)}
	b := &conn{Conn: far, net: n, pair: a.pair, local: a.remote, remote: a.local}
	select {
	case l.accept <- b:
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[a] = true
	return a, nil
}

// Cut breaks the connections between two hosts and drops what they send to each
// other from now on.
func (n *Net) Cut(a, b string) {
	n.mu.Lock()
	p := pair(a, b)
	n.cut[p] = true
	var broken []*conn
	for c := range n.conns {
		if c.pair == p {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// Heal ends all cuts.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	close(n.healed)
	n.healed = make(chan struct{})
}

type conn struct {
	net.Conn
	net           *Net
	pair          [2]string
	local, remote addr
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

type listener struct {
	net     *Net
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.address)
		l.net.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }
