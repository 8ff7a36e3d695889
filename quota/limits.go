package quota

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// LimitReport is the report of a backend server, in one answer, on its limit of requests.
// The limit applies to all daemons together. Times are of the clock of package boottime.
type LimitReport struct {
	Server string    // incarnation
	Stated bool      // the answer states a limit
	Rate   float64   // the limit in requests a second, if stated
	SentAt time.Time // when the request of the answer was sent
	At     time.Time // when the answer was received
}

// Limit is the limit that a backend server stated last.
type Limit struct {
	Server string
	Rate   float64   // requests a second
	Since  time.Time // when it was first stated; a change of the rate does not reset it
	At     time.Time // when it was last stated
}

// Change is the effect of a report on the known limit.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Learned
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
// Answers over different connections may be reordered. Only an answer to a request that
// was sent after the limit was last stated can therefore end the limit.
type Limits struct {
	mu      sync.Mutex
	states  map[string]*limitState // by incarnation
	known   int                    // number of limits in force
	version uint64                 // of the last change
	changed chan struct{}          // closed at the next change
}

// limitState is the known state of one backend server's limit.
type limitState struct {
	limit   Limit
	stated  bool        // the limit is in force
	sentAt  time.Time   // of the request whose answer stated it last
	endedBy LimitReport // the zero report if the limit has never ended
	version uint64
}

// NewLimits returns an empty table.
func NewLimits() *Limits {
	return &Limits{states: map[string]*limitState{}, changed: make(chan struct{})}
}

// Apply applies a report and returns its effect, with the limit before and after it.
func (l *Limits) Apply(r LimitReport) (c Change, before, now Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[r.Server]
	if s == nil {
		if !r.Stated {
			return Unchanged, Limit{}, Limit{}
		}
		s = &limitState{}
		l.states[r.Server] = s
	}
	before = s.limit
	if r.Stated {
		c = s.setLimit(r)
	} else {
		c = s.endLimit(r)
	}
	l.recordChange(s, c)
	return c, before, s.limit
}

// recordChange updates the number of limits in force and notifies waiters.
func (l *Limits) recordChange(s *limitState, c Change) {
	switch c {
	case Unchanged:
		return
	case Learned:
		l.known++
	case Ended:
		l.known--
	}
	l.touch(s)
}

// Declare sets all limits at once, in requests a second by backend server, and returns
// the changes. A backend server without an entry has no limit. The limits of one table
// come either from Declare or from Apply.
func (l *Limits) Declare(rates map[string]float64, now time.Time) []Declared {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Declared
	for server, rate := range rates {
		if l.states[server] == nil {
			l.states[server] = &limitState{}
		}
		out = l.declare(out, server, true, rate, now)
	}
	for server, s := range l.states {
		if _, still := rates[server]; !still && s.stated {
			out = l.declare(out, server, false, 0, now)
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

func (l *Limits) declare(out []Declared, server string, stated bool, rate float64, now time.Time) []Declared {
	s := l.states[server]
	c := Unchanged
	switch {
	case stated && !s.stated:
		c = Learned
		s.limit = Limit{Server: server, Rate: rate, Since: now, At: now}
	case stated && s.limit.Rate != rate:
		c = Changed
		s.limit.Rate, s.limit.At = rate, now
	case !stated:
		c = Ended
		s.limit, s.endedBy = Limit{}, LimitReport{Server: server, SentAt: now, At: now}
	}
	s.stated = stated
	l.recordChange(s, c)
	if c == Unchanged {
		return out
	}
	return append(out, Declared{Server: server, Change: c, Rate: rate})
}

// Republish publishes a limit in force again, for a daemon that considers it ended because
// it has missed a later report.
func (l *Limits) Republish(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.states[server]; s != nil && s.stated {
		l.touch(s)
	}
}

// setLimit applies a report that states a limit.
func (s *limitState) setLimit(r LimitReport) Change {
	if r.At.Before(s.limit.At) || !r.At.After(s.endedBy.SentAt) {
		return Unchanged // older than the known state
	}
	before, was := s.limit, s.stated
	s.limit = Limit{Server: r.Server, Rate: r.Rate, Since: r.At, At: r.At}
	s.stated, s.sentAt = true, r.SentAt
	switch {
	case !was:
		return Learned
	case r.Rate != before.Rate:
		s.limit.Since = before.Since
		return Changed
	}
	s.limit.Since = before.Since
	return Unchanged
}

// endLimit applies a report that states no limit.
func (s *limitState) endLimit(r LimitReport) Change {
	if !s.stated || !r.SentAt.After(s.limit.At) {
		return Unchanged
	}
	s.limit, s.stated, s.endedBy = Limit{}, false, r
	return Ended
}

// touch assigns a new version to a changed entry and wakes the waiters of Changed.
func (l *Limits) touch(s *limitState) {
	l.version++
	s.version = l.version
	close(l.changed)
	l.changed = make(chan struct{})
}

// Of returns the limit of a backend server, and whether one is known.
func (l *Limits) Of(server string) (Limit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.states[server]; s != nil && s.stated {
		return s.limit, true
	}
	return Limit{}, false
}

// Size returns the number of limits in force.
func (l *Limits) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

// All returns the limits in force, sorted by backend server.
func (l *Limits) All() []Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Limit
	for _, s := range l.states {
		if s.stated {
			out = append(out, s.limit)
		}
	}
	slices.SortFunc(out, func(x, y Limit) int { return cmp.Compare(x.Server, y.Server) })
	return out
}

// Since returns a report for each limit that changed after a version, oldest change first,
// and the version to pass to the next call.
func (l *Limits) Since(version uint64) (reports []LimitReport, next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version == l.version {
		return nil, version
	}
	var changed []*limitState
	for _, s := range l.states {
		if s.version > version {
			changed = append(changed, s)
		}
	}
	slices.SortFunc(changed, func(x, y *limitState) int { return cmp.Compare(x.version, y.version) })
	for _, s := range changed {
		if s.stated {
			reports = append(reports, LimitReport{Server: s.limit.Server, Stated: true, Rate: s.limit.Rate, SentAt: s.sentAt, At: s.limit.At})
		} else {
			reports = append(reports, s.endedBy)
		}
	}
	return reports, l.version
}

// Changed returns a channel that is closed at the next change.
func (l *Limits) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Forget removes the limits of unknown backend servers, and limits that ended more than
// endedRetention ago.
func (l *Limits) Forget(known func(server string) bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.states, func(server string, s *limitState) bool {
		removed := !known(server)
		if removed && s.stated {
			l.known--
		}
		return removed || !s.stated && now.Sub(s.endedBy.At) > endedRetention
	})
}
