// Package wait provides a sleep that ends with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether d passed first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
