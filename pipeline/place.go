package pipeline

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/snowspoke/snowspoke/site"
)

// Card is a backend server as placement sees it.
type Card struct {
	Server  *site.BackendServer
	Ordered site.Range // what it holds or is to hold by an order under way
	Busy    bool       // an order is under way, or one was sent without an answer
	// Fresh says that it came empty a moment ago: a replacement starts before the one
	// that it replaces drains, whose layers it shall take.
	Fresh bool
}

// Order says which layers a backend server shall hold.
type Order struct {
	Server *site.BackendServer
	Layers site.Range
	// AtOnce says that layers which the card gives up need not wait for the requests
	// that pass through them: some layer lies on no card of the group, so they cannot
	// go on there in any case. Waiting for them kept a failure domain out of service for
	// 3 to 11 s after a card was lost, dropping the layers 1 s (from the order to the
	// first request that uses it, logs of days with lost cards).
	AtOnce bool
	Reason string
}

// Placement targets.
const (
	// chainRoom is how much memory a further pipeline must leave for requests, as a
	// share of its weights: with less, its cards hold too few requests to matter.
	chainRoom = 0.5
	// fairRoom is the number of usual requests that a card which closes a hole holds
	// beside its layers: with a third of that, it limited its whole pipeline and
	// paths left the failure domain.
	fairRoom = 80
	// leastRoom is the same for cards that share the layers of a lost one, and
	// bareRoom where nothing else holds them: little room is better than none.
	leastRoom = 30
	bareRoom  = 8
	// minCover is the number of cards on which a layer lies in the whole site, if
	// the cards suffice.
	minCover = 2
)

// Plan is what Place decides.
type Plan struct {
	Orders []Order
	// Broken says that the cards of a group will not cover all layers by these
	// orders: only another layout of the whole group may.
	Broken bool
}

// Place returns the orders that bring the cards closer to covering every layer.
// The cards of a failure domain that can hold whole pipelines form a group, the
// others one more: a path that leaves its failure domain is slow. Cards that
// hold layers are left alone unless a layer of their group is in danger: loads
// are paid for, and requests pass through them.
//
// patient keeps a group from being laid out anew although its cards cannot cover
// a layer: all of them would read their weights again, and a card that crashed
// may be back in seconds.
func Place(e *site.Engine, cards []Card, patient bool) Plan {
	leaving := drainingRanges(cards)
	cards = usable(e, cards)
	var p Plan
	var rest []Card
	for _, d := range domains(cards) {
		if n := pipelines(e, d); n > 0 {
			p.add(placeGroup(e, d, leaving[d[0].Server.FailureDomain], n, patient))
			continue
		}
		rest = append(rest, d...)
	}
	if n := pipelines(e, rest); n > 0 {
		p.add(placeGroup(e, rest, nil, n, patient))
		return p
	}
	p.Orders = append(p.Orders, support(e, rest, cards, p.Orders)...)
	return p
}

func (p *Plan) add(o Plan) {
	p.Orders = append(p.Orders, o.Orders...)
	p.Broken = p.Broken || o.Broken
}

// drainingRanges returns the layers of cards that are leaving, by failure domain:
// requests still pass through them.
func drainingRanges(cards []Card) map[string][]site.Range {
	out := map[string][]site.Range{}
	for _, c := range cards {
		if d := c.Server.FailureDomain; c.Server.Draining && placed(c) {
			out[d] = append(out[d], c.Ordered)
		}
	}
	return out
}

func usable(e *site.Engine, cards []Card) []Card {
	var out []Card
	for _, c := range cards {
		if !c.Server.Draining && e.MaxLayers(c.Server.Kind) > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Card) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return out
}

// placeGroup places n pipelines on the cards of a group.
func placeGroup(e *site.Engine, cards []Card, leaving []site.Range, n int, patient bool) Plan {
	if !slices.ContainsFunc(cards, placed) {
		var orders []Order
		for _, chain := range deal(e, cards, n) {
			orders = append(orders, layOut(e, chain)...)
		}
		return Plan{Orders: orders}
	}
	g := &group{e: e, cards: slices.Clone(cards), leaving: leaving, n: n}
	g.fillHoles(empty)
	g.extendIntoHoles()
	g.fillHoles(g.spare)
	g.shareHoles(patient)
	broken := g.uncovered(site.Range{To: e.Layers})
	if broken && !patient {
		if anew := relayOut(e, slices.DeleteFunc(slices.Clone(cards), busy), n, len(leaving) == 0); len(anew) > 0 {
			return Plan{Orders: anew}
		}
	}
	g.useSpare()
	g.relieve()
	return Plan{Orders: g.orders, Broken: broken}
}

func placed(c Card) bool { return c.Ordered.Len() > 0 }

func busy(c Card) bool { return c.Busy }

// group is the state of placing one group.
type group struct {
	e       *site.Engine
	cards   []Card
	leaving []site.Range // layers of cards that drain: requests pass through them
	n       int          // pipelines, the number of cards on which each layer shall lie
	atOnce  bool         // the orders that are made close a hole that stops the group
	orders  []Order
}

// take orders layers for a card and goes on as if it held them.
func (g *group) take(i int, r site.Range, reason string) {
	c := &g.cards[i]
	g.orders = append(g.orders, Order{Server: c.Server, Layers: r, AtOnce: g.atOnce, Reason: reason})
	c.Ordered, c.Busy = r, true
}

// graceful ends orders that give layers up at once.
func (g *group) graceful() { g.atOnce = false }

// holders returns on how many cards each layer lies.
func (g *group) holders() []int {
	out := make([]int, g.e.Layers)
	for i := range g.cards {
		r := g.cards[i].Ordered
		for l := max(0, r.From); l < min(g.e.Layers, r.To); l++ {
			out[l]++
		}
	}
	return out
}

// uncovered reports whether some of the layers lie on no card of the group.
func (g *group) uncovered(layers site.Range) bool {
	return slices.Contains(g.holders()[layers.From:layers.To], 0)
}

// stopped reports whether no request gets through the layers of a hole: some lie on no
// card of the group, nor on one that drains.
func (g *group) stopped(hole site.Range) bool { return g.uncovered(hole) && !g.inUse(hole) }

// holes returns the ranges of layers that lie on fewer cards than there are
// pipelines.
func (g *group) holes() []site.Range {
	var out []site.Range
	holders := g.holders()
	for l := 0; l < len(holders); l++ {
		if holders[l] >= g.n {
			continue
		}
		from := l
		for l < len(holders) && holders[l] < g.n {
			l++
		}
		out = append(out, site.Range{From: from, To: l})
	}
	return out
}

// fillHoles gives cards that are free for it to the holes. free is asked with the
// number of cards on which each layer lies.
func (g *group) fillHoles(free func(c Card, holders []int) bool) {
	defer g.graceful()
	for _, hole := range g.holes() {
		g.atOnce = g.stopped(hole)
		for hole.Len() > 0 {
			i := g.freeCard(hole, free)
			if i < 0 {
				break
			}
			r := around(hole, g.sizeFor(g.cards[i], hole), g.e.Layers)
			g.take(i, r, fmt.Sprintf("layers %d-%d lie on too few cards", hole.From, hole.To))
			hole.From = r.To
		}
	}
}

// sizeFor returns how many layers a card takes for a hole: as many as leave it
// the room of a whole pipeline, more only if the hole is larger.
func (g *group) sizeFor(c Card, hole site.Range) int {
	full := fit(g.e, []Card{c}, float64(max(1, g.e.Slots)))[0]
	return max(1, full, min(hole.Len(), g.fits(c)))
}

// around returns n layers that begin with a hole, or lie around it if it is
// smaller: a card that holds more than the hole is a substitute for its
// neighbours.
func around(hole site.Range, n, layers int) site.Range {
	from := hole.From
	if n > hole.Len() {
		from = max(0, hole.From-(n-hole.Len())/2)
	}
	from = max(0, min(from, layers-n))
	return site.Range{From: from, To: min(layers, from+n)}
}

// fits returns how many layers a card takes beside a fair room for requests.
func (g *group) fits(c Card) int {
	n := fit(g.e, []Card{c}, fairRoom)[0]
	return max(1, min(n, g.e.MaxLayers(c.Server.Kind)))
}

// freeCard returns the free card that suits a hole best: the smallest that covers
// it, else the largest; -1 for none.
func (g *group) freeCard(hole site.Range, free func(Card, []int) bool) int {
	best := -1
	holders := g.holders()
	for i := range g.cards {
		c := g.cards[i]
		if c.Busy || !free(c, holders) || placed(c) && g.inUse(hole) {
			continue
		}
		if best < 0 || suits(g.fits(c), g.fits(g.cards[best]), hole.Len()) {
			best = i
		}
	}
	return best
}

func suits(a, b, want int) bool {
	if a >= want && b >= want {
		return a < b
	}
	return a > b
}

// empty reports whether a card holds no layers.
func empty(c Card, _ []int) bool { return !placed(c) }

// spare reports whether all layers of a card lie on enough other cards.
func (g *group) spare(c Card, holders []int) bool {
	if !placed(c) {
		return false
	}
	for l := max(0, c.Ordered.From); l < min(g.e.Layers, c.Ordered.To); l++ {
		if holders[l] <= g.n {
			return false
		}
	}
	return true
}

// useSpare gives the cards that are still empty to the layers with the least
// room for requests.
func (g *group) useSpare() {
	for i := range g.cards {
		c := g.cards[i]
		if placed(c) || c.Busy || c.Fresh {
			continue
		}
		if r := leastRoomWindow(g.e, c, coverage(g.e, g.cards)); r.Len() > 0 {
			g.take(i, r, "least room for requests in these layers")
		}
	}
}

// support uses cards that hold no pipeline by themselves: they take the layers
// that lie on the fewest cards of the site.
func support(e *site.Engine, rest, all []Card, orders []Order) []Order {
	g := &group{e: e, cards: slices.Clone(all), n: minCover}
	for _, o := range orders {
		for i := range g.cards {
			if g.cards[i].Server.ID == o.Server.ID {
				g.cards[i].Ordered, g.cards[i].Busy = o.Layers, true
			}
		}
	}
	inRest := func(c Card) bool {
		return slices.ContainsFunc(rest, func(r Card) bool { return r.Server.ID == c.Server.ID })
	}
	for i := range g.cards {
		if !inRest(g.cards[i]) {
			g.cards[i].Busy = true // belongs to its group
		}
	}
	if len(rest) == len(all) {
		g.n = 1
	}
	g.fillHoles(empty)
	g.fillHoles(g.spare)
	g.shareHoles(false)
	g.useSpare()
	return g.orders
}
