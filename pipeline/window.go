package pipeline

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/site"
)

// Bounds of a window, the run of neighbouring cards that share the layers of a
// lost one.
const (
	// enoughShare is the share of the first hop's slots for which each card of a
	// window shall have room: it grows until then. The load of a failure domain that
	// is lost goes to the others, so half of the slots are used rather than a third.
	enoughShare = 0.5
	// windowGain is how much more room a larger window must give: each card more is
	// one more load of weights.
	windowGain = 1.15
	// hastyLoad bounds the time that a window loads weights if it is laid out at
	// once: most cards that crash are back, empty, after two to five seconds.
	hastyLoad = 2 * time.Second
	// reliefGain is how much more room the cards around a crowded one must get for
	// them to load weights although all layers are held.
	reliefGain = 2
)

// window is a run of cards that divide a range of layers among themselves.
type window struct {
	layers site.Range
	cards  []int // positions in the group, in the order of their layers
	counts []int // layers that each of them takes
	room   float64
}

// extendIntoHoles lets the two cards beside each layer that lies nowhere take it
// over if that leaves them enough room for requests.
func (g *group) extendIntoHoles() {
	defer g.graceful()
	for _, hole := range g.holes() {
		g.atOnce = g.stopped(hole)
		if h := g.bestHalves(hole); g.uncovered(hole) && h.room >= g.enough() {
			g.layHalves(h, hole)
		}
	}
}

// shareHoles lets the cards around each hole take it over: the two beside it if
// they have the room, else, where a layer lies nowhere, as few as leave all of them
// enough.
func (g *group) shareHoles(patient bool) {
	defer g.graceful()
	for _, hole := range g.holes() {
		g.atOnce = g.stopped(hole)
		h := g.bestHalves(hole)
		if !g.uncovered(hole) {
			if h.room >= leastRoom {
				g.layHalves(h, hole)
			}
			continue
		}
		most := hastyLoad
		if !patient {
			most = unbounded
		}
		var w window
		if h.room < g.enough() && !g.inUse(hole) {
			w = g.widen(window{layers: hole}, most)
		}
		switch {
		case w.room >= bareRoom && w.room > reliefGain*h.room:
			g.layWindow(w, fmt.Sprintf("layers %d-%d lie on too few cards, shared by %d around them", hole.From, hole.To, len(w.cards)))
		case h.room >= bareRoom:
			g.layHalves(h, hole)
		}
	}
}

// inUse reports whether requests still pass through the layers of a hole, on a card
// that drains. Cards that share them anew would give up layers of those requests.
func (g *group) inUse(hole site.Range) bool {
	return slices.ContainsFunc(g.leaving, func(r site.Range) bool { return r.Overlap(hole) > 0 })
}

// enough is the room that cards shall have that share the layers of a lost one.
func (g *group) enough() float64 { return enoughShare * float64(g.e.Slots) }

// relieve lets the cards around the most crowded one share its layers, once the
// group has come to rest: a card without room binds its whole pipeline.
func (g *group) relieve() {
	if len(g.orders) > 0 || slices.ContainsFunc(g.cards, busy) || len(g.holes()) > 0 {
		return
	}
	crowded, least := g.mostCrowded()
	if least >= leastRoom {
		return
	}
	c := g.cards[crowded]
	w := g.widen(window{layers: c.Ordered, cards: []int{crowded}}, hastyLoad)
	if w.room < reliefGain*least {
		return
	}
	g.layWindow(w, fmt.Sprintf("room for %d requests in layers %d-%d, shared by %d cards", int(least), c.Ordered.From, c.Ordered.To, len(w.cards)))
}

// mostCrowded returns the card of the layer with the least room for requests, and
// that room.
func (g *group) mostCrowded() (card int, room float64) {
	cover := coverage(g.e, g.cards)
	room = slices.Min(cover)
	layer := slices.Index(cover, room)
	card = slices.IndexFunc(g.cards, func(c Card) bool { return c.Ordered.Has(layer) })
	return card, room
}

// unbounded is the bound of windows that may take any time to load.
const unbounded = time.Duration(math.MaxInt64)

// widen grows a window by one neighbour at a time, on the side that gives more
// room, and returns the smallest one that has enough of it and loads its weights
// within a time.
func (g *group) widen(w window, most time.Duration) window {
	var best window
	for best.room < g.enough() {
		left, right := g.grown(w, g.before(w), true), g.grown(w, g.behind(w), false)
		if left.cards == nil && right.cards == nil {
			break
		}
		w = left
		if left.cards == nil || right.room > left.room {
			w = right
		}
		if w.room > best.room*windowGain && g.loadTime(w) <= most {
			best = w
		}
	}
	return best
}

// loadTime predicts how long the cards of a window read weights: the store's rate
// is shared once more than a few of them do at a time.
func (g *group) loadTime(w window) time.Duration {
	all, longest := 0, 0
	for i, r := range w.ranges() {
		n := r.Len() - r.Overlap(g.cards[w.cards[i]].Ordered)
		all += n
		longest = max(longest, n)
	}
	return max(g.e.LoadTime(longest), g.e.LoadTime(all)/time.Duration(max(1, g.e.LoadsAtOnce)))
}

// ranges returns the layers of each card of a window.
func (w *window) ranges() []site.Range {
	out := make([]site.Range, len(w.counts))
	from := w.layers.From
	for i, n := range w.counts {
		out[i] = site.Range{From: from, To: from + n}
		from += n
	}
	return out
}

// grown returns a window with one card more, without cards if there is none.
func (g *group) grown(w window, card int, before bool) window {
	if card < 0 {
		return window{}
	}
	out := window{layers: w.layers}
	if before {
		out.cards = append([]int{card}, w.cards...)
		out.layers.From = min(out.layers.From, g.cards[card].Ordered.From)
	} else {
		out.cards = append(slices.Clone(w.cards), card)
		out.layers.To = max(out.layers.To, g.cards[card].Ordered.To)
	}
	chain := make([]Card, len(out.cards))
	for i, at := range out.cards {
		chain[i] = g.cards[at]
	}
	out.counts, out.room = split(g.e, chain, out.layers.Len())
	return out
}

// before returns the card whose layers end where a window begins, -1 for none.
func (g *group) before(w window) int {
	return g.neighbour(w, func(r site.Range) bool {
		return r.From < w.layers.From && (r.To == w.layers.From || g.n == 1 && w.layers.From < r.To && r.To <= w.layers.To)
	})
}

// behind returns the card whose layers begin where a window ends, -1 for none.
func (g *group) behind(w window) int {
	return g.neighbour(w, func(r site.Range) bool {
		return r.To > w.layers.To && (r.From == w.layers.To || g.n == 1 && w.layers.From <= r.From && r.From < w.layers.To)
	})
}

// neighbour returns the card that may join a window and has the most memory left,
// -1 for none.
func (g *group) neighbour(w window, beside func(site.Range) bool) int {
	best, bestRoom := -1, 0.0
	for i, c := range g.cards {
		if c.Busy || !placed(c) || slices.Contains(w.cards, i) || !beside(c.Ordered) {
			continue
		}
		if room := g.e.KVRoom(c.Server.Kind, c.Ordered.Len()); best < 0 || room > bestRoom {
			best, bestRoom = i, room
		}
	}
	return best
}

// layWindow orders the layers of a window. A card that takes none stays as it is.
func (g *group) layWindow(w window, reason string) {
	for i, r := range w.ranges() {
		if at := w.cards[i]; r.Len() > 0 && r != g.cards[at].Ordered {
			g.take(at, r, reason)
		}
	}
}
