package dispatch

import (
	"errors"
	"io"
	"sync"

	"github.com/snowspoke/snowspoke/internal/readall"
)

// errClosed reports that a body was closed before its end, since its receiver has gone.
var errClosed = errors.New("closed before its end")

// countedBody calls onEnd once: when the body is read to its end, fails or is
// closed. The argument is the read error, nil for io.EOF and errClosed if the body was
// closed before its end.
type countedBody struct {
	body  io.ReadCloser
	onEnd func(err error)
	once  sync.Once
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil {
		b.once.Do(func() { b.onEnd(readall.UnlessEOF(err)) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.once.Do(func() { b.onEnd(errClosed) })
	return b.body.Close()
}
