package dispatch

import (
	"io"
	"sync"
)

// countedBody calls onEnd once: when the body is read to its end, fails or is
// closed. The argument is false after a read error.
type countedBody struct {
	body  io.ReadCloser
	onEnd func(complete bool)
	once  sync.Once
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil {
		b.once.Do(func() { b.onEnd(err == io.EOF) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.once.Do(func() { b.onEnd(true) })
	return b.body.Close()
}
