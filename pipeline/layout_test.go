package pipeline

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// emptyServers returns empty servers of one failure domain. The arguments are kinds,
// each followed by a number of servers.
func emptyServers(kinds ...any) []ServerState {
	var out []ServerState
	for i := 0; i < len(kinds); i += 2 {
		for range kinds[i+1].(int) {
			out = append(out, newServer(fmt.Sprintf("card-%02d", len(out)), "a", kinds[i].(string)))
		}
	}
	return out
}

// unevenEngine is the test engine with fast and slow kinds of servers.
func unevenEngine() *site.Engine {
	e := testEngine()
	e.Kinds = map[string]site.Accelerator{
		"fast":  {MemoryMB: 72000, Slowdown: 2.4, PrefillSlowdown: 3.2},
		"brisk": {MemoryMB: 14400, Slowdown: 5.3, PrefillSlowdown: 7.9},
		"slow":  {MemoryMB: 21600, Slowdown: 16, PrefillSlowdown: 8.2},
	}
	return e
}

// Layers are not placed on slow servers only for capacity. Without layers, slow servers can
// substitute for lost ones.
func TestPipelineIsPlacedForThroughput(t *testing.T) {
	e := unevenEngine()
	chain := emptyServers("fast", 2, "brisk", 4, "slow", 4)
	fullest, capacity := divideLayers(e, chain, e.Layers)
	require.InDelta(t, e.Slots, capacity, 0, "capacity for all slots of the first hop is possible")
	got := layerCounts(e, chain)
	require.Equal(t, e.Layers, total(got))
	require.Equal(t, []int{0, 0, 0, 0}, got[6:], "layers on slow servers, %v with capacity for all slots", fullest)
}

// A pipeline of equally slow servers has capacity for all slots.
func TestPipelineOfEqualServersKeepsCapacity(t *testing.T) {
	e := unevenEngine()
	chain := emptyServers("slow", 14)
	fullest, capacity := divideLayers(e, chain, e.Layers)
	require.InDelta(t, e.Slots, capacity, 0)
	require.Equal(t, fullest, layerCounts(e, chain))
}

// Surplus layers are removed from one server after the other, so that a pipeline uses as
// few slow servers as possible.
func TestFewestSlowServersAreUsed(t *testing.T) {
	e := unevenEngine()
	chain := emptyServers("fast", 1, "brisk", 10, "slow", 4)
	used := 0
	for _, n := range layerCounts(e, chain)[11:] {
		if n > 0 {
			used++
		}
	}
	require.Equal(t, 1, used)
}
