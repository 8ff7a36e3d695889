package pipeline

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// chainOf returns empty cards of one failure domain, so many of each kind.
func chainOf(kinds ...any) []Card {
	var out []Card
	for i := 0; i < len(kinds); i += 2 {
		for range kinds[i+1].(int) {
			out = append(out, card(fmt.Sprintf("card-%02d", len(out)), "a", kinds[i].(string)))
		}
	}
	return out
}

// unevenEngine is the engine of the tests with cards that step fast and slowly.
func unevenEngine() *site.Engine {
	e := testEngine()
	e.Kinds = map[string]site.Accelerator{
		"fast":  {MemoryMB: 72000, Pace: 2.4, ReadPace: 3.2},
		"brisk": {MemoryMB: 14400, Pace: 5.3, ReadPace: 7.9},
		"slow":  {MemoryMB: 21600, Pace: 16, ReadPace: 8.2},
	}
	return e
}

// Where fast cards hold the model with room for fewer requests, slow ones are left
// out: streams end sooner, and those cards are there for layers that are lost.
func TestPipelineIsLaidOutForItsRate(t *testing.T) {
	e := unevenEngine()
	chain := chainOf("fast", 2, "brisk", 4, "slow", 4)
	fullest, room := split(e, chain, e.Layers)
	require.InDelta(t, e.Slots, room, 0, "all slots of a first hop could be used")
	got := counts(e, chain)
	require.Equal(t, e.Layers, total(got))
	require.Equal(t, []int{0, 0, 0, 0}, got[6:], "layers on slow cards, %v with room for all slots", fullest)
}

// Where there is no choice but slow cards, a pipeline keeps room for all slots.
func TestPipelineOfEqualCardsKeepsItsRoom(t *testing.T) {
	e := unevenEngine()
	chain := chainOf("slow", 14)
	fullest, room := split(e, chain, e.Layers)
	require.InDelta(t, e.Slots, room, 0)
	require.Equal(t, fullest, counts(e, chain))
}

// Layers that are over are taken from few cards, not from each a little: a card
// without layers is a substitute, and a pipeline of fewer cards loses one less often.
func TestFewestSlowCardsAreUsed(t *testing.T) {
	e := unevenEngine()
	chain := chainOf("fast", 1, "brisk", 10, "slow", 4)
	used := 0
	for _, n := range counts(e, chain)[11:] {
		if n > 0 {
			used++
		}
	}
	require.Equal(t, 1, used)
}
