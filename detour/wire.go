package detour

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/url"
	"syscall"

	"github.com/snowspoke/snowspoke/framing"
)

// Path is the path of the endpoint at which a daemon carries connections. The answer 101
// switches the connection to the bytes of the carried one.
const Path = "/detour"

const (
	// protocol is the value of the Upgrade header.
	protocol = "snowspoke-detour"
	// addressParam is the query parameter with the address of the backend server.
	addressParam = "address"
)

// Answers of a carrier, by HTTP status.
const (
	statusCarried     = http.StatusSwitchingProtocols
	statusRefused     = http.StatusBadGateway         // the backend server refuses connections
	statusNoAnswer    = http.StatusGatewayTimeout     // it does not respond
	statusUnavailable = http.StatusServiceUnavailable // this daemon carries no connection now
	statusNotDirect   = http.StatusLoopDetected       // this daemon would need a carrier itself
	statusUnknown     = http.StatusNotFound           // no backend server has the address
)

// Errors of a carrier.
var (
	// errUnreachableThere is returned if the carrier cannot reach the backend server either.
	errUnreachableThere = errors.New("detour: not reachable from the carrier")
	// errNotDirect is returned if the carrier has no direct reach itself at the moment.
	errNotDirect = errors.New("detour: carrier needs a carrier itself")
	// errUnavailable is returned if the carrier carries no connection now.
	errUnavailable = errors.New("detour: carrier not available")
)

// readBufferBytes is the size of the buffer of a carried connection.
const readBufferBytes = 4 << 10

// open asks a carrier for a connection to an address, over a connection to the carrier.
func open(c net.Conn, carrier Carrier, address string, header http.Header) (net.Conn, error) {
	u := url.URL{Scheme: "http", Host: carrier.Address, Path: Path, RawQuery: url.Values{addressParam: {address}}.Encode()}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("detour: %w", err)
	}
	maps.Copy(req.Header, header)
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", protocol)
	if err := req.Write(c); err != nil {
		return nil, fmt.Errorf("%w: %w", errUnavailable, err)
	}
	r := framing.NewResponses(c, readBufferBytes)
	resp, err := r.Next(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnavailable, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case statusCarried:
		return &carriedConn{Conn: c, r: r, carrier: carrier.Name}, nil
	case statusRefused:
		return nil, fmt.Errorf("%w: %w", errUnreachableThere, syscall.ECONNREFUSED)
	case statusNoAnswer:
		return nil, errUnreachableThere
	case statusNotDirect:
		return nil, errNotDirect
	}
	return nil, fmt.Errorf("%w: status %d", errUnavailable, resp.StatusCode)
}

// carriedConn is a connection that another daemon carries. Its first bytes are those that were
// read together with the carrier's answer.
type carriedConn struct {
	net.Conn
	r       *framing.Responses
	carrier string
}

// Read implements net.Conn.
func (c *carriedConn) Read(b []byte) (int, error) { return c.r.Read(b) }

// Carrier returns the name of the daemon that carries the connection.
func (c *carriedConn) Carrier() string { return c.carrier }
