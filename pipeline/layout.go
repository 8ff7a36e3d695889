package pipeline

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/snowspoke/snowspoke/site"
)

// relayOut places the pipelines of a group anew, keeping cards near the layers
// that they hold. Layers are dropped at once unless requests still get through the
// group over a card that drains.
func relayOut(e *site.Engine, cards []Card, n int, atOnce bool) []Order {
	var orders []Order
	for _, chain := range deal(e, cards, n) {
		slices.SortStableFunc(chain, func(a, b Card) int { return cmp.Compare(position(a), position(b)) })
		c := counts(e, chain)
		if c == nil {
			continue
		}
		next := 0
		for i := range chain {
			r := site.Range{From: next, To: next + c[i]}
			next = r.To
			if r.Len() > 0 && r != chain[i].Ordered {
				orders = append(orders, Order{Server: chain[i].Server, Layers: r, AtOnce: atOnce, Reason: "pipeline laid out anew, its cards do not cover all layers"})
			}
		}
	}
	return orders
}

// position is where a card lies among the layers; empty cards come last.
func position(c Card) int {
	if !placed(c) {
		return math.MaxInt
	}
	return c.Ordered.From
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

// roomStep is the difference in room, in requests, between two layouts that are
// compared.
const roomStep = 8

// counts returns how many layers of a pipeline each card takes, nil if they do not
// fit. Room for more requests is paid for with layers on slower cards: of the
// layouts with room for all slots of the first hop and less, the one is taken that
// makes most tokens when its room is used. With room for 100 requests on fast cards
// instead of 192 on all, streams took half as long, so that fewer of them were under
// way when a card or a daemon was lost.
func counts(e *site.Engine, chain []Card) []int {
	best, room := split(e, chain, e.Layers)
	if best == nil {
		return nil
	}
	most := rate(e, chain, best, room)
	for n := room - roomStep; n >= roomStep; n -= roomStep {
		c := trim(e, chain, fit(e, chain, n), e.Layers)
		if r := rate(e, chain, c, n); r > most {
			best, most = c, r
		}
	}
	return best
}

// rate predicts the token steps that a pipeline makes in a millisecond for n requests.
func rate(e *site.Engine, chain []Card, counts []int, n float64) float64 {
	ms := 0.0
	for i, c := range chain {
		ms += HopStepMS(e, c.Server.Kind, counts[i], n, Usual(e).Mean())
	}
	return n / ms
}

// split divides a number of layers among cards, nil if they do not fit. Room is
// the number of usual requests that the fullest card holds: it is raised as far
// as all layers still fit, up to what the first hop's slots can use.
func split(e *site.Engine, chain []Card, layers int) (counts []int, room float64) {
	low, high := 0.0, float64(max(1, e.Slots))
	if total(fit(e, chain, low)) < layers {
		return nil, 0
	}
	if total(fit(e, chain, high)) < layers {
		for range 30 {
			mid := (low + high) / 2
			if total(fit(e, chain, mid)) >= layers {
				low = mid
			} else {
				high = mid
			}
		}
		high = low
	}
	return trim(e, chain, fit(e, chain, high), layers), high
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

// trim takes the layers that are too many from the slowest cards, from those first
// that have the fewest: a card without layers is a substitute for any other, and
// each card of a pipeline is one more that it can lose.
func trim(e *site.Engine, chain []Card, counts []int, layers int) []int {
	for over := total(counts) - layers; over > 0; over-- {
		worst := -1
		for i := range chain {
			if counts[i] == 0 {
				continue
			}
			if worst < 0 || gives(e, chain[i], chain[worst], counts[i], counts[worst]) {
				worst = i
			}
		}
		counts[worst]--
	}
	return counts
}

// gives reports whether card a gives layers up before card b.
func gives(e *site.Engine, a, b Card, na, nb int) bool {
	pa, pb := e.Kinds[a.Server.Kind].Pace, e.Kinds[b.Server.Kind].Pace
	if pa != pb {
		return pa > pb
	}
	return na < nb
}

// Bound is what binds a layout: how many usual requests it can hold at once, and
// the layers whose cards have room for no more.
type Bound struct {
	Requests int
	Layers   site.Range
}

// BoundOf returns the bound of what cards hold, or are to hold by orders under way.
func BoundOf(e *site.Engine, cards []Card) Bound {
	cover := coverage(e, cards)
	if len(cover) == 0 {
		return Bound{}
	}
	least := slices.Min(cover)
	b := Bound{Requests: int(least)}
	b.Layers.From = slices.Index(cover, least)
	b.Layers.To = b.Layers.From
	for b.Layers.To < len(cover) && int(cover[b.Layers.To]) == b.Requests {
		b.Layers.To++
	}
	return b
}

// coverage returns for each layer the room for requests that its cards have.
func coverage(e *site.Engine, cards []Card) []float64 {
	cover := make([]float64, e.Layers)
	for _, c := range cards {
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

// leastRoomWindow returns the window of layers for an empty card that has the
// least room now. Its size leaves the card as much room as its neighbours have.
func leastRoomWindow(e *site.Engine, c Card, cover []float64) site.Range {
	n := fit(e, []Card{c}, float64(max(1, e.Slots)))[0]
	if n == 0 {
		n = max(1, e.MaxLayers(c.Server.Kind)/2)
	}
	n = min(n, e.Layers)
	best, bestScore := 0, math.Inf(1)
	for from := 0; from+n <= e.Layers; from++ {
		least, sum := math.Inf(1), 0.0
		for l := from; l < from+n; l++ {
			least = min(least, cover[l])
			sum += cover[l]
		}
		// The worst layer counts more than any mean.
		if score := least*float64(e.Layers) + sum/float64(n); score < bestScore {
			best, bestScore = from, score
		}
	}
	return site.Range{From: best, To: best + n}
}
