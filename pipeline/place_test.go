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

// testEngine is a model of 80 layers on four kinds of cards; a large, a middling
// and two small ones of which one is slow.
func testEngine() *site.Engine {
	return &site.Engine{
		Slots: 192, Layers: 80, LayerMB: 1750, KVTokenBytes: 590000, StepMS: 0.85, PerRequestMS: 0.00382,
		ContextPerKMS: 0.00512, ReadPerSecond: 196000, ReadPairsMS: 0.166, Stride: 2, Prompt: 772, Answer: 172,
		ActBytes: 29500, LinkMbps: 480000, PipeMbps: 9000, LoadsAtOnce: 6,
		Models: []site.EngineModel{{Name: "m", Load: 14 * time.Second}},
		Kinds: map[string]site.Accelerator{
			"large":  {MemoryMB: 72000, Pace: 1.4, ReadPace: 1},
			"middle": {MemoryMB: 36000, Pace: 3.1, ReadPace: 3.2},
			"small":  {MemoryMB: 21600, Pace: 16, ReadPace: 8.2},
			"least":  {MemoryMB: 14400, Pace: 15, ReadPace: 15},
		},
	}
}

// card returns an empty card.
func card(id, domain, kind string) Card {
	s := &site.BackendServer{ID: id, Address: id, FailureDomain: domain, Kind: kind, Slots: 192}
	return Card{Server: s}
}

// siteCards returns cards of three failure domains, each of which can hold the
// model once.
func siteCards() []Card {
	var out []Card
	add := func(domain, kind string, n int) {
		for range n {
			out = append(out, card(fmt.Sprintf("%s-%02d", domain, len(out)), domain, kind))
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

// settle carries orders out and places again until nothing is left to do.
func settle(t require.TestingT, e *site.Engine, cards []Card) (loads int) {
	for range 20 {
		orders := Place(e, cards, false).Orders
		if len(orders) == 0 {
			return loads
		}
		seen := map[string]bool{}
		for _, o := range orders {
			require.False(t, seen[o.Server.ID], "two orders at once for one card")
			seen[o.Server.ID] = true
			require.LessOrEqual(t, o.Layers.Len(), e.MaxLayers(o.Server.Kind), "more than the card holds")
			require.GreaterOrEqual(t, o.Layers.From, 0)
			require.LessOrEqual(t, o.Layers.To, e.Layers)
			require.Positive(t, o.Layers.Len())
			i := slices.IndexFunc(cards, func(c Card) bool { return c.Server.ID == o.Server.ID })
			require.NotEqual(t, cards[i].Ordered, o.Layers, "an order that changes nothing")
			s := *cards[i].Server
			s.Held = o.Layers
			cards[i] = Card{Server: &s, Ordered: o.Layers}
			loads++
		}
	}
	require.Fail(t, "placement does not come to rest")
	return loads
}

func holdersOf(e *site.Engine, cards []Card, domain string) []int {
	out := make([]int, e.Layers)
	for _, c := range cards {
		if domain != "" && c.Server.FailureDomain != domain {
			continue
		}
		for l := c.Ordered.From; l < c.Ordered.To; l++ {
			out[l]++
		}
	}
	return out
}

func TestFirstPlacementCoversEveryFailureDomain(t *testing.T) {
	e, cards := testEngine(), siteCards()
	settle(t, e, cards)
	for _, d := range []string{"a", "b", "c"} {
		require.Equal(t, 1, slices.Min(holdersOf(e, cards, d)), d)
	}
	for _, c := range cards {
		require.GreaterOrEqual(t, e.KVRoom(c.Server.Kind, c.Ordered.Len())/Usual(e).Mean()/float64(max(1, c.Ordered.Len())), 100.0,
			"%s with %d layers has little room for requests", c.Server.Kind, c.Ordered.Len())
	}
}

func TestLostCardIsReplacedByItsNeighbours(t *testing.T) {
	e := testEngine()
	for lost := range siteCards() {
		cards := siteCards()
		settle(t, e, cards)
		domain := cards[lost].Server.FailureDomain
		cards = slices.Delete(cards, lost, lost+1)
		loads := settle(t, e, cards)
		require.Equal(t, 1, slices.Min(holdersOf(e, cards, domain)), "card %d", lost)
		require.LessOrEqual(t, loads, 14, "card %d", lost)
	}
}

// The cards that are left share the layers of a lost one evenly: two neighbours
// that took them alone had room for seven requests beside their weights.
func TestLostCardLeavesRoomForRequests(t *testing.T) {
	e := testEngine()
	for lost := range siteCards() {
		cards := siteCards()
		settle(t, e, cards)
		domain := cards[lost].Server.FailureDomain
		cards = slices.Delete(cards, lost, lost+1)
		settle(t, e, cards)
		left := slices.DeleteFunc(cards, func(c Card) bool { return c.Server.FailureDomain != domain })
		require.GreaterOrEqual(t, BoundOf(e, left).Requests, 60, "card %d", lost)
	}
}

// crippled returns the cards of the site without a large one, nor those of its failure
// domain whose layers lie on others and which could take its layers.
func crippled(t *testing.T, e *site.Engine) (cards []Card, domain string) {
	cards = siteCards()
	settle(t, e, cards)
	lost := slices.IndexFunc(cards, func(c Card) bool { return c.Server.Kind == "large" })
	domain = cards[lost].Server.FailureDomain
	holders := holdersOf(e, cards, domain)
	needless := func(c Card) bool {
		return c.Server.FailureDomain == domain && slices.Min(holders[c.Ordered.From:c.Ordered.To]) > 1
	}
	cards = slices.Delete(cards, lost, lost+1)
	return slices.DeleteFunc(cards, needless), domain
}

// While a layer lies nowhere in a domain no request gets through it, and cards that
// share the layers drop what they give up at once: waiting for the requests on it
// kept the domain out of service for 3 to 11 s, against 1 s.
func TestLayersAreDroppedAtOnceWhereNoRequestGetsThrough(t *testing.T) {
	e := testEngine()
	cards, domain := crippled(t, e)
	orders := Place(e, cards, false).Orders
	givenUp := 0
	for _, o := range orders {
		require.Equal(t, domain, o.Server.FailureDomain)
		if held := cards[slices.IndexFunc(cards, func(c Card) bool { return c.Server.ID == o.Server.ID })].Ordered; held.Overlap(o.Layers) < held.Len() {
			givenUp++
			require.True(t, o.AtOnce, "%s gives up some of %v for %v", o.Server.ID, held, o.Layers)
		}
	}
	require.Positive(t, givenUp)
}

// Cards that were crowded while others were busy get room once those are not.
func TestCrowdedCardIsRelieved(t *testing.T) {
	e := testEngine()
	cards := siteCards()[:13]
	settle(t, e, cards)
	last := slices.MaxFunc(cards, func(a, b Card) int { return a.Ordered.To - b.Ordered.To })
	at := slices.IndexFunc(cards, func(c Card) bool { return c.Ordered.To == last.Ordered.From })
	cards = slices.DeleteFunc(cards, func(c Card) bool { return c.Server.ID == last.Server.ID })
	crowded := *cards[at].Server
	crowded.Held.To = e.Layers
	cards[at] = Card{Server: &crowded, Ordered: crowded.Held}
	require.Less(t, BoundOf(e, cards).Requests, 10)
	for _, o := range Place(e, cards, false).Orders {
		require.False(t, o.AtOnce, "requests get through the crowded card")
	}
	loads := settle(t, e, cards)
	require.GreaterOrEqual(t, BoundOf(e, cards).Requests, 90)
	require.LessOrEqual(t, loads, 6)
}

// In a rolling replacement the new card comes before the old one drains: it is
// kept for the layers of that one, which it then takes alone.
func TestReplacementTakesTheLayersOfTheCardThatLeaves(t *testing.T) {
	e, cards := testEngine(), siteCards()
	settle(t, e, cards)
	fresh := card("a-new", "a", "small")
	fresh.Fresh = true
	cards = append(cards, fresh)
	require.Empty(t, Place(e, cards, true).Orders)
	old := slices.IndexFunc(cards, func(c Card) bool { return c.Server.FailureDomain == "a" && c.Server.Kind == "small" })
	leaving := *cards[old].Server
	leaving.Draining = true
	cards[old].Server = &leaving
	orders := Place(e, cards, true).Orders
	require.Len(t, orders, 1)
	require.Equal(t, "a-new", orders[0].Server.ID)
	require.Equal(t, cards[old].Ordered, orders[0].Layers)
	cards[old] = cards[len(cards)-1]
	cards[old].Fresh = false
	settle(t, e, cards[:len(cards)-1])
}

// Requests still pass through the layers of a card that drains: those around it
// may take them over, but give none of their own up.
func TestNoLayersAreGivenUpForACardThatDrains(t *testing.T) {
	for at := range siteCards() {
		e, cards := testEngine(), siteCards()
		settle(t, e, cards)
		leaving := *cards[at].Server
		leaving.Draining = true
		cards[at].Server = &leaving
		for _, o := range Place(e, cards, true).Orders {
			held := o.Server.Held
			require.Equal(t, held.Len(), held.Overlap(o.Layers), "%s %s gives up some of %v for %v", cards[at].Server.ID, o.Server.ID, held, o.Layers)
		}
	}
}

func TestReturningEmptyCardGetsWork(t *testing.T) {
	e, cards := testEngine(), siteCards()
	settle(t, e, cards)
	cards[3] = card("a-new", "a", "small")
	settle(t, e, cards)
	require.Positive(t, cards[3].Ordered.Len())
	require.Equal(t, 1, slices.Min(holdersOf(e, cards, "a")))
}

func TestGroupIsNotLaidOutAnewWhileACardMayComeBack(t *testing.T) {
	e := testEngine()
	cards, domain := crippled(t, e)
	left := slices.DeleteFunc(slices.Clone(cards), func(c Card) bool { return c.Server.FailureDomain != domain })
	plan, anew := Place(e, cards, true), Place(e, cards, false).Orders
	require.True(t, plan.Broken)
	require.Less(t, len(plan.Orders), len(anew))
	require.GreaterOrEqual(t, len(anew), len(left)-1, "all cards of the domain but one that may stay as it is")
}

// A group that is laid out anew while a card still drains disturbs no request on it.
func TestGroupIsLaidOutAnewGracefullyWhileACardDrains(t *testing.T) {
	e := testEngine()
	cards, domain := crippled(t, e)
	leaving := card("leaving", domain, "large")
	server := *leaving.Server
	server.Draining, server.Held = true, site.Range{To: 24}
	orders := Place(e, append(cards, Card{Server: &server, Ordered: server.Held}), false).Orders
	require.NotEmpty(t, orders)
	for _, o := range orders {
		require.False(t, o.AtOnce, "%s drops layers for %v", o.Server.ID, o.Layers)
	}
}

func TestBusyCardsAreLeftAlone(t *testing.T) {
	e, cards := testEngine(), siteCards()
	settle(t, e, cards)
	cards = slices.Delete(cards, 4, 5)
	for i := range cards {
		cards[i].Busy = true
	}
	require.Empty(t, Place(e, cards, false).Orders)
}

func TestDrainingCardsDoNotCount(t *testing.T) {
	e, cards := testEngine(), siteCards()
	settle(t, e, cards)
	leaving := *cards[4].Server
	leaving.Draining = true
	cards[4].Server = &leaving
	orders := Place(e, cards, false).Orders
	require.NotEmpty(t, orders)
	require.False(t, slices.ContainsFunc(orders, func(o Order) bool { return o.Server.ID == leaving.ID }))
}

func TestPlacementOfAnyCardsComesToRest(t *testing.T) {
	e := testEngine()
	kinds := []string{"large", "middle", "small", "least"}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "cards")
		cards := make([]Card, n)
		memory := 0
		for i := range cards {
			cards[i] = card(fmt.Sprintf("c-%02d", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), rapid.SampledFrom(kinds).Draw(t, "kind"))
			memory += e.MaxLayers(cards[i].Server.Kind)
		}
		settle(t, e, cards)
		for range rapid.IntRange(0, 4).Draw(t, "losses") {
			if len(cards) > 1 {
				i := rapid.IntRange(0, len(cards)-1).Draw(t, "lost")
				memory -= e.MaxLayers(cards[i].Server.Kind)
				cards = slices.Delete(cards, i, i+1)
				settle(t, e, cards)
			}
		}
		if memory >= 3*e.Layers {
			require.Positive(t, slices.Min(holdersOf(e, cards, "")), "enough memory, and yet a layer lies nowhere")
		}
	})
}

func candidates(cards []Card) []Candidate {
	out := make([]Candidate, 0, len(cards))
	for _, c := range cards {
		out = append(out, Candidate{Server: c.Server})
	}
	return out
}

func query(e *site.Engine, near string) *Query {
	return &Query{Engine: e, Tokens: Usual(e), Near: near}
}

func TestPathsTileTheLayersAndStayInTheirDomain(t *testing.T) {
	e, cards := testEngine(), siteCards()
	settle(t, e, cards)
	for _, near := range []string{"a", "b", "c"} {
		c, err := Choose(query(e, near), candidates(cards), nil)
		require.NoError(t, err)
		require.NoError(t, c.Path.CheckTiling(e.Layers))
		for _, h := range c.Path {
			require.Equal(t, c.Path[0].Server.FailureDomain, h.Server.FailureDomain)
		}
	}
}

func TestPathGoesRoundAHoleAndKeepsTheRest(t *testing.T) {
	e, cards := testEngine(), siteCards()
	settle(t, e, cards)
	q := query(e, "a")
	c, err := Choose(q, candidates(cards), nil)
	require.NoError(t, err)
	lost := c.Path[2].Server
	left := slices.DeleteFunc(candidates(cards), func(x Candidate) bool { return x.Server.ID == lost.ID })
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

func TestNoPathAndFullPathsAreToldApart(t *testing.T) {
	e, cards := testEngine(), siteCards()
	_, err := Choose(query(e, "a"), candidates(cards), nil)
	require.ErrorIs(t, err, ErrNoPath)
	settle(t, e, cards)
	cs := candidates(cards)
	for i := range cs {
		cs[i].Load.KVUsed = 1e12
	}
	_, err = Choose(query(e, "a"), cs, nil)
	require.ErrorIs(t, err, ErrFull)
}

func TestRequestsSpreadWhenAllSeeTheSameLoads(t *testing.T) {
	e := testEngine()
	var cards []Card
	for i := range 2 {
		cards = append(cards, siteCards()...)
		for j := range siteCards() {
			c := &cards[i*len(siteCards())+j]
			c.Server.ID = fmt.Sprintf("%d-%s", i, c.Server.ID)
			c.Server.Address = c.Server.ID
		}
	}
	settle(t, e, cards)
	heads := map[string]int{}
	r := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		q := query(e, "a")
		q.Jitter = 0.6
		c, err := Choose(q, candidates(cards), r)
		require.NoError(t, err)
		heads[c.Path[0].Server.ID]++
	}
	for id, n := range heads {
		require.Less(t, n, 240, "%s takes nearly all", id)
	}
}

// A record that tells of layers which the model does not have is of no use, and
// does no harm.
func TestCardsBeyondTheModelAreIgnored(t *testing.T) {
	e, cards := testEngine(), siteCards()
	settle(t, e, cards)
	cs := candidates(cards)
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
	require.Zero(t, BoundOf(&site.Engine{}, cards))
}

func TestBoundNamesTheLayersThatBind(t *testing.T) {
	e, cards := testEngine(), siteCards()
	require.Zero(t, BoundOf(e, cards).Requests)
	settle(t, e, cards)
	whole := BoundOf(e, cards)
	require.Greater(t, whole.Requests, 100)
	lost := cards[3].Ordered
	less := BoundOf(e, slices.Delete(slices.Clone(cards), 3, 4))
	require.Less(t, less.Requests, whole.Requests)
	require.GreaterOrEqual(t, less.Layers.From, lost.From)
	require.LessOrEqual(t, less.Layers.To, lost.To)
}

// BenchmarkChoose picks a path at the size of a site and at 77 times that.
func BenchmarkChoose(b *testing.B) {
	for _, copies := range []int{1, 77} {
		e, cards := testEngine(), siteCards()
		settle(b, e, cards)
		var cs []Candidate
		for n := range copies {
			for _, c := range candidates(cards) {
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

// BenchmarkPlace closes a hole at the size of a site and at 77 times that.
func BenchmarkPlace(b *testing.B) {
	for _, copies := range []int{1, 77} {
		e := testEngine()
		var cards []Card
		for n := range copies {
			for _, c := range siteCards() {
				s := *c.Server
				s.ID, s.Address = fmt.Sprint(s.ID, "-", n), fmt.Sprint(s.Address, "-", n)
				cards = append(cards, Card{Server: &s})
			}
		}
		settle(b, e, cards)
		lost := slices.Delete(slices.Clone(cards), 5, 9)
		b.Run(fmt.Sprintf("cards=%d", len(lost)), func(b *testing.B) {
			for b.Loop() {
				Place(e, lost, true)
			}
		})
	}
}
