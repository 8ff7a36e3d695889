package pipeline

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/site"
)

// Limits of a window, a run of adjacent servers that share the layers of a lost server.
const (
	// targetSlotShare is the capacity that a window grows to reach, as a fraction of
	// the slots of the first hop. It leaves room for the load of a failure domain that is
	// lost, which goes to the others.
	targetSlotShare = 0.5
	// minWindowGain is the factor by which a larger window must raise the capacity,
	// since each additional server loads weights.
	minWindowGain = 1.15
	// maxPatientLoadTime bounds the time to load the weights of a window in a patient
	// placement, and of any window that relieves a server. Most crashed servers return
	// empty within seconds.
	maxPatientLoadTime = 2 * time.Second
	// minReliefGain is the factor by which a window must raise the capacity compared
	// with a split between neighbors or, for a window that relieves a server, with no
	// change. In both cases fewer servers load weights.
	minReliefGain = 2
)

// window is a run of servers that divide a range of layers among themselves.
type window struct {
	layers   site.Range
	servers  []int // indices in the group, in the order of their layers
	counts   []int // layers that each server takes
	capacity float64
}

// extendNeighbors assigns each uncovered range with a layer that no server holds to its
// neighbors if that leaves them enough capacity.
func (g *group) extendNeighbors() {
	defer g.graceful()
	for _, uncovered := range g.uncoveredRanges() {
		g.atOnce = g.blocked(uncovered)
		if h := g.bestNeighborSplit(uncovered); g.hasUnheldLayer(uncovered) && h.capacity >= g.targetCapacity() {
			g.orderNeighborSplit(h, uncovered)
		}
	}
}

// shareUncovered assigns each uncovered range to the servers around it: to its neighbors
// if they have the capacity, else to the smallest window with enough capacity. A window
// is used only if some layer of the range is held by no server.
func (g *group) shareUncovered(patient bool) {
	defer g.graceful()
	for _, uncovered := range g.uncoveredRanges() {
		g.atOnce = g.blocked(uncovered)
		h := g.bestNeighborSplit(uncovered)
		if !g.hasUnheldLayer(uncovered) {
			if h.capacity >= minCapacity {
				g.orderNeighborSplit(h, uncovered)
			}
			continue
		}
		maxLoadTime := maxPatientLoadTime
		if !patient {
			maxLoadTime = noTimeLimit
		}
		var w window
		if h.capacity < g.targetCapacity() && !g.heldByDraining(uncovered) {
			w = g.widen(window{layers: uncovered}, maxLoadTime)
		}
		switch {
		case w.capacity >= minSoleCapacity && w.capacity > minReliefGain*h.capacity:
			g.orderWindow(w, fmt.Sprintf("layers %d-%d are held by too few backend servers, shared by %d around them", uncovered.From, uncovered.To, len(w.servers)))
		case h.capacity >= minSoleCapacity:
			g.orderNeighborSplit(h, uncovered)
		}
	}
}

// heldByDraining reports whether a draining server holds layers of an uncovered
// range, so that requests still pass through them. A window around the range would
// drop layers of those requests.
func (g *group) heldByDraining(uncovered site.Range) bool {
	return slices.ContainsFunc(g.draining, func(r site.Range) bool { return r.Overlap(uncovered) > 0 })
}

// targetCapacity returns the capacity that servers should have left when they share the
// layers of a lost server.
func (g *group) targetCapacity() float64 { return targetSlotShare * float64(g.e.Slots) }

// relieve divides the layers of the server with the lowest capacity among the servers
// around it, if the group has no pending orders and no uncovered ranges. A server
// without capacity limits its pipeline.
func (g *group) relieve() {
	if len(g.orders) > 0 || slices.ContainsFunc(g.servers, busy) || len(g.uncoveredRanges()) > 0 {
		return
	}
	constrained, least := g.mostConstrained()
	if least >= minCapacity {
		return
	}
	s := g.servers[constrained]
	w := g.widen(window{layers: s.Assigned, servers: []int{constrained}}, maxPatientLoadTime)
	if w.capacity < minReliefGain*least {
		return
	}
	g.orderWindow(w, fmt.Sprintf("capacity for %d requests in layers %d-%d, shared by %d backend servers", int(least), s.Assigned.From, s.Assigned.To, len(w.servers)))
}

// mostConstrained returns a server that holds the layer with the lowest capacity, and that
// capacity.
func (g *group) mostConstrained() (server int, capacity float64) {
	capacities := capacityByLayer(g.e, g.servers)
	capacity = slices.Min(capacities)
	layer := slices.Index(capacities, capacity)
	server = slices.IndexFunc(g.servers, func(s ServerState) bool { return s.Assigned.Has(layer) })
	return server, capacity
}

// noTimeLimit is the limit for windows whose load time does not matter.
const noTimeLimit = time.Duration(math.MaxInt64)

// widen adds neighbors to a window one by one, on the side that gives more capacity.
// Among the windows that load their weights within maxLoadTime, it returns the smallest
// one that reaches the target capacity, else one with the highest capacity. Larger
// windows must raise the capacity by minWindowGain.
func (g *group) widen(w window, maxLoadTime time.Duration) window {
	var best window
	for best.capacity < g.targetCapacity() {
		left, right := g.extended(w, g.before(w), true), g.extended(w, g.after(w), false)
		if left.servers == nil && right.servers == nil {
			break
		}
		w = left
		if left.servers == nil || right.capacity > left.capacity {
			w = right
		}
		if w.capacity > best.capacity*minWindowGain && g.loadTime(w) <= maxLoadTime {
			best = w
		}
	}
	return best
}

// loadTime predicts how long the servers of a window take to load weights. They share
// the bandwidth of the weight store if more than LoadsAtOnce of them load concurrently.
func (g *group) loadTime(w window) time.Duration {
	all, longest := 0, 0
	for i, r := range w.ranges() {
		n := r.Len() - r.Overlap(g.servers[w.servers[i]].Assigned)
		all += n
		longest = max(longest, n)
	}
	return max(g.e.LoadTime(longest), g.e.LoadTime(all)/time.Duration(max(1, g.e.LoadsAtOnce)))
}

// ranges returns the layers of each server of a window.
func (w *window) ranges() []site.Range {
	out := make([]site.Range, len(w.counts))
	from := w.layers.From
	for i, n := range w.counts {
		out[i] = site.Range{From: from, To: from + n}
		from += n
	}
	return out
}

// extended returns the window with one more server, an empty window if there is none.
func (g *group) extended(w window, server int, before bool) window {
	if server < 0 {
		return window{}
	}
	out := window{layers: w.layers}
	if before {
		out.servers = append([]int{server}, w.servers...)
		out.layers.From = min(out.layers.From, g.servers[server].Assigned.From)
	} else {
		out.servers = append(slices.Clone(w.servers), server)
		out.layers.To = max(out.layers.To, g.servers[server].Assigned.To)
	}
	chain := make([]ServerState, len(out.servers))
	for i, at := range out.servers {
		chain[i] = g.servers[at]
	}
	out.counts, out.capacity = divideLayers(g.e, chain, out.layers.Len())
	return out
}

// before returns the server whose layers end where a window begins, -1 for none. In a
// group with one pipeline the layers may overlap the window.
func (g *group) before(w window) int {
	return g.neighbor(w, func(r site.Range) bool {
		return r.From < w.layers.From && (r.To == w.layers.From || g.copies == 1 && w.layers.From < r.To && r.To <= w.layers.To)
	})
}

// after returns the server whose layers begin where a window ends, -1 for none. In a
// group with one pipeline the layers may overlap the window.
func (g *group) after(w window) int {
	return g.neighbor(w, func(r site.Range) bool {
		return r.To > w.layers.To && (r.From == w.layers.To || g.copies == 1 && w.layers.From <= r.From && r.From < w.layers.To)
	})
}

// neighbor returns the server with the most free memory among the servers that may join
// a window because of their layers, -1 for none.
func (g *group) neighbor(w window, adjacent func(site.Range) bool) int {
	best, bestCapacity := -1, 0.0
	for i, s := range g.servers {
		if s.Busy || !placed(s) || slices.Contains(w.servers, i) || !adjacent(s.Assigned) {
			continue
		}
		if capacity := g.e.KVCapacity(s.Server.Kind, s.Assigned.Len()); best < 0 || capacity > bestCapacity {
			best, bestCapacity = i, capacity
		}
	}
	return best
}

// orderWindow assigns the layers of a window to its servers. A server that takes none
// gets no order.
func (g *group) orderWindow(w window, reason string) {
	for i, r := range w.ranges() {
		if at := w.servers[i]; r.Len() > 0 && r != g.servers[at].Assigned {
			g.assign(at, r, reason)
		}
	}
}
