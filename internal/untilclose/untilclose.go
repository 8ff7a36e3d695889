// Package untilclose lets callers see whether an answer that ends with its connection is
// complete. An HTTP/1.0 caller reads an answer without a length until the connection ends, so
// that an orderly close after an abort, or by the kernel after the process has died, looks
// like the end of the answer (RFC 9112, section 8). A reset does not.
package untilclose

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/snowspoke/snowspoke/network"
)

// Guard resets the connections of HTTP/1.0 answers that do not become complete. While such an
// answer is under way its socket is set to reset on close. That is undone once the handler has
// returned and the kernel has all bytes of the answer. Later versions of HTTP need none of
// this, as the server delimits their answers.
//
// Connections that do not lead to a *net.TCPConn, directly or through NetConn methods, are
// left alone.
//
// The zero value is ready for use.
type Guard struct {
	mu       sync.Mutex
	underWay map[*net.TCPConn]struct{}
}

// Protect sets up a server that does not serve yet. It wraps the server's handler and sets its
// ConnContext.
func (g *Guard) Protect(s *http.Server) {
	next := s.Handler
	s.ConnContext = withConn
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*net.TCPConn)
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		complete := false
		g.begin(conn)
		defer func() { g.end(conn, complete) }()
		next.ServeHTTP(w, r)
		complete = http.NewResponseController(w).Flush() == nil
	})
}

// Reset resets the connections of all answers under way. It is called before the server is
// closed: the close of a TLS connection sends an alert that marks the end of the data.
func (g *Guard) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn := range g.underWay {
		_ = conn.Close()
	}
}

func (g *Guard) begin(conn *net.TCPConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.underWay == nil {
		g.underWay = map[*net.TCPConn]struct{}{}
	}
	g.underWay[conn] = struct{}{}
	_ = conn.SetLinger(0) // fails only if the connection is closed
}

func (g *Guard) end(conn *net.TCPConn, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.underWay, conn)
	if complete {
		_ = conn.SetLinger(-1)
		return
	}
	// Closed here, so that the server cannot send a TLS alert before the reset.
	_ = conn.Close()
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	if conn := network.TCPConn(c); conn != nil {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}
