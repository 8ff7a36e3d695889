package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/snowspoke/snowspoke/invariant"
	"github.com/snowspoke/snowspoke/topology"
)

// idleLoads is a fleet without load.
type idleLoads struct{ down, full map[int]bool }

func (idleLoads) Load(int) float64    { return 0 }
func (s idleLoads) Usable(i int) bool { return !s.down[i] }
func (s idleLoads) Full(i int) bool   { return s.full[i] }
func (idleLoads) Weight(int) float64  { return 1 }
func (idleLoads) LinkLoad(int) float64 {
	return 0
}

// stagedInput returns an input with equal stages of width backend servers each.
func stagedInput(stages, width, layers int, capacity func(stage, i int) float64) Input {
	in := Input{Layers: layers}
	per := layers / stages
	for st := range stages {
		for i := range width {
			in.Servers = append(in.Servers, Candidate{
				Name: fmt.Sprintf("s%d-%d", st, i), Address: "a:1", FailureDomain: "d", Capacity: capacity(st, i),
				Ranges: []topology.LayerRange{{Lo: st * per, Hi: st*per + per}},
			})
		}
	}
	return in
}

func TestBoundAndCut(t *testing.T) {
	in := stagedInput(3, 2, 6, func(st, _ int) float64 { return []float64{100, 30, 80}[st] })
	p := Build(in)
	require.InDelta(t, 60, p.Bound, 1e-3)
	require.Len(t, p.Cut, 2)
	require.Equal(t, "s1-0", p.Cut[0].BackendServer)
	in.Link = func(from, to int) float64 {
		if from == 2 {
			return 5
		}
		return 0
	}
	p = Build(in)
	require.InDelta(t, 40, p.Bound, 1e-3)
	require.Contains(t, p.Cut, CutItem{BackendServer: "s1-0", Next: "s2-0", Capacity: 5})
}

// With any overlapping holdings, a chosen route must tile the layers, and Choose
// must find a route if one exists.
func TestChosenRoutesTile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 12).Draw(t, "layers")
		in := Input{Layers: layers}
		s := idleLoads{down: map[int]bool{}, full: map[int]bool{}}
		for i := range rapid.IntRange(0, 10).Draw(t, "servers") {
			lo := rapid.IntRange(0, layers-1).Draw(t, "lo")
			hi := rapid.IntRange(lo+1, layers).Draw(t, "hi")
			in.Servers = append(in.Servers, Candidate{Name: fmt.Sprint(i), Capacity: float64(1 + i), Ranges: []topology.LayerRange{{Lo: lo, Hi: hi}}})
			s.down[i] = rapid.IntRange(0, 4).Draw(t, "down") == 0
			s.full[i] = rapid.IntRange(0, 4).Draw(t, "full") == 0
		}
		p := Build(in)
		c, err := Choose(p, s, Options{}, rand.New(rand.NewPCG(1, 2)))
		exists := tiles(in, func(i int) bool { return !s.down[i] && !s.full[i] })
		if !exists {
			require.Error(t, err)
			if tiles(in, func(i int) bool { return !s.down[i] }) {
				require.ErrorIs(t, err, ErrFull)
			} else {
				require.ErrorIs(t, err, ErrNoRoute)
			}
			return
		}
		require.NoError(t, err)
		require.NoError(t, c.Route.CheckTiling(layers))
		repaired, err := Repair(p, s, Options{}, c.Route)
		require.NoError(t, err)
		require.NoError(t, repaired.Route.CheckTiling(layers))
	})
}

// tiles reports whether the backend servers for which ok holds cover all layers.
func tiles(in Input, ok func(int) bool) bool {
	at := 0
	for at < in.Layers {
		reach := at
		for i, s := range in.Servers {
			if ok(i) && s.Ranges[0].Lo <= at {
				reach = max(reach, s.Ranges[0].Hi)
			}
		}
		if reach == at {
			return false
		}
		at = reach
	}
	return true
}

func TestInvalidRouteViolatesInvariant(t *testing.T) {
	before := invariant.Count(invariant.LayersOnceInOrder)
	for _, r := range []topology.Route{
		{{Layers: topology.LayerRange{Lo: 0, Hi: 2}}, {Layers: topology.LayerRange{Lo: 1, Hi: 4}}},
		{{Layers: topology.LayerRange{Lo: 0, Hi: 2}}, {Layers: topology.LayerRange{Lo: 3, Hi: 4}}},
		{{Layers: topology.LayerRange{Lo: 0, Hi: 3}}},
		{},
	} {
		require.Error(t, r.CheckTiling(4))
	}
	require.Equal(t, before+4, invariant.Count(invariant.LayersOnceInOrder))
}

// Repair must keep all surviving hops, even if others are less loaded.
func TestRepairKeepsSurvivors(t *testing.T) {
	p := Build(stagedInput(4, 3, 8, func(_, i int) float64 { return float64(10 * (1 + i)) }))
	c, err := Choose(p, idleLoads{}, Options{}, rand.New(rand.NewPCG(3, 4)))
	require.NoError(t, err)
	dead := c.Route[2].BackendServer
	repaired, err := Repair(p, idleLoads{}, Options{Avoid: map[string]bool{dead: true}}, c.Route)
	require.NoError(t, err)
	require.False(t, repaired.Route.Uses(dead))
	require.Equal(t, 6, repaired.Route.SharedLayers(c.Route))
}

func TestWarmHead(t *testing.T) {
	p := Build(stagedInput(2, 4, 4, func(int, int) float64 { return 10 }))
	r := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		c, err := Choose(p, idleLoads{}, Options{Warm: []string{"s0-3", "gone"}}, r)
		require.NoError(t, err)
		require.Equal(t, "s0-3", c.Route[0].BackendServer)
	}
	c, err := Choose(p, idleLoads{full: map[int]bool{3: true}}, Options{Warm: []string{"s0-3"}}, r)
	require.NoError(t, err)
	require.NotEqual(t, "s0-3", c.Route[0].BackendServer)
}

func TestPrefixes(t *testing.T) {
	p := NewPrefixes()
	p.Sent(1, "a")
	p.Sent(1, "b")
	require.Equal(t, []string{"b", "a"}, p.Servers(1))
	p.Evicted(1, "b")
	require.Equal(t, []string{"a"}, p.Servers(1))
	p.Evicted(1, "a")
	require.NotContains(t, p.Servers(1), "a")
	for i := range uint64(2 * maxPrefixes) {
		p.Sent(i+2, "x")
	}
	require.LessOrEqual(t, len(p.servers), maxPrefixes)
}

// mixedInput returns an input with four kinds of accelerators and links that differ
// by a factor of 100.
func mixedInput(servers int) Input {
	r := rand.New(rand.NewPCG(7, 7))
	in := stagedInput(8, servers/8, 64, func(int, int) float64 { return 100 * math.Exp2(float64(r.IntN(4))) })
	slow := make([]bool, servers)
	for i := range slow {
		slow[i] = r.IntN(3) == 0
	}
	in.Link = func(from, to int) float64 {
		if slow[from] != slow[to] {
			return 5
		}
		return 500
	}
	return in
}

func BenchmarkBound(b *testing.B) {
	for _, n := range []int{40, 152, 304, 600} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			in := mixedInput(n)
			for b.Loop() {
				require.Positive(b, Build(in).Bound)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{40, 152, 304, 600} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			p := Build(mixedInput(n))
			r := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Choose(p, idleLoads{}, Options{}, r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
