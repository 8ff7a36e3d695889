package quota

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// LimitReport is what one answer of a backend server reports about its limit on requests, which
// applies to all daemons together. Times are of the clock of package boottime.
type LimitReport struct {
	Server string  // incarnation
	Named  bool    // the answer states a limit
	Rate   float64 // the limit in requests a second, if stated
	SentAt time.Time
	At     time.Time // when the answer was received
}

// Limit is the limit that a backend server stated last.
type Limit struct {
	Server string
	Rate   float64   // requests a second
	Since  time.Time // when it was first stated; changes of its rate do not count
	At     time.Time // when it was last stated
}

// Change is the effect of a report.
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

// endedRetention is how long the end of a limit is kept, so that an older report of
// another daemon does not restore the limit.
const endedRetention = 10 * time.Second

// Limits holds the limits that backend servers have stated. Daemons exchange the changes,
// so that all tables converge. It is safe for concurrent use.
//
// Answers over different connections may be reordered. A limit therefore ends only by an
// answer to a request that was sent after the limit was last stated.
type Limits struct {
	mu      sync.Mutex
	states  map[string]*limitState // by incarnation
	known   int                    // limits in force among them
	version uint64                 // of the last change
	changed chan struct{}          // closed at the next one
}

// limitState is the known state of one backend server's limit.
type limitState struct {
	limit   Limit
	named   bool        // the limit is in force
	sentAt  time.Time   // of the request whose answer stated it last
	endedBy LimitReport // the zero Word if it has never ended
	version uint64
}

// NewLimits returns an empty table.
func NewLimits() *Limits {
	return &Limits{states: map[string]*limitState{}, changed: make(chan struct{})}
}

// Apply applies a report and returns its effect, with the limit before and after.
func (b *Limits) Apply(w LimitReport) (c Change, before, now Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.states[w.Server]
	if h == nil {
		if !w.Named {
			return Unchanged, Limit{}, Limit{}
		}
		h = &limitState{}
		b.states[w.Server] = h
	}
	before = h.limit
	if w.Named {
		c = h.setNamed(w)
	} else {
		c = h.setUnnamed(w)
	}
	b.recordChange(h, c)
	return c, before, h.limit
}

// recordChange counts a change and notifies waiters.
func (b *Limits) recordChange(h *limitState, c Change) {
	switch c {
	case Unchanged:
		return
	case Learnt:
		b.known++
	case Ended:
		b.known--
	}
	b.touch(h)
}

// Declare sets all limits at once, in requests a second by backend server, and returns
// the changes. A backend server without an entry has no limit. The limits of one table
// come either from Declare or from Hear.
func (b *Limits) Declare(rates map[string]float64, now time.Time) []Declared {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Declared
	for server, rate := range rates {
		if b.states[server] == nil {
			b.states[server] = &limitState{}
		}
		out = b.declare(out, server, true, rate, now)
	}
	for server, h := range b.states {
		if _, still := rates[server]; !still && h.named {
			out = b.declare(out, server, false, 0, now)
		}
	}
	return out
}

// Declared is a change made by Declare.
type Declared struct {
	Server string
	Change Change
	Rate   float64 // the new rate
}

func (b *Limits) declare(out []Declared, server string, named bool, rate float64, now time.Time) []Declared {
	h := b.states[server]
	c := Unchanged
	switch {
	case named && !h.named:
		c = Learnt
		h.limit = Limit{Server: server, Rate: rate, Since: now, At: now}
	case named && h.limit.Rate != rate:
		c = Changed
		h.limit.Rate, h.limit.At = rate, now
	case !named:
		c = Ended
		h.limit, h.endedBy = Limit{}, LimitReport{Server: server, SentAt: now, At: now}
	}
	h.named = named
	b.recordChange(h, c)
	if c == Unchanged {
		return out
	}
	return append(out, Declared{Server: server, Change: c, Rate: rate})
}

// Retell publishes a limit in force again, for a daemon that takes it to have ended and
// missed a later report.
func (b *Limits) Retell(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.states[server]; h != nil && h.named {
		b.touch(h)
	}
}

// setNamed applies a report that states a limit.
func (h *limitState) setNamed(w LimitReport) Change {
	if w.At.Before(h.limit.At) || !w.At.After(h.endedBy.SentAt) {
		return Unchanged // older than the known state
	}
	before, was := h.limit, h.named
	h.limit = Limit{Server: w.Server, Rate: w.Rate, Since: w.At, At: w.At}
	h.named, h.sentAt = true, w.SentAt
	switch {
	case !was:
		return Learnt
	case w.Rate != before.Rate:
		h.limit.Since = before.Since
		return Changed
	}
	h.limit.Since = before.Since
	return Unchanged
}

// setUnnamed applies a report that states no limit.
func (h *limitState) setUnnamed(w LimitReport) Change {
	if !h.named || !w.SentAt.After(h.limit.At) {
		return Unchanged
	}
	h.limit, h.named, h.endedBy = Limit{}, false, w
	return Ended
}

// touch assigns a new version to a changed entry and wakes those that wait for changes.
func (b *Limits) touch(h *limitState) {
	b.version++
	h.version = b.version
	close(b.changed)
	b.changed = make(chan struct{})
}

// Of returns the limit of a backend server, false if none is known.
func (b *Limits) Of(server string) (Limit, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.states[server]; h != nil && h.named {
		return h.limit, true
	}
	return Limit{}, false
}

// Size returns the number of limits in force.
func (b *Limits) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known
}

// All returns the limits in force, sorted by backend server.
func (b *Limits) All() []Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Limit
	for _, h := range b.states {
		if h.named {
			out = append(out, h.limit)
		}
	}
	slices.SortFunc(out, func(x, y Limit) int { return cmp.Compare(x.Server, y.Server) })
	return out
}

// Since returns the reports that changed something after a version, oldest change first,
// and the version to pass to the next call.
func (b *Limits) Since(version uint64) (words []LimitReport, next uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version == b.version {
		return nil, version
	}
	var news []*limitState
	for _, h := range b.states {
		if h.version > version {
			news = append(news, h)
		}
	}
	slices.SortFunc(news, func(x, y *limitState) int { return cmp.Compare(x.version, y.version) })
	for _, h := range news {
		if h.named {
			words = append(words, LimitReport{Server: h.limit.Server, Named: true, Rate: h.limit.Rate, SentAt: h.sentAt, At: h.limit.At})
		} else {
			words = append(words, h.endedBy)
		}
	}
	return words, b.version
}

// Changed returns a channel that is closed at the next change.
func (b *Limits) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Forget removes the limits of backend servers that are gone, and those that ended more
// than endedRetention ago.
func (b *Limits) Forget(known func(server string) bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.states, func(server string, h *limitState) bool {
		removed := !known(server)
		if removed && h.named {
			b.known--
		}
		return removed || !h.named && now.Sub(h.endedBy.At) > endedRetention
	})
}
