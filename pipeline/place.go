package pipeline

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/snowspoke/snowspoke/site"
)

// Card is a backend server as placement sees it.
type Card struct {
	Server  *site.BackendServer
	Ordered site.Range // what it holds or is to hold by an order under way
	Busy    bool       // an order is under way, or one was sent without an answer
}

// Order says which layers a backend server shall hold.
type Order struct {
	Server *site.BackendServer
	Layers site.Range
	Reason string
}

// Placement targets.
const (
	// chainRoom is how much memory a further pipeline must leave for requests, as a
	// share of its weights: with less, its cards hold too few requests to matter.
	chainRoom = 0.5
	// minCover is the number of cards that each layer should lie on.
	minCover = 2
)

// Place returns the orders that bring the cards closer to covering every layer.
// Cards that hold layers are left alone unless a layer is in danger: loads are
// paid for, and requests pass through them.
func Place(e *site.Engine, cards []Card) []Order {
	cards = slices.Clone(cards)
	slices.SortFunc(cards, func(a, b Card) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	empty, placed := split(e, cards)
	if len(placed) == 0 {
		return initial(e, empty)
	}
	return fill(e, empty, placed)
}

func split(e *site.Engine, cards []Card) (empty, placed []Card) {
	for _, c := range cards {
		switch {
		case c.Server.Draining || e.MaxLayers(c.Server.Kind) == 0:
		case c.Ordered.Len() > 0:
			placed = append(placed, c)
		case !c.Busy:
			empty = append(empty, c)
		}
	}
	return empty, placed
}

// initial places a model on empty cards: within each failure domain as many
// pipelines as leave room for requests, the remaining cards together.
func initial(e *site.Engine, cards []Card) []Order {
	var orders []Order
	var rest []Card
	for _, d := range domains(cards) {
		n := pipelines(e, d)
		if n == 0 {
			rest = append(rest, d...)
			continue
		}
		for _, chain := range deal(e, d, n) {
			orders = append(orders, layOut(e, chain)...)
		}
	}
	if n := pipelines(e, rest); n > 0 {
		for _, chain := range deal(e, rest, n) {
			orders = append(orders, layOut(e, chain)...)
		}
		return orders
	}
	if len(orders) == 0 {
		return layOut(e, rest)
	}
	return append(orders, fill(e, rest, asPlaced(orders))...)
}

func asPlaced(orders []Order) []Card {
	out := make([]Card, 0, len(orders))
	for _, o := range orders {
		out = append(out, Card{Server: o.Server, Ordered: o.Layers, Busy: true})
	}
	return out
}

func domains(cards []Card) [][]Card {
	by := map[string][]Card{}
	var names []string
	for _, c := range cards {
		d := c.Server.FailureDomain
		if by[d] == nil {
			names = append(names, d)
		}
		by[d] = append(by[d], c)
	}
	slices.Sort(names)
	out := make([][]Card, 0, len(names))
	for _, n := range names {
		out = append(out, by[n])
	}
	return out
}

// pipelines returns how many whole pipelines the cards can hold with room for
// requests beside them.
func pipelines(e *site.Engine, cards []Card) int {
	memory, layers := 0.0, 0
	for _, c := range cards {
		memory += e.Kinds[c.Server.Kind].MemoryMB
		layers += e.MaxLayers(c.Server.Kind)
	}
	weights := float64(e.Layers) * e.LayerMB
	if weights <= 0 || layers < e.Layers {
		return 0
	}
	n := int(memory / (weights * (1 + chainRoom)))
	return max(n, 1)
}

// deal shares the cards out among n pipelines so that their memory is even.
func deal(e *site.Engine, cards []Card, n int) [][]Card {
	cards = slices.Clone(cards)
	slices.SortStableFunc(cards, func(a, b Card) int {
		return cmp.Compare(e.Kinds[b.Server.Kind].MemoryMB, e.Kinds[a.Server.Kind].MemoryMB)
	})
	chains := make([][]Card, n)
	memory := make([]float64, n)
	for _, c := range cards {
		least := 0
		for i := range memory {
			if memory[i] < memory[least] {
				least = i
			}
		}
		chains[least] = append(chains[least], c)
		memory[least] += e.Kinds[c.Server.Kind].MemoryMB
	}
	return chains
}

// layOut gives each card of a pipeline its layers: as many as leave every card
// the same room for requests, the fastest cards filled first with what is over.
func layOut(e *site.Engine, chain []Card) []Order {
	counts := counts(e, chain)
	if counts == nil {
		return nil
	}
	order := make([]int, len(chain))
	for i := range order {
		order[i] = i
	}
	// Cards of one size lie side by side in every pipeline, so that the same layers
	// have substitutes of the same size; large cards take the front, where the
	// slots of the first hop count.
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(counts[b], counts[a]) })
	var out []Order
	next := 0
	for _, i := range order {
		if counts[i] == 0 {
			continue
		}
		r := site.Range{From: next, To: next + counts[i]}
		next = r.To
		out = append(out, Order{Server: chain[i].Server, Layers: r,
			Reason: fmt.Sprintf("pipeline of %d cards in %s", len(chain), chain[i].Server.FailureDomain)})
	}
	return out
}

// counts returns how many layers each card takes, nil if they do not fit. Room is
// the number of usual requests that the fullest card holds: it is raised as far
// as all layers still fit, up to what the first hop's slots can use.
func counts(e *site.Engine, chain []Card) []int {
	low, high := 0.0, float64(max(1, e.Slots))
	if total(fit(e, chain, low)) < e.Layers {
		return nil
	}
	if total(fit(e, chain, high)) < e.Layers {
		for range 30 {
			mid := (low + high) / 2
			if total(fit(e, chain, mid)) >= e.Layers {
				low = mid
			} else {
				high = mid
			}
		}
		high = low
	}
	return trim(e, chain, fit(e, chain, high))
}

// fit returns how many layers each card can hold beside the memory of n usual
// requests.
func fit(e *site.Engine, chain []Card, n float64) []int {
	perLayer := e.LayerMB + n*Usual(e).Mean()*e.KVTokenBytes/float64(e.Layers)/1e6
	out := make([]int, len(chain))
	for i, c := range chain {
		out[i] = min(e.MaxLayers(c.Server.Kind), int(e.Kinds[c.Server.Kind].MemoryMB/perLayer))
	}
	return out
}

func total(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// trim takes the layers that are too many from the slowest cards.
func trim(e *site.Engine, chain []Card, counts []int) []int {
	for over := total(counts) - e.Layers; over > 0; over-- {
		worst := -1
		for i := range chain {
			if counts[i] == 0 {
				continue
			}
			if worst < 0 || slower(e, chain[i], chain[worst], counts[i], counts[worst]) {
				worst = i
			}
		}
		counts[worst]--
	}
	return counts
}

func slower(e *site.Engine, a, b Card, na, nb int) bool {
	pa, pb := e.Kinds[a.Server.Kind].Pace, e.Kinds[b.Server.Kind].Pace
	if pa != pb {
		return pa > pb
	}
	return na > nb
}

// fill gives empty cards the layers that are covered worst.
func fill(e *site.Engine, empty, placed []Card) []Order {
	cover := coverage(e, placed)
	slices.SortStableFunc(empty, func(a, b Card) int {
		return cmp.Compare(e.MaxLayers(b.Server.Kind), e.MaxLayers(a.Server.Kind))
	})
	var out []Order
	for _, c := range empty {
		r := worstCovered(e, c, cover)
		if r.Len() == 0 {
			continue
		}
		for l := r.From; l < r.To; l++ {
			cover[l] += roomOf(e, c, r.Len())
		}
		out = append(out, Order{Server: c.Server, Layers: r, Reason: "least room for requests in these layers"})
	}
	return append(out, rescue(e, placed, out)...)
}

// coverage returns for each layer the room for requests that its cards have.
func coverage(e *site.Engine, placed []Card) []float64 {
	cover := make([]float64, e.Layers)
	for _, c := range placed {
		room := roomOf(e, c, c.Ordered.Len())
		for l := max(0, c.Ordered.From); l < min(e.Layers, c.Ordered.To); l++ {
			cover[l] += room
		}
	}
	return cover
}

// roomOf returns the usual requests that a card holds beside n layers, and a
// little for being there at all.
func roomOf(e *site.Engine, c Card, n int) float64 {
	if n == 0 {
		return 0
	}
	per := Usual(e).Mean() * float64(n)
	return min(float64(max(1, e.Slots)), 1+e.KVRoom(c.Server.Kind, n)/max(1, per))
}

// worstCovered returns the window of layers for an empty card that has the
// least room now. Its size leaves the card as much room as its neighbours have.
func worstCovered(e *site.Engine, c Card, cover []float64) site.Range {
	n := fit(e, []Card{c}, float64(max(1, e.Slots)))[0]
	if n == 0 {
		n = max(1, e.MaxLayers(c.Server.Kind)/2)
	}
	n = min(n, e.Layers)
	best, bestSum := 0, math.Inf(1)
	for from := 0; from+n <= e.Layers; from++ {
		least, sum := math.Inf(1), 0.0
		for l := from; l < from+n; l++ {
			least = min(least, cover[l])
			sum += cover[l]
		}
		// A hole counts more than any mean.
		score := least*float64(e.Layers) + sum/float64(n)
		if score < bestSum {
			best, bestSum = from, score
		}
	}
	return site.Range{From: best, To: best + n}
}

// rescue extends cards into layers that hardly any card holds any more.
func rescue(e *site.Engine, placed []Card, orders []Order) []Order {
	holders := make([]int, e.Layers)
	count := func(r site.Range) {
		for l := max(0, r.From); l < min(e.Layers, r.To); l++ {
			holders[l]++
		}
	}
	for _, c := range placed {
		count(c.Ordered)
	}
	for _, o := range orders {
		count(o.Layers)
	}
	var out []Order
	for l := 0; l < e.Layers; l++ {
		if holders[l] >= minCover {
			continue
		}
		end := l
		for end < e.Layers && holders[end] < minCover {
			end++
		}
		if o, ok := extend(e, placed, site.Range{From: l, To: end}, out); ok {
			count(o.Layers)
			out = append(out, o)
		}
		l = end
	}
	return out
}

// extend lets the neighbouring card with the most memory left take on a hole, or
// as much of it as fits.
func extend(e *site.Engine, placed []Card, hole site.Range, taken []Order) (Order, bool) {
	best, bestLeft := Order{}, -1.0
	for _, c := range placed {
		if c.Busy || slices.ContainsFunc(taken, func(o Order) bool { return o.Server.ID == c.Server.ID }) {
			continue
		}
		r := joined(c.Ordered, hole, e.MaxLayers(c.Server.Kind)-c.Ordered.Len())
		if r == c.Ordered {
			continue
		}
		left := e.KVRoom(c.Server.Kind, r.Len()) / float64(r.Len())
		if left > bestLeft {
			best, bestLeft = Order{Server: c.Server, Layers: r, Reason: fmt.Sprintf("layers %d-%d lie on too few cards", hole.From, hole.To)}, left
		}
	}
	return best, bestLeft > 0
}

// joined returns held extended into the hole by at most n layers.
func joined(held, hole site.Range, n int) site.Range {
	switch {
	case n <= 0:
		return held
	case held.From <= hole.From && held.To >= hole.From && held.To < hole.To:
		held.To = min(hole.To, held.To+n)
	case held.To >= hole.To && held.From <= hole.To && held.From > hole.From:
		held.From = max(hole.From, held.From-n)
	}
	return held
}
