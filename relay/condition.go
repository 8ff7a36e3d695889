package relay

import (
	"context"
	"math"
)

// Condition is what a backend server says of itself.
type Condition struct {
	Slowdown float64 // how many times longer than usual it takes
	Full     float64 // share of its memory that is used
	Waiting  int     // requests that wait there
}

// Asker asks backend servers.
type Asker interface {
	// Condition asks one for its condition.
	Condition(ctx context.Context, server string) (Condition, error)
	// DomainOf returns the failure domain of one, "" if it is not known.
	DomainOf(server string) string
	// MaybeCrowded returns those of the own failure domain that may be crowded, by the
	// loads that are known.
	MaybeCrowded() []string
}

// packedCondition is the condition of a slow or crowded backend server on a link, named
// as in packedLoad.
type packedCondition struct {
	_       struct{} `cbor:",toarray"`
	Server  uint32
	Tenths  uint16 // how many times longer it takes, in tenths; 0 unless it is slow
	Percent uint8  // of its memory that is used
	Waiting uint8  // requests that wait there
}

func packCondition(server uint32, c Condition) packedCondition {
	p := packedCondition{
		Server: server, Waiting: uint8(min(waitingMost, max(0, c.Waiting))),
		Percent: uint8(100 * fullStep * math.Round(min(1, max(0, c.Full))/fullStep)),
	}
	if c.Slowdown >= slowFrom {
		p.Tenths = uint16(math.Round(10 * min(slowMost, c.Slowdown)))
	}
	return p
}

func (p packedCondition) unpack() Condition {
	return Condition{Slowdown: float64(p.Tenths) / 10, Full: float64(p.Percent) / 100, Waiting: int(p.Waiting)}
}

// crowded reports whether it has no room for further requests, or soon none.
func (p packedCondition) crowded() bool {
	return p.Waiting > 0 || float64(p.Percent) >= 100*crowdedFrom
}

// possible reports whether a backend server can be in such a condition, and whether that
// is worth a word.
func (p packedCondition) possible() bool {
	slow := p.Tenths >= slowFrom*10 && p.Tenths <= slowMost*10
	well := p.Waiting == 0 && float64(p.Percent) < 100*tellFrom
	return (slow || p.Tenths == 0 && !well) && p.Percent <= 100
}

// worse returns the worse of two words on one backend server.
func (p packedCondition) worse(q packedCondition) packedCondition {
	return packedCondition{Server: p.Server, Tenths: max(p.Tenths, q.Tenths), Percent: max(p.Percent, q.Percent), Waiting: max(p.Waiting, q.Waiting)}
}
