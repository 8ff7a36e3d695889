// Package syncbuffer provides a buffer that tests write logs to.
package syncbuffer

import (
	"strings"
	"sync"
)

// Buffer is a buffer that is safe for concurrent use. The zero value is empty.
type Buffer struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write implements io.Writer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// String returns what was written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
