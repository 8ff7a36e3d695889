package relay

import (
	"context"
	"time"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/quarantine"
)

// Distribution of the requests that were running on backend servers when the servers ended.
// Changes are sent at once over the links of a failure domain, and to the sources of other
// domains with the exchange of loads, so that every daemon knows of the end before the
// caller retries. A daemon forwards only changes to its own registry, so a change is not
// sent around in cycles.

// Bounds of the frames with crashes.
const (
	// maxCrashesPerFrame bounds the entries of a frame, at about 25 bytes each.
	// minCrashInterval is the least time between two frames on a link.
	maxCrashesPerFrame = 64
	minCrashInterval   = 100 * time.Millisecond
	// maxEnds bounds the ends of an accepted entry.
	maxEnds = 16
)

// packedEnd is a quarantine.End on a link.
type packedEnd struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	Weight uint8
	Age    uint32 // milliseconds
}

// packedCrash is a quarantine.Entry on a link. Times are sent as ages, since daemons share
// no clock.
type packedCrash struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Ends        []packedEnd
	Tried       uint32 // milliseconds since the last trial, plus 1; 0 for none
	Served      uint32 // milliseconds since it was last served, plus 1; 0 for never
}

// valid reports whether the weights and the number of ends are in range.
func (p *packedCrash) valid() bool {
	for _, e := range p.Ends {
		if e.Weight != uint8(quarantine.Possible) && e.Weight != uint8(quarantine.Likely) {
			return false
		}
	}
	return len(p.Ends) <= maxEnds
}

func packCrashes(entries []quarantine.Entry, now time.Time) []packedCrash {
	out := make([]packedCrash, 0, len(entries))
	for _, e := range entries {
		p := packedCrash{Fingerprint: uint64(e.Fingerprint), Tried: packTime(e.TriedAt, now), Served: packTime(e.ServedAt, now)}
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
		if !p.valid() {
			continue
		}
		e := quarantine.Entry{Fingerprint: quarantine.Fingerprint(p.Fingerprint), TriedAt: unpackTime(p.Tried, now), ServedAt: unpackTime(p.Served, now)}
		for _, end := range p.Ends {
			at := now.Add(-time.Duration(end.Age) * time.Millisecond)
			e.Ends = append(e.Ends, quarantine.End{Server: quarantine.Server(end.Server), Weight: quarantine.Weight(end.Weight), At: at})
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

// crashReporter records up to which version the changes of the registry were sent on one
// link.
type crashReporter struct{ sent uint64 }

// next returns the next changes that were not sent yet.
func (r *crashReporter) next(registry *quarantine.Registry) []packedCrash {
	if registry == nil {
		return nil
	}
	entries, sent := registry.Since(r.sent, maxCrashesPerFrame)
	r.sent = sent
	return packCrashes(entries, time.Now())
}

// applyCrashes adds the entries received from another daemon.
func (n *Node) applyCrashes(packed []packedCrash) {
	if n.opts.Quarantine == nil || len(packed) == 0 {
		return
	}
	now := time.Now()
	n.opts.Quarantine.Merge(unpackCrashes(packed, now), now)
}

// sendKnownCrashes sends all entries known so far.
func (n *Node) sendKnownCrashes(ctx context.Context, c *websocket.Conn, reporter *crashReporter) error {
	for {
		known := reporter.next(n.opts.Quarantine)
		if len(known) == 0 {
			return nil
		}
		if err := writeFrame(ctx, c, &frame{Crashes: known}); err != nil {
			return err
		}
	}
}

// sendCrashes sends the changes of the registry that were not sent yet, and then each
// further change, until ctx or the link ends.
func (n *Node) sendCrashes(ctx context.Context, c *websocket.Conn, reporter *crashReporter) {
	registry := n.opts.Quarantine
	if registry == nil {
		return
	}
	for {
		changed := registry.Changed()
		if pending := reporter.next(registry); len(pending) > 0 {
			if writeFrame(ctx, c, &frame{Crashes: pending}) != nil {
				return // the link has ended
			}
			if !wait.For(ctx, minCrashInterval) {
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
