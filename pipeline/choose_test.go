package pipeline

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// twoPipelines are a fast and a slow pipeline of two cards each, empty.
func twoPipelines(e *site.Engine) []Candidate {
	half := e.Layers / 2
	var out []Candidate
	for _, kind := range []string{"fast", "slow"} {
		for i, held := range []site.Range{{From: 0, To: half}, {From: half, To: e.Layers}} {
			id := kind + string(rune('0'+i))
			out = append(out, Candidate{Server: &site.BackendServer{ID: id, Address: id, Kind: kind, Held: held, Slots: e.Slots, FailureDomain: kind}})
		}
	}
	return out
}

func choiceEngine() *site.Engine {
	return &site.Engine{
		Slots: 100, Layers: 10, LayerMB: 100, KVTokenBytes: 1000, StepMS: 1, PerRequestMS: 0.01, ReadPerSecond: 100000,
		Kinds: map[string]site.Accelerator{"fast": {MemoryMB: 2000, Pace: 1, ReadPace: 1}, "slow": {MemoryMB: 2000, Pace: 3, ReadPace: 3}},
	}
}

// A head at which requests wait for their first token is left, although what the
// daemons told of its load does not show it yet, and only for as long as the other
// path is not slower still.
func TestWaitAtTheFirstHopCounts(t *testing.T) {
	e := choiceEngine()
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 100}}
	cs := twoPipelines(e)
	head := func() string {
		c, err := Choose(q, cs, nil)
		require.NoError(t, err)
		return c.Path[0].Server.ID
	}
	require.Equal(t, "fast0", head())
	cs[0].Load.WaitMS = 500
	require.Equal(t, "slow0", head())
	cs[2].Load.WaitMS = 5000
	require.Equal(t, "fast0", head())
	cs[1].Load.WaitMS = 5000
	require.Equal(t, "fast0", head(), "a wait counts at the first hop alone")
}

// A card that has become slow is gone round, hop by hop, where another holds its layers.
func TestSlowCardIsGoneRound(t *testing.T) {
	e := choiceEngine()
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 100}}
	cs := twoPipelines(e)
	path := func() []string {
		c, err := Choose(q, cs, nil)
		require.NoError(t, err)
		return []string{c.Path[0].Server.ID, c.Path[1].Server.ID}
	}
	require.Equal(t, []string{"fast0", "fast1"}, path())
	usual, err := Choose(q, cs, nil)
	require.NoError(t, err)
	cs[1].Load.Slowdown = 2
	require.Equal(t, []string{"fast0", "fast1"}, path(), "still faster than the other kind")
	slowed, err := Choose(q, cs, nil)
	require.NoError(t, err)
	require.InDelta(t, 1.5*usual.FirstMS, slowed.FirstMS, 0.01)
	require.InDelta(t, 1.5*usual.StepMS, slowed.StepMS, 0.01)
	cs[1].Load.Slowdown = 12
	require.Equal(t, []string{"fast0", "slow1"}, path())
	cs[1].Load.Slowdown = 0.5
	require.Equal(t, []string{"fast0", "fast1"}, path(), "below one says nothing")
}

// A path that is full is the last choice, however slow the others are: else requests
// were refused with room left.
func TestFullPathIsTheLastChoice(t *testing.T) {
	e := choiceEngine()
	e.Kinds["slow"] = site.Accelerator{MemoryMB: 2000, Pace: 100, ReadPace: 100}
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 100}}
	cs := twoPipelines(e)
	cs[1].Load.KVUsed = e.KVRoom("fast", cs[1].Server.Held.Len())
	c, err := Choose(q, cs, nil)
	require.NoError(t, err)
	require.Equal(t, "slow1", c.Path[1].Server.ID)
	cs[3].Load.KVUsed = e.KVRoom("slow", cs[3].Server.Held.Len())
	_, err = Choose(q, cs, nil)
	require.ErrorIs(t, err, ErrFull)
}

// Requests are at different points of their lives, so a card holds as many as their
// mean size allows.
func TestCardHoldsRequestsByTheirMeanSize(t *testing.T) {
	e := choiceEngine()
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 500}}
	c := Candidate{Server: &site.BackendServer{Kind: "fast", Held: site.Range{To: 5}}}
	const requests = 20
	room := e.KVRoom("fast", 5) / 5
	c.Load.KVUsed = (room - room/requests) * 5
	q.Tokens = Tokens{Prompt: room / requests / 2, Answer: room / requests}
	require.InDelta(t, 1, fullness(q, &c, 5), 1e-9, "the last of 20 just fits by its mean size")
}

// Within one failure domain the cheapest path is found although one across two is cheaper,
// and none where no domain holds all layers.
func TestChooseWithinStaysInOneDomain(t *testing.T) {
	e := choiceEngine()
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 100}}
	cs := twoPipelines(e)
	cs[1].Load.Slowdown = 12
	c, err := Choose(q, cs, nil)
	require.NoError(t, err)
	require.NotEqual(t, c.Path[0].Server.FailureDomain, c.Path[1].Server.FailureDomain)
	c, err = ChooseWithin(q, cs, nil)
	require.NoError(t, err)
	require.Equal(t, []string{"slow0", "slow1"}, []string{c.Path[0].Server.ID, c.Path[1].Server.ID})
	_, err = ChooseWithin(q, cs[1:3], nil)
	require.ErrorIs(t, err, ErrNoPath)
}

// A card is as full as the larger of what the daemons have promised it and its own word,
// and one at which requests wait has no room, whatever was promised.
func TestCardsOwnWordCounts(t *testing.T) {
	e := choiceEngine()
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 100}}
	n := twoPipelines(e)[0].Server.Held.Len()
	full := func(l Load) float64 {
		c := twoPipelines(e)[0]
		c.Load = l
		return fullness(q, &c, n)
	}
	room := e.KVRoom("fast", n)
	one := full(Load{})
	require.InDelta(t, 0.5+one, full(Load{KVUsed: room / 2}), 1e-9)
	require.InDelta(t, 0.8+one, full(Load{KVUsed: room / 2, Full: 0.8}), 1e-9)
	require.InDelta(t, 0.9+one, full(Load{KVUsed: 0.9 * room, Full: 0.8}), 1e-9)
	require.Greater(t, full(Load{Waiting: 1}), 1.0)

	cs := twoPipelines(e)
	cs[0].Load.Waiting = 1
	c, err := Choose(q, cs, nil)
	require.NoError(t, err)
	require.Equal(t, cs[2].Server.ID, c.Path[0].Server.ID)
	cs[2].Load.Full = 1
	_, err = Choose(q, cs, nil)
	require.ErrorIs(t, err, ErrFull, "who cannot be served hears it at once")
}
