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
	Assigned site.Range // layers that it holds, or will hold after its pending order
	Busy     bool       // an order is pending or unanswered
	// Fresh is set for a short time after an empty server registers. In a rolling
	// replacement the new server starts before the old one drains, and is reserved
	// for the layers of the old one.
	Fresh bool
}

// Order states which layers a backend server must hold.
type Order struct {
	Server *site.BackendServer
	Layers site.Range
	// AtOnce drops layers without waiting for the requests that pass through them. It
	// is set if some layer is held by no server of the group, so that the requests cannot
	// continue there anyway. Waiting for them would keep the group out of service for
	// several seconds longer.
	AtOnce bool
	Reason string
}

// Placement targets.
const (
	// minPipelineHeadroom is the memory for requests that a group with more than one
	// pipeline must have for each of them, as a fraction of a pipeline's weights.
	minPipelineHeadroom = 0.5
	// fillCapacity is the number of typical requests for which a server keeps memory
	// when it takes an uncovered range. A server with less memory would limit its
	// pipeline.
	fillCapacity = 80
	// minCapacity is the corresponding number for servers that share the layers of a lost
	// server, and minSoleCapacity the one if no other server holds these layers.
	minCapacity     = 30
	minSoleCapacity = 8
	// minHolders is the number of servers of the site that should hold each layer.
	minHolders = 2
)

// Plan is the result of Place.
type Plan struct {
	Orders []Order
	// Incomplete is set if the servers of a group will not cover all layers after these
	// orders. Only a rebuild of the group can then cover them.
	Incomplete bool
}

// Place returns the orders that bring the servers closer to covering every layer.
// Servers of a failure domain that can hold complete pipelines form a group, since
// paths across failure domains are slow; all other servers form one more group.
// Servers that hold layers get orders only if their group does not cover a layer or
// lacks capacity: loading weights is expensive, and requests pass through them.
//
// With patient, a group is not rebuilt even if its servers cannot cover a layer. In a
// rebuild all servers load weights again, and a crashed server may return within
// seconds.
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
// still pass through these servers.
func drainingRanges(servers []ServerState) map[string][]site.Range {
	out := map[string][]site.Range{}
	for _, s := range servers {
		if d := s.Server.FailureDomain; s.Server.Draining && placed(s) {
			out[d] = append(out[d], s.Assigned)
		}
	}
	return out
}

func usableServers(e *site.Engine, servers []ServerState) []ServerState {
	var out []ServerState
	for _, s := range servers {
		if !s.Server.Draining && e.MaxLayers(s.Server.Kind) > 0 {
			out = append(out, s)
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

func placed(s ServerState) bool { return s.Assigned.Len() > 0 }

func busy(s ServerState) bool { return s.Busy }

// group is the state of placing one group.
type group struct {
	e        *site.Engine
	servers  []ServerState
	draining []site.Range // layers of draining servers; requests pass through them
	copies   int          // number of servers that should hold each layer
	atOnce   bool         // whether new orders drop layers at once
	orders   []Order
}

// assign adds an order for a server and updates its state as if the order were
// carried out.
func (g *group) assign(i int, r site.Range, reason string) {
	c := &g.servers[i]
	g.orders = append(g.orders, Order{Server: c.Server, Layers: r, AtOnce: g.atOnce, Reason: reason})
	c.Assigned, c.Busy = r, true
}

// graceful makes further orders wait for requests to end before they drop layers.
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

// hasUnheldLayer reports whether any of the layers is held by no server of the group.
func (g *group) hasUnheldLayer(layers site.Range) bool {
	return slices.Contains(g.holders()[layers.From:layers.To], 0)
}

// blocked reports whether no request can pass through a range: some layer of the range is
// held by no server of the group, and no draining server holds layers of the range.
func (g *group) blocked(r site.Range) bool { return g.hasUnheldLayer(r) && !g.heldByDraining(r) }

// uncoveredRanges returns the ranges of layers that fewer than g.copies servers hold.
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
func (g *group) assignFreeServers(free func(s ServerState, holders []int) bool) {
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
func (g *group) sizeFor(s ServerState, uncovered site.Range) int {
	full := fit(g.e, []ServerState{s}, float64(max(1, g.e.Slots)))[0]
	return max(1, full, min(uncovered.Len(), g.layersWithHeadroom(s)))
}

// rangeAround returns a range of n layers that begins with the uncovered range, or
// surrounds it if it has fewer than n layers. A server that holds more than the
// uncovered range can substitute for its neighbors.
func rangeAround(uncovered site.Range, n, layers int) site.Range {
	from := uncovered.From
	if n > uncovered.Len() {
		from = max(0, uncovered.From-(n-uncovered.Len())/2)
	}
	from = max(0, min(from, layers-n))
	return site.Range{From: from, To: min(layers, from+n)}
}

// layersWithHeadroom returns how many layers a server can hold besides the memory of
// fillCapacity requests, at least one.
func (g *group) layersWithHeadroom(s ServerState) int {
	n := fit(g.e, []ServerState{s}, fillCapacity)[0]
	return max(1, min(n, g.e.MaxLayers(s.Server.Kind)))
}

// freeServer returns the free server that fits an uncovered range best: the smallest
// that can take all of it, else the largest; -1 for none.
func (g *group) freeServer(uncovered site.Range, free func(ServerState, []int) bool) int {
	best := -1
	holders := g.holders()
	for i := range g.servers {
		s := g.servers[i]
		if s.Busy || !free(s, holders) || placed(s) && g.heldByDraining(uncovered) {
			continue
		}
		if best < 0 || fitsBetter(g.layersWithHeadroom(s), g.layersWithHeadroom(g.servers[best]), uncovered.Len()) {
			best = i
		}
	}
	return best
}

// fitsBetter reports whether a server that can take a layers fits a range of n layers
// better than one that can take b.
func fitsBetter(a, b, n int) bool {
	if a >= n && b >= n {
		return a < b
	}
	return a > b
}

// empty reports whether a server holds no layers.
func empty(s ServerState, _ []int) bool { return !placed(s) }

// redundant reports whether enough other servers hold all layers of a server.
func (g *group) redundant(s ServerState, holders []int) bool {
	if !placed(s) {
		return false
	}
	for l := max(0, s.Assigned.From); l < min(g.e.Layers, s.Assigned.To); l++ {
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
		s := g.servers[i]
		if placed(s) || s.Busy || s.Fresh {
			continue
		}
		if r := lowestCapacityWindow(g.e, s, capacityByLayer(g.e, g.servers)); r.Len() > 0 {
			g.assign(i, r, "lowest capacity for requests in these layers")
		}
	}
}

// placeRemaining assigns servers that together cannot hold a pipeline to the layers
// that the fewest servers of the site hold. orders are those of the other groups.
func placeRemaining(e *site.Engine, rest, all []ServerState, orders []Order) []Order {
	g := &group{e: e, servers: slices.Clone(all), copies: minHolders}
	for _, o := range orders {
		for i := range g.servers {
			if g.servers[i].Server.ID == o.Server.ID {
				g.servers[i].Assigned, g.servers[i].Busy = o.Layers, true
			}
		}
	}
	inRest := func(s ServerState) bool {
		return slices.ContainsFunc(rest, func(r ServerState) bool { return r.Server.ID == s.Server.ID })
	}
	for i := range g.servers {
		if !inRest(g.servers[i]) {
			g.servers[i].Busy = true // placed with another group
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
