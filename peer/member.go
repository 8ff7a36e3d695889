// Package peer makes many daemons one fleet: they find each other, notice who
// has gone, and pass on configuration and the state of backend servers over a
// few links each. Nothing here is all-to-all: a daemon keeps a bounded number
// of links, and only changes travel.
package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a daemon as others see it.
type State uint8

// The states, by precedence within one incarnation.
const (
	Alive State = iota
	Leaving
	Suspect
	Dead
)

// String returns the state's name.
func (s State) String() string { return [...]string{"alive", "leaving", "suspect", "dead"}[s] }

// Member is one daemon.
type Member struct {
	Name          string `cbor:"1,keyasint"`
	Address       string `cbor:"2,keyasint"` // of its peers' listener
	FailureDomain string `cbor:"3,keyasint"`
	Region        string `cbor:"4,keyasint"`
	Incarnation   uint64 `cbor:"5,keyasint"` // only the daemon itself raises it
	State         State  `cbor:"6,keyasint"`
	Operators     string `cbor:"7,keyasint"` // address of its operators' listener
}

// supersedes reports whether news a replaces news b about the same daemon.
func (m Member) supersedes(b Member) bool {
	if m.Incarnation != b.Incarnation {
		return m.Incarnation > b.Incarnation
	}
	return m.State > b.State
}

// Members is what one daemon knows of the fleet. It is pure and not safe for
// concurrent use.
type Members struct {
	self    Member
	suspect time.Duration // from suspicion to death
	forget  time.Duration // from death to oblivion
	others  map[string]*record
	working []Member // cached; nil after a change
	version uint64   // grows with each change
}

type record struct {
	Member
	since time.Time // of the state
}

// NewMembers returns a table that knows only the daemon itself.
func NewMembers(self Member, suspect, forget time.Duration) *Members {
	return &Members{self: self, suspect: suspect, forget: forget, others: map[string]*record{}}
}

// Self returns the daemon's own entry.
func (t *Members) Self() Member { return t.self }

// Leave marks the daemon itself as leaving and returns the news.
func (t *Members) Leave() Member {
	t.self.State = Leaving
	t.self.Incarnation++
	t.touch()
	return t.self
}

// Apply takes news and returns what must be passed on: the news itself if it is
// new, or a denial if others wrongly hold this daemon to be suspect or dead.
func (t *Members) Apply(news Member, now time.Time) (pass Member, changed bool) {
	if news.Name == t.self.Name {
		return t.deny(news)
	}
	r := t.others[news.Name]
	if r != nil && !news.supersedes(r.Member) {
		return Member{}, false
	}
	if r == nil && news.State == Dead {
		return Member{}, false
	}
	t.others[news.Name] = &record{Member: news, since: now}
	t.touch()
	return news, true
}

func (t *Members) deny(news Member) (Member, bool) {
	stale := news.Incarnation < t.self.Incarnation
	if stale || news.Incarnation == t.self.Incarnation && news.State <= t.self.State {
		return Member{}, false
	}
	t.self.Incarnation = news.Incarnation + 1
	t.touch()
	return t.self, true
}

// Accuse returns the news that a daemon does not answer.
func (t *Members) Accuse(name string, now time.Time) (Member, bool) {
	r := t.others[name]
	if r == nil || r.State >= Suspect {
		return Member{}, false
	}
	news := r.Member
	news.State = Suspect
	return t.Apply(news, now)
}

// Tick turns long suspicion into death and forgets the long dead. It returns
// the daemons that died now.
func (t *Members) Tick(now time.Time) []Member {
	var died []Member
	for name, r := range t.others {
		age := now.Sub(r.since)
		if r.State == Suspect && age >= t.suspect {
			r.State, r.since = Dead, now
			t.touch()
			died = append(died, r.Member)
		}
		if r.State == Dead && age >= t.forget {
			delete(t.others, name)
			t.touch()
		}
	}
	return died
}

// Get returns what is known of a daemon.
func (t *Members) Get(name string) (Member, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	r := t.others[name]
	if r == nil {
		return Member{}, false
	}
	return r.Member, true
}

// All returns every daemon known, the daemon itself included, by name.
func (t *Members) All() []Member {
	out := []Member{t.self}
	for _, r := range t.others {
		out = append(out, r.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// NotLongDead returns every daemon known, the daemon itself included, but those that have
// been dead for a time.
func (t *Members) NotLongDead(dead time.Duration, now time.Time) []Member {
	return slices.DeleteFunc(t.All(), func(m Member) bool {
		return m.State == Dead && now.Sub(t.others[m.Name].since) >= dead
	})
}

// touch notes a change.
func (t *Members) touch() {
	t.working = nil
	t.version++
}

// Version grows with each change.
func (t *Members) Version() uint64 { return t.version }

// Working returns the daemons that take duties: alive, or suspect for now. The
// slice must not be changed.
func (t *Members) Working() []Member {
	if t.working == nil {
		t.working = slices.DeleteFunc(t.All(), func(m Member) bool { return m.State == Leaving || m.State == Dead })
	}
	return t.working
}

// rank orders daemons for one duty, the same on every daemon that knows the same
// fleet (rendezvous hashing); few duties move when the fleet changes.
func rank(duty string, members []Member) []Member {
	weight := func(m Member) uint64 { return xxhash.Sum64String(duty + "\x00" + m.Name) }
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		if c := cmp.Compare(weight(b), weight(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return out
}

// onDuty reports whether a daemon is among the first n of a duty.
func onDuty(name, duty string, members []Member, n int) bool {
	mine := xxhash.Sum64String(duty + "\x00" + name)
	before := 0
	found := false
	for i := range members {
		other := members[i].Name
		if other == name {
			found = true
			continue
		}
		w := xxhash.Sum64String(duty + "\x00" + other)
		if w > mine || w == mine && other < name {
			before++
		}
	}
	return found && before < n
}

// Neighbours returns the daemons that a daemon opens links to. On a ring by
// hash these are the ones 1, N^(1/d), N^(2/d) ... places on, so that every
// daemon has about 2d links and news crosses the fleet in few steps.
func Neighbours(self string, members []Member, degree int) []Member {
	ring := rank("ring", members)
	at := slices.IndexFunc(ring, func(m Member) bool { return m.Name == self })
	n := len(ring)
	if at < 0 || n < 2 {
		return nil
	}
	var out []Member
	seen := map[string]bool{self: true}
	for i := range degree {
		m := ring[(at+stride(n, i, degree))%n]
		if !seen[m.Name] {
			seen[m.Name] = true
			out = append(out, m)
		}
	}
	return out
}
