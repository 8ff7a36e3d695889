package relay

import (
	"time"

	"github.com/snowspoke/snowspoke/inventory"
)

// Daemons tell each other when the store answered, in each pong. A daemon that has lost its source
// thus knows whether the store was away as well when it reads the store itself.

// setContact sets the ages of a contact with the store.
func (p *pong) setContact(c inventory.Contact, now time.Time) {
	if !c.Last.IsZero() {
		p.StoreSince, p.StoreLast = now.Sub(c.Since), now.Sub(c.Last)
	}
}

// contact returns the contact with the store that a pong reports, which answers a ping sent at sent
// and was received at received. Each end is moved by the time in transit so that the span is not
// too long.
func (p *pong) contact(sent, received time.Time) inventory.Contact {
	if p.StoreSince <= 0 || p.StoreLast < 0 || p.StoreLast > p.StoreSince {
		return inventory.Contact{}
	}
	c := inventory.Contact{Since: received.Add(-p.StoreSince), Last: sent.Add(-p.StoreLast)}
	if c.Last.Before(c.Since) {
		return inventory.Contact{}
	}
	return c
}
