package overload

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo accepts connections and returns the bytes that it reads. It counts the open connections.
type echo struct {
	t        *testing.T
	address  string
	limiter  *Limiter
	mu       sync.Mutex
	inFlight int
	accepted int
}

func newEcho(t *testing.T) *echo {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &echo{t: t, address: tcp.Addr().String(), limiter: &Limiter{}}
	l := NewListener(tcp, e.limiter, e.open)
	served := make(chan error, 1)
	go func() { served <- e.serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		require.ErrorIs(t, <-served, net.ErrClosed)
	})
	return e
}

func (e *echo) open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

func (e *echo) serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		e.mu.Lock()
		e.inFlight++
		e.accepted++
		e.mu.Unlock()
		go func() {
			_, _ = io.Copy(c, c) // ends with the connection
			_ = c.Close()
			e.mu.Lock()
			defer e.mu.Unlock()
			e.inFlight--
		}()
	}
}

// dial opens a connection and sends a byte. It returns nil if the connection is closed unread.
func (e *echo) dial() net.Conn {
	c, err := net.Dial("tcp", e.address)
	require.NoError(e.t, err)
	_, err = c.Write([]byte{7})
	if err == nil {
		require.NoError(e.t, c.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = c.Read(make([]byte, 1))
	}
	if err == nil {
		return c
	}
	require.True(e.t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "%v", err)
	require.NoError(e.t, c.Close())
	return nil
}

// Connections beyond the limit are closed unread, and those below it are served, also after others
// were closed and once the limit is lifted.
func TestConnectionsBeyondTheLimitAreClosedUnread(t *testing.T) {
	e := newEcho(t)
	var open []net.Conn
	for range 8 {
		open = append(open, e.dial())
		require.NotNil(t, open[len(open)-1])
	}
	now := time.Now()
	e.limiter.Update(Load{InFlight: 10, Usage: 1}, now) // a limit of 8
	require.Equal(t, 8, e.limiter.Limit())
	for range 20 {
		require.Nil(t, e.dial())
	}
	require.Equal(t, 20, e.limiter.TakeRefused())
	require.NoError(t, open[0].Close())
	require.Eventually(t, func() bool { return e.open() == 7 }, 5*time.Second, time.Millisecond)
	again := e.dial()
	require.NotNil(t, again, "below the limit")
	require.Nil(t, e.dial())
	for i := range 12 {
		e.limiter.Update(Load{InFlight: 5, Usage: 0.1}, now.Add(time.Duration(i+1)*UpdateInterval))
	}
	require.Zero(t, e.limiter.Limit())
	for range 3 {
		require.NotNil(t, e.dial())
	}
}

// A connection that is admitted while others are being discarded is as usable as others.
func TestAdmittedConnectionAfterDiscarded(t *testing.T) {
	e := newEcho(t)
	for range 4 {
		require.NotNil(t, e.dial())
	}
	e.limiter.Update(Load{InFlight: 4, Usage: 1}, time.Now()) // a limit of 4
	require.Nil(t, e.dial())
	time.Sleep(maxRefusalTime + 50*time.Millisecond)
	c := e.dial()
	require.NotNil(t, c, "some connections are always admitted")
	for range 3 {
		_, err := c.Write([]byte{1})
		require.NoError(t, err)
		_, err = c.Read(make([]byte, 1))
		require.NoError(t, err)
	}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
