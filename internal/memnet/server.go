package memnet

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/snowspoke/snowspoke/network"
)

// Server is an HTTP server that can be restarted on the same address.
type Server struct {
	mu      sync.Mutex
	Net     network.Network
	Handler http.Handler
	address string
	http    *http.Server
}

// Start listens on the address of the previous start, or the first time on a free port
// of loopback.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := s.Net.Listen(address)
	if err != nil {
		return fmt.Errorf("memnet: %w", err)
	}
	s.address = l.Addr().String()
	s.http = &http.Server{Handler: s.Handler}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	return nil
}

// Address returns the address as host:port.
func (s *Server) Address() string { return s.address }

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		_ = s.http.Close()
	}
}
