package pipeline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/snowspoke/snowspoke/site"
)

// testEngine returns a model of 80 layers on four kinds of servers with decreasing
// memory.
func testEngine() *site.Engine {
	return &site.Engine{
		Slots: 192, Layers: 80, LayerMB: 1750, KVTokenBytes: 590000, StepMS: 0.85, PerRequestMS: 0.00382,
		ContextPerKMS: 0.00512, PrefillPerSecond: 196000, PrefillPairsMS: 0.166, Stride: 2, Prompt: 772, Answer: 172,
		ActivationBytes: 29500, LinkMbps: 480000, CrossDomainMbps: 9000, LoadsAtOnce: 6,
		Models: []site.EngineModel{{Name: "m", Load: 14 * time.Second}},
		Kinds: map[string]site.Accelerator{
			"large":  {MemoryMB: 72000, Slowdown: 1.4, PrefillSlowdown: 1},
			"middle": {MemoryMB: 36000, Slowdown: 3.1, PrefillSlowdown: 3.2},
			"small":  {MemoryMB: 21600, Slowdown: 16, PrefillSlowdown: 8.2},
			"least":  {MemoryMB: 14400, Slowdown: 15, PrefillSlowdown: 15},
		},
	}
}

// newServer returns an empty server.
func newServer(id, domain, kind string) ServerState {
	s := &site.BackendServer{ID: id, Address: id, FailureDomain: domain, Kind: kind, Slots: 192}
	return ServerState{Server: s}
}

// siteServers returns the empty servers of three failure domains. Each domain can hold
// the model once.
func siteServers() []ServerState {
	var out []ServerState
	add := func(domain, kind string, n int) {
		for range n {
			out = append(out, newServer(fmt.Sprintf("%s-%02d", domain, len(out)), domain, kind))
		}
	}
	add("a", "middle", 2)
	add("a", "small", 4)
	add("a", "least", 7)
	add("b", "large", 1)
	add("b", "middle", 1)
	add("b", "small", 5)
	add("b", "least", 7)
	add("c", "middle", 1)
	add("c", "small", 8)
	add("c", "least", 3)
	return out
}

// placeUntilStable repeats the placement and carries out its orders until there are
// none. It returns the number of orders.
func placeUntilStable(t require.TestingT, e *site.Engine, servers []ServerState) (loads int) {
	for range 20 {
		orders := Place(e, servers, false).Orders
		if len(orders) == 0 {
			return loads
		}
		seen := map[string]bool{}
		for _, o := range orders {
			require.False(t, seen[o.Server.ID], "two orders at once for one server")
			seen[o.Server.ID] = true
			require.LessOrEqual(t, o.Layers.Len(), e.MaxLayers(o.Server.Kind), "more layers than fit on the server")
			require.GreaterOrEqual(t, o.Layers.From, 0)
			require.LessOrEqual(t, o.Layers.To, e.Layers)
			require.Positive(t, o.Layers.Len())
			i := slices.IndexFunc(servers, func(state ServerState) bool { return state.Server.ID == o.Server.ID })
			require.NotEqual(t, servers[i].Assigned, o.Layers, "order without a change")
			s := *servers[i].Server
			s.Held = o.Layers
			servers[i] = ServerState{Server: &s, Assigned: o.Layers}
			loads++
		}
	}
	require.Fail(t, "placement does not converge")
	return loads
}

func holdersOf(e *site.Engine, servers []ServerState, domain string) []int {
	out := make([]int, e.Layers)
	for _, s := range servers {
		if domain != "" && s.Server.FailureDomain != domain {
			continue
		}
		for l := s.Assigned.From; l < s.Assigned.To; l++ {
			out[l]++
		}
	}
	return out
}

func TestFirstPlacementCoversEveryFailureDomain(t *testing.T) {
	e, servers := testEngine(), siteServers()
	placeUntilStable(t, e, servers)
	for _, d := range []string{"a", "b", "c"} {
		require.Equal(t, 1, slices.Min(holdersOf(e, servers, d)), d)
	}
	for _, s := range servers {
		require.GreaterOrEqual(t, e.KVCapacity(s.Server.Kind, s.Assigned.Len())/TypicalRequest(e).Mean()/float64(max(1, s.Assigned.Len())), 100.0,
			"%s with %d layers has little capacity for requests", s.Server.Kind, s.Assigned.Len())
	}
}

func TestLostServerIsReplacedByNeighbors(t *testing.T) {
	e := testEngine()
	for lost := range siteServers() {
		servers := siteServers()
		placeUntilStable(t, e, servers)
		domain := servers[lost].Server.FailureDomain
		servers = slices.Delete(servers, lost, lost+1)
		loads := placeUntilStable(t, e, servers)
		require.Equal(t, 1, slices.Min(holdersOf(e, servers, domain)), "server %d", lost)
		require.LessOrEqual(t, loads, 14, "server %d", lost)
	}
}

// Several servers share the layers of a lost one. Two neighbors that took all of the layers
// would have no memory left for requests.
func TestLostServerLeavesCapacity(t *testing.T) {
	e := testEngine()
	for lost := range siteServers() {
		servers := siteServers()
		placeUntilStable(t, e, servers)
		domain := servers[lost].Server.FailureDomain
		servers = slices.Delete(servers, lost, lost+1)
		placeUntilStable(t, e, servers)
		left := slices.DeleteFunc(servers, func(s ServerState) bool { return s.Server.FailureDomain != domain })
		require.GreaterOrEqual(t, BoundOf(e, left).Requests, 60, "server %d", lost)
	}
}

// withoutLargeServer returns the placed servers of the site without the large one and
// without the redundant servers of its failure domain, which could take its layers.
func withoutLargeServer(t *testing.T, e *site.Engine) (servers []ServerState, domain string) {
	servers = siteServers()
	placeUntilStable(t, e, servers)
	lost := slices.IndexFunc(servers, func(s ServerState) bool { return s.Server.Kind == "large" })
	domain = servers[lost].Server.FailureDomain
	holders := holdersOf(e, servers, domain)
	isRedundant := func(s ServerState) bool {
		return s.Server.FailureDomain == domain && slices.Min(holders[s.Assigned.From:s.Assigned.To]) > 1
	}
	servers = slices.Delete(servers, lost, lost+1)
	return slices.DeleteFunc(servers, isRedundant), domain
}

// While some layer is held by no server of a domain, no request can pass, so servers drop
// layers without waiting. Waiting would prolong the outage of the domain.
func TestLayersAreDroppedAtOnceWhenNoRequestCanPass(t *testing.T) {
	e := testEngine()
	servers, domain := withoutLargeServer(t, e)
	orders := Place(e, servers, false).Orders
	dropping := 0
	for _, o := range orders {
		require.Equal(t, domain, o.Server.FailureDomain)
		if held := servers[slices.IndexFunc(servers, func(s ServerState) bool { return s.Server.ID == o.Server.ID })].Assigned; held.Overlap(o.Layers) < held.Len() {
			dropping++
			require.True(t, o.AtOnce, "%s drops some of %v for %v", o.Server.ID, held, o.Layers)
		}
	}
	require.Positive(t, dropping)
}

// A server that has no memory left for requests is relieved of layers.
func TestConstrainedServerIsRelieved(t *testing.T) {
	e := testEngine()
	servers := siteServers()[:13]
	placeUntilStable(t, e, servers)
	last := slices.MaxFunc(servers, func(a, b ServerState) int { return a.Assigned.To - b.Assigned.To })
	at := slices.IndexFunc(servers, func(s ServerState) bool { return s.Assigned.To == last.Assigned.From })
	servers = slices.DeleteFunc(servers, func(s ServerState) bool { return s.Server.ID == last.Server.ID })
	constrained := *servers[at].Server
	constrained.Held.To = e.Layers
	servers[at] = ServerState{Server: &constrained, Assigned: constrained.Held}
	require.Less(t, BoundOf(e, servers).Requests, 10)
	for _, o := range Place(e, servers, false).Orders {
		require.False(t, o.AtOnce, "requests pass through the constrained server")
	}
	loads := placeUntilStable(t, e, servers)
	require.GreaterOrEqual(t, BoundOf(e, servers).Requests, 90)
	require.LessOrEqual(t, loads, 6)
}

// In a rolling replacement the new server registers before the old one drains. It is
// reserved for the layers of the old one.
func TestReplacementTakesLayersOfDrainingServer(t *testing.T) {
	e, servers := testEngine(), siteServers()
	placeUntilStable(t, e, servers)
	fresh := newServer("a-new", "a", "small")
	fresh.Fresh = true
	servers = append(servers, fresh)
	require.Empty(t, Place(e, servers, true).Orders)
	old := slices.IndexFunc(servers, func(s ServerState) bool { return s.Server.FailureDomain == "a" && s.Server.Kind == "small" })
	draining := *servers[old].Server
	draining.Draining = true
	servers[old].Server = &draining
	orders := Place(e, servers, true).Orders
	require.Len(t, orders, 1)
	require.Equal(t, "a-new", orders[0].Server.ID)
	require.Equal(t, servers[old].Assigned, orders[0].Layers)
	servers[old] = servers[len(servers)-1]
	servers[old].Fresh = false
	placeUntilStable(t, e, servers[:len(servers)-1])
}

// While requests still pass through a draining server, its neighbors may take over its
// layers but drop none of their own.
func TestNoLayersAreDroppedForDrainingServer(t *testing.T) {
	for at := range siteServers() {
		e, servers := testEngine(), siteServers()
		placeUntilStable(t, e, servers)
		draining := *servers[at].Server
		draining.Draining = true
		servers[at].Server = &draining
		for _, o := range Place(e, servers, true).Orders {
			held := o.Server.Held
			require.Equal(t, held.Len(), held.Overlap(o.Layers), "%s: %s drops some of %v for %v", servers[at].Server.ID, o.Server.ID, held, o.Layers)
		}
	}
}

func TestReturningEmptyServerGetsLayers(t *testing.T) {
	e, servers := testEngine(), siteServers()
	placeUntilStable(t, e, servers)
	servers[3] = newServer("a-new", "a", "small")
	placeUntilStable(t, e, servers)
	require.Positive(t, servers[3].Assigned.Len())
	require.Equal(t, 1, slices.Min(holdersOf(e, servers, "a")))
}

func TestGroupIsNotRebuiltWhileServerMayReturn(t *testing.T) {
	e := testEngine()
	servers, domain := withoutLargeServer(t, e)
	left := slices.DeleteFunc(slices.Clone(servers), func(s ServerState) bool { return s.Server.FailureDomain != domain })
	plan, rebuilt := Place(e, servers, true), Place(e, servers, false).Orders
	require.True(t, plan.Incomplete)
	require.Less(t, len(plan.Orders), len(rebuilt))
	require.GreaterOrEqual(t, len(rebuilt), len(left)-1, "all servers of the domain but at most one that keeps its layers")
}

// A rebuild does not interrupt requests that pass through a draining server.
func TestGroupIsRebuiltGracefullyWhileServerDrains(t *testing.T) {
	e := testEngine()
	servers, domain := withoutLargeServer(t, e)
	draining := newServer("leaving", domain, "large")
	server := *draining.Server
	server.Draining, server.Held = true, site.Range{To: 24}
	orders := Place(e, append(servers, ServerState{Server: &server, Assigned: server.Held}), false).Orders
	require.NotEmpty(t, orders)
	for _, o := range orders {
		require.False(t, o.AtOnce, "%s drops layers for %v", o.Server.ID, o.Layers)
	}
}

func TestBusyServersGetNoOrders(t *testing.T) {
	e, servers := testEngine(), siteServers()
	placeUntilStable(t, e, servers)
	servers = slices.Delete(servers, 4, 5)
	for i := range servers {
		servers[i].Busy = true
	}
	require.Empty(t, Place(e, servers, false).Orders)
}

func TestDrainingServersAreNotUsed(t *testing.T) {
	e, servers := testEngine(), siteServers()
	placeUntilStable(t, e, servers)
	draining := *servers[4].Server
	draining.Draining = true
	servers[4].Server = &draining
	orders := Place(e, servers, false).Orders
	require.NotEmpty(t, orders)
	require.False(t, slices.ContainsFunc(orders, func(o Order) bool { return o.Server.ID == draining.ID }))
}

func TestPlacementConverges(t *testing.T) {
	e := testEngine()
	kinds := []string{"large", "middle", "small", "least"}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "cards")
		servers := make([]ServerState, n)
		memory := 0
		for i := range servers {
			servers[i] = newServer(fmt.Sprintf("c-%02d", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), rapid.SampledFrom(kinds).Draw(t, "kind"))
			memory += e.MaxLayers(servers[i].Server.Kind)
		}
		placeUntilStable(t, e, servers)
		for range rapid.IntRange(0, 4).Draw(t, "losses") {
			if len(servers) > 1 {
				i := rapid.IntRange(0, len(servers)-1).Draw(t, "lost")
				memory -= e.MaxLayers(servers[i].Server.Kind)
				servers = slices.Delete(servers, i, i+1)
				placeUntilStable(t, e, servers)
			}
		}
		if memory >= 3*e.Layers {
			require.Positive(t, slices.Min(holdersOf(e, servers, "")), "no server holds a layer although memory suffices")
		}
	})
}

func candidates(servers []ServerState) []Candidate {
	out := make([]Candidate, 0, len(servers))
	for _, s := range servers {
		out = append(out, Candidate{Server: s.Server})
	}
	return out
}

func query(e *site.Engine, near string) *Query {
	return &Query{Engine: e, Tokens: TypicalRequest(e), Near: near}
}

func TestPathsTileTheLayersAndStayInTheirDomain(t *testing.T) {
	e, servers := testEngine(), siteServers()
	placeUntilStable(t, e, servers)
	for _, near := range []string{"a", "b", "c"} {
		c, err := Choose(query(e, near), candidates(servers), nil)
		require.NoError(t, err)
		require.NoError(t, c.Path.CheckTiling(e.Layers))
		for _, h := range c.Path {
			require.Equal(t, c.Path[0].Server.FailureDomain, h.Server.FailureDomain)
		}
	}
}

func TestPathAvoidsLostServerAndKeepsOtherHops(t *testing.T) {
	e, servers := testEngine(), siteServers()
	placeUntilStable(t, e, servers)
	q := query(e, "a")
	c, err := Choose(q, candidates(servers), nil)
	require.NoError(t, err)
	lost := c.Path[2].Server
	left := slices.DeleteFunc(candidates(servers), func(x Candidate) bool { return x.Server.ID == lost.ID })
	q.Head, q.HeadLayers = c.Path[0].Server, c.Path[0].Layers
	q.Keep = map[string]site.Range{}
	for _, h := range c.Path {
		q.Keep[h.Server.ID] = h.Layers
	}
	again, err := Choose(q, left, nil)
	require.NoError(t, err)
	require.NoError(t, again.Path.CheckTiling(e.Layers))
	require.Equal(t, c.Path[0], again.Path[0])
	require.False(t, again.Path.Uses(lost.ID))
	kept := 0
	for _, h := range again.Path {
		if q.Keep[h.Server.ID] == h.Layers {
			kept++
		}
	}
	require.GreaterOrEqual(t, kept, len(c.Path)-3)
}

func TestNoPathAndFullPathsAreDistinguished(t *testing.T) {
	e, servers := testEngine(), siteServers()
	_, err := Choose(query(e, "a"), candidates(servers), nil)
	require.ErrorIs(t, err, ErrNoPath)
	placeUntilStable(t, e, servers)
	cs := candidates(servers)
	for i := range cs {
		cs[i].Load.KVUsed = 1e12
	}
	_, err = Choose(query(e, "a"), cs, nil)
	require.ErrorIs(t, err, ErrFull)
}

func TestRequestsSpreadWithIdenticalLoads(t *testing.T) {
	e := testEngine()
	var servers []ServerState
	for i := range 2 {
		servers = append(servers, siteServers()...)
		for j := range siteServers() {
			c := &servers[i*len(siteServers())+j]
			c.Server.ID = fmt.Sprintf("%d-%s", i, c.Server.ID)
			c.Server.Address = c.Server.ID
		}
	}
	placeUntilStable(t, e, servers)
	heads := map[string]int{}
	r := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		q := query(e, "a")
		q.Jitter = 0.6
		c, err := Choose(q, candidates(servers), r)
		require.NoError(t, err)
		heads[c.Path[0].Server.ID]++
	}
	for id, n := range heads {
		require.Less(t, n, 240, "%s is the head of nearly all requests", id)
	}
}

// Servers whose records have layers outside the model are ignored.
func TestServersWithLayersBeyondTheModelAreIgnored(t *testing.T) {
	e, servers := testEngine(), siteServers()
	placeUntilStable(t, e, servers)
	cs := candidates(servers)
	for _, held := range []site.Range{{From: 0, To: e.Layers + 9}, {From: 4, To: e.Layers + 1}, {From: -3, To: 2}, {From: e.Layers, To: e.Layers + 5}} {
		cs = append(cs, Candidate{Server: &site.BackendServer{ID: "odd", Address: "odd:1", FailureDomain: "a", Kind: "large", Held: held}})
	}
	q := query(e, "a")
	c, err := Choose(q, cs, nil)
	require.NoError(t, err)
	require.NoError(t, c.Path.CheckTiling(e.Layers))
	require.False(t, c.Path.Uses("odd"))
	q.Head, q.HeadLayers = cs[len(cs)-4].Server, site.Range{From: 0, To: e.Layers + 9}
	_, err = Choose(q, cs, nil)
	require.ErrorIs(t, err, ErrNoPath)
	require.Zero(t, BoundOf(&site.Engine{}, servers))
}

func TestBoundNamesLimitingLayers(t *testing.T) {
	e, servers := testEngine(), siteServers()
	require.Zero(t, BoundOf(e, servers).Requests)
	placeUntilStable(t, e, servers)
	complete := BoundOf(e, servers)
	require.Greater(t, complete.Requests, 100)
	lost := servers[3].Assigned
	reduced := BoundOf(e, slices.Delete(slices.Clone(servers), 3, 4))
	require.Less(t, reduced.Requests, complete.Requests)
	require.GreaterOrEqual(t, reduced.Layers.From, lost.From)
	require.LessOrEqual(t, reduced.Layers.To, lost.To)
}

// BenchmarkChoose measures the choice of a path among the servers of one site and among
// 77 times as many.
func BenchmarkChoose(b *testing.B) {
	for _, copies := range []int{1, 77} {
		e, servers := testEngine(), siteServers()
		placeUntilStable(b, e, servers)
		var cs []Candidate
		for n := range copies {
			for _, c := range candidates(servers) {
				s := *c.Server
				s.ID, s.Address = fmt.Sprint(s.ID, "-", n), fmt.Sprint(s.Address, "-", n)
				cs = append(cs, Candidate{Server: &s})
			}
		}
		b.Run(fmt.Sprintf("cards=%d", len(cs)), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 2))
			for b.Loop() {
				q := query(e, "a")
				q.Jitter = 0.6
				if _, err := Choose(q, cs, r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlace measures a placement after the loss of servers, at the size of one site
// and at 77 times that size.
func BenchmarkPlace(b *testing.B) {
	for _, copies := range []int{1, 77} {
		e := testEngine()
		var servers []ServerState
		for n := range copies {
			for _, state := range siteServers() {
				s := *state.Server
				s.ID, s.Address = fmt.Sprint(s.ID, "-", n), fmt.Sprint(s.Address, "-", n)
				servers = append(servers, ServerState{Server: &s})
			}
		}
		placeUntilStable(b, e, servers)
		lost := slices.Delete(slices.Clone(servers), 5, 9)
		b.Run(fmt.Sprintf("cards=%d", len(lost)), func(b *testing.B) {
			for b.Loop() {
				Place(e, lost, true)
			}
		})
	}
}
