package quarantine

import "time"

// MaxPackedEnds bounds the ends of an accepted entry.
const MaxPackedEnds = 16

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

// Reporter records up to which version the changes of a registry were sent on one link.
type Reporter struct{ sent uint64 }

// Next returns up to most changes that were not sent yet.
func (r *Reporter) Next(registry *Registry, most int) []PackedEntry {
	entries, sent := registry.Since(r.sent, most)
	r.sent = sent
	return Pack(entries, time.Now())
}
