package shedding

import (
	"maps"
	"slices"
)

// Clone returns a copy that changes independently, with a source of random numbers of its own.
func (g *Gate) Clone(random func() float64) *Gate {
	return &Gate{classes: clonePointers(g.classes), random: random}
}

// Clone returns a copy that changes independently.
func (m *Meter) Clone() *Meter {
	return &Meter{classes: clonePointers(m.classes), since: m.since}
}

// Clone returns a copy that changes independently, with a source of random numbers of its own.
func (r *Returns) Clone(random func() float64) *Returns {
	return &Returns{due: maps.Clone(r.due), random: random}
}

// Clone returns a copy that changes independently.
func (f *FairShares) Clone() *FairShares {
	out := &FairShares{}
	for class, c := range f.classes {
		if c == nil {
			continue
		}
		copied := *c
		copied.workspaces, copied.index, copied.order = slices.Clone(c.workspaces), maps.Clone(c.index), nil
		out.classes[class] = &copied
	}
	return out
}

func clonePointers[V any](m map[Class]*V) map[Class]*V {
	out := make(map[Class]*V, len(m))
	for class, v := range m {
		copied := *v
		out[class] = &copied
	}
	return out
}
