package pipeline

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// twoPipelines returns a fast and a slow idle pipeline of two servers each.
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
		Slots: 100, Layers: 10, LayerMB: 100, KVTokenBytes: 1000, StepMS: 1, PerRequestMS: 0.01, PrefillPerSecond: 100000,
		Kinds: map[string]site.Accelerator{"fast": {MemoryMB: 2000, Slowdown: 1, PrefillSlowdown: 1}, "slow": {MemoryMB: 2000, Slowdown: 3, PrefillSlowdown: 3}},
	}
}

// The wait for a first token at a head raises its cost, even if the known loads do not.
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
	require.Equal(t, "fast0", head(), "a wait counts only at the first hop")
}

// A path begins at the required first hop even if others are cheaper.
func TestRequiredFirstHop(t *testing.T) {
	e := choiceEngine()
	cs := twoPipelines(e)
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 100}, First: cs[2].Server}
	c, err := Choose(q, cs, nil)
	require.NoError(t, err)
	require.Equal(t, "slow0", c.Path[0].Server.ID)
	require.NoError(t, c.Path.CheckTiling(e.Layers))
	_, err = Choose(q, cs[:2], nil)
	require.ErrorIs(t, err, ErrNoPath)
}

// A path avoids a slow server if a faster one holds the same layers.
func TestSlowServerIsBypassed(t *testing.T) {
	e := choiceEngine()
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 100}}
	cs := twoPipelines(e)
	path := func() []string {
		c, err := Choose(q, cs, nil)
		require.NoError(t, err)
		return []string{c.Path[0].Server.ID, c.Path[1].Server.ID}
	}
	require.Equal(t, []string{"fast0", "fast1"}, path())
	typical, err := Choose(q, cs, nil)
	require.NoError(t, err)
	cs[1].Load.Slowdown = 2
	require.Equal(t, []string{"fast0", "fast1"}, path(), "still faster than the other server")
	slowed, err := Choose(q, cs, nil)
	require.NoError(t, err)
	require.InDelta(t, 1.5*typical.FirstMS, slowed.FirstMS, 0.01)
	require.InDelta(t, 1.5*typical.StepMS, slowed.StepMS, 0.01)
	cs[1].Load.Slowdown = 12
	require.Equal(t, []string{"fast0", "slow1"}, path())
	cs[1].Load.Slowdown = 0.5
	require.Equal(t, []string{"fast0", "fast1"}, path(), "values below 1 are ignored")
}

// A request is not refused because the fast path is full while a slow path has capacity.
func TestFullPathIsTheLastChoice(t *testing.T) {
	e := choiceEngine()
	e.Kinds["slow"] = site.Accelerator{MemoryMB: 2000, Slowdown: 100, PrefillSlowdown: 100}
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 100}}
	cs := twoPipelines(e)
	cs[1].Load.KVUsed = e.KVCapacity("fast", cs[1].Server.Held.Len())
	c, err := Choose(q, cs, nil)
	require.NoError(t, err)
	require.Equal(t, "slow1", c.Path[1].Server.ID)
	cs[3].Load.KVUsed = e.KVCapacity("slow", cs[3].Server.Held.Len())
	_, err = Choose(q, cs, nil)
	require.ErrorIs(t, err, ErrFull)
}

// Requests count with their mean size, not with their final size.
func TestServerHoldsRequestsByMeanSize(t *testing.T) {
	e := choiceEngine()
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 500}}
	c := Candidate{Server: &site.BackendServer{Kind: "fast", Held: site.Range{To: 5}}}
	const requests = 20
	capacity := e.KVCapacity("fast", 5) / 5
	c.Load.KVUsed = (capacity - capacity/requests) * 5
	q.Tokens = Tokens{Prompt: capacity / requests / 2, Answer: capacity / requests}
	require.InDelta(t, 1, fullness(q, &c, 5), 1e-9, "the last of 20 just fits by its mean size")
}

// ChooseWithin returns the cheapest path within a domain even if a path across two is
// cheaper, and ErrNoPath if no domain holds all layers.
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

// The higher of the usage known from daemons and the usage that the server reports
// counts. A server with waiting requests is full.
func TestReportedUsageCounts(t *testing.T) {
	e := choiceEngine()
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 100}}
	n := twoPipelines(e)[0].Server.Held.Len()
	full := func(l Load) float64 {
		c := twoPipelines(e)[0]
		c.Load = l
		return fullness(q, &c, n)
	}
	capacity := e.KVCapacity("fast", n)
	one := full(Load{})
	require.InDelta(t, 0.5+one, full(Load{KVUsed: capacity / 2}), 1e-9)
	require.InDelta(t, 0.8+one, full(Load{KVUsed: capacity / 2, MemoryUsed: 0.8}), 1e-9)
	require.InDelta(t, 0.9+one, full(Load{KVUsed: 0.9 * capacity, MemoryUsed: 0.8}), 1e-9)
	require.Greater(t, full(Load{Waiting: 1}), 1.0)

	cs := twoPipelines(e)
	cs[0].Load.Waiting = 1
	c, err := Choose(q, cs, nil)
	require.NoError(t, err)
	require.Equal(t, cs[2].Server.ID, c.Path[0].Server.ID)
	cs[2].Load.MemoryUsed = 1
	_, err = Choose(q, cs, nil)
	require.ErrorIs(t, err, ErrFull, "requests without capacity are refused at once")
}
