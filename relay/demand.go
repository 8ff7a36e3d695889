package relay

import (
	"cmp"
	"encoding/binary"
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

// packedDemands are Demands on a link: for each one the service (4 bytes, big-endian), the
// class (1 byte) and the KV in units of demandUnit (4 bytes). CBOR arrays took 1.3
// times the traffic, and a value that overflows its field made the frame invalid and ended
// the link.
type packedDemands []byte

// demandSize is the size of a Demand in packedDemands.
const demandSize = 4 + 1 + 4

// demandUnit is the resolution of a demand on a link, in tokens x layers, about a
// sixtieth of a typical request.
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

// packDemands returns the largest demands in their form on a link.
func packDemands(demands []Demand) packedDemands {
	sorted := slices.Clone(demands)
	// Equal demands are ordered by key, so that the same ones are sent each time.
	slices.SortFunc(sorted, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.KV, a.KV), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Service, b.Service))
	})
	var out packedDemands
	for _, d := range sorted[:min(len(sorted), maxDemands)] {
		units := min(maxDemandUnits, max(0, d.KV)/demandUnit+0.5)
		if !(units >= 1) {
			continue
		}
		out = binary.BigEndian.AppendUint32(out, d.Service)
		out = append(out, d.Class)
		out = binary.BigEndian.AppendUint32(out, uint32(units))
	}
	return out
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
