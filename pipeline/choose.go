package pipeline

import (
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/snowspoke/snowspoke/site"
)

// ErrNoPath is returned if the usable backend servers do not cover all layers.
var ErrNoPath = errors.New("pipeline: no path covers all layers")

// ErrFull is returned if every path lacks memory for the request.
var ErrFull = errors.New("pipeline: every path is full")

// Load is the known load of a backend server.
type Load struct {
	Running float64 // requests that pass through it, of all daemons
	KVUsed  float64 // memory of these requests, in tokens x layers
	Heads   float64 // requests whose first hop it is, of all daemons
	// OwnKV is the memory of this daemon's requests multiplied by the number of
	// daemons. With it each daemon spreads its own requests evenly without data from
	// the others.
	OwnKV float64
	// WaitMS is how long requests wait there for their first token, if it is their
	// first hop.
	WaitMS float64
	// Slowdown is the factor on its predicted times relative to backend servers of
	// its kind. Values below 1 count as 1.
	Slowdown float64
	// Full is the fraction of its memory that it reports as used, 0 unless it is
	// known to be saturated. Waiting is the number of requests that it reports as
	// waiting.
	Full    float64
	Waiting int
}

// slowed returns a predicted time corrected by the slowdown of the backend server.
func (l Load) slowed(ms float64) float64 { return ms * max(1, l.Slowdown) }

// Candidate is a backend server that a path may use.
type Candidate struct {
	Server *site.BackendServer
	Load   Load
}

// Query holds the parameters of a path search.
type Query struct {
	Engine *site.Engine
	Tokens Tokens
	// Head is the first hop that the path must keep, nil for any.
	Head *site.BackendServer
	// HeadLayers are the layers that Head runs already.
	HeadLayers site.Range
	// Keep maps the IDs of backend servers that still hold the request's memory to
	// the layers that they have run.
	Keep map[string]site.Range
	// Near is the failure domain of the caller's daemon.
	Near string
	// Jitter is the maximum random increase of a hop's cost, as a fraction. It makes
	// daemons with the same loads choose different paths.
	Jitter float64
	// FullThreshold is the usage from which a backend server's memory and a head's slots
	// cost extra, as a fraction. 0 stands for fullThreshold, for the memory alone.
	FullThreshold float64
}

// Cost weights.
const (
	// fullThreshold is the fraction of a backend server's memory from which its use
	// costs extra. Requests grow, and a backend server that runs out of memory
	// preempts them.
	fullThreshold = 0.85
	// fullCostMS is the cost of a hop whose memory is all used.
	fullCostMS = 200.0
	// noCapacityCostMS is more than the cost of any path with capacity. Without it a
	// fast path that is full could be cheaper than a slow one with capacity, and
	// requests would be refused.
	noCapacityCostMS = 1e6
	// spreadWeight raises the cost of a backend server with the fraction of its
	// memory that would be used if every daemon sent as many requests as this one, up
	// to maxSpreadRatio.
	spreadWeight   = 2.0
	maxSpreadRatio = 3.0
	// crossDomainWeight multiplies the time that a prompt's activations take over a
	// cross-domain link, since all requests share the link.
	crossDomainWeight = 10.0
	// remoteHeadCostMS is the cost of a first hop outside the caller's failure
	// domain. Traffic between failure domains is billed.
	remoteHeadCostMS = 6.0
)

// Choice is a path with its predicted times.
type Choice struct {
	Path    site.Path
	FirstMS float64 // until the first token
	StepMS  float64 // between two tokens
	Cost    float64 // total cost, in milliseconds
	Fullest float64 // fraction of the memory used at the fullest hop
}

// Choose returns the cheapest path that runs all layers once, in order. It returns
// ErrNoPath if there is none, and the path with ErrFull if the path lacks memory.
func Choose(q *Query, candidates []Candidate, r *rand.Rand) (Choice, error) {
	hops := hopCosts(q, candidates, r)
	best, cost := search(q, candidates, hops)
	if best == nil {
		return Choice{}, ErrNoPath
	}
	c := predict(q, best)
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

// hopCost holds the cost of a hop that does not depend on where it begins.
type hopCost struct {
	perLayer float64 // predicted time of the prompt and weighted steps
	fixed    float64
}

// stepsWeight is the weight of the time of a token step relative to the time of the
// first token.
const stepsWeight = 8

func hopCosts(q *Query, cs []Candidate, r *rand.Rand) []hopCost {
	out := make([]hopCost, len(cs))
	for i := range cs {
		c := &cs[i]
		s := c.Server
		n := s.Held.Len()
		step := HopStepMS(q.Engine, s.Kind, n, c.Load.Running+1, q.Tokens.Mean())
		read := HopReadMS(q.Engine, s.Kind, n, q.Tokens.Prompt)
		out[i].perLayer = c.Load.slowed(step*stepsWeight+read) / float64(max(1, n))
		full := fullness(q, c, n)
		out[i].perLayer *= 1 + spreadWeight*min(maxSpreadRatio, c.Load.OwnKV/max(1, q.Engine.KVCapacity(s.Kind, n)))
		out[i].fixed = fullCost(q, full)
		if full > 1 {
			out[i].fixed += noCapacityCostMS
		}
		if r != nil && q.Jitter > 0 {
			out[i].perLayer *= 1 + q.Jitter*r.Float64()
		}
	}
	return out
}

// fullCost returns the cost of a hop whose memory or slots are used to a given
// fraction.
func fullCost(q *Query, full float64) float64 {
	from := fullThreshold
	if q.FullThreshold > 0 {
		from = q.FullThreshold
	}
	return fullCostMS * max(0, full-from) / (1 - from)
}

// fullness returns the fraction of a backend server's memory that is used once it
// runs n layers of the request. Requests count with their mean size, since they are
// at different points of their lifetimes. The backend server's own report counts if
// it is higher: loads exchanged by daemons are seconds old and miss requests of
// daemons that have ended. A backend server at which requests wait counts as full.
func fullness(q *Query, c *Candidate, n int) float64 {
	capacity := q.Engine.KVCapacity(c.Server.Kind, c.Server.Held.Len())
	if capacity <= 0 {
		return math.Inf(1)
	}
	used := max(c.Load.KVUsed/capacity, c.Load.Full)
	if c.Load.Waiting > 0 {
		used = max(used, 1)
	}
	return used + q.Tokens.Mean()*float64(n)/capacity
}

// predict returns the path of the steps with its predicted times and its highest
// memory usage.
func predict(q *Query, steps []step) Choice {
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
			c.FirstMS += CrossDomainPrefillMS(q.Engine, q.Tokens.Prompt)
		}
		c.FirstMS += ms + link + s.cand.Load.slowed(HopReadMS(q.Engine, h.Server.Kind, h.Layers.Len(), q.Tokens.Prompt))
		if _, kept := q.Keep[h.Server.ID]; !kept {
			c.Fullest = max(c.Fullest, fullness(q, s.cand, h.Layers.Len()))
		}
		c.Path = append(c.Path, h)
	}
	return c
}
