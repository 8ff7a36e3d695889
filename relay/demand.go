package relay

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Demand is the rate at which the requests of a class at a service would fill memory if all
// were admitted.
type Demand struct {
	DemandKey
	KV float64 // in tokens x layers per second
}

// DemandKey identifies a class of requests at a service.
type DemandKey struct {
	Service uint32 // ServiceHash of its name
	Class   uint8
}

// packedDemands are Demands on a link: for each one the service (4 bytes, big-endian), the
// class (1 byte) and the KV in units of demandUnit (4 bytes). CBOR arrays took 1.3
// times the traffic, and a value that overflows its field made the frame invalid and ended
// the link.
type packedDemands []byte

// demandSize is the size of a Demand in packedDemands.
const demandSize = 4 + 1 + 4

// demandUnit is the resolution of a demand on a link, in tokens x layers per second, about a
// sixtieth of a typical request each second.
const demandUnit = 1000

// Bounds of the demands in one frame.
const (
	// maxDemands bounds the entries. The largest are sent. 16 took 3.3 KB/s at the busiest of
	// 300 daemons while loads are sent at their shortest interval; the bound is 3 KB/s.
	maxDemands = 12
	// maxDemandClass is the largest valid class.
	maxDemandClass = 99
	// maxDemandUnits bounds a valid demand; larger values are corrupt.
	maxDemandUnits = 1e9
)

// ServiceHash identifies a service on a link. Services whose hashes collide are taken to have
// the demand of both.
func ServiceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// unitDemand is a Demand in units of demandUnit.
type unitDemand struct {
	DemandKey
	units uint32
}

// largest returns the demands of at least one unit, the largest first.
func largest(demands []Demand) (out []unitDemand) {
	sorted := slices.Clone(demands)
	// Equal demands are ordered by key, so that the same ones are sent each time.
	slices.SortFunc(sorted, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.KV, a.KV), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Service, b.Service))
	})
	for _, d := range sorted {
		if units := min(maxDemandUnits, max(0, d.KV)/demandUnit+0.5); units >= 1 {
			out = append(out, unitDemand{d.DemandKey, uint32(units)})
		}
	}
	return out
}

// add appends a demand.
func (p packedDemands) add(d unitDemand) packedDemands {
	p = binary.BigEndian.AppendUint32(p, d.Service)
	p = append(p, d.Class)
	return binary.BigEndian.AppendUint32(p, d.units)
}

// Bounds of a frame that holds changes of demands.
const (
	// maxChangedDemands bounds the entries.
	maxChangedDemands = 4
	// demandChangeDivisor is the minimum change as a fraction: 1/10. It is fineChangeDivisor while
	// the link has spare bytes, as the errors of up to seven links add up: with a tenth at each,
	// a change at 300 daemons took up to 1.7 s, until the next frames with loads.
	demandChangeDivisor = 10
	fineChangeDivisor   = 40
	// maxLinkDemands bounds the entries that a receiver keeps. Changes can add entries to the
	// maxDemands of the last frame that holds all.
	maxLinkDemands = 2 * maxDemands
)

// demandReporter records the demands sent on one link, so that only changes are sent.
type demandReporter struct {
	sent map[DemandKey]uint32 // in units; nil before the first frame that holds all
}

// all returns the largest demands. They replace those sent before.
func (r *demandReporter) all(demands []Demand) (out packedDemands) {
	r.sent = map[DemandKey]uint32{}
	now := largest(demands)
	for _, d := range now[:min(len(now), maxDemands)] {
		out = out.add(d)
		r.sent[d.DemandKey] = d.units
	}
	return out
}

// changes returns the limit demands that differ most from those sent, in descending order of
// difference. The differences are more than the fraction 1/divisor of what was sent. A demand
// that ended is sent as zero. One that was sent and is no longer among the largest is kept until
// all are sent, as it would otherwise come and go.
func (r *demandReporter) changes(demands []Demand, limit int, divisor uint32) (out packedDemands) {
	if r.sent == nil {
		return nil
	}
	type change struct {
		unitDemand
		difference uint32
	}
	var found []change
	ended := maps.Clone(r.sent)
	added := 0
	for rank, d := range largest(demands) {
		sent, known := r.sent[d.DemandKey]
		delete(ended, d.DemandKey)
		if !known {
			if rank >= maxDemands || len(r.sent)+added >= maxLinkDemands {
				continue
			}
			added++
		}
		if difference := max(d.units, sent) - min(d.units, sent); difference > sent/divisor {
			found = append(found, change{d, difference})
		}
	}
	for key, units := range ended {
		found = append(found, change{unitDemand{key, 0}, units})
	}
	slices.SortFunc(found, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.difference, a.difference), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Service, b.Service))
	})
	for _, c := range found[:min(len(found), limit)] {
		out = out.add(c.unitDemand)
		if c.units == 0 {
			delete(r.sent, c.DemandKey)
		} else {
			r.sent[c.DemandKey] = c.units
		}
	}
	return out
}

// demandInterval is the interval at which each end of a link between a follower and its source
// sends changes of demands. With pings and pongs alone, every pingInterval, a change at all of 300
// daemons in three domains took 2.1 s to reach all of them; the bound is 1.5 s.
const demandInterval = 100 * time.Millisecond

// Bytes per second that demands take at most in each direction of a link, on average, and the
// bytes that may be sent at once after a time without changes. maxDemands with loads at their
// shortest interval take 148 bytes per second, and 74 between domains. A source with the most
// followers sends and receives demands on 7 links and on those to the sources of the other
// domains; the bound is 3 KB/s.
const (
	followerDemandRate = 150
	domainDemandRate   = 80
	maxDemandBurst     = 200
)

// demandFrameOverhead is the size of a frame that holds changes, without its entries: the headers
// of the WebSocket frame and of the CBOR maps.
const demandFrameOverhead = 10

// demandSender builds what one end of a link sends. Changes are sent as far as the rate permits;
// frames that hold all demands count towards it and are always sent.
type demandSender struct {
	reporter demandReporter
	rate     float64   // bytes per second
	spare    float64   // bytes that may be sent, at at
	at       time.Time // zero before the first frame
}

// all returns the demands for a frame that holds all.
func (s *demandSender) all(demands []Demand, now time.Time) packedDemands {
	s.refill(now)
	out := s.reporter.all(demands)
	s.spare -= float64(demandFrameOverhead + len(out))
	return out
}

// changes returns the changes to be sent now. demands is called only if changes may be sent.
func (s *demandSender) changes(demands func(now time.Time) []Demand, now time.Time) packedDemands {
	s.refill(now)
	limit := min(maxChangedDemands, int(s.spare-demandFrameOverhead)/demandSize)
	if limit <= 0 {
		return nil
	}
	divisor := uint32(demandChangeDivisor)
	if s.spare > maxDemandBurst/2 {
		divisor = fineChangeDivisor
	}
	out := s.reporter.changes(demands(now), limit, divisor)
	if len(out) > 0 {
		s.spare -= float64(demandFrameOverhead + len(out))
	}
	return out
}

func (s *demandSender) refill(now time.Time) {
	if s.at.IsZero() {
		s.spare = maxDemandBurst
	} else {
		s.spare = min(maxDemandBurst, s.spare+s.rate*now.Sub(s.at).Seconds())
	}
	s.at = now
}

// demandReceiver accumulates the demands received over one link.
type demandReceiver struct{ known map[DemandKey]float64 }

// replace replaces all demands and returns the valid ones, and the number of those that it
// drops.
func (r *demandReceiver) replace(packed packedDemands) (out []Demand, refused int) {
	out, refused = unpackDemands(packed)
	r.known = make(map[DemandKey]float64, len(out))
	for _, d := range out {
		r.known[d.DemandKey] = d.KV
	}
	return out, refused
}

// change applies changes and returns all demands, and the number of changes that it drops.
// Changes before the first frame that holds all demands are ignored.
func (r *demandReceiver) change(packed packedDemands) (out []Demand, refused int) {
	if r.known == nil {
		return nil, 0
	}
	changes, refused := unpackDemands(packed)
	for _, d := range changes {
		_, known := r.known[d.DemandKey]
		switch {
		case d.KV == 0:
			delete(r.known, d.DemandKey)
		case known || len(r.known) < maxLinkDemands:
			r.known[d.DemandKey] = d.KV
		default:
			refused++
		}
	}
	out = make([]Demand, 0, len(r.known))
	for key, kv := range r.known {
		out = append(out, Demand{key, kv})
	}
	return out, refused
}

// unpackDemands returns the valid demands of a frame, and the number of those that it drops.
func unpackDemands(packed packedDemands) (out []Demand, refused int) {
	for i := 0; len(packed) > 0; i++ {
		if i >= maxDemands || len(packed) < demandSize {
			return out, refused + (len(packed)+demandSize-1)/demandSize
		}
		class, units := packed[4], binary.BigEndian.Uint32(packed[5:])
		if class <= maxDemandClass && units <= maxDemandUnits {
			out = append(out, Demand{DemandKey{binary.BigEndian.Uint32(packed), class}, float64(units) * demandUnit})
		} else {
			refused++
		}
		packed = packed[demandSize:]
	}
	return out, refused
}
