package standin

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/snowspoke/snowspoke/network"
)

// server is an HTTP server that can be killed and started again on its address.
type server struct {
	mu      sync.Mutex
	net     network.Network
	handler http.Handler
	address string
	http    *http.Server
}

// start listens on the address, or on a free port of loopback the first time.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := s.net.Listen(address)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	s.address = l.Addr().String()
	s.http = &http.Server{Handler: s.handler}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	return nil
}

// Address returns host:port.
func (s *server) Address() string { return s.address }

// Close cuts all connections and stops listening.
func (s *server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		_ = s.http.Close()
	}
}
