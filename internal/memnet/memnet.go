// Package memnet implements an in-memory network for tests. Daemons and stand-ins use it
// in the virtual time of testing/synctest, and hosts can be partitioned.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of connections.
var (
	errRefused = errors.New("memnet: connection refused")
	errInUse   = errors.New("memnet: address in use")
)

// Net is a network of hosts, each with an IP address.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	cut       map[[2]string]bool // by sorted pair of hosts
	healed    chan struct{}      // closed by Heal
	port      int                // last ephemeral port
}

// New returns an empty network.
func New() *Net {
	return &Net{listeners: map[string]*listener{}, conns: map[*conn]bool{}, cut: map[[2]string]bool{}, healed: make(chan struct{}), port: 1024}
}

// Host is the view of the network from one host. It implements network.Network.
type Host struct {
	net *Net
	ip  string
}

// Host returns the host with the given IP address.
func (n *Net) Host(ip string) *Host { return &Host{net: n, ip: ip} }

// Listen implements network.Network. It replaces the IP address by the host's. Port 0
// selects a free port.
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

// DialContext implements network.Network. If the hosts are cut off from each other it
// waits until Heal or until ctx ends, as with dropped packets.
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
	a := newConn(n, near, pair(from, to), addr(from+":1"), addr(l.address))
	b := newConn(n, far, a.pair, a.remote, a.local)
	select {
	case l.accept <- b:
	case <-l.closed:
		_, _ = a.Close(), b.Close()
		return nil, errRefused
	case <-ctx.Done():
		_, _ = a.Close(), b.Close()
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[a] = true
	return a, nil
}

// Cut closes the connections between two hosts and blocks new ones until Heal.
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

// Heal removes all cuts.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	close(n.healed)
	n.healed = make(chan struct{})
}

// conn is one end of a connection. Writes go through a bounded queue, like the send
// buffer of a socket.
type conn struct {
	net.Conn
	net           *Net
	pair          [2]string
	local, remote addr

	out           chan []byte
	closed        chan struct{}
	once          sync.Once
	writeDeadline atomic.Int64 // Unix nanoseconds, 0 for none
}

// Limits of the write queue of a connection.
const (
	queueChunks   = 16
	lingerTimeout = time.Second // for queued data after Close
)

func newConn(n *Net, pipe net.Conn, p [2]string, local, remote addr) *conn {
	c := &conn{Conn: pipe, net: n, pair: p, local: local, remote: remote, out: make(chan []byte, queueChunks), closed: make(chan struct{})}
	go c.pump()
	return c
}

// pump writes the queue to the pipe. After Close it writes the queued data until the
// write deadline.
func (c *conn) pump() {
	defer c.Conn.Close()
	for {
		select {
		case data := <-c.out:
			if _, err := c.Conn.Write(data); err != nil {
				return
			}
			continue
		default:
		}
		select {
		case data := <-c.out:
			if _, err := c.Conn.Write(data); err != nil {
				return
			}
		case <-c.closed:
			if len(c.out) == 0 {
				return
			}
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	var timeout <-chan time.Time
	if d := c.writeDeadline.Load(); d != 0 {
		t := time.NewTimer(time.Until(time.Unix(0, d)))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.out <- append([]byte(nil), p...):
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	case <-timeout:
		return 0, os.ErrDeadlineExceeded
	}
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.writeDeadline.Store(0)
		return nil
	}
	c.writeDeadline.Store(t.UnixNano())
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	c.once.Do(func() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
		_ = c.Conn.SetReadDeadline(time.Now())
		close(c.closed)
	})
	return nil
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
