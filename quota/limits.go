package quota

import (
	"maps"
	"sync"
	"time"
)

// Word is what one answer of a backend server says of the requests that it takes from
// all daemons together. Times are of the clock of package boottime.
type Word struct {
	Server string  // the incarnation
	Named  bool    // the answer names a limit
	Rate   float64 // the limit in requests a second, if it is named
	SentAt time.Time
	At     time.Time // when the answer came
}

// Limit is the last limit that a backend server has named.
type Limit struct {
	Server string
	Rate   float64   // requests a second
	Since  time.Time // when it was first named; changes of its rate do not count
	At     time.Time // when it was last named
}

// Change says what a word has changed.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Learnt
	Changed
	Ended
)

// String names the change.
func (c Change) String() string {
	return [...]string{"unchanged", "learnt", "changed", "ended"}[c]
}

// Limits keeps the limits that backend servers have named. It is safe for concurrent use.
//
// Answers over different connections overtake one another. So a limit ends only by an
// answer to a request that was sent after the limit was last named: an older one may have
// been made before.
type Limits struct {
	mu      sync.Mutex
	limits  map[string]Limit
	version uint64 // of the last change
}

// NewLimits returns an empty book.
func NewLimits() *Limits { return &Limits{limits: map[string]Limit{}} }

// Hear takes a word and returns what it has changed, with the limit as it was before and
// is now.
func (b *Limits) Hear(w Word) (c Change, before, now Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, known := b.limits[w.Server]
	if !w.Named {
		if !known || !w.SentAt.After(before.At) {
			return Unchanged, before, before
		}
		delete(b.limits, w.Server)
		b.version++
		return Ended, before, Limit{}
	}
	now = Limit{Server: w.Server, Rate: w.Rate, Since: w.At, At: w.At}
	if known {
		now.Since = before.Since
	}
	b.limits[w.Server] = now
	switch {
	case !known:
		c = Learnt
	case now.Rate != before.Rate:
		c = Changed
	default:
		return Unchanged, before, now
	}
	b.version++
	return c, before, now
}

// Of returns the limit of a backend server, false if none is known.
func (b *Limits) Of(server string) (Limit, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, known := b.limits[server]
	return l, known
}

// Size returns how many limits are known.
func (b *Limits) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.limits)
}

// Forget drops the limits of backend servers that are gone.
func (b *Limits) Forget(known func(server string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.limits, func(server string, _ Limit) bool { return !known(server) })
}
