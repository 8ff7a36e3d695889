package pipeline

import (
	"slices"

	"github.com/snowspoke/snowspoke/site"
)

// node is a hop of a partial path.
type node struct {
	cost float64
	prev int        // index in nodes, -1 for none
	run  site.Range // layers that the hop runs
	cand int
}

// frontier holds the cheapest partial path to each layer, for each failure domain of
// the last hop. The cost of further hops depends on the previous ones only through
// this failure domain.
type frontier struct {
	cs     []Candidate
	nodes  []node
	ends   [][]int // layer reached -> nodes, one per failure domain
	endBuf []int   // reused by extend
}

func newFrontier(cs []Candidate, layers int) *frontier {
	return &frontier{cs: cs, ends: make([][]int, layers+1)}
}

// add keeps a node if it is the cheapest so far for its last layer and failure
// domain. Nodes with layers outside the model are ignored.
func (f *frontier) add(n node) {
	if n.run.From < 0 || n.run.To >= len(f.ends) {
		return
	}
	domain := f.cs[n.cand].Server.FailureDomain
	ends := f.ends[n.run.To]
	for i, old := range ends {
		if f.cs[f.nodes[old].cand].Server.FailureDomain != domain {
			continue
		}
		if n.cost < f.nodes[old].cost {
			f.nodes = append(f.nodes, n)
			ends[i] = len(f.nodes) - 1
		}
		return
	}
	f.nodes = append(f.nodes, n)
	f.ends[n.run.To] = append(ends, len(f.nodes)-1)
}

// best returns the cheapest path through all layers, -1 for none.
func (f *frontier) best() int {
	best := -1
	for _, id := range f.ends[len(f.ends)-1] {
		if best < 0 || f.nodes[id].cost < f.nodes[best].cost {
			best = id
		}
	}
	return best
}

// search finds the cheapest path through all layers, layer by layer. steps is nil if
// there is no path.
func search(q *Query, cs []Candidate, hops []hopCost) (steps []step, cost float64) {
	layers := q.Engine.Layers
	f := newFrontier(cs, layers)
	addFirstHops(q, cs, hops, f.add)
	starts := keptStarts(q)
	holders := holdersOfLayers(cs, layers)
	for at := 1; at < layers; at++ {
		for _, p := range f.ends[at] {
			f.extend(q, hops, p, at, holders[at], starts)
		}
	}
	last := f.best()
	if last < 0 {
		return nil, 0
	}
	return pathTo(cs, f.nodes, last), f.nodes[last].cost
}

// extend continues a partial path with each candidate that holds the next layer.
func (f *frontier) extend(q *Query, hops []hopCost, from, at int, holders, starts []int) {
	for _, i := range holders {
		if visited(f.nodes, from, i) {
			continue
		}
		f.endBuf = possibleEnds(f.endBuf[:0], f.cs[i].Server, at, starts)
		for _, to := range f.endBuf {
			run := site.Range{From: at, To: to}
			cost := f.nodes[from].cost + edgeCost(q, f.cs, hops, f.nodes[from].cand, i, run)
			f.add(node{cost: cost, prev: from, run: run, cand: i})
		}
	}
}

// holdersOfLayers returns the candidates that hold each layer, so that search does
// not scan all candidates for each of them.
func holdersOfLayers(cs []Candidate, layers int) [][]int {
	counts := make([]int, layers)
	forEachHeldLayer(cs, layers, func(_, layer int) { counts[layer]++ })
	out := make([][]int, layers)
	for l, n := range counts {
		out[l] = make([]int, 0, n)
	}
	forEachHeldLayer(cs, layers, func(i, layer int) { out[layer] = append(out[layer], i) })
	return out
}

// forEachHeldLayer calls fn with each candidate and each layer that it holds.
func forEachHeldLayer(cs []Candidate, layers int, fn func(i, layer int)) {
	for i := range cs {
		held := cs[i].Server.Held
		for l := max(0, held.From); l < min(layers, held.To); l++ {
			fn(i, l)
		}
	}
}

// addFirstHops adds the hops with which a path may begin.
func addFirstHops(q *Query, cs []Candidate, hops []hopCost, add func(node)) {
	for i := range cs {
		s := cs[i].Server
		if q.Head != nil {
			if s.ID == q.Head.ID && q.HeadLayers.Len() > 0 {
				add(node{prev: -1, run: q.HeadLayers, cand: i})
			}
			continue
		}
		if q.First != nil && s.ID != q.First.ID {
			continue
		}
		if !s.Held.Has(0) || s.Slots > 0 && cs[i].Load.Heads >= q.maxFullness()*float64(s.Slots) {
			continue
		}
		cost := hops[i].fixed + hops[i].perLayer*float64(s.Held.Len()) + cs[i].Load.WaitMS
		if s.FailureDomain != q.Near && q.Near != "" {
			cost += remoteHeadCostMS
		}
		if q.FullThreshold > 0 && s.Slots > 0 {
			cost += fullCost(q, cs[i].Load.Heads/float64(s.Slots))
		}
		add(node{cost: cost, prev: -1, run: site.Range{From: 0, To: s.Held.To}, cand: i})
	}
}

// keptStarts returns the first layers of the hops in q.Keep. The hop before a kept hop
// may end there, so that the kept hop runs the same layers as before.
func keptStarts(q *Query) []int {
	var out []int
	for _, r := range q.Keep {
		out = append(out, r.From)
	}
	slices.Sort(out)
	return out
}

// possibleEnds appends to out the layers at which a hop that begins at layer at may end.
func possibleEnds(out []int, s *site.BackendServer, at int, starts []int) []int {
	out = append(out, s.Held.To)
	for _, l := range starts {
		if l > at && l < s.Held.To {
			out = append(out, l)
		}
	}
	return out
}

func visited(nodes []node, at, cand int) bool {
	for ; at >= 0; at = nodes[at].prev {
		if nodes[at].cand == cand {
			return true
		}
	}
	return false
}

// edgeCost returns the cost of continuing from one candidate with candidate i for some
// layers. A kept hop costs only the link: it does not process the prompt again, and its
// load already includes the request.
func edgeCost(q *Query, cs []Candidate, hops []hopCost, from, i int, run site.Range) float64 {
	s, prev := cs[i].Server, cs[from].Server
	cost := stepsWeight * LinkMS(q.Engine, prev.FailureDomain, s.FailureDomain)
	if kept, ok := q.Keep[s.ID]; ok && kept == run {
		return cost
	}
	if prev.FailureDomain != s.FailureDomain {
		cost += crossDomainWeight * CrossDomainPrefillMS(q.Engine, q.Tokens.Prompt)
	}
	return cost + hops[i].fixed + hops[i].perLayer*float64(run.Len())
}

// step is a hop of a path with its candidate.
type step struct {
	cand *Candidate
	run  site.Range
}

func pathTo(cs []Candidate, nodes []node, at int) []step {
	var out []step
	for ; at >= 0; at = nodes[at].prev {
		out = append(out, step{cand: &cs[nodes[at].cand], run: nodes[at].run})
	}
	slices.Reverse(out)
	return out
}
