// Package placement decides which backend server holds which stage. It is a
// pure function of the configuration, the engines' reports and the pending
// orders, and returns orders with their reasons. Loads are ordered before
// unloads, so that a move leaves no range of layers uncovered, and as few
// weights as possible are moved.
package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/topology"
)

// Input holds everything that a decision depends on.
type Input struct {
	Config  *topology.Snapshot
	Servers []fleet.Info
	Pending []Order            // sent, but their effect is not reported yet
	Demand  map[string]float64 // tokens per second, by model
	// Budget limits the bytes in transit from the weight store at once; 0 means
	// no limit. A single load is always allowed, whatever its size.
	Budget int64
	// IgnorePending excludes pending loads; used by benchmarks.
	IgnorePending bool
}

// Order is a change of the holdings or the role of one backend server.
type Order struct {
	BackendServer string
	Type          backend.OrderType
	Holding       backend.Holding
	Role          backend.Role // for OrderRole
	Bytes         int64        // size of the weights to load
	Reason        string       // why the change is needed and why on this backend server
}

// Key identifies the requested change. Orders with equal keys are the same.
func (o Order) Key() string {
	if o.Type == backend.OrderRole {
		return fmt.Sprintf("%s %s %s", o.BackendServer, o.Type, o.Role)
	}
	return fmt.Sprintf("%s %s %s/%s%s%v", o.BackendServer, o.Type, o.Holding.Model, o.Holding.Version, o.Holding.Layers, o.Holding.Adapters)
}

// Decide returns the orders to send now.
func Decide(in Input) []Order {
	p := newPlanner(in)
	for _, st := range p.stages {
		p.addReplicas(st, max(1, st.spec.Replicas), "has too few holders")
	}
	p.addIdleServers()
	for _, st := range p.stages {
		p.addAdapters(st)
		p.assignRole(st)
	}
	p.unloadObsolete()
	return p.orders
}

// Effective reports whether an engine's report shows the effect of the order.
func (o Order) Effective(info *fleet.Info) bool {
	if o.Type == backend.OrderRole {
		return info.Role == o.Role
	}
	i := slices.IndexFunc(info.Holdings, func(h backend.Holding) bool {
		return h.Model == o.Holding.Model && h.Version == o.Holding.Version && h.Layers == o.Holding.Layers
	})
	if o.Type == backend.OrderUnload {
		return i < 0
	}
	return i >= 0 && !info.Holdings[i].Loading && missingAdapter(info.Holdings[i], o.Holding.Adapters) == ""
}

// missingAdapter returns an adapter that a holding does not have, or "".
func missingAdapter(h backend.Holding, adapters []string) string {
	for _, a := range adapters {
		if !slices.Contains(h.Adapters, a) {
			return a
		}
	}
	return ""
}

// planner makes decisions on a copy of the fleet's state that includes the effects of
// its earlier decisions.
type planner struct {
	in      Input
	hosts   []*host
	stages  []*stage
	orders  []Order
	loading int64 // bytes in transit from the weight store
}

// host is a backend server with its current and ordered holdings.
type host struct {
	info     fleet.Info
	holdings []holding
	used     int64 // bytes
	ordered  bool  // has a pending or new order; a host has at most one at a time
}

type holding struct {
	backend.Holding
	ready bool // loaded and usable
}

// stage is a stage with its model.
type stage struct {
	spec  *topology.Stage
	model *topology.Model
}

func newPlanner(in Input) *planner {
	p := &planner{in: in}
	for i := range in.Servers {
		p.hosts = append(p.hosts, p.newHost(in.Servers[i]))
	}
	if !in.IgnorePending {
		p.countPending()
	}
	for name, list := range in.Config.Stages {
		m := in.Config.Models[name]
		if m == nil {
			continue
		}
		for _, st := range list {
			p.stages = append(p.stages, &stage{st, m})
		}
	}
	slices.SortFunc(p.stages, func(a, b *stage) int {
		return cmp.Or(cmp.Compare(p.in.Demand[b.model.Name], p.in.Demand[a.model.Name]),
			cmp.Compare(a.model.Name, b.model.Name), cmp.Compare(a.spec.Layers.Lo, b.spec.Layers.Lo))
	})
	return p
}

func (p *planner) newHost(info fleet.Info) *host {
	h := &host{info: info}
	for _, x := range info.Holdings {
		h.holdings = append(h.holdings, holding{x, !x.Loading})
		h.used += p.bytes(x)
		if x.Loading {
			h.ordered = true
			p.loading += p.bytes(x)
		}
	}
	return h
}

// countPending counts pending loads as capacity, so that nothing is ordered twice
// during a load, which takes minutes. Cluster autoscalers count nodes that are still
// booting in the same way; see "Writing a Kubernetes Cluster Autoscaler Provider with
// externalgrpc".
func (p *planner) countPending() {
	for _, o := range p.in.Pending {
		i := slices.IndexFunc(p.hosts, func(h *host) bool { return h.info.Config.Name == o.BackendServer })
		if i < 0 {
			continue
		}
		h := p.hosts[i]
		h.ordered = true
		if o.Type == backend.OrderLoad && !h.has(o.Holding) {
			h.holdings = append(h.holdings, holding{o.Holding, false})
			h.used += o.Bytes
			p.loading += o.Bytes
		}
	}
}

func (h *host) has(x backend.Holding) bool {
	return slices.ContainsFunc(h.holdings, func(o holding) bool {
		return o.Model == x.Model && o.Version == x.Version && o.Layers == x.Layers
	})
}

func (p *planner) bytes(x backend.Holding) int64 {
	if m := p.in.Config.Models[x.Model]; m != nil {
		return m.Weight(x.Layers)
	}
	return 0
}

// serves reports whether a host may serve a stage.
func (s *stage) serves(h *host) bool {
	return h.info.Usable && s.spec.BackendServers.Matches(h.info.Config.Labels)
}

// holds reports whether a host holds all layers of a stage in the model's current
// version. If ready is true, loads that have not ended do not count.
func (s *stage) holds(h *host, ready bool) bool {
	return slices.ContainsFunc(h.holdings, func(x holding) bool {
		return x.Model == s.model.Name && x.Version == s.model.Version && x.Layers.Contains(s.spec.Layers) && (x.ready || !ready)
	})
}

// holders returns the hosts that serve a stage and hold it. If ready is false, hosts
// that are still loading it count too.
func (p *planner) holders(s *stage, ready bool) []*host {
	var out []*host
	for _, h := range p.hosts {
		if s.serves(h) && s.holds(h, ready) {
			out = append(out, h)
		}
	}
	return out
}

// addReplicas orders loads until a stage has want holders or no more loads can be
// ordered now.
func (p *planner) addReplicas(s *stage, want int, reason string) {
	for len(p.holders(s, false)) < want {
		if !p.load(s, reason) {
			return
		}
	}
}

// load orders one more host to load a stage. It returns false if that is not possible
// now.
func (p *planner) load(s *stage, reason string) bool {
	bytes := s.model.Weight(s.spec.Layers)
	if bytes <= 0 {
		return false // the size of the model is not known
	}
	if p.loading > 0 && p.in.Budget > 0 && p.loading+bytes > p.in.Budget {
		return false
	}
	h := p.bestHost(s, bytes)
	if h == nil {
		return false
	}
	x := backend.Holding{Model: s.model.Name, Version: s.model.Version, Layers: s.spec.Layers, Adapters: s.model.Adapters}
	h.holdings = append(h.holdings, holding{x, false})
	h.used += bytes
	h.ordered = true
	p.loading += bytes
	p.orders = append(p.orders, Order{
		BackendServer: h.info.Config.Name, Type: backend.OrderLoad, Holding: x, Bytes: bytes,
		Reason: fmt.Sprintf("stage %s %s; %s has the fewest holders in its failure domain, then the most capacity", s.spec.Name, reason, h.info.Config.Name),
	})
	return true
}

// bestHost returns the host that should hold a stage next, or nil if none can. It prefers
// the failure domain with the fewest holders, then the host with the fewest holdings, then
// the host with the most capacity.
func (p *planner) bestHost(s *stage, bytes int64) *host {
	inDomain := map[string]int{}
	for _, h := range p.holders(s, false) {
		inDomain[h.info.Config.FailureDomain]++
	}
	var best *host
	for _, h := range p.hosts {
		free := h.info.Config.MemoryBytes - h.used
		if h.ordered || !s.serves(h) || s.holds(h, false) || free < bytes {
			continue
		}
		if best == nil || better(h, best, inDomain) {
			best = h
		}
	}
	return best
}

func better(a, b *host, inDomain map[string]int) bool {
	return cmp.Or(
		cmp.Compare(inDomain[a.info.Config.FailureDomain], inDomain[b.info.Config.FailureDomain]),
		cmp.Compare(len(a.holdings), len(b.holdings)),
		cmp.Compare(b.info.Capacity, a.info.Capacity),
		cmp.Compare(a.info.Config.Name, b.info.Config.Name),
	) < 0
}

// addIdleServers assigns backend servers that hold nothing, one after the other, to
// the stage with the least capacity relative to its demand. Stages with a fixed
// number of replicas are left out.
func (p *planner) addIdleServers() {
	for {
		s := p.scarcestStage()
		if s == nil || !p.hasIdle(s) || !p.load(s, "limits the throughput of its model") {
			return
		}
	}
}

func (p *planner) hasIdle(s *stage) bool {
	return slices.ContainsFunc(p.hosts, func(h *host) bool {
		return len(h.holdings) == 0 && !h.ordered && s.serves(h)
	})
}

// scarcestStage returns the stage with the least capacity relative to its demand, of
// the stages without a fixed number of replicas that an idle host may serve. It
// returns nil if there is none.
func (p *planner) scarcestStage() *stage {
	var scarcest *stage
	least := 0.0
	for _, s := range p.stages {
		if s.spec.Replicas > 0 || !p.hasIdle(s) {
			continue
		}
		capacity := 0.0
		for _, h := range p.holders(s, false) {
			capacity += h.info.Capacity
		}
		ratio := capacity / max(1, p.in.Demand[s.model.Name])
		if scarcest == nil || ratio < least {
			scarcest, least = s, ratio
		}
	}
	return scarcest
}

// addAdapters orders the adapters that holders of a stage lack. Their weights
// are small compared with the model's and do not count against the budget.
func (p *planner) addAdapters(s *stage) {
	for _, h := range p.holders(s, true) {
		for _, x := range h.holdings {
			a := missingAdapter(x.Holding, s.model.Adapters)
			if h.ordered || x.Model != s.model.Name || x.Version != s.model.Version || a == "" {
				continue
			}
			want := x.Holding
			want.Adapters = s.model.Adapters
			h.ordered = true
			p.orders = append(p.orders, Order{
				BackendServer: h.info.Config.Name, Type: backend.OrderLoad, Holding: want,
				Reason: "holds the stage without adapter " + a,
			})
		}
	}
}

// assignRole orders the configured role for one holder of a stage at a time, and only
// if the stage has another ready holder.
func (p *planner) assignRole(s *stage) {
	want := backend.Role(s.spec.Role)
	holders := p.holders(s, true)
	if want == "" || len(holders) < 2 {
		return
	}
	for _, h := range holders {
		if h.info.Role == want {
			continue
		}
		if !h.ordered {
			h.ordered = true
			p.orders = append(p.orders, Order{
				BackendServer: h.info.Config.Name, Type: backend.OrderRole, Role: want,
				Reason: fmt.Sprintf("stage %s wants role %s, the engine has %q", s.spec.Name, want, h.info.Role),
			})
		}
		return
	}
}

// unloadObsolete unloads versions that are neither current nor previous, once
// every stage of the model has enough ready holders of the current version.
func (p *planner) unloadObsolete() {
	for _, h := range p.hosts {
		if h.ordered {
			continue
		}
		for _, x := range h.holdings {
			if !x.ready || !p.obsolete(x.Holding) {
				continue
			}
			h.ordered = true
			p.orders = append(p.orders, Order{
				BackendServer: h.info.Config.Name, Type: backend.OrderUnload, Holding: x.Holding,
				Reason: "no stage wants this version and the wanted one is ready in every stage",
			})
			break
		}
	}
}

func (p *planner) obsolete(x backend.Holding) bool {
	m := p.in.Config.Models[x.Model]
	if m == nil {
		return true
	}
	if x.Version == m.Version || x.Version == m.Previous {
		return false
	}
	for _, s := range p.stages {
		if s.model == m && len(p.holders(s, true)) < max(1, s.spec.Replicas) {
			return false
		}
	}
	return true
}
