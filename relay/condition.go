package relay

import (
	"context"
	"math"
)

// Condition is the state that a backend server reports.
type Condition struct {
	Slowdown   float64 // ratio of current to baseline latency
	MemoryUsed float64 // share of memory in use
	Waiting    int     // queued requests
}

// ConditionReader queries backend servers for their condition.
type ConditionReader interface {
	// Condition queries one backend server.
	Condition(ctx context.Context, server string) (Condition, error)
	// DomainOf returns the failure domain of a backend server, "" if unknown.
	DomainOf(server string) string
	// MaybeSaturated returns the backend servers of this daemon's failure domain that may
	// be saturated according to the known loads.
	MaybeSaturated() []string
}

// packedCondition is the condition of a slow or saturated backend server on a link. Server
// is a serverHash.
type packedCondition struct {
	_       struct{} `cbor:",toarray"`
	Server  uint32
	Tenths  uint16 // slowdown in tenths; 0 unless slow
	Percent uint8  // share of memory in use
	Waiting uint8  // queued requests
}

func packCondition(server uint32, c Condition) packedCondition {
	p := packedCondition{
		Server: server, Waiting: uint8(min(maxWaiting, max(0, c.Waiting))),
		Percent: uint8(100 * usageStep * math.Round(min(1, max(0, c.MemoryUsed))/usageStep)),
	}
	if c.Slowdown >= slowThreshold {
		p.Tenths = uint16(math.Round(10 * min(maxSlowdown, c.Slowdown)))
	}
	return p
}

func (p packedCondition) unpack() Condition {
	return Condition{Slowdown: float64(p.Tenths) / 10, MemoryUsed: float64(p.Percent) / 100, Waiting: int(p.Waiting)}
}

// saturated reports whether the backend server is at or near its capacity.
func (p packedCondition) saturated() bool {
	return p.Waiting > 0 || float64(p.Percent) >= 100*saturationThreshold
}

// valid reports whether the values are in range and bad enough to be reported.
func (p packedCondition) valid() bool {
	slow := p.Tenths >= slowThreshold*10 && p.Tenths <= maxSlowdown*10
	healthy := p.Waiting == 0 && float64(p.Percent) < 100*reportThreshold
	return (slow || p.Tenths == 0 && !healthy) && p.Percent <= 100
}

// worse merges two reports on one backend server, taking the worse of each value.
func (p packedCondition) worse(q packedCondition) packedCondition {
	return packedCondition{Server: p.Server, Tenths: max(p.Tenths, q.Tenths), Percent: max(p.Percent, q.Percent), Waiting: max(p.Waiting, q.Waiting)}
}
