// Package memory bounds the memory for the bodies of messages of all requests together.
package memory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/snowspoke/snowspoke/internal/readall"
)

// FreeBytes is the size up to which a body takes no part of a Pool, so that larger ones do not affect
// typical ones.
const FreeBytes = 64 << 10

// ErrExhausted is returned for a body that exceeds the free memory of a Pool. A body may have no end.
var ErrExhausted = errors.New("memory: exhausted")

// Pool is the memory for bodies of more than FreeBytes. It is safe for concurrent use.
type Pool struct {
	size  int // bytes
	mu    sync.Mutex
	free  int           // bytes
	given chan struct{} // closed when memory is returned
}

// NewPool returns a Pool of a number of bytes.
func NewPool(bytes int) *Pool { return &Pool{size: bytes, free: bytes, given: make(chan struct{})} }

// Take reserves memory and reports whether there was enough.
func (p *Pool) Take(bytes int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bytes > p.free {
		return false
	}
	p.free -= bytes
	return true
}

// Give returns reserved memory.
func (p *Pool) Give(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free += bytes
	if bytes > 0 {
		close(p.given)
		p.given = make(chan struct{})
	}
}

// await reserves memory, and waits until there is enough or ctx ends. It reports whether there was.
func (p *Pool) await(ctx context.Context, bytes int) bool {
	for bytes <= p.size {
		p.mu.Lock()
		given := p.given
		p.mu.Unlock()
		if p.Take(bytes) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-given:
		}
	}
	return false
}

// Free returns the number of free bytes.
func (p *Pool) Free() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.free
}

// Read reads a body of a known size. Release returns its memory and must be called, also after an
// error.
func (p *Pool) Read(r io.Reader, size int) (data []byte, release func(), err error) {
	return p.readFull(r, size, func() bool { return p.Take(size) })
}

// AwaitRead is Read for a body that is not refused for want of memory, but read later. It returns
// ErrExhausted for one that exceeds the Pool, and once ctx ends.
func (p *Pool) AwaitRead(ctx context.Context, r io.Reader, size int) (data []byte, release func(), err error) {
	return p.readFull(r, size, func() bool { return p.await(ctx, size) })
}

// readFull reads a body of a known size. reserve reports whether memory for it was reserved.
func (p *Pool) readFull(r io.Reader, size int, reserve func() bool) (data []byte, release func(), err error) {
	release = func() {}
	if size > FreeBytes {
		if !reserve() {
			return nil, release, fmt.Errorf("%w: %d bytes", ErrExhausted, size)
		}
		release = func() { p.Give(size) }
	}
	data = make([]byte, size)
	_, err = io.ReadFull(r, data)
	return data, release, err
}

// ReadAll reads a body to its end. It returns ErrExhausted for one that needs a buffer of more than
// most bytes. Release is as for Read.
func (p *Pool) ReadAll(r io.Reader, most int) (data []byte, release func(), err error) {
	reserved := 0
	release = func() { p.Give(reserved) }
	for {
		if len(data) == cap(data) {
			size := max(512, 2*cap(data))
			if size > FreeBytes {
				if size > most || !p.Take(size-reserved) {
					return nil, release, fmt.Errorf("%w: %d bytes", ErrExhausted, size)
				}
				reserved = size
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, release, readall.UnlessEOF(err)
		}
	}
}
