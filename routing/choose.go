package routing

import (
	"errors"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/snowspoke/snowspoke/topology"
)

// Errors of Choose.
var (
	// ErrNoRoute says that no admissible pipeline tiles the layers.
	ErrNoRoute = errors.New("routing: no route")
	// ErrFull says that pipelines exist but all are at their limits.
	ErrFull = errors.New("routing: all routes at their limits")
)

// Loads is the fresh knowledge that corrects the weights; indices are those of
// Plan.Servers.
type Loads interface {
	// Load returns the expected requests in flight on the backend server.
	Load(server int) float64
	// Usable reports whether new work may go there.
	Usable(server int) bool
	// Full reports whether the concurrency limit is reached.
	Full(server int) bool
	// Weight returns the health weight in [0,1].
	Weight(server int) float64
	// LinkLoad returns the expected requests in flight on a link of Plan.Links.
	LinkLoad(link int) float64
}

// Options are the particulars of one request.
type Options struct {
	FailureDomain string          // of this daemon; its backend servers come first at like load
	Avoid         map[string]bool // backend servers that must not be used
	Warm          []string        // backend servers that probably cache the prompt's prefix
	IgnoreLimits  bool            // recovery must not queue behind new work
}

// Choice is a chosen route with what was seen.
type Choice struct {
	Route    topology.Route
	Load     float64 // highest expected requests in flight on a hop
	Rejected string  // name of the runner-up head
	Affinity bool    // chosen for its prefix cache
}

// Costs that shift the choice between backend servers of like load.
const (
	remotePenalty = 1.05 // score factor of a head in another failure domain
	warmSlack     = 1.3  // a warm head may be this much busier than the cold one
	warmSlackBase = 2.0  // and this many requests, so that it counts at low load
)

// samples is how many weighted samples compete for each hop.
const samples = 2

// Choose picks a route: hop by hop, two candidates sampled by flow weight and
// the less loaded one taken. It allocates only the route.
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

// score is the expected work on a node relative to its capacity.
func (c *chooser) score(node int32) float64 {
	n := &c.p.Nodes[node]
	w := c.l.Weight(n.Server)
	if w <= 0 {
		return math.Inf(1)
	}
	return (c.l.Load(n.Server) + 1) / (n.Cap * w)
}

// edgeScore adds the expected work on the link to that on the node.
func (c *chooser) edgeScore(e edge) float64 {
	s := c.score(e.to)
	if e.id >= 0 {
		s += (c.l.LinkLoad(int(e.id)) + 1) / e.cap
	}
	return s
}

func (c *chooser) headScore(e edge) float64 {
	s := c.score(e.to)
	if c.p.Servers[c.p.Nodes[e.to].Server].FailureDomain != c.o.FailureDomain {
		s *= remotePenalty
	}
	return s
}

// walk goes hop by hop without looking back. It gives up where a hop's samples
// are all unusable; search then looks at every pipeline.
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

// pick samples edges by weight and returns the best and the next best node.
func (c *chooser) pick(edges []edge, cum []float64, score func(edge) float64) (best, second int32) {
	best, second = -1, -1
	total := cum[len(cum)-1]
	if total <= 0 {
		return best, second
	}
	bestScore := math.Inf(1)
	for range samples + 2 {
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

// warmHead returns a head that probably caches the prefix and is not much
// busier than cold, or -1. A wrong guess costs a prefill, nothing else.
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

// search finds the pipeline with the lowest sum of scores among all admissible
// ones, last layers first. It is the slow way, for when sampling found none.
func (c *chooser) search() (Choice, error) {
	w := c.cheapest(c.score)
	if w.head < 0 {
		if c.o.IgnoreLimits || !c.anyWithoutLimits() {
			return Choice{}, ErrNoRoute
		}
		return Choice{}, ErrFull
	}
	return c.follow(w), nil
}

func (c *chooser) anyWithoutLimits() bool {
	o := *c.o
	o.IgnoreLimits = true
	free := chooser{p: c.p, l: c.l, o: &o, r: c.r}
	return free.cheapest(func(int32) float64 { return 1 }).head >= 0
}

// ways holds the cheapest way on from every node.
type ways struct {
	head int32
	via  []int32
}

func (c *chooser) cheapest(cost func(int32) float64) ways {
	total := make([]float64, len(c.p.Nodes))
	w := ways{head: -1, via: make([]int32, len(c.p.Nodes))}
	for _, i := range c.p.order {
		n := &c.p.Nodes[i]
		w.via[i] = -1
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
				w.via[i] = e.to
			}
		}
		total[i] = onward + cost(i)
	}
	best := math.Inf(1)
	for _, e := range c.p.heads {
		if total[e.to] < best {
			best = total[e.to]
			w.head = e.to
		}
	}
	return w
}

func (c *chooser) linkCost(e edge) float64 {
	if e.id < 0 {
		return 0
	}
	return (c.l.LinkLoad(int(e.id)) + 1) / e.cap
}

func (c *chooser) follow(w ways) Choice {
	var choice Choice
	lo := 0
	for at := w.head; at >= 0; at = w.via[at] {
		choice.Route = append(choice.Route, c.p.hop(at, lo))
		choice.Load = math.Max(choice.Load, c.l.Load(c.p.Nodes[at].Server))
		lo = c.p.Nodes[at].Layers.Hi
	}
	return choice
}

// keepWeight makes one kept layer worth more than any difference of load.
const keepWeight = 1e6

// Repair picks the route that keeps the most layers of old on the backend
// servers that ran them, and among those the least loaded.
func Repair(p *Plan, l Loads, o Options, old topology.Route) (Choice, error) {
	if !p.Routable() {
		return Choice{}, ErrNoRoute
	}
	o.IgnoreLimits = true
	c := chooser{p: p, l: l, o: &o}
	w := c.cheapest(func(node int32) float64 {
		n := &p.Nodes[node]
		cost := c.score(node)
		if i := old.Index(p.Servers[n.Server].Name); i >= 0 {
			if x := old[i].Layers.Intersect(n.Layers); !x.Empty() {
				cost -= keepWeight * float64(x.Hi-x.Lo)
			}
		}
		return cost
	})
	if w.head < 0 {
		return Choice{}, ErrNoRoute
	}
	return c.follow(w), nil
}
