package routing

import (
	"errors"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/snowspoke/snowspoke/topology"
)

// Errors of Choose and Repair.
var (
	// ErrNoRoute means that no admissible pipeline tiles the layers.
	ErrNoRoute = errors.New("routing: no route")
	// ErrFull means that pipelines exist but all are at their limits.
	ErrFull = errors.New("routing: all routes at their limits")
)

// Loads is the live state of backend servers and links. Choose combines it with the
// weights of a plan. Server indices are those of Plan.Servers.
type Loads interface {
	// Load returns the expected requests in flight on the backend server.
	Load(server int) float64
	// Usable reports whether the backend server may receive new work.
	Usable(server int) bool
	// Full reports whether the concurrency limit is reached.
	Full(server int) bool
	// Weight returns the health weight in [0,1].
	Weight(server int) float64
	// LinkLoad returns the expected requests in flight on a link of Plan.Links.
	LinkLoad(link int) float64
}

// Options are the parameters of one choice.
type Options struct {
	FailureDomain string          // of this daemon; its backend servers are preferred as head at similar load
	Avoid         map[string]bool // names of backend servers that must not be used
	Warm          []string        // names of backend servers that probably cache the prompt's prefix
	IgnoreLimits  bool            // set for recovery, which must not queue behind new work
}

// Choice is a chosen route with details for the decision log.
type Choice struct {
	Route    topology.Route
	Load     float64 // highest expected requests in flight on a hop
	Rejected string  // name of the runner-up head
	Affinity bool    // chosen for its prefix cache
}

// Parameters of the choice between backend servers of similar load.
const (
	remotePenalty = 1.05 // score factor of a head in another failure domain
	warmSlack     = 1.3  // a warm head may have the score of the sampled head times this factor
	warmSlackBase = 2.0  // plus this many requests, so that warm heads are preferred at low load
)

// samplesPerHop is the number of candidates sampled for each hop.
const samplesPerHop = 2

// Choose picks a route hop by hop. For each hop it samples two candidates by flow
// weight and takes the less loaded one. If that fails, or if backend servers must be
// avoided, it searches all pipelines. Without a search it allocates only the route. It
// returns ErrNoRoute or ErrFull if there is no route.
func Choose(p *Plan, l Loads, o Options, r *rand.Rand) (Choice, error) {
	if !p.Routable() {
		return Choice{}, ErrNoRoute
	}
	c := chooser{p: p, l: l, o: &o, r: r}
	if len(o.Avoid) == 0 {
		if choice, ok := c.walk(); ok {
			return choice, nil
		}
	}
	return c.search()
}

// chooser holds the inputs of one choice.
type chooser struct {
	p *Plan
	l Loads
	o *Options
	r *rand.Rand
}

// admissible reports whether a node can be used for this request now.
func (c *chooser) admissible(node int32) bool {
	s := c.p.Nodes[node].Server
	if !c.l.Usable(s) || c.o.Avoid[c.p.Servers[s].Name] {
		return false
	}
	return c.o.IgnoreLimits || !c.l.Full(s)
}

// score returns the expected load of a node relative to its capacity.
func (c *chooser) score(node int32) float64 {
	n := &c.p.Nodes[node]
	w := c.l.Weight(n.Server)
	if w <= 0 {
		return math.Inf(1)
	}
	return (c.l.Load(n.Server) + 1) / (n.Cap * w)
}

// edgeScore returns the score of an edge's node plus the expected load of its link.
func (c *chooser) edgeScore(e edge) float64 {
	s := c.score(e.to)
	if e.id >= 0 {
		s += (c.l.LinkLoad(int(e.id)) + 1) / e.cap
	}
	return s
}

// headScore returns the score of a head, with the penalty for another failure
// domain.
func (c *chooser) headScore(e edge) float64 {
	s := c.score(e.to)
	if c.p.Servers[c.p.Nodes[e.to].Server].FailureDomain != c.o.FailureDomain {
		s *= remotePenalty
	}
	return s
}

// walk picks a route hop by hop without backtracking. It returns false if all
// samples of a hop are inadmissible.
func (c *chooser) walk() (Choice, bool) {
	var choice Choice
	at, second := c.pick(c.p.heads, c.p.headCum, c.headScore)
	if at < 0 {
		return choice, false
	}
	if warm := c.warmHead(at); warm >= 0 {
		second, at = at, warm
		choice.Affinity = true
	}
	if second >= 0 && second != at {
		choice.Rejected = c.name(second)
	}
	route := make(topology.Route, 0, 8)
	lo := 0
	for {
		route = append(route, c.p.hop(at, lo))
		choice.Load = math.Max(choice.Load, c.l.Load(c.p.Nodes[at].Server))
		n := &c.p.Nodes[at]
		if n.final {
			choice.Route = route
			return choice, true
		}
		lo = n.Layers.Hi
		at, _ = c.pick(n.next, n.cum, c.edgeScore)
		if at < 0 {
			return choice, false
		}
	}
}

func (c *chooser) name(node int32) string { return c.p.Servers[c.p.Nodes[node].Server].Name }

// pick samples edges by weight and returns the best and the second best node, or
// -1 for either.
func (c *chooser) pick(edges []edge, cum []float64, score func(edge) float64) (best, second int32) {
	best, second = -1, -1
	total := cum[len(cum)-1]
	if total <= 0 {
		return best, second
	}
	bestScore := math.Inf(1)
	for range samplesPerHop + 2 {
		i := sort.SearchFloat64s(cum, c.r.Float64()*total)
		e := edges[min(i, len(edges)-1)]
		node := e.to
		if node == best || node == second || !c.admissible(node) {
			continue
		}
		if s := score(e); s < bestScore {
			best, second, bestScore = node, best, s
		} else {
			second = node
		}
		if second >= 0 {
			break
		}
	}
	return best, second
}

// warmHead returns a head that probably caches the prefix and is not much more
// loaded than cold, or -1. A wrong guess costs only a prefill.
func (c *chooser) warmHead(cold int32) int32 {
	if len(c.o.Warm) == 0 {
		return -1
	}
	limit := c.headScore(edge{to: cold})*warmSlack + warmSlackBase/c.p.Nodes[cold].Cap
	best := int32(-1)
	for _, e := range c.p.heads {
		if !c.isWarm(c.name(e.to)) || !c.admissible(e.to) {
			continue
		}
		if s := c.score(e.to); s <= limit {
			best, limit = e.to, s
		}
	}
	if best == cold {
		return -1
	}
	return best
}

func (c *chooser) isWarm(name string) bool {
	for _, w := range c.o.Warm {
		if w == name {
			return true
		}
	}
	return false
}

// search finds the admissible pipeline with the lowest sum of scores. It is the slow
// path, used when sampling finds no pipeline.
func (c *chooser) search() (Choice, error) {
	paths := c.cheapest(c.score)
	if paths.head < 0 {
		if c.o.IgnoreLimits || !c.anyWithoutLimits() {
			return Choice{}, ErrNoRoute
		}
		return Choice{}, ErrFull
	}
	return c.follow(paths), nil
}

// anyWithoutLimits reports whether a pipeline would be admissible without limits.
func (c *chooser) anyWithoutLimits() bool {
	o := *c.o
	o.IgnoreLimits = true
	free := chooser{p: c.p, l: c.l, o: &o, r: c.r}
	return free.cheapest(func(int32) float64 { return 1 }).head >= 0
}

// cheapestPaths holds the cheapest path from every node to the last layer.
type cheapestPaths struct {
	head int32   // of the cheapest pipeline, or -1
	via  []int32 // for each node the next node on its path, -1 at the end
}

// cheapest computes the cheapest paths over admissible nodes, last layers first.
func (c *chooser) cheapest(cost func(int32) float64) cheapestPaths {
	total := make([]float64, len(c.p.Nodes))
	paths := cheapestPaths{head: -1, via: make([]int32, len(c.p.Nodes))}
	for _, i := range c.p.order {
		n := &c.p.Nodes[i]
		paths.via[i] = -1
		total[i] = math.Inf(1)
		if !c.admissible(i) {
			continue
		}
		onward := math.Inf(1)
		if n.final {
			onward = 0
		}
		for _, e := range n.next {
			if t := total[e.to] + c.linkCost(e); t < onward {
				onward = t
				paths.via[i] = e.to
			}
		}
		total[i] = onward + cost(i)
	}
	best := math.Inf(1)
	for _, e := range c.p.heads {
		if total[e.to] < best {
			best = total[e.to]
			paths.head = e.to
		}
	}
	return paths
}

func (c *chooser) linkCost(e edge) float64 {
	if e.id < 0 {
		return 0
	}
	return (c.l.LinkLoad(int(e.id)) + 1) / e.cap
}

// follow returns the route along the cheapest pipeline.
func (c *chooser) follow(paths cheapestPaths) Choice {
	var choice Choice
	lo := 0
	for at := paths.head; at >= 0; at = paths.via[at] {
		choice.Route = append(choice.Route, c.p.hop(at, lo))
		choice.Load = math.Max(choice.Load, c.l.Load(c.p.Nodes[at].Server))
		lo = c.p.Nodes[at].Layers.Hi
	}
	return choice
}

// keptLayerWeight makes one kept layer outweigh any difference in load between
// routes.
const keptLayerWeight = 1e6

// Repair picks the route that keeps the most layers of old on the backend servers
// that ran them. Of several such routes it picks the least loaded. It ignores limits
// and returns ErrNoRoute if there is no route.
func Repair(p *Plan, l Loads, o Options, old topology.Route) (Choice, error) {
	if !p.Routable() {
		return Choice{}, ErrNoRoute
	}
	o.IgnoreLimits = true
	c := chooser{p: p, l: l, o: &o}
	paths := c.cheapest(func(node int32) float64 {
		n := &p.Nodes[node]
		cost := c.score(node)
		if i := old.Index(p.Servers[n.Server].Name); i >= 0 {
			if x := old[i].Layers.Intersect(n.Layers); !x.Empty() {
				cost -= keptLayerWeight * float64(x.Hi-x.Lo)
			}
		}
		return cost
	})
	if paths.head < 0 {
		return Choice{}, ErrNoRoute
	}
	return c.follow(paths), nil
}
