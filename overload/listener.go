package overload

import (
	"net"
	"os"
	"syscall"
	"time"
)

// Listener accepts the connections that a Limiter admits, and closes the others unread.
type Listener struct {
	net.Listener
	limiter  *Limiter
	inFlight func() int
	raw      syscall.RawConn // nil if the listener is not on TCP
}

// NewListener returns a Listener over l. inFlight returns the number of requests in progress,
// including those of connections that Accept has returned and that were not read yet.
func NewListener(l net.Listener, limiter *Limiter, inFlight func() int) *Listener {
	out := &Listener{Listener: l, limiter: limiter, inFlight: inFlight}
	if tcp, ok := l.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			out.raw = raw
		}
	}
	return out
}

// discardInterval is the time between two checks for connections while they are discarded.
const discardInterval = 5 * time.Millisecond

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.raw != nil && l.limiter.Refuses(l.inFlight(), time.Now()) {
			c, err := l.discard()
			if c != nil || err != nil {
				return c, err
			}
			time.Sleep(discardInterval)
			continue
		}
		c, err := l.Listener.Accept()
		if err != nil || l.limiter.Admit(l.inFlight(), time.Now()) {
			return c, err
		}
		_ = c.Close()
	}
}

// discard closes the connections that wait to be accepted until one is admitted, which it returns.
// It returns nil if none waits. It makes two system calls for each connection and does not register
// it with the runtime, so that many connections cost little of the processor time that is short.
func (l *Listener) discard() (net.Conn, error) {
	admitted := -1
	var acceptErr error
	err := l.raw.Control(func(fd uintptr) {
		for admitted < 0 && acceptErr == nil {
			var c int
			if c, acceptErr = accept(int(fd)); acceptErr != nil {
				return
			}
			if l.limiter.Admit(l.inFlight(), time.Now()) {
				admitted = c
				return
			}
			_ = syscall.Close(c)
		}
	})
	switch {
	case err != nil:
		return nil, err
	case acceptErr == syscall.EAGAIN:
		return nil, nil
	case acceptErr != nil:
		// http.Server retries only errors of this type.
		return nil, &net.OpError{Op: "accept", Net: l.Addr().Network(), Addr: l.Addr(), Err: os.NewSyscallError("accept4", acceptErr)}
	}
	f := os.NewFile(uintptr(admitted), "")
	defer f.Close()
	return net.FileConn(f)
}

// accept accepts a connection. It returns EAGAIN if none waits.
func accept(fd int) (c int, err error) {
	for {
		c, _, err = syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err != syscall.EINTR && err != syscall.ECONNABORTED {
			return c, err
		}
	}
}
