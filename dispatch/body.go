package dispatch

import (
	"io"
	"sync"
)

// countedBody calls done once, when the body has been read to its end, has
// failed, or is closed.
type countedBody struct {
	body io.ReadCloser
	done func(whole bool)
	once sync.Once
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil {
		b.once.Do(func() { b.done(err == io.EOF) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.once.Do(func() { b.done(true) })
	return b.body.Close()
}
