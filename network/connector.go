package network

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/stall"
)

// unackedTimeout is how long sent bytes may stay unacknowledged. An open connection may stop
// working while new ones work, and a plain request on it would wait until its caller's deadline.
// The timeout allows for two lost packets in a row.
const unackedTimeout = time.Second

// Attempts of a probe. A refused connection is conclusive. An unanswered attempt is
// repeated, since packets get lost. The attempts overlap and share the timeout.
const (
	maxProbeAttempts = 2
	probeInterval    = 20 * time.Millisecond
)

// Timeouts are those of a DirectConnector.
type Timeouts struct{ Connect, Probe time.Duration }

// Connector opens connections to backend servers.
type Connector interface {
	// Connect opens a connection.
	Connect(ctx context.Context, address string) (net.Conn, error)
	// Probe is like Connect with a shorter timeout.
	Probe(ctx context.Context, address string) (net.Conn, error)
}

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DirectConnector opens connections without the help of other daemons.
type DirectConnector struct {
	dial     DialFunc
	timeouts Timeouts
	stalls   *stall.Monitor
}

// NewDirectConnector returns a DirectConnector over connections from dial, or from net.Dialer
// if dial is nil. Timeouts exclude the stalls of this process that stalls reports; stalls may be
// nil.
func NewDirectConnector(dial DialFunc, timeouts Timeouts, stalls *stall.Monitor) *DirectConnector {
	if dial == nil {
		// Without keep-alive probes, the timeout of unacknowledged bytes alone ends a
		// connection that has stopped working.
		dial = (&net.Dialer{KeepAlive: -1, ControlContext: UserTimeout(unackedTimeout)}).DialContext
	}
	return &DirectConnector{dial: dial, timeouts: timeouts, stalls: stalls}
}

// Connect implements Connector.
func (d *DirectConnector) Connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := d.stalls.WithTimeout(ctx, d.timeouts.Connect)
	defer cancel()
	return d.connect(ctx, address)
}

// connect opens a connection. Its error tells a timeout from the end of the caller's context.
func (d *DirectConnector) connect(ctx context.Context, address string) (net.Conn, error) {
	c, err := d.dial(ctx, "tcp", address)
	if err != nil && ctx.Err() != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", address, context.Cause(ctx), err)
	}
	return c, err
}

// Probe implements Connector. It connects in overlapping attempts and returns the first
// connection, or an error once one is refused or all have failed.
func (d *DirectConnector) Probe(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := d.stalls.WithTimeout(ctx, d.timeouts.Probe)
	defer cancel()
	results := make(chan probeResult, maxProbeAttempts)
	for i := range maxProbeAttempts {
		go func() {
			if i > 0 && !wait.For(ctx, time.Duration(i)*probeInterval) {
				results <- probeResult{err: context.Cause(ctx)}
				return
			}
			c, err := d.connect(ctx, address)
			results <- probeResult{c, err}
		}()
	}
	var r probeResult
	for i := range maxProbeAttempts {
		r = <-results
		if r.err == nil || errors.Is(r.err, syscall.ECONNREFUSED) {
			go closeProbes(results, maxProbeAttempts-1-i)
			break
		}
	}
	return r.conn, r.err
}

// probeResult is the result of one attempt of a probe.
type probeResult struct {
	conn net.Conn
	err  error
}

// closeProbes closes the connections of further attempts.
func closeProbes(results <-chan probeResult, pending int) {
	for range pending {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}
