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

// simulation runs placement against engines that load one order after the other
// in virtual time.
type simulation struct {
	config        *topology.Snapshot
	servers       []fleet.Info
	loads         map[string]load // by backend server
	now           time.Duration
	reportDelay   time.Duration // delay of the engines' reports
	pending       []Order
	ordered       []Order
	peak          int64 // maximum of the bytes in transit at once
	ignorePending bool
	budget        int64
	demand        map[string]float64
	table         *fleet.Table
}

type load struct {
	order   Order
	started time.Duration
	done    time.Duration
}

const (
	layerBytes = 1 << 30
	rate       = 2 << 30 // bytes per second of a load
)

func newSimulation(servers, models int) *simulation {
	sim := &simulation{config: topology.NewSnapshot(), loads: map[string]load{}, table: fleet.NewTable(), budget: 64 << 30}
	configs := map[string]*topology.BackendServer{}
	for i := range servers {
		name := fmt.Sprintf("b%02d", i)
		configs[name] = &topology.BackendServer{Name: name, Address: "a:1", FailureDomain: fmt.Sprint("d", i%3), MemoryBytes: 40 << 30, TokensPerSecond: float64(int(100) << (i % 4))}
	}
	sim.table.SetConfig(configs)
	sim.servers = sim.table.View().Servers
	for m := range models {
		name := fmt.Sprint("m", m)
		sim.config.Models[name] = &topology.Model{Name: name, Layers: 32, Version: "v1", BytesPerLayer: layerBytes}
		for lo := 0; lo < 32; lo += 16 {
			sim.config.Stages[name] = append(sim.config.Stages[name], &topology.Stage{Name: fmt.Sprintf("%s-%d", name, lo), Model: name, Layers: topology.LayerRange{Lo: lo, Hi: lo + 16}})
		}
	}
	return sim
}

// step decides, applies the orders and advances the clock by a second.
func (sim *simulation) step(t testing.TB) {
	for _, o := range Decide(Input{Config: sim.config, Servers: sim.servers, Pending: sim.pending, Demand: sim.demand, Budget: sim.budget, IgnorePending: sim.ignorePending}) {
		sim.ordered = append(sim.ordered, o)
		sim.pending = append(sim.pending, o)
		if o.Type == backend.OrderUnload {
			sim.unload(o)
			continue
		}
		if o.Bytes == 0 {
			sim.adjust(o)
			continue
		}
		if _, busy := sim.loads[o.BackendServer]; !busy {
			sim.loads[o.BackendServer] = load{o, sim.now, sim.now + time.Duration(o.Bytes/rate)*time.Second}
		}
	}
	inTransit := int64(0)
	for _, l := range sim.loads {
		inTransit += l.order.Bytes
	}
	sim.peak = max(sim.peak, inTransit)
	sim.now += time.Second
	sim.finish()
}

// adjust applies an order for a role or for adapters at once.
func (sim *simulation) adjust(o Order) {
	for i := range sim.servers {
		s := &sim.servers[i]
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
	sim.removePending(o)
}

func (sim *simulation) unload(o Order) {
	for i := range sim.servers {
		s := &sim.servers[i]
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
	sim.removePending(o)
}

func (sim *simulation) finish() {
	for name, l := range sim.loads {
		if sim.now < l.done+sim.reportDelay {
			continue
		}
		delete(sim.loads, name)
		sim.removePending(l.order)
		for i := range sim.servers {
			if sim.servers[i].Config.Name == name {
				sim.servers[i].Holdings = append(sim.servers[i].Holdings, l.order.Holding)
			}
		}
	}
}

func (sim *simulation) removePending(o Order) {
	var kept []Order
	for _, p := range sim.pending {
		if p.Key() != o.Key() {
			kept = append(kept, p)
		}
	}
	sim.pending = kept
}

// ready reports whether every layer of a model's version is held.
func (sim *simulation) ready(model, version string) bool {
	for _, st := range sim.config.Stages[model] {
		found := false
		for _, s := range sim.servers {
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

func (sim *simulation) bytesOrdered() (n int64) {
	for _, o := range sim.ordered {
		n += o.Bytes
	}
	return n
}

func TestLoadsStayWithinBudget(t *testing.T) {
	sim := newSimulation(12, 2)
	for range 120 {
		sim.step(t)
	}
	require.True(t, sim.ready("m0", "v1"))
	require.True(t, sim.ready("m1", "v1"))
	require.LessOrEqual(t, sim.peak, sim.budget)
	domains := map[string]bool{}
	idle := 0
	for _, s := range sim.servers {
		if len(s.Holdings) == 0 {
			idle++
		}
		for _, h := range s.Holdings {
			if h.Model == "m0" && h.Layers.Lo == 0 {
				domains[s.Config.FailureDomain] = true
			}
		}
	}
	require.Zero(t, idle, "idle backend servers are assigned to the scarcest stage")
	require.GreaterOrEqual(t, len(domains), 2)
	before := len(sim.ordered)
	for range 60 {
		sim.step(t)
	}
	require.Len(t, sim.ordered, before, "a fleet in its target state gets no orders")
}

// A new version is loaded for all stages before the old one is unloaded: at all times,
// all layers of some version are held.
func TestNewVersionKeepsLayersCovered(t *testing.T) {
	sim := newSimulation(6, 1)
	for range 60 {
		sim.step(t)
	}
	require.True(t, sim.ready("m0", "v1"))
	sim.config.Models["m0"].Version, sim.config.Models["m0"].Previous = "v2", "v1"
	for range 120 {
		sim.step(t)
		require.True(t, sim.ready("m0", "v1") || sim.ready("m0", "v2"))
	}
	require.True(t, sim.ready("m0", "v2"))
	sim.config.Models["m0"].Previous = ""
	for range 60 {
		sim.step(t)
		require.True(t, sim.ready("m0", "v2"))
	}
	for _, s := range sim.servers {
		for _, h := range s.Holdings {
			require.Equal(t, "v2", h.Version)
		}
	}
}

// The layers of a leaving backend server are loaded elsewhere, and it gets no
// orders.
func TestLeavingServerIsReplaced(t *testing.T) {
	sim := newSimulation(8, 1)
	for _, st := range sim.config.Stages["m0"] {
		st.Replicas = 2
	}
	for range 60 {
		sim.step(t)
	}
	gone := -1
	for i, s := range sim.servers {
		if len(s.Holdings) > 0 {
			gone = i
			break
		}
	}
	sim.servers[gone].Usable = false
	before := len(sim.ordered)
	for range 60 {
		sim.step(t)
	}
	require.Len(t, sim.ordered, before+1)
	require.NotEqual(t, sim.servers[gone].Config.Name, sim.ordered[before].BackendServer)
}

func TestSelectorsAndMemory(t *testing.T) {
	sim := newSimulation(6, 1)
	sel, err := topology.ParseSelector("kind=large")
	require.NoError(t, err)
	for _, st := range sim.config.Stages["m0"] {
		st.BackendServers = sel
	}
	sim.servers[3].Config.Labels = topology.Labels{"kind": "large"}
	sim.servers[4].Config.Labels = topology.Labels{"kind": "large"}
	sim.servers[4].Config.MemoryBytes = 10 << 30
	for range 60 {
		sim.step(t)
	}
	require.NotEmpty(t, sim.ordered)
	for _, o := range sim.ordered {
		require.Equal(t, sim.servers[3].Config.Name, o.BackendServer)
	}
}

// BenchmarkPending measures the bytes loaded with and without counting pending
// loads as capacity, with reports delayed by 1 to 10 seconds.
func BenchmarkPending(b *testing.B) {
	for _, ignore := range []bool{false, true} {
		b.Run(fmt.Sprintf("counted=%v", !ignore), func(b *testing.B) {
			for b.Loop() {
				r := rand.New(rand.NewPCG(1, 1))
				total := int64(0)
				for range 10 {
					sim := newSimulation(12, 2)
					sim.ignorePending, sim.reportDelay = ignore, time.Duration(1+r.IntN(10))*time.Second
					for _, m := range []string{"m0", "m1"} {
						for _, st := range sim.config.Stages[m] {
							st.Replicas = 1
						}
					}
					for range 120 {
						sim.step(b)
					}
					total += sim.bytesOrdered()
				}
				b.ReportMetric(float64(total)/10/(1<<30), "GiB_ordered")
			}
		})
	}
}

// BenchmarkDecide measures one round of decisions.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{40, 150, 600} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			sim := newSimulation(n, 11)
			for range 200 {
				sim.step(b)
			}
			in := Input{Config: sim.config, Servers: sim.servers, Budget: sim.budget}
			b.ReportAllocs()
			for b.Loop() {
				Decide(in)
			}
		})
	}
}

// Idle backend servers are assigned to the model with the most demand relative to its
// capacity.
func TestIdleServersFollowDemand(t *testing.T) {
	holders := func(demand map[string]float64) (m0, m1 int) {
		sim := newSimulation(12, 2)
		sim.demand = demand
		for range 120 {
			sim.step(t)
		}
		for _, s := range sim.servers {
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

// Roles change on one holder at a time while another serves, adapters reach
// every holder, and then no more orders follow.
func TestRolesAndAdapters(t *testing.T) {
	sim := newSimulation(6, 1)
	for range 60 {
		sim.step(t)
	}
	for _, st := range sim.config.Stages["m0"] {
		st.Role = "decode"
	}
	sim.config.Models["m0"].Adapters = []string{"es", "fi"}
	for range 30 {
		before := len(sim.ordered)
		sim.step(t)
		roles := map[topology.LayerRange]int{}
		for _, o := range sim.ordered[before:] {
			if o.Type == backend.OrderRole {
				for _, s := range sim.servers {
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
	for _, s := range sim.servers {
		require.Equal(t, backend.RoleDecode, s.Role)
		for _, h := range s.Holdings {
			require.Equal(t, []string{"es", "fi"}, h.Adapters)
		}
	}
	before := len(sim.ordered)
	sim.step(t)
	require.Len(t, sim.ordered, before)
}
