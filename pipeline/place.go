package pipeline

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/snowspoke/snowspoke/site"
)

// ServerState is a backend server with its state as placement uses it.
type ServerState struct {
	Server   *site.BackendServer
	Assigned site.Range // layers that it holds, or will hold once the pending order is carried out
	Busy     bool       // an order is pending, or one was sent without an answer
	// Fresh is set for a short time after an empty server registers. In a rolling
	// replacement the new server starts before the old one drains, and is reserved
	// for the layers of that one.
	Fresh bool
}

// Order tells a backend server which layers to hold.
type Order struct {
	Server *site.BackendServer
	Layers site.Range
	// AtOnce drops layers without waiting for the requests that pass through them. It
	// is set when no server of the group holds some layer, so that those requests
	// cannot continue there anyway.
	AtOnce bool
	Reason string
}

// Placement targets.
const (
	// minPipelineHeadroom is the memory for requests that each further pipeline of a
	// group must leave, as a fraction of its weights.
	minPipelineHeadroom = 0.5
	// fillCapacity is the number of typical requests for which a server keeps memory
	// when it takes an uncovered range. A server with less limits its whole pipeline.
	fillCapacity = 80
	// minCapacity is the same for servers that share the layers of a lost one,
	// minSoleCapacity where no other server holds these layers.
	minCapacity     = 30
	minSoleCapacity = 8
	// minHolders is the number of servers in the whole site that should hold each
	// layer.
	minHolders = 2
)

// Plan is the result of Place.
type Plan struct {
	Orders []Order
	// Incomplete is set if the servers of a group will not cover all layers after these
	// orders. Only placing the whole group again can then cover them.
	Incomplete bool
}

// Place returns the orders that bring the servers closer to covering every layer.
// Servers of a failure domain that can hold complete pipelines form a group, since
// paths across failure domains are slow; all other servers form one more group.
// Servers that hold layers get orders only if their group does not cover a layer or
// lacks capacity: loading weights is expensive, and requests pass through them.
//
// With patient, a group is not rebuilt even if its servers cannot cover a layer. A
// rebuild loads the weights of all of them again, and a crashed server may return
// within seconds.
func Place(e *site.Engine, servers []ServerState, patient bool) Plan {
	draining := drainingRanges(servers)
	servers = usableServers(e, servers)
	var p Plan
	var rest []ServerState
	for _, d := range groupByDomain(servers) {
		if n := pipelineCount(e, d); n > 0 {
			p.add(placeGroup(e, d, draining[d[0].Server.FailureDomain], n, patient))
			continue
		}
		rest = append(rest, d...)
	}
	if n := pipelineCount(e, rest); n > 0 {
		p.add(placeGroup(e, rest, nil, n, patient))
		return p
	}
	p.Orders = append(p.Orders, placeRemaining(e, rest, servers, p.Orders)...)
	return p
}

func (p *Plan) add(o Plan) {
	p.Orders = append(p.Orders, o.Orders...)
	p.Incomplete = p.Incomplete || o.Incomplete
}

// drainingRanges returns the layers of draining servers by failure domain. Requests
// still pass through them.
func drainingRanges(servers []ServerState) map[string][]site.Range {
	out := map[string][]site.Range{}
	for _, c := range servers {
		if d := c.Server.FailureDomain; c.Server.Draining && placed(c) {
			out[d] = append(out[d], c.Assigned)
		}
	}
	return out
}

func usableServers(e *site.Engine, servers []ServerState) []ServerState {
	var out []ServerState
	for _, c := range servers {
		if !c.Server.Draining && e.MaxLayers(c.Server.Kind) > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b ServerState) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return out
}

// placeGroup places n pipelines on the servers of a group.
func placeGroup(e *site.Engine, servers []ServerState, draining []site.Range, n int, patient bool) Plan {
	if !slices.ContainsFunc(servers, placed) {
		var orders []Order
		for _, chain := range partition(e, servers, n) {
			orders = append(orders, placePipeline(e, chain)...)
		}
		return Plan{Orders: orders}
	}
	g := &group{e: e, servers: slices.Clone(servers), draining: draining, copies: n}
	g.assignFreeServers(empty)
	g.extendNeighbors()
	g.assignFreeServers(g.redundant)
	g.shareUncovered(patient)
	incomplete := g.hasUnheldLayer(site.Range{To: e.Layers})
	if incomplete && !patient {
		if rebuilt := rebuildPipelines(e, slices.DeleteFunc(slices.Clone(servers), busy), n, len(draining) == 0); len(rebuilt) > 0 {
			return Plan{Orders: rebuilt}
		}
	}
	g.useEmpty()
	g.relieve()
	return Plan{Orders: g.orders, Incomplete: incomplete}
}

func placed(c ServerState) bool { return c.Assigned.Len() > 0 }

func busy(c ServerState) bool { return c.Busy }

// group is the state of placing one group.
type group struct {
	e        *site.Engine
	servers  []ServerState
	draining []site.Range // layers of draining servers; requests pass through them
	copies   int          // pipelines, the number of servers that should hold each layer
	atOnce   bool         // new orders drop layers at once
	orders   []Order
}

// assign adds an order for a server and updates its state as if the order were
// carried out.
func (g *group) assign(i int, r site.Range, reason string) {
	c := &g.servers[i]
	g.orders = append(g.orders, Order{Server: c.Server, Layers: r, AtOnce: g.atOnce, Reason: reason})
	c.Assigned, c.Busy = r, true
}

// graceful makes further orders wait for requests before they drop layers.
func (g *group) graceful() { g.atOnce = false }

// holders returns the number of servers that hold each layer.
func (g *group) holders() []int {
	out := make([]int, g.e.Layers)
	for i := range g.servers {
		r := g.servers[i].Assigned
		for l := max(0, r.From); l < min(g.e.Layers, r.To); l++ {
			out[l]++
		}
	}
	return out
}

// hasUnheldLayer reports whether no server of the group holds some of the layers.
func (g *group) hasUnheldLayer(layers site.Range) bool {
	return slices.Contains(g.holders()[layers.From:layers.To], 0)
}

// blocked reports whether no request can pass through a range: no server of the group
// holds some of its layers, nor does a draining one.
func (g *group) blocked(r site.Range) bool { return g.hasUnheldLayer(r) && !g.heldByDraining(r) }

// uncoveredRanges returns the ranges of layers that are held by fewer servers than
// there are pipelines.
func (g *group) uncoveredRanges() []site.Range {
	var out []site.Range
	holders := g.holders()
	for l := 0; l < len(holders); l++ {
		if holders[l] >= g.copies {
			continue
		}
		from := l
		for l < len(holders) && holders[l] < g.copies {
			l++
		}
		out = append(out, site.Range{From: from, To: l})
	}
	return out
}

// assignFreeServers assigns uncovered ranges to servers for which free is true.
// holders is the number of servers that hold each layer.
func (g *group) assignFreeServers(free func(c ServerState, holders []int) bool) {
	defer g.graceful()
	for _, uncovered := range g.uncoveredRanges() {
		g.atOnce = g.blocked(uncovered)
		for uncovered.Len() > 0 {
			i := g.freeServer(uncovered, free)
			if i < 0 {
				break
			}
			r := rangeAround(uncovered, g.sizeFor(g.servers[i], uncovered), g.e.Layers)
			g.assign(i, r, fmt.Sprintf("layers %d-%d are held by too few backend servers", uncovered.From, uncovered.To))
			uncovered.From = r.To
		}
	}
}

// sizeFor returns how many layers a server takes for an uncovered range: as many as
// leave memory for requests in all slots, and more only if the range is larger.
func (g *group) sizeFor(c ServerState, uncovered site.Range) int {
	full := fit(g.e, []ServerState{c}, float64(max(1, g.e.Slots)))[0]
	return max(1, full, min(uncovered.Len(), g.layersWithHeadroom(c)))
}

// rangeAround returns n layers that begin with the uncovered range, or surround it if
// it is smaller. A server that holds more than the range can substitute for its
// neighbors.
func rangeAround(uncovered site.Range, n, layers int) site.Range {
	from := uncovered.From
	if n > uncovered.Len() {
		from = max(0, uncovered.From-(n-uncovered.Len())/2)
	}
	from = max(0, min(from, layers-n))
	return site.Range{From: from, To: min(layers, from+n)}
}

// layersWithHeadroom returns how many layers a server can take with memory for
// fillCapacity requests, at least one.
func (g *group) layersWithHeadroom(c ServerState) int {
	n := fit(g.e, []ServerState{c}, fillCapacity)[0]
	return max(1, min(n, g.e.MaxLayers(c.Server.Kind)))
}

// freeServer returns the free server that fits an uncovered range best: the smallest
// that covers it, else the largest; -1 for none.
func (g *group) freeServer(uncovered site.Range, free func(ServerState, []int) bool) int {
	best := -1
	holders := g.holders()
	for i := range g.servers {
		c := g.servers[i]
		if c.Busy || !free(c, holders) || placed(c) && g.heldByDraining(uncovered) {
			continue
		}
		if best < 0 || fitsBetter(g.layersWithHeadroom(c), g.layersWithHeadroom(g.servers[best]), uncovered.Len()) {
			best = i
		}
	}
	return best
}

func fitsBetter(a, b, want int) bool {
	if a >= want && b >= want {
		return a < b
	}
	return a > b
}

// empty reports whether a server holds no layers.
func empty(c ServerState, _ []int) bool { return !placed(c) }

// redundant reports whether enough other servers hold all layers of a server.
func (g *group) redundant(c ServerState, holders []int) bool {
	if !placed(c) {
		return false
	}
	for l := max(0, c.Assigned.From); l < min(g.e.Layers, c.Assigned.To); l++ {
		if holders[l] <= g.copies {
			return false
		}
	}
	return true
}

// useEmpty assigns the remaining empty servers to the layers with the lowest
// capacity.
func (g *group) useEmpty() {
	for i := range g.servers {
		c := g.servers[i]
		if placed(c) || c.Busy || c.Fresh {
			continue
		}
		if r := lowestCapacityWindow(g.e, c, capacityByLayer(g.e, g.servers)); r.Len() > 0 {
			g.assign(i, r, "lowest capacity for requests in these layers")
		}
	}
}

// placeRemaining assigns servers that cannot hold a pipeline by themselves to the
// layers that the fewest servers of the site hold.
func placeRemaining(e *site.Engine, rest, all []ServerState, orders []Order) []Order {
	g := &group{e: e, servers: slices.Clone(all), copies: minHolders}
	for _, o := range orders {
		for i := range g.servers {
			if g.servers[i].Server.ID == o.Server.ID {
				g.servers[i].Assigned, g.servers[i].Busy = o.Layers, true
			}
		}
	}
	inRest := func(c ServerState) bool {
		return slices.ContainsFunc(rest, func(r ServerState) bool { return r.Server.ID == c.Server.ID })
	}
	for i := range g.servers {
		if !inRest(g.servers[i]) {
			g.servers[i].Busy = true // placed with its own group
		}
	}
	if len(rest) == len(all) {
		g.copies = 1
	}
	g.assignFreeServers(empty)
	g.assignFreeServers(g.redundant)
	g.shareUncovered(false)
	g.useEmpty()
	return g.orders
}
