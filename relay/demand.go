package relay

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Demand is the memory that the requests of a class would use at a service if all were
// admitted.
type Demand struct {
	DemandKey
	KV float64 // in tokens x layers
}

// DemandKey identifies a class of requests at a service.
type DemandKey struct {
	Service uint32 // ServiceHash of its name
	Class   uint8
}

// packedDemand is a Demand on a link. Its fields are wider than valid values, since a value
// that overflows its field would make the frame invalid and end the link.
type packedDemand struct {
	_       struct{} `cbor:",toarray"`
	Service int64
	Class   int64
	KV      int64 // in units of demandUnit
}

// demandUnit is the resolution of a demand on a link, in tokens x layers, about a
// sixtieth of a typical request.
const demandUnit = 1000

// Bounds of the demands in one frame.
const (
	// maxDemands bounds the entries, at about 13 bytes each. The largest are sent.
	maxDemands = 16
	// maxDemandClass is the largest valid class.
	maxDemandClass = 99
	// maxDemandUnits bounds a valid demand; larger values are corrupt.
	maxDemandUnits = 1e9
)

// ServiceHash identifies a service on a link. Services whose hashes collide are taken to have
// the demand of both.
func ServiceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// packDemands returns the largest demands in their form on a link.
func packDemands(demands []Demand) []packedDemand {
	sorted := slices.Clone(demands)
	// Equal demands are ordered by key, so that the same ones are sent each time.
	slices.SortFunc(sorted, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.KV, a.KV), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Service, b.Service))
	})
	out := make([]packedDemand, 0, min(len(sorted), maxDemands))
	for _, d := range sorted[:min(len(sorted), maxDemands)] {
		units := min(maxDemandUnits, max(0, d.KV)/demandUnit+0.5)
		if !(units >= 1) {
			continue
		}
		out = append(out, packedDemand{Service: int64(d.Service), Class: int64(d.Class), KV: int64(units)})
	}
	return out
}

// valid reports whether daemons can have such a demand.
func (d packedDemand) valid() bool {
	return d.Service >= 0 && d.Service <= math.MaxUint32 && d.Class >= 0 && d.Class <= maxDemandClass && d.KV >= 0 && d.KV <= maxDemandUnits
}

// unpackDemands returns the valid demands of a frame, and the number of those that it drops.
func unpackDemands(packed []packedDemand) (out []Demand, refused int) {
	for i, d := range packed {
		if i >= maxDemands || !d.valid() {
			refused++
			continue
		}
		out = append(out, Demand{DemandKey: DemandKey{Service: uint32(d.Service), Class: uint8(d.Class)}, KV: float64(d.KV) * demandUnit})
	}
	return out, refused
}
