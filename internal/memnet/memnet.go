// Package memnet is a network in memory for tests: whole daemons and stand-ins
// talk over it in the virtual time of testing/synctest, and links between hosts
// can be cut.
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

// conn is one end of a connection. What is written waits in a bounded queue, as
// in the buffers of sockets.
type conn struct {
	net.Conn
	net           *Net
	pair          [2]string
	local, remote addr

	out      chan []byte
	closed   chan struct{}
	once     sync.Once
	deadline atomic.Int64 // of writes, Unix nanoseconds, 0 for none
}

// Sizes of the queue of a connection.
const (
	queueChunks = 16
	lingerFor   = time.Second // for what is queued when a connection is closed
)

func newConn(n *Net, pipe net.Conn, p [2]string, local, remote addr) *conn {
	c := &conn{Conn: pipe, net: n, pair: p, local: local, remote: remote, out: make(chan []byte, queueChunks), closed: make(chan struct{})}
	go c.pump()
	return c
}

// pump moves the queue into the pipe; after Close it lingers for what is left.
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
	if d := c.deadline.Load(); d != 0 {
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
		c.deadline.Store(0)
		return nil
	}
	c.deadline.Store(t.UnixNano())
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
		_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerFor))
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
