package pipeline

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/snowspoke/snowspoke/site"
)

// rebuildPipelines places all n pipelines of a group again, with the servers in the
// order of the layers that they hold. With atOnce, layers are dropped without waiting
// for requests. It must be false while requests can still pass through the group
// because a draining server holds the missing layers.
func rebuildPipelines(e *site.Engine, servers []ServerState, n int, atOnce bool) []Order {
	var orders []Order
	for _, chain := range partition(e, servers, n) {
		slices.SortStableFunc(chain, func(a, b ServerState) int { return cmp.Compare(firstLayer(a), firstLayer(b)) })
		c := layerCounts(e, chain)
		if c == nil {
			continue
		}
		next := 0
		for i := range chain {
			r := site.Range{From: next, To: next + c[i]}
			next = r.To
			if r.Len() > 0 && r != chain[i].Assigned {
				orders = append(orders, Order{Server: chain[i].Server, Layers: r, AtOnce: atOnce, Reason: "pipeline rebuilt, its backend servers do not cover all layers"})
			}
		}
	}
	return orders
}

// firstLayer is the sort key of a server by its layers; empty servers come last.
func firstLayer(s ServerState) int {
	if !placed(s) {
		return math.MaxInt
	}
	return s.Assigned.From
}

func groupByDomain(servers []ServerState) [][]ServerState {
	byDomain := map[string][]ServerState{}
	var names []string
	for _, s := range servers {
		d := s.Server.FailureDomain
		if byDomain[d] == nil {
			names = append(names, d)
		}
		byDomain[d] = append(byDomain[d], s)
	}
	slices.Sort(names)
	out := make([][]ServerState, 0, len(names))
	for _, n := range names {
		out = append(out, byDomain[n])
	}
	return out
}

// pipelineCount returns how many complete pipelines the servers can hold: one if all
// layers fit, and more if minPipelineHeadroom remains for requests in each.
func pipelineCount(e *site.Engine, servers []ServerState) int {
	memory, layers := 0.0, 0
	for _, s := range servers {
		memory += e.Kinds[s.Server.Kind].MemoryMB
		layers += e.MaxLayers(s.Server.Kind)
	}
	weights := float64(e.Layers) * e.LayerMB
	if weights <= 0 || layers < e.Layers {
		return 0
	}
	n := int(memory / (weights * (1 + minPipelineHeadroom)))
	return max(n, 1)
}

// partition divides the servers among n pipelines of about the same memory.
func partition(e *site.Engine, servers []ServerState, n int) [][]ServerState {
	servers = slices.Clone(servers)
	slices.SortStableFunc(servers, func(a, b ServerState) int {
		return cmp.Compare(e.Kinds[b.Server.Kind].MemoryMB, e.Kinds[a.Server.Kind].MemoryMB)
	})
	chains := make([][]ServerState, n)
	memory := make([]float64, n)
	for _, s := range servers {
		least := 0
		for i := range memory {
			if memory[i] < memory[least] {
				least = i
			}
		}
		chains[least] = append(chains[least], s)
		memory[least] += e.Kinds[s.Server.Kind].MemoryMB
	}
	return chains
}

// placePipeline assigns the layers of a pipeline to empty servers, as divided by
// layerCounts. A server without layers receives no order.
func placePipeline(e *site.Engine, chain []ServerState) []Order {
	counts := layerCounts(e, chain)
	if counts == nil {
		return nil
	}
	order := make([]int, len(chain))
	for i := range order {
		order[i] = i
	}
	// Servers are sorted by their number of layers, so that a server is likely to have
	// a substitute with the same layers in another pipeline. Servers with the most
	// layers come first, since the slots of the first hop limit the pipeline.
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
			Reason: fmt.Sprintf("pipeline of %d backend servers in %s", len(chain), chain[i].Server.FailureDomain)})
	}
	return out
}

// capacityStep is the difference in capacity, in requests, between two layouts that
// layerCounts compares.
const capacityStep = 8

// layerCounts returns how many layers of a pipeline each server takes, nil if they do
// not fit. A layout with capacity for more requests has more layers on slower servers.
// layerCounts therefore compares layouts from the highest possible capacity downwards
// and returns the one with the highest token throughput at its full capacity.
func layerCounts(e *site.Engine, chain []ServerState) []int {
	best, capacity := divideLayers(e, chain, e.Layers)
	if best == nil {
		return nil
	}
	bestRate := throughput(e, chain, best, capacity)
	for n := capacity - capacityStep; n >= capacityStep; n -= capacityStep {
		c := trim(e, chain, fit(e, chain, n), e.Layers)
		if r := throughput(e, chain, c, n); r > bestRate {
			best, bestRate = c, r
		}
	}
	return best
}

// throughput predicts the token steps per millisecond of a pipeline that runs n
// requests.
func throughput(e *site.Engine, chain []ServerState, counts []int, n float64) float64 {
	ms := 0.0
	for i, s := range chain {
		ms += HopStepMS(e, s.Server.Kind, counts[i], n, TypicalRequest(e).Mean())
	}
	return n / ms
}

// divideLayers divides layers among servers; counts is nil if they do not fit. It
// maximizes the capacity, the number of typical requests that every server can hold
// besides its layers, up to the slots of the first hop.
func divideLayers(e *site.Engine, chain []ServerState, layers int) (counts []int, capacity float64) {
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

// fit returns how many layers each server can hold besides the memory of n typical
// requests.
func fit(e *site.Engine, chain []ServerState, n float64) []int {
	perLayer := e.LayerMB + n*TypicalRequest(e).Mean()*e.KVTokenBytes/float64(e.Layers)/1e6
	out := make([]int, len(chain))
	for i, s := range chain {
		out[i] = min(e.MaxLayers(s.Server.Kind), int(e.Kinds[s.Server.Kind].MemoryMB/perLayer))
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

// trim removes surplus layers, from the slowest servers first and among equally slow
// ones from the one with the fewest layers. Servers that end up without layers can
// substitute for any other, and a pipeline of fewer servers fails less often.
func trim(e *site.Engine, chain []ServerState, counts []int, layers int) []int {
	for over := total(counts) - layers; over > 0; over-- {
		worst := -1
		for i := range chain {
			if counts[i] == 0 {
				continue
			}
			if worst < 0 || trimsBefore(e, chain[i], chain[worst], counts[i], counts[worst]) {
				worst = i
			}
		}
		counts[worst]--
	}
	return counts
}

// trimsBefore reports whether server a loses a layer before server b.
func trimsBefore(e *site.Engine, a, b ServerState, na, nb int) bool {
	pa, pb := e.Kinds[a.Server.Kind].Slowdown, e.Kinds[b.Server.Kind].Slowdown
	if pa != pb {
		return pa > pb
	}
	return na < nb
}

// Bound is the limit of a layout: how many typical requests it can hold at once, and
// the layers that limit it.
type Bound struct {
	Requests int
	Layers   site.Range
}

// BoundOf returns the bound of the layers that servers hold, or will hold once
// pending orders are carried out.
func BoundOf(e *site.Engine, servers []ServerState) Bound {
	capacities := capacityByLayer(e, servers)
	if len(capacities) == 0 {
		return Bound{}
	}
	least := slices.Min(capacities)
	b := Bound{Requests: int(least)}
	b.Layers.From = slices.Index(capacities, least)
	b.Layers.To = b.Layers.From
	for b.Layers.To < len(capacities) && int(capacities[b.Layers.To]) == b.Requests {
		b.Layers.To++
	}
	return b
}

// capacityByLayer returns, for each layer, the number of typical requests that the
// servers with the layer can hold.
func capacityByLayer(e *site.Engine, servers []ServerState) []float64 {
	capacities := make([]float64, e.Layers)
	for _, s := range servers {
		capacity := capacityOf(e, s, s.Assigned.Len())
		for l := max(0, s.Assigned.From); l < min(e.Layers, s.Assigned.To); l++ {
			capacities[l] += capacity
		}
	}
	return capacities
}

// capacityOf returns the number of typical requests that a server can hold besides n
// layers, up to the slots of a first hop. One is added so that a server without free
// memory still counts.
func capacityOf(e *site.Engine, s ServerState, n int) float64 {
	if n == 0 {
		return 0
	}
	per := TypicalRequest(e).Mean() * float64(n)
	return min(float64(max(1, e.Slots)), 1+e.KVCapacity(s.Server.Kind, n)/max(1, per))
}

// lowestCapacityWindow returns the layers that an empty server should take, the range
// with the lowest capacity. Its length leaves the server memory for requests in all
// slots if possible.
func lowestCapacityWindow(e *site.Engine, s ServerState, capacities []float64) site.Range {
	n := fit(e, []ServerState{s}, float64(max(1, e.Slots)))[0]
	if n == 0 {
		n = max(1, e.MaxLayers(s.Server.Kind)/2)
	}
	n = min(n, e.Layers)
	best, bestScore := 0, math.Inf(1)
	for from := 0; from+n <= e.Layers; from++ {
		least, sum := math.Inf(1), 0.0
		for l := from; l < from+n; l++ {
			least = min(least, capacities[l])
			sum += capacities[l]
		}
		// The lowest layer outweighs the mean.
		if score := least*float64(e.Layers) + sum/float64(n); score < bestScore {
			best, bestScore = from, score
		}
	}
	return site.Range{From: best, To: best + n}
}
