// Package lease elects the single holder of a role. A lease is an object of the platform's
// store. Clocks of daemons are never compared: other daemons treat a lease as expired when
// its object has not changed for a whole period of their own monotonic clock, and the
// holder counts the period from when it sent its last renewal.
package lease

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/snowspoke/snowspoke/store"
)

// Spec is the value of a lease object.
type Spec struct {
	Holder  string        `cbor:"1,keyasint"`
	Fencing uint64        `cbor:"2,keyasint"` // increases with each new holder, see eraFencingBase
	TTL     time.Duration `cbor:"3,keyasint"`
	Nonce   uint64        `cbor:"4,keyasint"` // of the write, identifies it after a lost answer
}

// Encode returns the stored form of a lease.
func (s Spec) Encode() []byte {
	data, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return data
}

// Decode reads a lease. A value that cannot be decoded is an expired lease.
func Decode(data []byte) Spec {
	var s Spec
	if cbor.Unmarshal(data, &s) != nil {
		return Spec{}
	}
	return s
}

// Action is the next step of a candidate.
type Action uint8

// The actions.
const (
	Wait    Action = iota // nothing to do yet
	Read                  // read the lease, whose known state is missing or too old
	Acquire               // write a new lease
	Renew                 // write again the lease that this daemon holds
)

// Candidate decides for one daemon and one lease. It does no I/O: callers pass in what they
// have read and a monotonic time, and perform the returned actions. It is not safe for
// concurrent use.
type Candidate struct {
	self string
	ttl  time.Duration

	known     bool
	version   store.Position // of the object as last read, 0 if there is none
	spec      Spec           // as last read
	seenAt    time.Time      // when this version was first read
	readAt    time.Time
	heldUntil time.Time // until when this daemon holds the lease
	fencing   uint64

	// maybeRestored is set when the last read may be from an older copy that the store was
	// restored from: another daemon may still hold a lease that the store has lost.
	maybeRestored bool

	lostVersion store.Position // known version when another daemon's write came first
	lostAt      time.Time      // of the last conflict, zero for none
}

// New returns the candidate of the daemon self for a lease that expires after ttl.
func New(self string, ttl time.Duration) *Candidate { return &Candidate{self: self, ttl: ttl} }

// safetyFraction is the inverse of the fraction of the period that the holder does not use,
// to allow for clocks of slightly different speeds.
const safetyFraction = 10

// Held returns the fencing number if this daemon holds the lease at the given time.
func (c *Candidate) Held(now time.Time) (fencing uint64, ok bool) {
	if c.fencing == 0 || !now.Before(c.heldUntil) {
		return 0, false
	}
	return c.fencing, true
}

// Holder returns the lease as last read.
func (c *Candidate) Holder() Spec { return c.spec }

// Next returns the next action.
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
	if !c.maybeRestored && c.version.Revision() == 0 || now.Sub(c.seenAt) > c.expiry() {
		return Acquire
	}
	return Wait
}

// expiry returns how long the lease must be unchanged before it counts as expired. The TTL
// in an older copy may be that of a previous holder.
func (c *Candidate) expiry() time.Duration {
	if c.maybeRestored {
		return max(c.spec.TTL, c.ttl)
	}
	return c.spec.TTL
}

// eraFencingBase returns the number below the first fencing number of an era. It exceeds all
// numbers of earlier eras, including those that the store has lost and would otherwise
// issue again.
func eraFencingBase(era uint64) uint64 { return era << 32 }

// Seen records the object as read from the store; a version without a revision means that
// there is none in that era. Reads may be stale and out of order. An older version than
// the known one changes nothing, so that it does not prolong an expired lease.
func (c *Candidate) Seen(o store.Object, now time.Time) {
	c.readAt = now
	if c.known && o.Version < c.version || c.isOutdated(o.Version, now) {
		return
	}
	if !c.known || o.Version > c.version {
		c.seenAt = now
		c.maybeRestored = o.Version.Era() > c.version.Era() && (c.version != 0 || o.Version.Era() > store.FirstEra)
	}
	c.known = true
	c.version = o.Version
	c.spec = Decode(o.Spec)
	if c.spec.TTL <= 0 {
		c.spec.TTL = c.ttl
	}
}

// staleReadPeriods is the number of periods for which a read may show the object as it was
// before a conflicting write. After that the object counts as removed.
const staleReadPeriods = 3

// isOutdated reports whether a read shows an object that another daemon's write has replaced.
func (c *Candidate) isOutdated(version store.Position, now time.Time) bool {
	return !c.lostAt.IsZero() && version <= c.lostVersion && now.Sub(c.lostAt) < staleReadPeriods*c.ttl
}

// Propose returns the write for the action and the version that the object must still have,
// 0 for none. A new holder uses a higher fencing number.
func (c *Candidate) Propose(a Action, nonce uint64) (s Spec, ifVersion store.Position) {
	s = Spec{Holder: c.self, Fencing: c.spec.Fencing, TTL: c.ttl, Nonce: nonce}
	if a == Acquire {
		s.Fencing = max(s.Fencing, eraFencingBase(c.version.Era())) + 1
	}
	if c.version.Revision() == 0 {
		return s, 0
	}
	return s, c.version
}

// Written records that a proposed write was applied. sentAt is when it was sent; no other
// daemon can have started to wait for its expiry before that.
func (c *Candidate) Written(s Spec, version store.Position, sentAt, now time.Time) {
	c.known, c.version, c.spec, c.seenAt, c.readAt, c.maybeRestored = true, version, s, now, now, false
	c.fencing = s.Fencing
	c.heldUntil = sentAt.Add(c.ttl - c.ttl/safetyFraction)
}

// Lost records that another daemon's write came first.
func (c *Candidate) Lost(now time.Time) {
	c.lostVersion, c.lostAt = c.version, now
	c.Released()
}

// Released clears the known state after the lease was released or lost.
func (c *Candidate) Released() {
	c.known = false
	c.fencing = 0
}
