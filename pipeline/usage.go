package pipeline

import "github.com/snowspoke/snowspoke/site"

// Usage sums the memory of backend servers and what requests use of it. The zero value is
// empty.
type Usage struct {
	layers []float64 // capacity of each layer, in tokens
	used   float64   // tokens x layers
	slots  float64   // of first hops
}

// Add adds a backend server of which requests use kv tokens x layers. Its memory is taken to be
// used evenly by the layers that it holds.
func (u *Usage) Add(e *site.Engine, s *site.BackendServer, kv float64) {
	n := s.Held.Len()
	capacity := e.KVCapacity(s.Kind, n)
	if n == 0 || capacity <= 0 {
		return
	}
	if u.layers == nil {
		u.layers = make([]float64, e.Layers)
	}
	u.used += kv
	for l := max(0, s.Held.From); l < min(e.Layers, s.Held.To); l++ {
		u.layers[l] += capacity / float64(n)
	}
	if s.Held.Has(0) {
		u.slots += float64(s.Slots)
	}
}

// Used returns the memory in use, in tokens x layers.
func (u *Usage) Used() float64 { return u.used }

// Capacity returns the memory that requests of a size can use, in tokens x layers. The layer with
// the least memory bounds it, or the slots of the first hops.
func (u *Usage) Capacity(t Tokens) float64 {
	if len(u.layers) == 0 {
		return 0
	}
	least := u.layers[0]
	for _, capacity := range u.layers {
		least = min(least, capacity)
	}
	if u.slots > 0 {
		least = min(least, u.slots*t.Mean())
	}
	return least * float64(len(u.layers))
}
