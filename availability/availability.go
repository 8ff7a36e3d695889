// Package availability records what backend servers state about accepting requests: that
// they want none from this daemon for some time, or that they are leaving. Both faces of a
// daemon use it. It does no I/O: callers pass in statements and times.
package availability

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// State is what a backend server has stated.
type State uint8

// The states.
const (
	Accepting State = iota // has stated nothing else
	Paused                 // accepts no call until a time
	Leaving                // accepts no new request any more
)

// String returns the state's name.
func (s State) String() string { return [...]string{"accepting", "paused", "leaving"}[s] }

// Status is the state of a backend server at one time.
type Status struct {
	State State
	Until time.Time // end of a pause, zero without one; a leaving backend server may have one too
}

// IsPaused reports whether the backend server is paused.
func (s Status) IsPaused() bool { return !s.Until.IsZero() }

// PauseLeft returns the time until the end of the pause, 0 without one.
func (s Status) PauseLeft(now time.Time) time.Duration {
	if !s.IsPaused() {
		return 0
	}
	return s.Until.Sub(now).Round(time.Millisecond)
}

// Statement is what one answer states about the backend server that sent it.
type Statement struct {
	Server  string        // incarnation
	Pause   time.Duration // from the receipt of the answer, 0 for none
	Leaving bool
}

// MaxPause is the longest pause that is kept. A backend server that asks for more is
// called again after it, since nothing else would show that the value was wrong.
const MaxPause = 10 * time.Minute

// retention is how long an incarnation that is not known is kept. A list of backend
// servers may be incomplete for some time, and must not end a pause.
const retention = MaxPause

// sheddingTTL is the time from a statement of a pause in which a backend server is assumed
// to refuse requests beyond its slots rather than queue them.
const sheddingTTL = time.Minute

// Table holds the stated availability of backend servers by incarnation. A restarted
// backend server is another incarnation, which has stated nothing. Times are of one steady
// clock. It is safe for concurrent use.
type Table struct {
	size atomic.Int64 // of servers; usually 0, and then the lock is not taken

	mu      sync.Mutex
	servers map[string]entry
}

type entry struct {
	until    time.Time // end of the pause
	leaving  bool
	statedAt time.Time // of the last statement
	pausedAt time.Time // of the last statement of a pause
}

// NewTable returns a table in which all backend servers accept requests.
func NewTable() *Table { return &Table{servers: map[string]entry{}} }

// Apply applies a statement received now, and returns the status before and after it. A
// statement never shortens a pause and never ends Leaving: answers over different
// connections may be reordered.
func (t *Table) Apply(s Statement, now time.Time) (before, after Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[s.Server]
	before = e.status(now)
	if s.Pause <= 0 && !s.Leaving {
		return before, before
	}
	if until := now.Add(min(MaxPause, s.Pause)); until.After(e.until) {
		e.until = until
	}
	if s.Pause > 0 {
		e.pausedAt = now
	}
	e.leaving = e.leaving || s.Leaving
	e.statedAt = now
	t.servers[s.Server] = e
	t.size.Store(int64(len(t.servers)))
	return before, e.status(now)
}

// Of returns the status of a backend server.
func (t *Table) Of(server string, now time.Time) Status {
	if t.size.Load() == 0 {
		return Status{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers[server].status(now)
}

// Leaving reports whether a backend server has stated that it is leaving.
func (t *Table) Leaving(server string) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers[server].leaving
}

// Sheds reports whether a backend server is assumed to refuse requests beyond its slots rather
// than queue them, as it asked for a pause recently. One request too many costs a further
// pause, and all backend servers of a service may then be paused again by the requests that
// waited for the end of the first pause.
func (t *Table) Sheds(server string, now time.Time) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers[server].sheds(now)
}

// Pauses returns the ends of the pauses by backend server, nil if there are none.
func (t *Table) Pauses(now time.Time) map[string]time.Time {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]time.Time
	for server, e := range t.servers {
		if !now.Before(e.until) {
			continue
		}
		if out == nil {
			out = map[string]time.Time{}
		}
		out[server] = e.until
	}
	return out
}

func (e entry) status(now time.Time) Status {
	var s Status
	if now.Before(e.until) {
		s = Status{State: Paused, Until: e.until}
	}
	if e.leaving {
		s.State = Leaving
	}
	return s
}

func (e entry) sheds(now time.Time) bool { return now.Before(e.pausedAt.Add(sheddingTTL)) }

// Forget removes pauses that ended and no longer matter to Sheds, and backend servers that have been unknown for long.
func (t *Table) Forget(known func(server string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.servers, func(server string, e entry) bool {
		if e.status(now).State == Accepting && !e.sheds(now) {
			return true
		}
		return !known(server) && now.Sub(e.statedAt) > retention
	})
	t.size.Store(int64(len(t.servers)))
}
