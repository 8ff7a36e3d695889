package pipeline

import (
	"errors"
	"maps"
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
	// Slowdown is how many times longer it takes than cards of its kind do, 0 for as
	// long as they.
	Slowdown float64
	// Full is the share of its memory that is used by its own word, 0 while it is not
	// known to be crowded, and Waiting the requests that wait there.
	Full    float64
	Waiting int
}

// slowed returns a predicted time as it is on a backend server that has become slow.
func (l Load) slowed(ms float64) float64 { return ms * max(1, l.Slowdown) }

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

// ChooseWithin returns the cheapest path that stays within one failure domain.
func ChooseWithin(q *Query, candidates []Candidate, r *rand.Rand) (Choice, error) {
	byDomain := map[string][]Candidate{}
	for _, c := range candidates {
		byDomain[c.Server.FailureDomain] = append(byDomain[c.Server.FailureDomain], c)
	}
	best, err := Choice{}, ErrNoPath
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		c, cerr := Choose(q, byDomain[domain], r)
		if cerr == nil && (err != nil || c.Cost < best.Cost) {
			best, err = c, nil
		}
	}
	return best, err
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
		out[i].perLayer = c.Load.slowed(step*stepsWeight+read) / float64(max(1, n))
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
// trouble). The card's own word counts where it says more: what the daemons have told each
// other is seconds old, and leaves out requests of daemons that have ended. A card at
// which requests wait has no room for another.
func fullness(q *Query, c *Candidate, n int) float64 {
	room := q.Engine.KVRoom(c.Server.Kind, c.Server.Held.Len())
	if room <= 0 {
		return math.Inf(1)
	}
	used := max(c.Load.KVUsed/room, c.Load.Full)
	if c.Load.Waiting > 0 {
		used = max(used, 1)
	}
	return used + q.Tokens.Mean()*float64(n)/room
}

// describe predicts the times of a path.
func describe(q *Query, steps []step) Choice {
	var c Choice
	for i, s := range steps {
		h := site.Hop{Server: s.cand.Server, Layers: s.run}
		ms := s.cand.Load.slowed(HopStepMS(q.Engine, h.Server.Kind, h.Layers.Len(), s.cand.Load.Running+1, q.Tokens.Mean()))
		link := 0.0
		if i > 0 {
			link = LinkMS(q.Engine, c.Path[i-1].Server.FailureDomain, h.Server.FailureDomain)
		}
		c.StepMS += ms + link
		if i > 0 && c.Path[i-1].Server.FailureDomain != h.Server.FailureDomain {
			c.FirstMS += PipeReadMS(q.Engine, q.Tokens.Prompt)
		}
		c.FirstMS += ms + link + s.cand.Load.slowed(HopReadMS(q.Engine, h.Server.Kind, h.Layers.Len(), q.Tokens.Prompt))
		if _, kept := q.Keep[h.Server.ID]; !kept {
			c.Fullest = max(c.Fullest, fullness(q, s.cand, h.Layers.Len()))
		}
		c.Path = append(c.Path, h)
	}
	return c
}
