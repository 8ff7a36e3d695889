package quota

import (
	"maps"
	"sync"
	"time"
)

// Denials caches which backend servers have no capacity for a class, so that no permits
// are requested that would be denied. It is safe for concurrent use.
type Denials struct {
	mu  sync.Mutex
	all map[denialKey]denial
}

type denialKey struct {
	server string
	class  Class
}

type denial struct {
	until   time.Time // when a permit may be requested again
	retryAt time.Time // when a refused caller may retry
}

// maxDenials is the number of entries from which on Add removes expired entries.
const maxDenials = 1024

// NewDenials returns an empty table.
func NewDenials() *Denials { return &Denials{all: map[denialKey]denial{}} }

// Add stores a decision that granted nothing.
func (d *Denials) Add(c Class, denied Decision, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.all) >= maxDenials {
		maps.DeleteFunc(d.all, func(_ denialKey, v denial) bool { return !now.Before(v.until) })
	}
	d.all[denialKey{denied.Server, c}] = denial{until: now.Add(denied.After), retryAt: now.Add(denied.RetryAfter)}
}

// Of reports whether a backend server is known to have no capacity for a class. If so,
// retryAt is the time at which a refused caller may retry.
func (d *Denials) Of(server string, c Class, now time.Time) (retryAt time.Time, denied bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, known := d.all[denialKey{server, c}]
	return v.retryAt, known && now.Before(v.until)
}
