package pipeline

import (
	"fmt"
	"math"

	"github.com/snowspoke/snowspoke/site"
)

// halves divide a hole between the card before it and the one behind it; -1
// stands for none. Neither gives a layer up, so no request is disturbed.
type halves struct {
	left, right, at int
	room            float64 // usual requests that the fuller of them holds then
}

// layHalves orders the layers of a hole to the cards beside it.
func (g *group) layHalves(h halves, hole site.Range) {
	reason := fmt.Sprintf("layers %d-%d lie on too few cards, taken over by their neighbours", hole.From, hole.To)
	if h.at > hole.From {
		g.take(h.left, site.Range{From: g.cards[h.left].Ordered.From, To: h.at}, reason)
	}
	if h.at < hole.To {
		g.take(h.right, site.Range{From: h.at, To: g.cards[h.right].Ordered.To}, reason)
	}
}

// bestHalves returns the division that leaves most room, without room if there is
// none.
func (g *group) bestHalves(hole site.Range) halves {
	best := halves{left: -1, right: -1, at: hole.From}
	lefts, rights := g.beside(hole)
	for _, left := range lefts {
		for _, right := range rights {
			for at := hole.From; at <= hole.To; at++ {
				h := halves{left: left, right: right, at: at}
				if h.room = g.roomOfHalves(h, hole); h.room > best.room {
					best = h
				}
			}
		}
	}
	return best
}

// beside returns the cards whose layers end where a hole begins and those whose
// layers begin where it ends, each with -1 for none.
func (g *group) beside(hole site.Range) (lefts, rights []int) {
	lefts, rights = []int{-1}, []int{-1}
	for i, c := range g.cards {
		if c.Busy || !placed(c) {
			continue
		}
		if c.Ordered.To == hole.From {
			lefts = append(lefts, i)
		}
		if c.Ordered.From == hole.To {
			rights = append(rights, i)
		}
	}
	return lefts, rights
}

// roomOfHalves returns the usual requests that the fuller card holds, 0 if a part
// of the hole has no card to go to.
func (g *group) roomOfHalves(h halves, hole site.Range) float64 {
	room := math.Inf(1)
	if h.at > hole.From {
		if h.left < 0 {
			return 0
		}
		room = g.roomWith(h.left, h.at-g.cards[h.left].Ordered.From)
	}
	if h.at < hole.To {
		if h.right < 0 || h.right == h.left {
			return 0
		}
		room = min(room, g.roomWith(h.right, g.cards[h.right].Ordered.To-h.at))
	}
	return room
}

// roomWith returns the usual requests that a card holds beside n layers.
func (g *group) roomWith(i, n int) float64 {
	if n > g.e.MaxLayers(g.cards[i].Server.Kind) {
		return 0
	}
	return roomOf(g.e, g.cards[i], n)
}
