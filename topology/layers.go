// Package topology defines the objects that routing depends on, such as backend
// servers, stages, models, workspaces, services, labels and selectors, and the
// routes (pipelines) built from them. It does no I/O.
package topology

import (
	"fmt"
	"strings"

	"github.com/snowspoke/snowspoke/invariant"
)

// LayerRange is a half-open range [Lo, Hi) of model layers.
type LayerRange struct {
	Lo int `json:"lo"`
	Hi int `json:"hi"`
}

// Empty reports whether the range has no layers.
func (r LayerRange) Empty() bool { return r.Hi <= r.Lo }

// Intersect returns the layers in both ranges.
func (r LayerRange) Intersect(o LayerRange) LayerRange {
	return LayerRange{Lo: max(r.Lo, o.Lo), Hi: min(r.Hi, o.Hi)}
}

// Contains reports whether every layer of o is in r.
func (r LayerRange) Contains(o LayerRange) bool { return r.Lo <= o.Lo && o.Hi <= r.Hi }

// String returns the range as [lo,hi).
func (r LayerRange) String() string { return fmt.Sprintf("[%d,%d)", r.Lo, r.Hi) }

// Hop is one step of a route: a backend server and the layers that it runs.
type Hop struct {
	BackendServer string     `json:"backendServer"`
	Address       string     `json:"address"`
	Layers        LayerRange `json:"layers"`
}

// Route is a pipeline: hops whose layer ranges cover [0, L) in order, without
// overlap.
type Route []Hop

// BackendServers returns the names of the hops, in order.
func (r Route) BackendServers() []string {
	names := make([]string, len(r))
	for i, h := range r {
		names[i] = h.BackendServer
	}
	return names
}

// CheckTiling returns an error unless the route covers [0, layers) exactly once, in order.
// It is called where a route is built and again by the engine that accepts it.
func (r Route) CheckTiling(layers int) error {
	at := 0
	for _, h := range r {
		if h.Layers.Lo != at || h.Layers.Empty() {
			return invariant.Check(false, invariant.LayersOnceInOrder, "route %s does not tile %d layers", r, layers)
		}
		at = h.Layers.Hi
	}
	return invariant.Check(at == layers, invariant.LayersOnceInOrder, "route %s does not tile %d layers", r, layers)
}

// Uses reports whether the backend server is a hop of the route.
func (r Route) Uses(server string) bool { return r.Index(server) >= 0 }

// Index returns the position of the backend server in the route, or -1.
func (r Route) Index(server string) int {
	for i := range r {
		if r[i].BackendServer == server {
			return i
		}
	}
	return -1
}

// SharedLayers returns how many layers both routes run on the same backend server.
func (r Route) SharedLayers(o Route) int {
	n := 0
	for _, h := range r {
		i := o.Index(h.BackendServer)
		if i < 0 {
			continue
		}
		if x := h.Layers.Intersect(o[i].Layers); !x.Empty() {
			n += x.Hi - x.Lo
		}
	}
	return n
}

// String returns the route as server[lo,hi)>server[lo,hi).
func (r Route) String() string {
	var b strings.Builder
	for i, h := range r {
		if i > 0 {
			b.WriteByte('>')
		}
		b.WriteString(h.BackendServer)
		b.WriteString(h.Layers.String())
	}
	return b.String()
}
