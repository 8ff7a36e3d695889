package pipeline

import "github.com/snowspoke/snowspoke/site"

// Usage sums the memory of backend servers and what requests use of it. The zero value is
// empty.
type Usage struct {
	layers   []layerUsage
	capacity float64 // sum over the servers, in tokens x layers
	used     float64 // tokens x layers
	slots    float64 // of first hops
}

// layerUsage sums over the backend servers that hold a layer.
type layerUsage struct {
	capacity float64 // in tokens
	// Time that a token takes in the layer on empty and on full servers, weighted with the
	// capacity.
	idleMS, fullMS float64
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
		u.layers = make([]layerUsage, e.Layers)
	}
	u.used += kv
	u.capacity += capacity
	if s.Held.Has(0) {
		u.slots += float64(s.Slots)
	}
	size, perLayer := TypicalRequest(e).Mean(), capacity/float64(n)
	idle := HopStepMS(e, s.Kind, n, 1, size) / float64(n)
	full := HopStepMS(e, s.Kind, n, max(1, perLayer/size), size) / float64(n)
	for l := max(0, s.Held.From); l < min(e.Layers, s.Held.To); l++ {
		layer := &u.layers[l]
		layer.capacity += perLayer
		layer.idleMS += perLayer * idle
		layer.fullMS += perLayer * full
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
	least := u.layers[0].capacity
	for _, layer := range u.layers {
		least = min(least, layer.capacity)
	}
	if u.slots > 0 {
		least = min(least, u.slots*t.Mean())
	}
	return least * float64(len(u.layers))
}

// StepMS returns the predicted time between two tokens of a stream, on empty servers and while
// requests of a size use the whole capacity. Links are not included.
func (u *Usage) StepMS(t Tokens) (idle, full float64) {
	for _, layer := range u.layers {
		if layer.capacity > 0 {
			idle += layer.idleMS / layer.capacity
			full += layer.fullMS / layer.capacity
		}
	}
	if u.capacity <= 0 {
		return idle, full
	}
	// The layer with the least memory is full before the others.
	return idle, idle + (full-idle)*min(1, u.Capacity(t)/u.capacity)
}
