package quota

import (
	"maps"
	"sync"
	"time"
)

// Denials keeps which backend servers have no room for a class for a while, so that the
// fleet is not asked for each request. It is safe for concurrent use.
type Denials struct {
	mu  sync.Mutex
	all map[denialKey]denial
}

type denialKey struct {
	server string
	class  Class
}

type denial struct {
	until time.Time // when a permit is asked for again
	back  time.Time // when a refused caller may come back
}

// denialsMost is the number of denials from which those that are over are dropped.
const denialsMost = 1024

// NewDenials returns an empty table.
func NewDenials() *Denials { return &Denials{all: map[denialKey]denial{}} }

// Add keeps a decision that granted nothing.
func (d *Denials) Add(c Class, of Decision, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.all) >= denialsMost {
		maps.DeleteFunc(d.all, func(_ denialKey, v denial) bool { return !now.Before(v.until) })
	}
	d.all[denialKey{of.Server, c}] = denial{until: now.Add(of.After), back: now.Add(of.Back)}
}

// Of reports whether a backend server has no room for a class, as far as is known, and
// when a caller that is refused for that may come back.
func (d *Denials) Of(server string, c Class, now time.Time) (back time.Time, denied bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, known := d.all[denialKey{server, c}]
	return v.back, known && now.Before(v.until)
}
