package shedding

import "maps"

// Clone returns a copy that changes independently.
func (g *Gate) Clone() *Gate {
	return &Gate{classes: clonePointers(g.classes), random: g.random}
}

// Clone returns a copy that changes independently.
func (m *Meter) Clone() *Meter {
	return &Meter{classes: clonePointers(m.classes), since: m.since}
}

// Clone returns a copy that changes independently.
func (r *Returns) Clone() *Returns { return &Returns{due: maps.Clone(r.due)} }

func clonePointers[V any](m map[Class]*V) map[Class]*V {
	out := make(map[Class]*V, len(m))
	for class, v := range m {
		copied := *v
		out[class] = &copied
	}
	return out
}
