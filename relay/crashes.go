package relay

import (
	"context"
	"time"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/quarantine"
)

// What the fleet knows of requests under which backend servers ended travels in all
// directions as it comes: along the links of a failure domain at once, to the sources of
// the other domains with the exchange of loads. A caller comes back at any daemon after
// a second or two, and an end is to be known there by then. Whoever hears what it knows
// already tells nobody, so that news goes round once.

// Bounds of what is told of such requests.
const (
	// crashesAtOnce bounds the entries of one message, at some 25 bytes each, and
	// crashPause is the time between two messages: a backend server that ends under 130
	// streams is told within 0.3 s a step.
	crashesAtOnce = 64
	crashPause    = 100 * time.Millisecond
	// endsAtMost bounds the ends of an entry that is believed.
	endsAtMost = 16
)

// packedEnd is a quarantine.End on a link.
type packedEnd struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	Weight uint8
	Age    uint32 // milliseconds
}

// packedCrash is a quarantine.Entry on a link, with ages for times: the clocks of two
// daemons have nothing in common.
type packedCrash struct {
	_      struct{} `cbor:",toarray"`
	Print  uint64
	Ends   []packedEnd
	Tried  uint32 // milliseconds since the last trial, plus one; 0 for none
	Served uint32 // the same since it was last served
}

// possible reports whether an entry can be what a daemon tells.
func (p *packedCrash) possible() bool {
	for _, e := range p.Ends {
		if e.Weight != uint8(quarantine.Possible) && e.Weight != uint8(quarantine.Likely) {
			return false
		}
	}
	return len(p.Ends) <= endsAtMost
}

func packCrashes(entries []quarantine.Entry, now time.Time) []packedCrash {
	out := make([]packedCrash, 0, len(entries))
	for _, e := range entries {
		p := packedCrash{Print: uint64(e.Print), Tried: packTime(e.TriedAt, now), Served: packTime(e.ServedAt, now)}
		for _, end := range e.Ends {
			p.Ends = append(p.Ends, packedEnd{Server: uint32(end.Server), Weight: uint8(end.Weight), Age: ageOf(end.At, now)})
		}
		out = append(out, p)
	}
	return out
}

func unpackCrashes(packed []packedCrash, now time.Time) []quarantine.Entry {
	out := make([]quarantine.Entry, 0, len(packed))
	for _, p := range packed {
		if !p.possible() {
			continue
		}
		e := quarantine.Entry{Print: quarantine.Fingerprint(p.Print), TriedAt: unpackTime(p.Tried, now), ServedAt: unpackTime(p.Served, now)}
		for _, end := range p.Ends {
			at := now.Add(-time.Duration(end.Age) * time.Millisecond)
			e.Ends = append(e.Ends, quarantine.End{Server: quarantine.Server(end.Server), Weight: quarantine.Weight(end.Weight), At: at})
		}
		out = append(out, e)
	}
	return out
}

// ageOf returns how long ago something was, in milliseconds.
func ageOf(at, now time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

func packTime(at, now time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return 1 + ageOf(at, now)
}

func unpackTime(packed uint32, now time.Time) time.Time {
	if packed == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(packed-1) * time.Millisecond)
}

// crashTeller keeps how far the changes of the book were told on one link.
type crashTeller struct{ told uint64 }

// next returns changes that were not told yet.
func (t *crashTeller) next(b *quarantine.Book) []packedCrash {
	if b == nil {
		return nil
	}
	entries, told := b.Since(t.told, crashesAtOnce)
	t.told = told
	return packCrashes(entries, time.Now())
}

// hearCrashes takes what another daemon tells.
func (n *Node) hearCrashes(packed []packedCrash) {
	if n.opts.Quarantine == nil || len(packed) == 0 {
		return
	}
	now := time.Now()
	n.opts.Quarantine.Join(unpackCrashes(packed, now), now)
}

// tellKnownCrashes tells the other end of a link all that is known by now.
func (n *Node) tellKnownCrashes(ctx context.Context, c *websocket.Conn, teller *crashTeller) error {
	for {
		known := teller.next(n.opts.Quarantine)
		if len(known) == 0 {
			return nil
		}
		if err := writeFrame(ctx, c, &frame{Crashes: known}); err != nil {
			return err
		}
	}
}

// tellCrashes tells the other end of a link what changes, until ctx ends or the link
// does. All that was not told yet is told first.
func (n *Node) tellCrashes(ctx context.Context, c *websocket.Conn, teller *crashTeller) {
	book := n.opts.Quarantine
	if book == nil {
		return
	}
	for {
		changed := book.Changed()
		if news := teller.next(book); len(news) > 0 {
			if writeFrame(ctx, c, &frame{Crashes: news}) != nil {
				return // the link is over
			}
			if !wait.For(ctx, crashPause) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
