package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/topology"
)

// yard is a set of engines that load one order after the other in virtual time.
type yard struct {
	config  *topology.Snapshot
	servers []fleet.Info
	loads   map[string]load // by backend server
	now     time.Duration
	lag     time.Duration // of the reports
	pending []Order
	ordered []Order
	peak    int64 // bytes under way at once
	ignore  bool
	budget  int64
	demand  map[string]float64
	table   *fleet.Table
}

type load struct {
	order Order
	begun time.Duration
	done  time.Duration
}

const (
	layerBytes = 1 << 30
	rate       = 2 << 30 // bytes a second of a load
)

func newYard(servers, models int) *yard {
	y := &yard{config: topology.NewSnapshot(), loads: map[string]load{}, table: fleet.NewTable(), budget: 64 << 30}
	configs := map[string]*topology.BackendServer{}
	for i := range servers {
		name := fmt.Sprintf("b%02d", i)
		configs[name] = &topology.BackendServer{Name: name, Address: "a:1", FailureDomain: fmt.Sprint("d", i%3), MemoryBytes: 40 << 30, TokensPerSecond: float64(int(100) << (i % 4))}
	}
	y.table.SetConfig(configs)
	y.servers = y.table.View().Servers
	for m := range models {
		name := fmt.Sprint("m", m)
		y.config.Models[name] = &topology.Model{Name: name, Layers: 32, Version: "v1", BytesPerLayer: layerBytes}
		for lo := 0; lo < 32; lo += 16 {
			y.config.Stages[name] = append(y.config.Stages[name], &topology.Stage{Name: fmt.Sprintf("%s-%d", name, lo), Model: name, Layers: topology.LayerRange{Lo: lo, Hi: lo + 16}})
		}
	}
	return y
}

// step decides, gives the orders and lets a second pass.
func (y *yard) step(t testing.TB) {
	for _, o := range Decide(Input{Config: y.config, Servers: y.servers, Pending: y.pending, Demand: y.demand, Budget: y.budget, IgnorePending: y.ignore}) {
		y.ordered = append(y.ordered, o)
		y.pending = append(y.pending, o)
		if o.Type == backend.OrderUnload {
			y.unload(o)
			continue
		}
		if o.Bytes == 0 {
			y.adjust(o)
			continue
		}
		if _, busy := y.loads[o.BackendServer]; !busy {
			y.loads[o.BackendServer] = load{o, y.now, y.now + time.Duration(o.Bytes/rate)*time.Second}
		}
	}
	moving := int64(0)
	for _, l := range y.loads {
		moving += l.order.Bytes
	}
	y.peak = max(y.peak, moving)
	y.now += time.Second
	y.finish()
}

// adjust carries out an order of a role or of adapters at once.
func (y *yard) adjust(o Order) {
	for i := range y.servers {
		s := &y.servers[i]
		if s.Config.Name != o.BackendServer {
			continue
		}
		if o.Type == backend.OrderRole {
			s.Role = o.Role
		}
		for j := range s.Holdings {
			if s.Holdings[j].Model == o.Holding.Model && s.Holdings[j].Layers == o.Holding.Layers {
				s.Holdings[j].Adapters = o.Holding.Adapters
			}
		}
	}
	y.drop(o)
}

func (y *yard) unload(o Order) {
	for i := range y.servers {
		s := &y.servers[i]
		if s.Config.Name != o.BackendServer {
			continue
		}
		var kept []backend.Holding
		for _, h := range s.Holdings {
			if h.Version != o.Holding.Version || h.Model != o.Holding.Model || h.Layers != o.Holding.Layers {
				kept = append(kept, h)
			}
		}
		s.Holdings = kept
	}
	y.drop(o)
}

func (y *yard) finish() {
	for name, l := range y.loads {
		if y.now < l.done+y.lag {
			continue
		}
		delete(y.loads, name)
		y.drop(l.order)
		for i := range y.servers {
			if y.servers[i].Config.Name == name {
				y.servers[i].Holdings = append(y.servers[i].Holdings, l.order.Holding)
			}
		}
	}
}

func (y *yard) drop(o Order) {
	var kept []Order
	for _, p := range y.pending {
		if p.Key() != o.Key() {
			kept = append(kept, p)
		}
	}
	y.pending = kept
}

// ready reports whether every layer of a model's version is held.
func (y *yard) ready(model, version string) bool {
	for _, st := range y.config.Stages[model] {
		found := false
		for _, s := range y.servers {
			for _, h := range s.Holdings {
				found = found || s.Usable && h.Model == model && h.Version == version && h.Layers.Contains(st.Layers)
			}
		}
		if !found {
			return false
		}
	}
	return true
}

func (y *yard) bytesOrdered() (n int64) {
	for _, o := range y.ordered {
		n += o.Bytes
	}
	return n
}

func TestFillsWithinBudget(t *testing.T) {
	y := newYard(12, 2)
	for range 120 {
		y.step(t)
	}
	require.True(t, y.ready("m0", "v1"))
	require.True(t, y.ready("m1", "v1"))
	require.LessOrEqual(t, y.peak, y.budget)
	domains := map[string]bool{}
	idle := 0
	for _, s := range y.servers {
		if len(s.Holdings) == 0 {
			idle++
		}
		for _, h := range s.Holdings {
			if h.Model == "m0" && h.Layers.Lo == 0 {
				domains[s.Config.FailureDomain] = true
			}
		}
	}
	require.Zero(t, idle, "idle backend servers take the tightest stage")
	require.GreaterOrEqual(t, len(domains), 2)
	before := len(y.ordered)
	for range 60 {
		y.step(t)
	}
	require.Len(t, y.ordered, before, "a settled fleet gets no orders")
}

// A new version is loaded everywhere before the old one goes: at every moment
// some version is held whole.
func TestNewVersionOpensNoHole(t *testing.T) {
	y := newYard(6, 1)
	for range 60 {
		y.step(t)
	}
	require.True(t, y.ready("m0", "v1"))
	y.config.Models["m0"].Version, y.config.Models["m0"].Previous = "v2", "v1"
	for range 120 {
		y.step(t)
		require.True(t, y.ready("m0", "v1") || y.ready("m0", "v2"))
	}
	require.True(t, y.ready("m0", "v2"))
	y.config.Models["m0"].Previous = ""
	for range 60 {
		y.step(t)
		require.True(t, y.ready("m0", "v2"))
	}
	for _, s := range y.servers {
		for _, h := range s.Holdings {
			require.Equal(t, "v2", h.Version)
		}
	}
}

// What a leaving backend server held is loaded elsewhere; it gets no orders.
func TestLeavingIsReplaced(t *testing.T) {
	y := newYard(8, 1)
	for _, st := range y.config.Stages["m0"] {
		st.Replicas = 2
	}
	for range 60 {
		y.step(t)
	}
	gone := -1
	for i, s := range y.servers {
		if len(s.Holdings) > 0 {
			gone = i
			break
		}
	}
	y.servers[gone].Usable = false
	before := len(y.ordered)
	for range 60 {
		y.step(t)
	}
	require.Len(t, y.ordered, before+1)
	require.NotEqual(t, y.servers[gone].Config.Name, y.ordered[before].BackendServer)
}

func TestSelectorsAndMemory(t *testing.T) {
	y := newYard(6, 1)
	sel, err := topology.ParseSelector("kind=large")
	require.NoError(t, err)
	for _, st := range y.config.Stages["m0"] {
		st.BackendServers = sel
	}
	y.servers[3].Config.Labels = topology.Labels{"kind": "large"}
	y.servers[4].Config.Labels = topology.Labels{"kind": "large"}
	y.servers[4].Config.MemoryBytes = 10 << 30
	for range 60 {
		y.step(t)
	}
	require.NotEmpty(t, y.ordered)
	for _, o := range y.ordered {
		require.Equal(t, y.servers[3].Config.Name, o.BackendServer)
	}
}

// BenchmarkPending measures the idea of counting loads under way as coming
// capacity: bytes loaded for the same end, with reports one second to ten late.
func BenchmarkPending(b *testing.B) {
	for _, ignore := range []bool{false, true} {
		b.Run(fmt.Sprintf("counted=%v", !ignore), func(b *testing.B) {
			for b.Loop() {
				r := rand.New(rand.NewPCG(1, 1))
				total := int64(0)
				for range 10 {
					y := newYard(12, 2)
					y.ignore, y.lag = ignore, time.Duration(1+r.IntN(10))*time.Second
					for _, m := range []string{"m0", "m1"} {
						for _, st := range y.config.Stages[m] {
							st.Replicas = 1
						}
					}
					for range 120 {
						y.step(b)
					}
					total += y.bytesOrdered()
				}
				b.ReportMetric(float64(total)/10/(1<<30), "GiB_ordered")
			}
		})
	}
}

// BenchmarkDecide is the cost of one round.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{40, 150, 600} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			y := newYard(n, 11)
			for range 200 {
				y.step(b)
			}
			in := Input{Config: y.config, Servers: y.servers, Budget: y.budget}
			b.ReportAllocs()
			for b.Loop() {
				Decide(in)
			}
		})
	}
}

// Idle backend servers go to the model with the most demand for its capacity.
func TestDemandDecides(t *testing.T) {
	holders := func(demand map[string]float64) (m0, m1 int) {
		y := newYard(12, 2)
		y.demand = demand
		for range 120 {
			y.step(t)
		}
		for _, s := range y.servers {
			for _, h := range s.Holdings {
				if h.Model == "m0" {
					m0++
				} else {
					m1++
				}
			}
		}
		return m0, m1
	}
	a, b := holders(map[string]float64{"m0": 1000, "m1": 10})
	require.Greater(t, a, b+3)
	a, b = holders(map[string]float64{"m0": 10, "m1": 1000})
	require.Greater(t, b, a+3)
}

// Roles change one holder at a time while another serves; adapters reach every
// holder; both come to rest.
func TestRolesAndAdapters(t *testing.T) {
	y := newYard(6, 1)
	for range 60 {
		y.step(t)
	}
	for _, st := range y.config.Stages["m0"] {
		st.Role = "decode"
	}
	y.config.Models["m0"].Adapters = []string{"es", "fi"}
	for range 30 {
		before := len(y.ordered)
		y.step(t)
		roles := map[topology.LayerRange]int{}
		for _, o := range y.ordered[before:] {
			if o.Type == backend.OrderRole {
				for _, s := range y.servers {
					if s.Config.Name == o.BackendServer {
						roles[s.Holdings[0].Layers]++
					}
				}
			}
		}
		for layers, n := range roles {
			require.Equal(t, 1, n, layers)
		}
	}
	for _, s := range y.servers {
		require.Equal(t, backend.RoleDecode, s.Role)
		for _, h := range s.Holdings {
			require.Equal(t, []string{"es", "fi"}, h.Adapters)
		}
	}
	before := len(y.ordered)
	y.step(t)
	require.Len(t, y.ordered, before)
}
