package pipeline

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// Turns shows the path that Next returns, however often it is called before.
func TestTurnsShowTheNextPath(t *testing.T) {
	e := testEngine()
	cs := fleetServers(t, e)
	rot := &Rotation{}
	rot.SetShares(Split(e, cs, evenDemand(200), "a"), rand.New(rand.NewPCG(1, 1)))
	q := &Query{Engine: e, Tokens: TypicalRequest(e), Near: "a"}
	load := rand.New(rand.NewPCG(1, 2))
	for n := range 200 {
		for i := range cs {
			cs[i].Load = Load{Running: float64(load.IntN(20)), Heads: float64(load.IntN(20)), KVUsed: load.Float64() * e.KVCapacity(cs[i].Server.Kind, cs[i].Server.Held.Len())}
		}
		copied := rot.Clone()
		turns := rot.Turns(q, cs, time.Second)
		require.Equal(t, turns, rot.Turns(q, cs, time.Second))
		require.Len(t, turns, len(rot.entries))
		c, ok := rot.Next(q, cs, time.Second)
		require.Equal(t, ok, turns[0].Obstacle == NoObstacle, n)
		if ok {
			require.Equal(t, c, turns[0].Choice, n)
		}
		same, sameOK := copied.Next(q, cs, time.Second)
		require.Equal(t, ok, sameOK)
		require.Equal(t, c, same, "a copy has credits of its own")
	}
}

// A path that cannot take the request is listed last, with its obstacle.
func TestTurnsNameObstacles(t *testing.T) {
	e := choiceEngine()
	cs := twoPipelines(e)
	rot := &Rotation{}
	var shares []Share
	for i := range 2 {
		path := site.Path{{Server: cs[2*i].Server, Layers: cs[2*i].Server.Held}, {Server: cs[2*i+1].Server, Layers: cs[2*i+1].Server.Held}}
		shares = append(shares, Share{Choice: Choice{Path: path}, Rate: 0.5, Heads: 1, DurationMS: 1000})
	}
	rot.SetShares(shares, rand.New(rand.NewPCG(1, 1)))
	q := &Query{Engine: e, Tokens: Tokens{Prompt: 500, Answer: 100}}
	for want, change := range map[Obstacle]func(cs []Candidate) []Candidate{
		HopMissing: func(cs []Candidate) []Candidate { return cs[1:] },
		NoSlot:     func(cs []Candidate) []Candidate { cs[0].Load.Heads = float64(e.Slots); return cs },
		NoMemory:   func(cs []Candidate) []Candidate { cs[1].Load.Waiting = 1; return cs },
	} {
		turns := rot.Turns(q, change(twoPipelines(e)), 0)
		require.Equal(t, []Obstacle{NoObstacle, want}, []Obstacle{turns[0].Obstacle, turns[1].Obstacle})
		require.Equal(t, "slow0", turns[0].Choice.Path[0].Server.ID)
		require.Equal(t, "fast0", turns[1].Choice.Path[0].Server.ID)
	}
}

// Ranked begins with the path that Choose returns for the same draws, and lists each path once.
func TestRankedBeginsWithTheChosenPath(t *testing.T) {
	e := testEngine()
	cs := fleetServers(t, e)
	for seed := range uint64(20) {
		q := &Query{Engine: e, Tokens: TypicalRequest(e), Near: "a", Jitter: 0.25}
		want, err := Choose(q, cs, rand.New(rand.NewPCG(seed, 1)))
		require.NoError(t, err)
		ranked := Ranked(q, cs, rand.New(rand.NewPCG(seed, 1)), 5)
		require.Equal(t, want, ranked[0])
		require.Greater(t, len(ranked), 1)
		require.LessOrEqual(t, len(ranked), 5)
		known := map[string]bool{}
		for i, c := range ranked {
			require.False(t, known[c.Path.String()])
			known[c.Path.String()] = true
			require.GreaterOrEqual(t, c.Cost, ranked[max(0, i-1)].Cost)
			require.NoError(t, c.Path.CheckTiling(e.Layers))
		}
	}
	require.Empty(t, Ranked(&Query{Engine: e, Tokens: TypicalRequest(e)}, nil, nil, 5))
}
