package pipeline

import (
	"fmt"
	"math"

	"github.com/snowspoke/snowspoke/site"
)

// neighborSplit divides an uncovered range between the server before the range (left) and
// the server after it (right), as indices in the group, -1 for none. The right server takes
// the layers from layer at on. Neither server drops a layer, so no request is interrupted.
type neighborSplit struct {
	left, right, at int
	capacity        float64 // typical requests that the server with less capacity can then hold
}

// orderNeighborSplit assigns the layers of an uncovered range to its neighbors.
func (g *group) orderNeighborSplit(h neighborSplit, uncovered site.Range) {
	reason := fmt.Sprintf("layers %d-%d are held by too few backend servers, taken over by their neighbors", uncovered.From, uncovered.To)
	if h.at > uncovered.From {
		g.assign(h.left, site.Range{From: g.servers[h.left].Assigned.From, To: h.at}, reason)
	}
	if h.at < uncovered.To {
		g.assign(h.right, site.Range{From: h.at, To: g.servers[h.right].Assigned.To}, reason)
	}
}

// bestNeighborSplit returns the split with the highest capacity. The capacity is zero
// if there is no split.
func (g *group) bestNeighborSplit(uncovered site.Range) neighborSplit {
	best := neighborSplit{left: -1, right: -1, at: uncovered.From}
	lefts, rights := g.adjacent(uncovered)
	for _, left := range lefts {
		for _, right := range rights {
			for at := uncovered.From; at <= uncovered.To; at++ {
				h := neighborSplit{left: left, right: right, at: at}
				if h.capacity = g.splitCapacity(h, uncovered); h.capacity > best.capacity {
					best = h
				}
			}
		}
	}
	return best
}

// adjacent returns the servers whose layers end where an uncovered range begins, and
// the servers whose layers begin where it ends. Both lists include -1, which stands for
// none.
func (g *group) adjacent(uncovered site.Range) (lefts, rights []int) {
	lefts, rights = []int{-1}, []int{-1}
	for i, s := range g.servers {
		if s.Busy || !placed(s) {
			continue
		}
		if s.Assigned.To == uncovered.From {
			lefts = append(lefts, i)
		}
		if s.Assigned.From == uncovered.To {
			rights = append(rights, i)
		}
	}
	return lefts, rights
}

// splitCapacity returns the number of typical requests that the server of a split with less
// capacity can hold, 0 if the split leaves a part of the uncovered range without a server.
func (g *group) splitCapacity(h neighborSplit, uncovered site.Range) float64 {
	capacity := math.Inf(1)
	if h.at > uncovered.From {
		if h.left < 0 {
			return 0
		}
		capacity = g.capacityWith(h.left, h.at-g.servers[h.left].Assigned.From)
	}
	if h.at < uncovered.To {
		if h.right < 0 || h.right == h.left {
			return 0
		}
		capacity = min(capacity, g.capacityWith(h.right, g.servers[h.right].Assigned.To-h.at))
	}
	return capacity
}

// capacityWith returns the number of typical requests that a server can hold besides n
// layers, 0 if the layers do not fit.
func (g *group) capacityWith(i, n int) float64 {
	if n > g.e.MaxLayers(g.servers[i].Server.Kind) {
		return 0
	}
	return capacityOf(g.e, g.servers[i], n)
}
