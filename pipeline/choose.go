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

// ErrFull is returned if every path lacks memory for the request or has a backend server
// with waiting requests.
var ErrFull = errors.New("pipeline: every path is full")

// Load is the known load of a backend server.
type Load struct {
	Running float64 // requests of all daemons that pass through it
	KVUsed  float64 // memory of these requests, in tokens x layers
	Heads   float64 // requests of all daemons whose first hop it is
	// OwnKV is the memory of this daemon's requests multiplied by the number of
	// daemons. It lets each daemon spread its own requests evenly without data from
	// the others.
	OwnKV float64
	// WaitMS is how long requests whose first hop it is wait for their first token,
	// in milliseconds.
	WaitMS float64
	// Slowdown is the ratio of its times to those predicted for its kind. Values
	// below 1 count as 1.
	Slowdown float64
	// MemoryUsed is the fraction of its memory that it reports as used, 0 unless it is
	// known to be saturated.
	MemoryUsed float64
	// Waiting is the number of requests that it reports as waiting.
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
	// HeadLayers are the layers that Head already runs for the request.
	HeadLayers site.Range
	// First is the first hop of a new path, nil for any.
	First *site.BackendServer
	// Keep maps the ID of each backend server that still holds the request's memory
	// to the layers that it has run.
	Keep map[string]site.Range
	// Near is the failure domain of the caller's daemon.
	Near string
	// Jitter is the maximum random increase of a hop's cost, as a fraction. It makes
	// daemons with the same loads choose different paths.
	Jitter float64
	// FullThreshold is the usage, as a fraction, from which a backend server's memory
	// and a head's slots cost extra. If it is 0, fullThreshold applies to the memory
	// and slots cost nothing extra.
	FullThreshold float64
	// Reserve is the fraction of the memory of each backend server, and of a head's slots, that
	// the request leaves free. 0 for none.
	Reserve float64
}

// maxFullness returns the usage, as a fraction, up to which a backend server takes the request.
func (q *Query) maxFullness() float64 { return 1 - q.Reserve }

// Cost weights.
const (
	// fullThreshold is the usage of a backend server's memory, as a fraction, from
	// which a hop costs extra. Requests grow, and a backend server that runs out of
	// memory preempts them.
	fullThreshold = 0.85
	// fullCostMS is the extra cost of a hop whose memory is all used.
	fullCostMS = 200.0
	// noCapacityCostMS is the extra cost of a hop without capacity. It exceeds the
	// cost of any path with capacity, so that requests are not refused on a fast full
	// path while a slow one has capacity.
	noCapacityCostMS = 1e6
	// spreadWeight is the weight in the cost of a backend server of the fraction of
	// its memory that would be used if every daemon sent as many requests as this
	// one. The fraction is limited to maxSpreadRatio.
	spreadWeight   = 2.0
	maxSpreadRatio = 3.0
	// crossDomainWeight is the weight of the time that a prompt's activations take
	// over a cross-domain link. It is high because all requests share the link.
	crossDomainWeight = 10.0
	// remoteHeadCostMS is the cost of a first hop outside the caller's failure
	// domain. Traffic between failure domains is billed.
	remoteHeadCostMS = 6.0
)

// Choice is a path with its predicted times.
type Choice struct {
	Path    site.Path
	FirstMS float64 // time to the first token
	StepMS  float64 // time between two tokens
	Cost    float64 // total cost, in milliseconds
	Fullest float64 // fraction of memory used at the fullest hop, including the request
}

// Choose returns the cheapest path that runs all layers once, in order. It returns
// ErrNoPath if there is none, and the cheapest path with ErrFull if it lacks memory. r
// provides the jitter; it may be nil.
func Choose(q *Query, candidates []Candidate, r *rand.Rand) (Choice, error) {
	c, ok := cheapest(q, candidates, hopCosts(q, candidates, r))
	if !ok {
		return Choice{}, ErrNoPath
	}
	if c.Fullest > q.maxFullness() {
		return c, ErrFull
	}
	return c, nil
}

// ChooseWithin returns the cheapest path with memory for the request that stays within one
// failure domain, or ErrNoPath if there is none.
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

// hopCost holds the parts of the cost of a hop that do not depend on its first layer.
type hopCost struct {
	perLayer float64 // cost for each layer that the hop runs, in milliseconds
	fixed    float64 // cost regardless of the number of layers, in milliseconds
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
		prefill := HopPrefillMS(q.Engine, s.Kind, n, q.Tokens.Prompt)
		out[i].perLayer = c.Load.slowed(step*stepsWeight+prefill) / float64(max(1, n))
		full := fullness(q, c, n)
		out[i].perLayer *= 1 + spreadWeight*min(maxSpreadRatio, c.Load.OwnKV/max(1, q.Engine.KVCapacity(s.Kind, n)))
		out[i].fixed = fullCost(q, full)
		if full > q.maxFullness() {
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
// at different points of their lifetimes. The usage that the backend server reports
// applies if it is higher: loads exchanged by daemons are seconds old and omit requests
// of daemons that have ended. A backend server with waiting requests counts as full.
func fullness(q *Query, c *Candidate, n int) float64 {
	capacity := q.Engine.KVCapacity(c.Server.Kind, c.Server.Held.Len())
	if capacity <= 0 {
		return math.Inf(1)
	}
	used := max(c.Load.KVUsed/capacity, c.Load.MemoryUsed)
	if c.Load.Waiting > 0 {
		used = max(used, 1)
	}
	return used + q.Tokens.Mean()*float64(n)/capacity
}

// predict returns the path that consists of the steps, with its predicted times and
// highest memory usage.
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
		c.FirstMS += ms + link + s.cand.Load.slowed(HopPrefillMS(q.Engine, h.Server.Kind, h.Layers.Len(), q.Tokens.Prompt))
		if _, kept := q.Keep[h.Server.ID]; !kept {
			c.Fullest = max(c.Fullest, fullness(q, s.cand, h.Layers.Len()))
		}
		c.Path = append(c.Path, h)
	}
	return c
}
