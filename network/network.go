// Package network abstracts the operating system's sockets, so that tests can run
// many daemons on a network in memory.
package network

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/snowspoke/snowspoke/framing"
)

// Network opens listeners and connections.
type Network interface {
	// Listen listens on an address given as IP:port.
	Listen(address string) (net.Listener, error)
	// DialContext connects to an address. It fails when ctx ends.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// System is the operating system's network.
type System struct{ dialer net.Dialer }

// NewSystem returns the operating system's network. Dialing fails after the
// timeout.
func NewSystem(timeout time.Duration) *System {
	return &System{dialer: net.Dialer{Timeout: timeout, KeepAlive: 5 * time.Second}}
}

// Listen implements Network.
func (s *System) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// DialContext implements Network.
func (s *System) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return s.dialer.DialContext(ctx, network, address)
}

// idleTimeout is shorter than the idle timeout of typical servers, so that a
// request is rarely sent on a connection that the server is closing.
const idleTimeout = 20 * time.Second

// Client returns an HTTP client over the network that keeps up to perHost idle
// connections to each host and does not follow redirects.
func Client(n Network, perHost int) *http.Client { return TLSClient(n, perHost, nil) }

// TLSClient is like Client, with a TLS configuration for https; nil selects the
// default.
func TLSClient(n Network, perHost int, c *tls.Config) *http.Client {
	return &http.Client{
		Transport: framing.CheckHeads(&http.Transport{
			DialContext: reportingResets(n.DialContext), MaxIdleConnsPerHost: perHost, IdleConnTimeout: idleTimeout, DisableCompression: true,
			TLSClientConfig: c, MaxResponseHeaderBytes: framing.MaxHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
