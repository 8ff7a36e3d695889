package network

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stubConn is a connection whose other side has ended its side.
type stubConn struct {
	net.Conn
	write    func() error
	deadline time.Time
}

func (c *stubConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *stubConn) Write(p []byte) (int, error) {
	if err := c.write(); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *stubConn) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against an orderly end that is read after a write has received the reset of the connection.
func TestReadReportsAFailedWrite(t *testing.T) {
	errReset := errors.New("reset")
	buf := make([]byte, 1)
	t.Run("no write", func(t *testing.T) {
		_, err := ReportReset(&stubConn{}).Read(buf)
		require.Equal(t, io.EOF, err)
	})
	t.Run("whole write", func(t *testing.T) {
		c := ReportReset(&stubConn{write: func() error { return nil }})
		_, err := c.Write(buf)
		require.NoError(t, err)
		_, err = c.Read(buf)
		require.Equal(t, io.EOF, err)
	})
	t.Run("failed write", func(t *testing.T) {
		c := ReportReset(&stubConn{write: func() error { return errReset }})
		_, err := c.Write(buf)
		require.Equal(t, errReset, err)
		for range 2 {
			_, err = c.Read(buf)
			require.ErrorIs(t, err, errReset)
			require.ErrorIs(t, err, ErrWriteFailed)
			require.NotErrorIs(t, err, io.EOF)
		}
	})
	t.Run("write in progress", func(t *testing.T) {
		began, fail := make(chan struct{}), make(chan struct{})
		stub := &stubConn{write: func() error {
			close(began)
			<-fail
			return errReset
		}}
		c := ReportReset(stub)
		go func() { _, _ = c.Write(buf) }()
		<-began
		time.AfterFunc(20*time.Millisecond, func() { close(fail) })
		_, err := c.Read(buf)
		require.ErrorIs(t, err, errReset)
		require.WithinDuration(t, time.Now().Add(writeEndTimeout), stub.deadline, writeEndTimeout)
	})
}
