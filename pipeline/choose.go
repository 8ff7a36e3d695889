package pipeline

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/snowspoke/snowspoke/site"
)

// ErrNoPath says that the usable backend servers do not cover all layers.
var ErrNoPath = errors.New("pipeline: no path covers all layers")

// ErrFull says that every path lacks memory for the request.
var ErrFull = errors.New("pipeline: every path is full")

// Load is what is known of a backend server's load.
type Load struct {
	Running float64 // requests that pass it, of all daemons
	KVUsed  float64 // tokens x layers that they hold, of all daemons
	Heads   float64 // requests that it runs as the first of their path
	// OwnKV is what this daemon's requests hold times the daemons: by it each daemon
	// spreads its own requests evenly, which needs no news from the others.
	OwnKV float64
	// WaitMS is how long requests wait there for their first token, if it is their
	// first hop.
	WaitMS float64
}

// Candidate is a backend server that may be on a path.
type Candidate struct {
	Server *site.BackendServer
	Load   Load
}

// Query is what a path is asked for.
type Query struct {
	Engine *site.Engine
	Tokens Tokens
	// Head is the first hop that the path must keep, nil for any.
	Head *site.BackendServer
	// HeadLayers are the layers that Head runs already.
	HeadLayers site.Range
	// Keep lists backend servers whose memory of the request survives, by ID,
	// with the layers they have run.
	Keep map[string]site.Range
	// Near is the failure domain of the caller's daemon.
	Near string
	// Jitter spreads the choices of daemons that see the same loads: the share by
	// which a hop's cost varies at random.
	Jitter float64
	// FullFrom is the share of a card's memory, and of a head's slots, from which it
	// is avoided, 0 for fullFrom of the memory alone.
	FullFrom float64
}

// Weights of the choice.
const (
	// fullFrom is the share of a card's memory from which it is avoided: requests
	// grow, and a card without memory preempts.
	fullFrom = 0.85
	// fullCostMS is the cost of a hop whose memory is all used.
	fullCostMS = 200.0
	// noRoomCostMS is more than any path with room costs. Without it a fast path was
	// the cheapest although it was full, and requests were refused while a slow one
	// had room: 27 to 44 requests of 190 in a domain, 100 refusals in two seconds.
	noRoomCostMS = 1e6
	// spreadWeight makes a card dearer the more of its memory this daemon would use
	// if all daemons did as it does, up to spreadMost of the memory. At 1 the fastest
	// pipeline was filled to nine tenths before others were used, and refused requests
	// for want of memory (worth 0.560, at 2 0.582, over five days of trouble).
	spreadWeight = 2.0
	spreadMost   = 3.0
	// crossWeight multiplies the time that a prompt's activations take through the
	// pipe between failure domains: all requests share it, one at a time.
	crossWeight = 10.0
	// nearCostMS is what a first hop in another failure domain than the caller's
	// costs: bytes between failure domains are paid for.
	nearCostMS = 6.0
)

// Choice is a path with its predicted times.
type Choice struct {
	Path    site.Path
	FirstMS float64 // until the first token
	StepMS  float64 // between two tokens
	Cost    float64 // by which paths are compared, in milliseconds
	Fullest float64 // share of the memory used at the fullest hop
	// Crossings is how often the request's prompt goes from one failure domain to
	// another.
	Crossings int
}

type node struct {
	cost float64
	prev int        // position in nodes, -1 for none
	run  site.Range // layers that the hop runs
	cand int
}

// Choose returns the cheapest path that runs all layers once, in order.
func Choose(q *Query, candidates []Candidate, r *rand.Rand) (Choice, error) {
	hops := costs(q, candidates, r)
	best, cost := search(q, candidates, hops)
	if best == nil {
		return Choice{}, ErrNoPath
	}
	c := describe(q, best)
	c.Cost = cost
	if c.Fullest > 1 {
		return c, ErrFull
	}
	return c, nil
}

// hopCost holds what does not depend on where a hop begins.
type hopCost struct {
	perLayer float64 // predicted time of a first token and weighed steps
	fixed    float64
}

// stepsWeight is how many token steps weigh as much as the first token: a path
// is chosen for both.
const stepsWeight = 8

func costs(q *Query, cs []Candidate, r *rand.Rand) []hopCost {
	out := make([]hopCost, len(cs))
	for i := range cs {
		c := &cs[i]
		s := c.Server
		n := s.Held.Len()
		step := HopStepMS(q.Engine, s.Kind, n, c.Load.Running+1, q.Tokens.Mean())
		read := HopReadMS(q.Engine, s.Kind, n, q.Tokens.Prompt)
		out[i].perLayer = (step*stepsWeight + read) / float64(max(1, n))
		full := fullness(q, c, n)
		out[i].perLayer *= 1 + spreadWeight*min(spreadMost, c.Load.OwnKV/max(1, q.Engine.KVRoom(s.Kind, n)))
		out[i].fixed = fullCost(q, full)
		if full > 1 {
			out[i].fixed += noRoomCostMS
		}
		if r != nil && q.Jitter > 0 {
			out[i].perLayer *= 1 + q.Jitter*r.Float64()
		}
	}
	return out
}

// fullCost is what a card costs of which a share of the memory is used.
func fullCost(q *Query, full float64) float64 {
	from := fullFrom
	if q.FullFrom > 0 {
		from = q.FullFrom
	}
	return fullCostMS * max(0, full-from) / (1 - from)
}

// fullness returns the share of a card's memory that is used once the request
// runs n layers on it. Requests are counted with the size that they have on average,
// since they are at different points of their lives: by their size at the end a card
// counted as full at 0.87 of its memory (worth 0.537 to 0.552 over five days of
// trouble).
func fullness(q *Query, c *Candidate, n int) float64 {
	room := q.Engine.KVRoom(c.Server.Kind, c.Server.Held.Len())
	if room <= 0 {
		return math.Inf(1)
	}
	return (c.Load.KVUsed + q.Tokens.Mean()*float64(n)) / room
}

// frontier holds the cheapest way to each layer for each failure domain that it
// may end in: what follows depends on the past only by the domain.
type frontier struct {
	cs    []Candidate
	nodes []node
	ends  [][]int // layer reached -> nodes, one a failure domain
	tos   []int   // reused by extend
}

func newFrontier(cs []Candidate, layers int) *frontier {
	return &frontier{cs: cs, ends: make([][]int, layers+1)}
}

// add takes a hop if it is the cheapest way so far to where it ends. One that
// runs layers which the model does not have leads nowhere.
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

// best returns the cheapest way through all layers, or -1.
func (f *frontier) best() int {
	best := -1
	for _, id := range f.ends[len(f.ends)-1] {
		if best < 0 || f.nodes[id].cost < f.nodes[best].cost {
			best = id
		}
	}
	return best
}

// search finds the cheapest way to run all layers, layer by layer.
func search(q *Query, cs []Candidate, hops []hopCost) (steps []step, cost float64) {
	layers := q.Engine.Layers
	f := newFrontier(cs, layers)
	first(q, cs, hops, f.add)
	stops := keptStarts(q)
	holders := holdersOfLayers(cs, layers)
	for at := 1; at < layers; at++ {
		for _, p := range f.ends[at] {
			f.extend(q, hops, p, at, holders[at], stops)
		}
	}
	last := f.best()
	if last < 0 {
		return nil, 0
	}
	return path(cs, f.nodes, last), f.nodes[last].cost
}

// extend goes on from a node by each candidate that holds the next layer.
func (f *frontier) extend(q *Query, hops []hopCost, from, at int, holders, stops []int) {
	for _, i := range holders {
		if visited(f.nodes, from, i) {
			continue
		}
		f.tos = endsOf(f.tos[:0], f.cs[i].Server, at, stops)
		for _, to := range f.tos {
			run := site.Range{From: at, To: to}
			cost := f.nodes[from].cost + edge(q, f.cs, hops, f.nodes[from].cand, i, run)
			f.add(node{cost: cost, prev: from, run: run, cand: i})
		}
	}
}

// holdersOfLayers returns for each layer the candidates that hold it: a card
// holds few of the layers, and a site has thousands of cards.
func holdersOfLayers(cs []Candidate, layers int) [][]int {
	counts := make([]int, layers)
	each(cs, layers, func(_, layer int) { counts[layer]++ })
	out := make([][]int, layers)
	for l, n := range counts {
		out[l] = make([]int, 0, n)
	}
	each(cs, layers, func(i, layer int) { out[layer] = append(out[layer], i) })
	return out
}

// each calls fn with each candidate and each layer that it holds.
func each(cs []Candidate, layers int, fn func(i, layer int)) {
	for i := range cs {
		held := cs[i].Server.Held
		for l := max(0, held.From); l < min(layers, held.To); l++ {
			fn(i, l)
		}
	}
}

// first adds the hops that a path may begin with.
func first(q *Query, cs []Candidate, hops []hopCost, add func(node)) {
	for i := range cs {
		s := cs[i].Server
		if q.Head != nil {
			if s.ID == q.Head.ID && q.HeadLayers.Len() > 0 {
				add(node{prev: -1, run: q.HeadLayers, cand: i})
			}
			continue
		}
		if !s.Held.Has(0) || s.Slots > 0 && cs[i].Load.Heads >= float64(s.Slots) {
			continue
		}
		cost := hops[i].fixed + hops[i].perLayer*float64(s.Held.Len()) + cs[i].Load.WaitMS
		if s.FailureDomain != q.Near && q.Near != "" {
			cost += nearCostMS
		}
		if q.FullFrom > 0 && s.Slots > 0 {
			cost += fullCost(q, cs[i].Load.Heads/float64(s.Slots))
		}
		add(node{cost: cost, prev: -1, run: site.Range{From: 0, To: s.Held.To}, cand: i})
	}
}

// keptStarts returns the layers at which hops begin that keep their memory of
// the request: another hop may hand over there and leave them as they are.
func keptStarts(q *Query) []int {
	var out []int
	for _, r := range q.Keep {
		out = append(out, r.From)
	}
	slices.Sort(out)
	return out
}

// endsOf appends where a hop that begins at a layer may end.
func endsOf(out []int, s *site.BackendServer, at int, stops []int) []int {
	out = append(out, s.Held.To)
	for _, l := range stops {
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

// edge is the cost of going on at candidate i with some layers. A hop that keeps
// its memory reads nothing again, and is counted in its load already.
func edge(q *Query, cs []Candidate, hops []hopCost, from, i int, run site.Range) float64 {
	s, prev := cs[i].Server, cs[from].Server
	cost := stepsWeight * LinkMS(q.Engine, prev.FailureDomain, s.FailureDomain)
	if kept, ok := q.Keep[s.ID]; ok && kept == run {
		return cost
	}
	if prev.FailureDomain != s.FailureDomain {
		cost += crossWeight * PipeReadMS(q.Engine, q.Tokens.Prompt)
	}
	return cost + hops[i].fixed + hops[i].perLayer*float64(run.Len())
}

// step is a hop of the chosen path with its candidate.
type step struct {
	cand *Candidate
	run  site.Range
}

func path(cs []Candidate, nodes []node, at int) []step {
	var out []step
	for ; at >= 0; at = nodes[at].prev {
		out = append(out, step{cand: &cs[nodes[at].cand], run: nodes[at].run})
	}
	slices.Reverse(out)
	return out
}

// describe predicts the times of a path.
func describe(q *Query, steps []step) Choice {
	var c Choice
	for i, s := range steps {
		h := site.Hop{Server: s.cand.Server, Layers: s.run}
		ms := HopStepMS(q.Engine, h.Server.Kind, h.Layers.Len(), s.cand.Load.Running+1, q.Tokens.Mean())
		link := 0.0
		if i > 0 {
			link = LinkMS(q.Engine, c.Path[i-1].Server.FailureDomain, h.Server.FailureDomain)
		}
		c.StepMS += ms + link
		if i > 0 && c.Path[i-1].Server.FailureDomain != h.Server.FailureDomain {
			c.FirstMS += PipeReadMS(q.Engine, q.Tokens.Prompt)
			c.Crossings++
		}
		c.FirstMS += ms + link + HopReadMS(q.Engine, h.Server.Kind, h.Layers.Len(), q.Tokens.Prompt)
		if _, kept := q.Keep[h.Server.ID]; !kept {
			c.Fullest = max(c.Fullest, fullness(q, s.cand, h.Layers.Len()))
		}
		c.Path = append(c.Path, h)
	}
	return c
}
