package detour

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/snowspoke/snowspoke/network"
)

// Bounds of carried connections.
const (
	// bufferSize is the size of the buffer of each direction.
	bufferSize = 8 << 10
	// lingerTimeout bounds the wait for the other daemon after the backend server has
	// closed its connection.
	lingerTimeout = 2 * time.Second
	// unackedTimeout is how long bytes sent to the other daemon may stay unacknowledged.
	unackedTimeout = time.Second
	// writeEndTimeout bounds a write after the backend server has ended its side. If it has closed the
	// connection, the write fails at once.
	writeEndTimeout = time.Second
)

// ServerOptions configure a Server.
type ServerOptions struct {
	Direct network.Connector
	Paths  *Paths // shared with the Dialer
	// Exists reports whether a backend server has an address.
	Exists         func(address string) bool
	MaxConnections int
	Observer       Observer
}

// Server carries connections of other daemons to backend servers. It only uses its own direct
// connections. It is safe for concurrent use.
type Server struct {
	opts     ServerOptions
	stopping atomic.Bool

	mu     sync.Mutex
	active map[*tunnel]struct{}
	opened int // connections that are open or being opened
}

// NewServer returns a Server.
func NewServer(o ServerOptions) *Server {
	return &Server{opts: o, active: map[*tunnel]struct{}{}}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.URL.Query().Get(addressParam)
	status, err := s.serve(w, r, address)
	if status == statusCarried || r.Context().Err() != nil {
		return // the connection was taken over, or the other daemon has given up
	}
	s.opts.Observer.CarryRefused(address, status, err)
	w.WriteHeader(status)
}

// serve carries a connection until it ends, or returns the status of a refusal.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, address string) (status int, err error) {
	if r.Header.Get("Upgrade") != protocol || !s.opts.Exists(address) {
		return statusUnknown, nil
	}
	if s.opts.Paths.Way(address) != Direct {
		return statusNotDirect, nil
	}
	if !s.reserve() {
		return statusUnavailable, nil
	}
	defer s.release()
	server, err := s.opts.Direct.Probe(r.Context(), address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return statusRefused, err
		}
		return statusNoAnswer, err
	}
	defer server.Close()
	daemon, err := accept(w)
	if err != nil {
		return statusCarried, err // the other daemon sees the connection end
	}
	defer daemon.Close()
	t := newTunnel(daemon, server)
	s.add(t)
	defer s.remove(t)
	t.run()
	return statusCarried, nil
}

// accept takes over the connection of a request and switches its protocol.
func accept(w http.ResponseWriter) (net.Conn, error) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	if buffered.Reader.Buffered() > 0 {
		_ = c.Close()
		return nil, errors.New("detour: bytes before the answer")
	}
	// The other daemon must see a broken connection as broken, also if this process is killed.
	if err := prepare(c); err != nil {
		_ = c.Close()
		return nil, err
	}
	_, err = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n")
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// prepare makes a connection to another daemon end with a reset on close, and fail soon if that
// daemon does not respond.
func prepare(c net.Conn) error {
	t := network.TCPConn(c)
	if t == nil {
		return nil
	}
	if err := t.SetLinger(0); err != nil {
		return err
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	return network.SetUserTimeout(raw, unackedTimeout)
}

func (s *Server) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() || s.opened >= s.opts.MaxConnections {
		return false
	}
	s.opened++
	s.opts.Observer.Carrying(s.opened)
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened--
	s.opts.Observer.Carrying(s.opened)
}

func (s *Server) add(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[t] = struct{}{}
}

func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, t)
}

// Stop makes the server carry no further connections. Those that it carries go on.
func (s *Server) Stop() { s.stopping.Store(true) }

// Carried returns the number of connections that the server carries.
func (s *Server) Carried() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping.Store(true)
	for t := range s.active {
		_ = t.daemon.Close()
		_ = t.server.Close()
	}
}

// tunnel is one carried connection.
type tunnel struct {
	daemon, server net.Conn
	uploadEnded    chan struct{}
	uploadErr      error // valid once uploadEnded is closed
}

func newTunnel(daemon, server net.Conn) *tunnel {
	return &tunnel{daemon: daemon, server: server, uploadEnded: make(chan struct{})}
}

// run copies bytes in both directions until the connection ends. If the backend server closes
// its connection in order after all bytes of the daemon were written to it, so does the one to the
// daemon; otherwise that one is reset.
func (t *tunnel) run() {
	go t.upload()
	if copyBytes(t.daemon, t.server) == nil && t.isUploadWritten() && closeWrite(t.daemon) {
		t.awaitDaemon()
	}
	_ = t.daemon.Close()
	<-t.uploadEnded
}

// upload copies the bytes of the daemon. Once the daemon has closed its connection, no one waits for the
// answer.
func (t *tunnel) upload() {
	defer close(t.uploadEnded)
	t.uploadErr = copyBytes(t.server, t.daemon)
	_ = t.server.Close()
}

// isUploadWritten ends the upload and reports whether all received bytes of the daemon were written to the
// backend server. A reset is reported once: if a write has received it, the read of the answer saw an
// orderly end.
func (t *tunnel) isUploadWritten() bool {
	now := time.Now()
	_ = t.server.SetWriteDeadline(now.Add(writeEndTimeout))
	_ = t.daemon.SetReadDeadline(now) // fails if the connection is closed, as reads do
	<-t.uploadEnded
	if errors.Is(t.uploadErr, errNotWritten) || !errors.Is(t.uploadErr, os.ErrDeadlineExceeded) {
		return false
	}
	return t.daemon.SetReadDeadline(time.Time{}) == nil && network.IsQuiet(t.daemon)
}

// awaitDaemon waits until the daemon closes its connection, for at most lingerTimeout.
func (t *tunnel) awaitDaemon() {
	_ = t.daemon.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = t.daemon.Read(make([]byte, 1))
}

// closeWrite ends a connection in order after all bytes written to it, and reports whether the
// connection can be ended so.
func closeWrite(c net.Conn) bool {
	if t := network.TCPConn(c); t != nil && t.SetLinger(-1) != nil {
		return false
	}
	t, ok := c.(interface{ CloseWrite() error })
	return ok && t.CloseWrite() == nil
}

// errNotWritten is returned if bytes that were read could not be written.
var errNotWritten = errors.New("detour: bytes not written")

// copyBytes copies until the end of from. It returns nil if that was in order, and an error that wraps
// errNotWritten if bytes were lost.
func copyBytes(to io.Writer, from io.Reader) error {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errNotWritten, werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
