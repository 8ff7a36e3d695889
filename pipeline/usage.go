package pipeline

import "github.com/snowspoke/snowspoke/site"

// Usage sums the memory that requests use by layer. The layers with the least free memory
// bound the requests that the backend servers can hold. The zero value is empty.
type Usage struct {
	layers []layerUsage
	used   float64 // tokens x layers
	heads  float64 // requests at first hops
	slots  float64 // of first hops
}

// layerUsage is the memory of one layer, in tokens.
type layerUsage struct{ used, capacity float64 }

// Add adds a backend server with its load. Its memory is taken to be used evenly by the
// layers that it holds. The usage that the backend server reports applies if it is higher.
func (u *Usage) Add(e *site.Engine, s *site.BackendServer, load Load) {
	n := s.Held.Len()
	capacity := e.KVCapacity(s.Kind, n)
	if n == 0 || capacity <= 0 {
		return
	}
	if u.layers == nil {
		u.layers = make([]layerUsage, e.Layers)
	}
	used := max(load.KVUsed, load.MemoryUsed*capacity)
	u.used += used
	for l := max(0, s.Held.From); l < min(e.Layers, s.Held.To); l++ {
		u.layers[l].used += used / float64(n)
		u.layers[l].capacity += capacity / float64(n)
	}
	if s.Held.Has(0) {
		u.heads += load.Heads
		u.slots += float64(s.Slots)
	}
}

// Used returns the memory in use, in tokens x layers.
func (u *Usage) Used() float64 { return u.used }

// Fullest returns the used fraction of the layer with the least free memory, or of the slots
// of the first hops if that is higher.
func (u *Usage) Fullest() float64 {
	full := 0.0
	for _, l := range u.layers {
		if l.capacity > 0 {
			full = max(full, l.used/l.capacity)
		}
	}
	if u.slots > 0 {
		full = max(full, u.heads/u.slots)
	}
	return full
}

// Capacity returns the memory that requests with an even load can use, in tokens x layers.
func (u *Usage) Capacity() float64 {
	if len(u.layers) == 0 {
		return 0
	}
	least := u.layers[0].capacity
	for _, l := range u.layers {
		least = min(least, l.capacity)
	}
	return least * float64(len(u.layers))
}
