// Package routing decides which pipeline a request takes. Build computes the
// throughput bound of a model and balanced weights for its pipelines whenever the
// configuration or the fleet changes. Choose picks a pipeline for each request from
// those weights and the current load. Neither does I/O.
package routing

import (
	"math"
	"slices"

	"github.com/snowspoke/snowspoke/topology"
)

// unlimited is the capacity, in tokens per second, of a link without a known limit.
const unlimited = 1e12

// defaultCapacity is the capacity, in tokens per second, assumed for a backend
// server that neither declares nor reports one.
const defaultCapacity = 100.0

// Candidate is a backend server that may serve parts of a model.
type Candidate struct {
	Name          string
	Address       string
	FailureDomain string
	Capacity      float64 // tokens per second through its layers
	Ranges        []topology.LayerRange
}

// Input holds everything that a plan depends on.
type Input struct {
	Layers  int
	Servers []Candidate
	// Link returns the capacity of a link in tokens per second. If it is nil or
	// returns 0, the link has no known limit.
	Link func(from, to int) float64
}

// Node is a backend server with one contiguous range of layers.
type Node struct {
	Server int // index into Plan.Servers
	Layers topology.LayerRange
	Cap    float64   // tokens per second
	next   []edge    // admissible next hops; empty for a last hop
	cum    []float64 // cumulative flow of next
	final  bool      // holds the last layer
}

type edge struct {
	to   int32
	id   int32 // index into Plan.Links, -1 for a link without a known limit
	cap  float64
	flow float64
	cost float64 // of the link; set by balancer
}

// Plan is an immutable routing plan of a model for one class of requests.
type Plan struct {
	Layers  int
	Servers []Candidate
	Nodes   []Node
	Bound   float64   // max flow, tokens per second
	Cut     []CutItem // what limits Bound
	Links   []PlanLink
	heads   []edge
	headCum []float64 // cumulative flow of heads
	order   []int32   // node indices, last layers first
}

// PlanLink is a link with a limited capacity.
type PlanLink struct{ From, To int } // indices into Plan.Servers

// CutItem is a backend server or link that limits the bound.
type CutItem struct {
	BackendServer string  `json:"server"`
	Next          string  `json:"next,omitempty"` // set for a link
	Capacity      float64 `json:"tokensPerSecond"`
}

// Heads returns the nodes that may run the first layers.
func (p *Plan) Heads() []int32 { return targets(p.heads) }

// Next returns the nodes that may follow a node, or nil if it is a last hop.
func (p *Plan) Next(node int32) []int32 {
	if p.Nodes[node].final {
		return nil
	}
	return targets(p.Nodes[node].next)
}

func targets(edges []edge) []int32 {
	out := make([]int32, len(edges))
	for i, e := range edges {
		out[i] = e.to
	}
	return out
}

// RouteOf returns the route through nodes.
func (p *Plan) RouteOf(nodes []int32) topology.Route {
	route := make(topology.Route, 0, len(nodes))
	lo := 0
	for _, i := range nodes {
		route = append(route, p.hop(i, lo))
		lo = p.Nodes[i].Layers.Hi
	}
	return route
}

func (p *Plan) hop(node int32, lo int) topology.Hop {
	n := &p.Nodes[node]
	s := &p.Servers[n.Server]
	return topology.Hop{
		BackendServer: s.Name, Address: s.Address, Layers: topology.LayerRange{Lo: lo, Hi: n.Layers.Hi},
	}
}

// Routable reports whether a pipeline tiles all layers.
func (p *Plan) Routable() bool { return len(p.heads) > 0 }

// Build returns a plan. Each hop runs to the end of the layers that its backend
// server holds. Every other tiling becomes one of this form if its hops are extended,
// so a route is found whenever one exists.
func Build(in Input) *Plan {
	p := &Plan{Layers: in.Layers, Servers: in.Servers}
	p.addNodes()
	p.connect(in.Link)
	p.prune()
	if !p.Routable() {
		return p
	}
	p.solve()
	p.balance()
	p.accumulate()
	return p
}

// addNodes adds a node for each range of a backend server. The capacity of a backend
// server is split equally between its ranges, which are disjoint.
func (p *Plan) addNodes() {
	for i := range p.Servers {
		s := &p.Servers[i]
		if s.Capacity <= 0 {
			s.Capacity = defaultCapacity
		}
		for _, r := range s.Ranges {
			r = r.Intersect(topology.LayerRange{Lo: 0, Hi: p.Layers})
			if r.Empty() {
				continue
			}
			p.Nodes = append(p.Nodes, Node{
				Server: i, Layers: r, Cap: s.Capacity / float64(len(s.Ranges)), final: r.Hi == p.Layers,
			})
		}
	}
	p.order = make([]int32, len(p.Nodes))
	for i := range p.order {
		p.order[i] = int32(i)
	}
	slices.SortFunc(p.order, func(a, b int32) int { return p.Nodes[b].Layers.Hi - p.Nodes[a].Layers.Hi })
}

// connect adds edges from each node to those that can run the next layers.
func (p *Plan) connect(link func(from, to int) float64) {
	for i := range p.Nodes {
		u := &p.Nodes[i]
		if u.Layers.Lo == 0 {
			p.heads = append(p.heads, edge{to: int32(i), id: -1, cap: unlimited})
		}
		if u.final {
			continue
		}
		for j := range p.Nodes {
			v := &p.Nodes[j]
			if v.Server == u.Server || v.Layers.Lo > u.Layers.Hi || v.Layers.Hi <= u.Layers.Hi {
				continue
			}
			e := edge{to: int32(j), id: -1, cap: linkCapacity(link, u.Server, v.Server)}
			if e.cap < unlimited {
				e.id = int32(len(p.Links))
				p.Links = append(p.Links, PlanLink{u.Server, v.Server})
			}
			u.next = append(u.next, e)
		}
	}
}

func linkCapacity(link func(from, to int) float64, from, to int) float64 {
	if link == nil {
		return unlimited
	}
	c := link(from, to)
	if c <= 0 {
		return unlimited
	}
	return c
}

// prune drops edges to nodes from which the last layer cannot be reached.
func (p *Plan) prune() {
	reachesEnd := make([]bool, len(p.Nodes))
	for _, i := range p.order {
		n := &p.Nodes[i]
		n.next = slices.DeleteFunc(n.next, func(e edge) bool { return !reachesEnd[e.to] })
		reachesEnd[i] = n.final || len(n.next) > 0
	}
	p.heads = slices.DeleteFunc(p.heads, func(e edge) bool { return !reachesEnd[e.to] })
}

// solve computes the bound and the minimum cut. Node i of the plan is the arc from
// 2i to 2i+1 of the network.
func (p *Plan) solve() {
	source := 2 * len(p.Nodes)
	sink := source + 1
	net := newNetwork(sink + 1)
	for i := range p.Nodes {
		n := &p.Nodes[i]
		net.add(2*i, 2*i+1, n.Cap)
		if n.final {
			net.add(2*i+1, sink, unlimited)
		}
		for _, e := range n.next {
			net.add(2*i+1, 2*int(e.to), e.cap)
		}
	}
	for _, e := range p.heads {
		net.add(source, 2*int(e.to), unlimited)
	}
	p.Bound = net.maxFlow(source, sink)
	p.findCut(net)
}

// findCut sets the backend servers and links of the minimum cut.
func (p *Plan) findCut(net *network) {
	for i := range p.Nodes {
		n := &p.Nodes[i]
		name := p.Servers[n.Server].Name
		if net.reachable(2*i) && !net.reachable(2*i+1) {
			p.Cut = append(p.Cut, CutItem{BackendServer: name, Capacity: n.Cap})
		}
		if !net.reachable(2*i + 1) {
			continue
		}
		for _, e := range n.next {
			if !net.reachable(2 * int(e.to)) {
				next := p.Servers[p.Nodes[e.to].Server].Name
				p.Cut = append(p.Cut, CutItem{BackendServer: name, Next: next, Capacity: e.cap})
			}
		}
	}
}

// Limits of balance. The number of pushes is chosen so that one plan makes about
// maxEdgeVisits edge visits, but at least minPushes and at most maxPushes.
const (
	minPushes     = 48
	maxPushes     = 768
	maxEdgeVisits = 4_000_000
)

// steepness scales the exponent of the cost of utilization. High values approach
// the maximum flow, low values spread the load more evenly.
const steepness = 30.0

// balance routes the bound in small equal parts, each along the pipeline whose
// hops and links are least utilized (after Garg and Koenemann, "Faster and
// simpler algorithms for multicommodity flow", 1998). A plain maximum flow may
// saturate some backend servers of a wide stage and leave others idle.
func (p *Plan) balance() {
	pushes := min(maxPushes, max(minPushes, maxEdgeVisits/max(1, p.edgeCount())))
	b := newBalancer(p, p.Bound/float64(pushes))
	for range pushes {
		b.pushPart()
	}
}

func (p *Plan) edgeCount() int {
	n := len(p.heads)
	for i := range p.Nodes {
		n += len(p.Nodes[i].next)
	}
	return n
}

// balancer holds the flow and cost of nodes and the cheapest path from each. Costs
// are cached, since a push changes only those along its path.
type balancer struct {
	p     *Plan
	part  float64
	flow  []float64 // by node
	price []float64 // cost of the node itself
	total []float64 // cost of the cheapest path from the node to the end
	via   []int32   // index into next along that path, -1 at the end
}

func newBalancer(p *Plan, part float64) *balancer {
	n := len(p.Nodes)
	b := &balancer{p: p, part: part, flow: make([]float64, n), price: make([]float64, n), total: make([]float64, n), via: make([]int32, n)}
	for i := range p.Nodes {
		b.priceNode(int32(i))
		for j := range p.Nodes[i].next {
			b.priceEdge(&p.Nodes[i].next[j])
		}
	}
	return b
}

func (b *balancer) priceNode(i int32) {
	b.price[i] = utilizationCost((b.flow[i] + b.part) / b.p.Nodes[i].Cap)
}

func (b *balancer) priceEdge(e *edge) {
	if e.id >= 0 {
		e.cost = utilizationCost((e.flow + b.part) / e.cap)
	}
}

// pushPart routes one part along the cheapest pipeline.
func (b *balancer) pushPart() {
	b.findPaths()
	best := 0
	for i, e := range b.p.heads {
		if b.total[e.to] < b.total[b.p.heads[best].to] {
			best = i
		}
	}
	e := &b.p.heads[best]
	for {
		e.flow += b.part
		b.priceEdge(e)
		at := e.to
		b.flow[at] += b.part
		b.priceNode(at)
		if b.via[at] < 0 {
			return
		}
		e = &b.p.Nodes[at].next[b.via[at]]
	}
}

// findPaths computes the cheapest path from every node, last layers first.
func (b *balancer) findPaths() {
	for _, i := range b.p.order {
		n := &b.p.Nodes[i]
		b.via[i] = -1
		onward := 0.0
		if !n.final {
			onward = math.Inf(1)
		}
		for j := range n.next {
			e := &n.next[j]
			if c := b.total[e.to] + e.cost; c < onward {
				onward = c
				b.via[i] = int32(j)
			}
		}
		b.total[i] = onward + b.price[i]
	}
}

func utilizationCost(u float64) float64 { return math.Exp(steepness*math.Min(u, 4)) - 1 }

// accumulate computes the cumulative flows for weighted sampling of heads and next
// hops.
func (p *Plan) accumulate() {
	p.headCum = cumulate(p.heads)
	for i := range p.Nodes {
		p.Nodes[i].cum = cumulate(p.Nodes[i].next)
	}
}

func cumulate(edges []edge) []float64 {
	if len(edges) == 0 {
		return nil
	}
	cum := make([]float64, len(edges))
	sum := 0.0
	for i, e := range edges {
		sum += e.flow
		cum[i] = sum
	}
	return cum
}
