package dispatch

import (
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/invariant"
)

// maxHeld bounds the events of one stream that are held until the tokens before
// them arrive.
const maxHeld = 64

// Drops counts the events of a request that were dropped, by reason.
type Drops struct {
	Foreign  int // of another request
	Stale    int // of a superseded attempt
	Repeated int // of an index already delivered
	Overflow int // ahead of the next index, while maxHeld others were held
}

// Delivery orders the token events of one request and drops stale, repeated and
// foreign ones. Index n is released once, and only after n-1.
type Delivery struct {
	requestID string
	attempt   int
	next      int // index of the next token
	held      map[int]backend.Event
	drops     Drops
	ready     []backend.Event // reused between calls
}

// NewDelivery returns a Delivery whose first index is next.
func NewDelivery(requestID string, next int) *Delivery {
	return &Delivery{requestID: requestID, next: next}
}

// Begin starts an attempt. Events of earlier attempts are dropped from now on.
func (d *Delivery) Begin(attempt int) {
	d.attempt = attempt
	clear(d.held)
}

// Next returns the index of the next token.
func (d *Delivery) Next() int { return d.next }

// IsCurrent reports whether an event belongs to the current attempt. It counts other
// events as dropped.
func (d *Delivery) IsCurrent(ev *backend.Event) bool {
	if ev.RequestID != d.requestID {
		d.drops.Foreign++
		return false
	}
	if ev.Attempt != d.attempt {
		d.drops.Stale++
		return false
	}
	return true
}

// Accept adds a token event and returns the events that are now in order. The
// slice is valid until the next call.
func (d *Delivery) Accept(ev backend.Event) []backend.Event {
	d.ready = d.ready[:0]
	if !d.IsCurrent(&ev) {
		return nil
	}
	if ev.Index < d.next {
		d.drops.Repeated++
		return nil
	}
	if ev.Index > d.next {
		d.hold(ev)
		return nil
	}
	d.ready = append(d.ready, ev)
	d.next++
	for len(d.held) > 0 {
		h, ok := d.held[d.next]
		if !ok {
			break
		}
		delete(d.held, d.next)
		d.ready = append(d.ready, h)
		d.next++
	}
	return d.ready
}

func (d *Delivery) hold(ev backend.Event) {
	if d.held == nil {
		d.held = map[int]backend.Event{}
	}
	if _, repeated := d.held[ev.Index]; repeated {
		d.drops.Repeated++
		return
	}
	if len(d.held) >= maxHeld {
		d.drops.Overflow++
		return
	}
	d.held[ev.Index] = ev
}

// IsComplete reports whether all of an answer's count tokens have been released.
func (d *Delivery) IsComplete(count int) bool { return d.next == count && len(d.held) == 0 }

// checkComplete asserts that an answer of count tokens is complete.
func (d *Delivery) checkComplete(count int) error {
	return invariant.Check(d.IsComplete(count), invariant.CompleteOwnAnswer,
		"request %s ended as complete with %d of %d tokens", d.requestID, d.next, count)
}
