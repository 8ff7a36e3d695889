// Package lease decides who holds a duty that must have a single holder. A
// lease is an object of the platform's store. Nobody compares clocks: others
// count a lease as expired when its object has not changed for a whole period
// of their own monotonic clock, and the holder counts from before it asked for
// its last renewal.
package lease

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/snowspoke/snowspoke/store"
)

// Spec is the value of a lease object.
type Spec struct {
	Holder  string        `cbor:"1,keyasint"`
	Fencing uint64        `cbor:"2,keyasint"` // grows with each new holder, see fencingOf
	TTL     time.Duration `cbor:"3,keyasint"`
	Nonce   uint64        `cbor:"4,keyasint"` // of the write, settles lost answers
}

// Encode returns the stored form of a lease.
func (s Spec) Encode() []byte {
	data, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return data
}

// Decode reads a lease; a value that cannot be read counts as an expired lease.
func Decode(data []byte) Spec {
	var s Spec
	if cbor.Unmarshal(data, &s) != nil {
		return Spec{}
	}
	return s
}

// Action is what a candidate should do next.
type Action uint8

// The actions.
const (
	Wait    Action = iota // nothing to do yet
	Read                  // the lease is not known well enough
	Acquire               // write a new lease
	Renew                 // write the own lease again
)

// Candidate decides for one daemon and one lease. It is pure: what was seen and
// a monotonic clock in, actions out. It is not safe for concurrent use.
type Candidate struct {
	self string
	ttl  time.Duration

	known     bool
	version   store.Position // of the object as last seen, 0 when there is none
	spec      Spec           // as last seen
	seenAt    time.Time      // when this version was first seen
	readAt    time.Time
	heldUntil time.Time // while this daemon holds the lease
	fencing   uint64

	// unsure says that what was seen may be from an older copy that the store came back
	// from: a daemon may hold a lease that the store has lost, and does not know it yet.
	unsure bool

	lostVersion store.Position // the object as known when another daemon's write came first
	lostAt      time.Time      // zero if that never happened
}

// New returns a candidate.
func New(self string, ttl time.Duration) *Candidate { return &Candidate{self: self, ttl: ttl} }

// safety is the part of the period that the holder does not use, so that clocks
// that run at slightly different speeds do no harm.
const safety = 10

// Held returns the fencing number if this daemon holds the lease at that moment.
func (c *Candidate) Held(now time.Time) (fencing uint64, ok bool) {
	if c.fencing == 0 || !now.Before(c.heldUntil) {
		return 0, false
	}
	return c.fencing, true
}

// Holder returns the lease as last seen.
func (c *Candidate) Holder() Spec { return c.spec }

// Next returns what to do now.
func (c *Candidate) Next(now time.Time) Action {
	if _, held := c.Held(now); held {
		if c.heldUntil.Sub(now) < c.ttl*2/3 {
			return Renew
		}
		return Wait
	}
	if !c.known || now.Sub(c.readAt) >= c.ttl/3 {
		return Read
	}
	if !c.unsure && c.version.Revision() == 0 || now.Sub(c.seenAt) > c.expiry() {
		return Acquire
	}
	return Wait
}

// expiry returns for how long the lease must not have changed until it counts as given up
// or lost. One that may be from a copy says nothing of its holder's period.
func (c *Candidate) expiry() time.Duration {
	if c.unsure {
		return max(c.spec.TTL, c.ttl)
	}
	return c.spec.TTL
}

// fencingOf returns the number below the first fencing number of an era. Those of the
// eras before are lower, also those that the store has lost, which would be given out
// again otherwise.
func fencingOf(era uint64) uint64 { return era << 32 }

// Seen takes the object as read from the store; one whose version has no revision means
// that there was none in that era. Reads may be old, and one older than the read before
// it: it says nothing new, and a lease that expires does not begin to run again by it.
func (c *Candidate) Seen(o store.Object, now time.Time) {
	c.readAt = now
	if c.known && o.Version < c.version || c.isOutdated(o.Version, now) {
		return
	}
	if !c.known || o.Version > c.version {
		c.seenAt = now
		c.unsure = o.Version.Era() > c.version.Era() && (c.version != 0 || o.Version.Era() > store.FirstEra)
	}
	c.known = true
	c.version = o.Version
	c.spec = Decode(o.Spec)
	if c.spec.TTL <= 0 {
		c.spec.TTL = c.ttl
	}
}

// oldReads is the number of periods for which a read may show the object as it was
// before a write that came first. After that it is taken to have been removed.
const oldReads = 3

// isOutdated reports whether a read shows what another daemon's write has replaced.
func (c *Candidate) isOutdated(version store.Position, now time.Time) bool {
	return !c.lostAt.IsZero() && version <= c.lostVersion && now.Sub(c.lostAt) < oldReads*c.ttl
}

// Propose returns the write that the action needs, and the version that the
// object must still have, 0 for none. A new holder takes a higher fencing number.
func (c *Candidate) Propose(a Action, nonce uint64) (s Spec, ifVersion store.Position) {
	s = Spec{Holder: c.self, Fencing: c.spec.Fencing, TTL: c.ttl, Nonce: nonce}
	if a == Acquire {
		s.Fencing = max(s.Fencing, fencingOf(c.version.Era())) + 1
	}
	if c.version.Revision() == 0 {
		return s, 0
	}
	return s, c.version
}

// Written says that a proposed write took effect; asked is when it was sent,
// before which nobody else can have begun to wait for its expiry.
func (c *Candidate) Written(s Spec, version store.Position, asked, now time.Time) {
	c.known, c.version, c.spec, c.seenAt, c.readAt, c.unsure = true, version, s, now, now, false
	c.fencing = s.Fencing
	c.heldUntil = asked.Add(c.ttl - c.ttl/safety)
}

// Lost says that another daemon's write came first.
func (c *Candidate) Lost(now time.Time) {
	c.lostVersion, c.lostAt = c.version, now
	c.Released()
}

// Released forgets the lease after it was given up.
func (c *Candidate) Released() {
	c.known = false
	c.fencing = 0
}
