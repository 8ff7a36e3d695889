package quarantine

import (
	"context"
	"time"

	"github.com/snowspoke/snowspoke/internal/wait"
)

// MaxPackedEnds bounds the ends of an accepted entry.
const MaxPackedEnds = maxEnds

// PackedEnd is an End on a link.
type PackedEnd struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	Weight uint8
	Age    uint32 // milliseconds
}

// PackedEntry is an Entry on a link. Times are sent as ages, since daemons share no clock.
type PackedEntry struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Ends        []PackedEnd
	Tried       uint32 // milliseconds since the last trial, plus 1; 0 for none
	Served      uint32 // milliseconds since it was last served, plus 1; 0 for never
}

// valid reports whether the weights and the number of ends are in range.
func (p *PackedEntry) valid() bool {
	for _, e := range p.Ends {
		if e.Weight != uint8(Possible) && e.Weight != uint8(Likely) {
			return false
		}
	}
	return len(p.Ends) <= MaxPackedEnds
}

// Pack returns entries in the form in which daemons send them.
func Pack(entries []Entry, now time.Time) []PackedEntry {
	out := make([]PackedEntry, 0, len(entries))
	for _, e := range entries {
		p := PackedEntry{Fingerprint: uint64(e.Fingerprint), Tried: packTime(e.TriedAt, now), Served: packTime(e.ServedAt, now)}
		for _, end := range e.Ends {
			p.Ends = append(p.Ends, PackedEnd{Server: uint32(end.Server), Weight: uint8(end.Weight), Age: ageOf(end.At, now)})
		}
		out = append(out, p)
	}
	return out
}

// Unpack returns received entries. Invalid ones are left out.
func Unpack(packed []PackedEntry, now time.Time) []Entry {
	out := make([]Entry, 0, len(packed))
	for _, p := range packed {
		if !p.valid() {
			continue
		}
		e := Entry{Fingerprint: Fingerprint(p.Fingerprint), TriedAt: unpackTime(p.Tried, now), ServedAt: unpackTime(p.Served, now)}
		for _, end := range p.Ends {
			at := now.Add(-time.Duration(end.Age) * time.Millisecond)
			e.Ends = append(e.Ends, End{Server: Server(end.Server), Weight: Weight(end.Weight), At: at})
		}
		out = append(out, e)
	}
	return out
}

// ageOf returns the milliseconds from at to now.
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

// Bounds of the frames with changes on one link.
const (
	maxPerFrame      = 64 // entries, of about 25 bytes each
	MinFrameInterval = 100 * time.Millisecond
)

// Reporter records up to which version the changes of a registry were sent on one link.
type Reporter struct{ sent uint64 }

// Next returns the next changes that were not sent yet, as many as fit into a frame. A nil registry
// has none.
func (r *Reporter) Next(registry *Registry) []PackedEntry {
	if registry == nil {
		return nil
	}
	entries, sent := registry.Since(r.sent, maxPerFrame)
	r.sent = sent
	return Pack(entries, time.Now())
}

// SendKnown sends all changes that were not sent yet. It returns the first error of send.
func (r *Reporter) SendKnown(registry *Registry, send func([]PackedEntry) error) error {
	for {
		known := r.Next(registry)
		if len(known) == 0 {
			return nil
		}
		if err := send(known); err != nil {
			return err
		}
	}
}

// SendChanges sends the changes that were not sent yet, and then each further change, until ctx ends
// or send returns an error. It returns at once for a nil registry.
func (r *Reporter) SendChanges(ctx context.Context, registry *Registry, send func([]PackedEntry) error) {
	if registry == nil {
		return
	}
	for {
		changed := registry.Changed()
		if pending := r.Next(registry); len(pending) > 0 {
			if send(pending) != nil || !wait.For(ctx, MinFrameInterval) {
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

// MergePacked merges entries as another daemon sent them. A nil registry ignores them.
func (r *Registry) MergePacked(packed []PackedEntry, now time.Time) {
	if r != nil && len(packed) > 0 {
		r.Merge(Unpack(packed, now), now)
	}
}
