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
}

// Weights of the choice.
const (
	// fullFrom is the share of a card's memory from which it is avoided: requests
	// grow, and a card without memory preempts.
	fullFrom = 0.85
	// fullCostMS is the cost of a hop whose memory is all used.
	fullCostMS = 200.0
	// spreadWeight makes a card dearer the more of its memory this daemon would use
	// if all daemons did as it does, up to spreadMost of the memory.
	spreadWeight = 1.0
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
	Cost    float64
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
	best := search(q, candidates, hops)
	if best == nil {
		return Choice{}, ErrNoPath
	}
	c := describe(q, candidates, best)
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
		if full > fullFrom {
			out[i].fixed = fullCostMS * (full - fullFrom) / (1 - fullFrom)
		}
		if r != nil && q.Jitter > 0 {
			out[i].perLayer *= 1 + q.Jitter*r.Float64()
		}
	}
	return out
}

// fullness returns the share of a card's memory that is used once the request
// runs n layers on it.
func fullness(q *Query, c *Candidate, n int) float64 {
	room := q.Engine.KVRoom(c.Server.Kind, c.Server.Held.Len())
	if room <= 0 {
		return math.Inf(1)
	}
	return (c.Load.KVUsed + q.Tokens.Full()*float64(n)) / room
}

// search finds the cheapest way to run all layers: for each layer that a hop may
// end at, the cheapest ways to get there.
func search(q *Query, cs []Candidate, hops []hopCost) []site.Hop {
	layers := q.Engine.Layers
	ends := map[int][]int{} // layer reached -> nodes
	nodes := make([]node, 0, 2*len(cs))
	add := func(n node) {
		nodes = append(nodes, n)
		ends[n.run.To] = append(ends[n.run.To], len(nodes)-1)
	}
	first(q, cs, hops, add)
	stops := keptStarts(q)
	for at := 1; at < layers; at++ {
		for _, p := range cheapest(nodes, ends[at], cs) {
			for i := range cs {
				s := cs[i].Server
				if !s.Held.Has(at) || visited(nodes, p, i) {
					continue
				}
				for _, to := range endsOf(s, at, stops) {
					run := site.Range{From: at, To: to}
					add(node{cost: nodes[p].cost + edge(q, cs, hops, nodes[p].cand, i, run), prev: p, run: run, cand: i})
				}
			}
		}
	}
	last := cheapest(nodes, ends[layers], cs)
	if len(last) == 0 {
		return nil
	}
	return path(cs, nodes, last[0])
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
		cost := hops[i].fixed + hops[i].perLayer*float64(s.Held.Len())
		if s.FailureDomain != q.Near && q.Near != "" {
			cost += nearCostMS
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

// endsOf returns where a hop that begins at a layer may end.
func endsOf(s *site.BackendServer, at int, stops []int) []int {
	out := []int{s.Held.To}
	for _, l := range stops {
		if l > at && l < s.Held.To {
			out = append(out, l)
		}
	}
	return out
}

// cheapest keeps the best node for each failure domain, cheapest first, so that
// the search stays small: what follows depends on the past only by the domain.
func cheapest(nodes []node, ids []int, cs []Candidate) []int {
	slices.SortFunc(ids, func(a, b int) int {
		switch {
		case nodes[a].cost < nodes[b].cost:
			return -1
		case nodes[a].cost > nodes[b].cost:
			return 1
		}
		return a - b
	})
	var out []int
	var seen []string
	for _, id := range ids {
		d := cs[nodes[id].cand].Server.FailureDomain
		if slices.Contains(seen, d) {
			continue
		}
		seen = append(seen, d)
		out = append(out, id)
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

func path(cs []Candidate, nodes []node, at int) []site.Hop {
	var out []site.Hop
	for ; at >= 0; at = nodes[at].prev {
		out = append(out, site.Hop{Server: cs[nodes[at].cand].Server, Layers: nodes[at].run})
	}
	slices.Reverse(out)
	return out
}

func describe(q *Query, cs []Candidate, p site.Path) Choice {
	c := Choice{Path: p}
	byID := map[string]*Candidate{}
	for i := range cs {
		byID[cs[i].Server.ID] = &cs[i]
	}
	for i, h := range p {
		cand := byID[h.Server.ID]
		step := HopStepMS(q.Engine, h.Server.Kind, h.Layers.Len(), cand.Load.Running+1, q.Tokens.Mean())
		link := 0.0
		if i > 0 {
			link = LinkMS(q.Engine, p[i-1].Server.FailureDomain, h.Server.FailureDomain)
		}
		c.StepMS += step + link
		if i > 0 && p[i-1].Server.FailureDomain != h.Server.FailureDomain {
			c.FirstMS += PipeReadMS(q.Engine, q.Tokens.Prompt)
			c.Crossings++
		}
		c.FirstMS += step + link + HopReadMS(q.Engine, h.Server.Kind, h.Layers.Len(), q.Tokens.Prompt)
		if _, kept := q.Keep[h.Server.ID]; !kept {
			c.Fullest = max(c.Fullest, fullness(q, cand, h.Layers.Len()))
		}
	}
	return c
}
