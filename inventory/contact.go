package inventory

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/store"
)

// A list may lack a record that this daemon knows for two reasons: the backend server has left, or
// the record has expired in an outage of the store and is about to be written again. Which one
// it is depends on whether there was an outage. Daemons therefore record when the store answered,
// and tell each other.

// expiryTime is the least outage in which records expire: backend servers write every 1.2 s, and a
// record expires after three of these intervals without a write, the first of which may have
// passed before the outage.
const expiryTime = 2400 * time.Millisecond

// Contact is a span of time in which the store answered without an outage of expiryTime or longer.
// Its times are those of package boottime. The zero Contact stands for no known answer.
type Contact struct {
	Since time.Time
	Last  time.Time // last known answer
}

// Join returns the span of both, or the later one if there may have been an outage between them.
func (c Contact) Join(o Contact) Contact {
	if c.Last.IsZero() || o.Last.IsZero() {
		return Contact{Since: boottime.Later(c.Since, o.Since), Last: boottime.Later(c.Last, o.Last)}
	}
	if o.Since.Before(c.Since) {
		c, o = o, c
	}
	if o.Since.Sub(c.Last) >= expiryTime {
		return o
	}
	return Contact{Since: c.Since, Last: boottime.Later(c.Last, o.Last)}
}

// covers reports whether there was no outage of expiryTime or longer between two times.
func (c Contact) covers(from, to time.Time) bool {
	return !c.Last.IsZero() && !c.Since.After(from) && to.Sub(c.Last) < expiryTime
}

// contactState is what an inventory knows of the answers of the store.
type contactState struct {
	contact Contact
	// lostAt is when the store failed to answer this daemon twice in a row, zero once another
	// daemon has shown that the store answered after that.
	lostAt time.Time
	readAt store.Position // up to which the backend servers are known
}

// Contact returns when the store answered this daemon, or another one that has told it.
func (i *Inventory) Contact() Contact {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.contact
}

// NoteContact records when the store answered another daemon.
func (i *Inventory) NoteContact(c Contact) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.Last.IsZero() || !c.Last.After(i.lostAt) {
		return
	}
	i.contact, i.lostAt = i.contact.Join(c), time.Time{}
	i.dropLeft()
}

// noteAnswer records that the store has answered this daemon.
func (i *Inventory) noteAnswer() {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := boottime.Now()
	i.contact = i.contact.Join(Contact{Since: now, Last: now})
}

// noteOutage records that the store has not answered this daemon twice in a row. Records may
// have expired since the last answer, however short the outage.
func (i *Inventory) noteOutage() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.contact, i.lostAt = Contact{}, boottime.Now()
}

// hasLeft reports whether a record that a list lacks is that of a backend server that has left: the
// list is not older than the record, and the store has answered for long enough that an expired
// record would have been written again.
func (i *Inventory) hasLeft(r record) bool {
	return r.missingAt >= r.at && i.contact.covers(r.missingSince.Add(-MissingGrace), r.missingSince)
}

// dropLeft drops the records of the backend servers that are known to have left.
func (i *Inventory) dropLeft() {
	left := 0
	for id, r := range i.servers {
		if !r.missingSince.IsZero() && i.hasLeft(r) {
			i.drop(id, r, "not in the list of the store")
			left++
		}
	}
	if left > 0 {
		i.publishServers()
	}
}

// logMissing logs the decision on the records that a list at a position lacks.
func (i *Inventory) logMissing(at store.Position, missing, left int) {
	if missing == 0 {
		return
	}
	now := boottime.Now()
	_ = level.Info(i.logger).Log("msg", "decision", "kind", "records missing", "list", at, "missing", missing, "left", left,
		"kept", missing-left, "store_answers_for", age(now, i.contact.Since), "store_answered", age(now, i.contact.Last))
}

// age returns the time since t for a log line, or "never" if t is zero.
func age(now, t time.Time) any {
	if t.IsZero() {
		return "never"
	}
	return now.Sub(t).Round(time.Millisecond)
}
