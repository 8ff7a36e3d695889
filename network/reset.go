package network

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// writeEndTimeout bounds the wait for the end of a write after the other side has ended its own. If it
// has closed the connection, the write fails at once.
const writeEndTimeout = time.Second

// ErrWriteFailed is returned at the end of a connection on which a write has failed.
var ErrWriteFailed = errors.New("network: connection ended after a failed write")

// resetConn is a connection whose reads end in order only if no write has failed.
type resetConn struct {
	net.Conn
	writing chan struct{} // of capacity 1, full during a write
	err     error         // of the first failed write; guarded by writing
}

// ReportReset returns a connection whose reads report a reset that a write has received. A socket reports
// a reset once; reads that follow return io.EOF as after an orderly end.
func ReportReset(c net.Conn) net.Conn {
	return &resetConn{Conn: c, writing: make(chan struct{}, 1)}
}

// reportingResets returns a function that opens connections with dial and applies ReportReset.
func reportingResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return ReportReset(c), nil
	}
}

// NetConn returns the connection below.
func (c *resetConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if err != nil && c.err == nil {
		c.err = err
	}
	return n, err
}

// Read implements net.Conn. It returns an error that wraps ErrWriteFailed instead of io.EOF if a write has
// failed, including one in progress.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if werr := c.writeError(); werr != nil {
		err = fmt.Errorf("%w: %w", ErrWriteFailed, werr)
	}
	return n, err
}

// writeError returns the error of the first failed write, once none is in progress.
func (c *resetConn) writeError() error {
	_ = c.SetWriteDeadline(time.Now().Add(writeEndTimeout)) // fails if the connection is closed, as writes do
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	return c.err
}
