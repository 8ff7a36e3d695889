package daemon

import (
	"net"
	"sync"
)

// limitListener accepts a connection only while fewer than a limit are open. Its connections
// give access to the ones below, unlike those of golang.org/x/net/netutil.
type limitListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	close  func() error
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	ll := &limitListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
	ll.close = sync.OnceValue(func() error {
		close(ll.closed)
		return l.Close()
	})
	return ll
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error { return l.close() }

// limitedConn is a connection that counts towards the limit until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }
