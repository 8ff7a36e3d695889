// Package peer joins daemons into a fleet. It discovers daemons, detects failed
// ones, and distributes configuration and backend server statuses. Each daemon
// keeps a bounded number of links, and links carry only changes.
package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the membership state of a daemon.
type State uint8

// The states in ascending precedence within one incarnation.
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
	Address       string `cbor:"2,keyasint"` // of its peer listener
	FailureDomain string `cbor:"3,keyasint"`
	Region        string `cbor:"4,keyasint"`
	Incarnation   uint64 `cbor:"5,keyasint"` // raised only by the daemon itself
	State         State  `cbor:"6,keyasint"`
	Operators     string `cbor:"7,keyasint"` // address of its operator listener
}

// supersedes reports whether m replaces b, an update about the same daemon.
func (m Member) supersedes(b Member) bool {
	if m.Incarnation != b.Incarnation {
		return m.Incarnation > b.Incarnation
	}
	return m.State > b.State
}

// Members is a daemon's table of the fleet's members. It has no side effects and
// is not safe for concurrent use.
type Members struct {
	self           Member
	suspectTimeout time.Duration // time from Suspect to Dead
	deadRetention  time.Duration // time from Dead to removal
	others         map[string]*record
	working        []Member // cache of Working; nil after a change
	version        uint64   // incremented by each change
}

type record struct {
	Member
	since time.Time // when State was entered
}

// NewMembers returns a table that contains only the daemon itself.
func NewMembers(self Member, suspectTimeout, deadRetention time.Duration) *Members {
	return &Members{self: self, suspectTimeout: suspectTimeout, deadRetention: deadRetention, others: map[string]*record{}}
}

// Self returns the daemon's own entry.
func (t *Members) Self() Member { return t.self }

// Leave marks the daemon itself as leaving and returns the update to broadcast.
func (t *Members) Leave() Member {
	t.self.State = Leaving
	t.self.Incarnation++
	t.markChanged()
	return t.self
}

// Apply applies an update and returns the update to forward, and whether there is
// one: the update itself if it changes the table, or a refutation if it wrongly
// states that this daemon is leaving, suspect or dead.
func (t *Members) Apply(update Member, now time.Time) (forward Member, changed bool) {
	if update.Name == t.self.Name {
		return t.refute(update)
	}
	r := t.others[update.Name]
	if r != nil && !update.supersedes(r.Member) {
		return Member{}, false
	}
	if r == nil && update.State == Dead {
		return Member{}, false
	}
	t.others[update.Name] = &record{Member: update, since: now}
	t.markChanged()
	return update, true
}

// refute raises this daemon's incarnation if an update supersedes its entry. It returns
// the entry to broadcast and whether it has changed.
func (t *Members) refute(update Member) (Member, bool) {
	stale := update.Incarnation < t.self.Incarnation
	if stale || update.Incarnation == t.self.Incarnation && update.State <= t.self.State {
		return Member{}, false
	}
	t.self.Incarnation = update.Incarnation + 1
	t.markChanged()
	return t.self, true
}

// MarkSuspect marks a daemon as suspect, or as dead if it was leaving, and returns the
// update. It returns false if the daemon is unknown or already suspect or dead.
func (t *Members) MarkSuspect(name string, now time.Time) (Member, bool) {
	r := t.others[name]
	if r == nil || r.State >= Suspect {
		return Member{}, false
	}
	update := r.Member
	update.State = Suspect
	if r.State == Leaving {
		update.State = Dead // suspect daemons count as working
	}
	return t.Apply(update, now)
}

// Tick marks daemons that have been suspect for suspectTimeout as dead and removes
// daemons that have been dead for deadRetention. It returns the daemons that it has
// marked as dead.
func (t *Members) Tick(now time.Time) []Member {
	var died []Member
	for name, r := range t.others {
		age := now.Sub(r.since)
		if r.State == Suspect && age >= t.suspectTimeout {
			r.State, r.since = Dead, now
			t.markChanged()
			died = append(died, r.Member)
		}
		if r.State == Dead && age >= t.deadRetention {
			delete(t.others, name)
			t.markChanged()
		}
	}
	return died
}

// Get returns the entry of a daemon.
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

// All returns every known daemon, including this one, sorted by name.
func (t *Members) All() []Member {
	out := []Member{t.self}
	for _, r := range t.others {
		out = append(out, r.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Retained returns every known daemon, including this one, except those that have been
// dead for the given time.
func (t *Members) Retained(retention time.Duration, now time.Time) []Member {
	return slices.DeleteFunc(t.All(), func(m Member) bool {
		return m.State == Dead && now.Sub(t.others[m.Name].since) >= retention
	})
}

// markChanged records that the table has changed.
func (t *Members) markChanged() {
	t.working = nil
	t.version++
}

// Version returns a number that every change of the table increments.
func (t *Members) Version() uint64 { return t.version }

// Working returns the daemons that can be assigned roles: alive and suspect ones.
// The caller must not modify the slice.
func (t *Members) Working() []Member {
	if t.working == nil {
		t.working = slices.DeleteFunc(t.All(), func(m Member) bool { return m.State == Leaving || m.State == Dead })
	}
	return t.working
}

// rank orders members for a role by rendezvous hashing: daemons that know the same
// members compute the same order, and few roles move when members change.
func rank(role string, members []Member) []Member {
	weight := func(m Member) uint64 { return xxhash.Sum64String(role + "\x00" + m.Name) }
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		if c := cmp.Compare(weight(b), weight(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return out
}

// isAssigned reports whether a daemon is among the first n ranked for a role.
func isAssigned(name, role string, members []Member, n int) bool {
	own := xxhash.Sum64String(role + "\x00" + name)
	before := 0
	found := false
	for i := range members {
		other := members[i].Name
		if other == name {
			found = true
			continue
		}
		w := xxhash.Sum64String(role + "\x00" + other)
		if w > own || w == own && other < name {
			before++
		}
	}
	return found && before < n
}

// Neighbors returns the daemons that a daemon opens links to. On a ring ordered
// by hash, these are 1, N^(1/d), N^(2/d), ... positions ahead, so that every
// daemon has about 2d links and an update reaches the fleet in few hops.
func Neighbors(self string, members []Member, degree int) []Member {
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
