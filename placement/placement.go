// Package placement decides which backend server holds which stage. It is pure:
// the configuration, what the engines report and the orders under way in,
// decisions with their reasons out. It loads before it unloads, so that a move
// opens no hole in the layers, and moves as few weights as it can.
package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/topology"
)

// Input is all that a decision depends on.
type Input struct {
	Config  *topology.Snapshot
	Servers []fleet.Info
	Pending []Order // ordered, not yet reported by the engine
	Demand  map[string]float64
	// Budget is how many bytes may be under way from the weight store at once.
	// One load may always be under way, however large.
	Budget int64
	// IgnorePending leaves loads under way out of the count, for measurement.
	IgnorePending bool
}

// Order is one decided change of one backend server.
type Order struct {
	BackendServer string
	Type          backend.OrderType
	Holding       backend.Holding
	Role          backend.Role // for an order of a role
	Bytes         int64        // to load
	Reason        string       // why this, and why there
}

// Key identifies what an order asks for; equal orders are the same order.
func (o Order) Key() string {
	if o.Type == backend.OrderRole {
		return fmt.Sprintf("%s %s %s", o.BackendServer, o.Type, o.Role)
	}
	return fmt.Sprintf("%s %s %s/%s%s%v", o.BackendServer, o.Type, o.Holding.Model, o.Holding.Version, o.Holding.Layers, o.Holding.Adapters)
}

// Decide returns the orders to give now.
func Decide(in Input) []Order {
	p := newPlanner(in)
	for _, st := range p.stages {
		p.fill(st, max(1, st.spec.Replicas), "has too few holders")
	}
	p.grow()
	for _, st := range p.stages {
		p.adapt(st)
		p.assign(st)
	}
	p.retire()
	return p.orders
}

// Effective reports whether an engine's report shows the effect of an order.
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
	return i >= 0 && !info.Holdings[i].Loading && lacking(info.Holdings[i], o.Holding.Adapters) == ""
}

// lacking returns an adapter that a holding does not have, or "".
func lacking(h backend.Holding, adapters []string) string {
	for _, a := range adapters {
		if !slices.Contains(h.Adapters, a) {
			return a
		}
	}
	return ""
}

// planner works on a picture of the fleet that includes what it has decided.
type planner struct {
	in     Input
	hosts  []*host
	stages []*stage
	orders []Order
	moving int64 // bytes under way
}

// host is a backend server with what it holds or will hold.
type host struct {
	info     fleet.Info
	holdings []holding
	used     int64
	ordered  bool // an order is under way or decided: one at a time
}

type holding struct {
	backend.Holding
	ready bool // usable now
}

// stage is a stage with its model.
type stage struct {
	spec  *topology.Stage
	model *topology.Model
}

func newPlanner(in Input) *planner {
	p := &planner{in: in}
	for i := range in.Servers {
		p.hosts = append(p.hosts, p.host(in.Servers[i]))
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

func (p *planner) host(info fleet.Info) *host {
	h := &host{info: info}
	for _, x := range info.Holdings {
		h.holdings = append(h.holdings, holding{x, !x.Loading})
		h.used += p.bytes(x)
		if x.Loading {
			h.ordered = true
			p.moving += p.bytes(x)
		}
	}
	return h
}

// countPending treats ordered loads as coming capacity, so that nothing is
// ordered twice while a load, which takes minutes, is under way. (The idea is
// that of counting nodes which still boot in cluster autoscaling, as described
// in "Writing a Kubernetes Cluster Autoscaler Provider with externalgrpc".)
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
			p.moving += o.Bytes
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

// serves reports whether a host may serve a stage at all.
func (s *stage) serves(h *host) bool {
	return h.info.Usable && s.spec.BackendServers.Matches(h.info.Config.Labels)
}

// holds reports whether a host holds the whole stage in the wanted version.
func (s *stage) holds(h *host, ready bool) bool {
	return slices.ContainsFunc(h.holdings, func(x holding) bool {
		return x.Model == s.model.Name && x.Version == s.model.Version && x.Layers.Contains(s.spec.Layers) && (x.ready || !ready)
	})
}

// holders returns the hosts that serve a stage, ready ones only or those that
// will be too.
func (p *planner) holders(s *stage, ready bool) []*host {
	var out []*host
	for _, h := range p.hosts {
		if s.serves(h) && s.holds(h, ready) {
			out = append(out, h)
		}
	}
	return out
}

// fill orders loads until a stage has the wanted number of holders, or nothing
// more can be ordered now.
func (p *planner) fill(s *stage, want int, why string) {
	for len(p.holders(s, false)) < want {
		if !p.load(s, why) {
			return
		}
	}
}

// load orders one more holder of a stage.
func (p *planner) load(s *stage, why string) bool {
	bytes := s.model.Weight(s.spec.Layers)
	if bytes <= 0 {
		return false // the model does not say how large it is
	}
	if p.moving > 0 && p.in.Budget > 0 && p.moving+bytes > p.in.Budget {
		return false
	}
	h := p.best(s, bytes)
	if h == nil {
		return false
	}
	x := backend.Holding{Model: s.model.Name, Version: s.model.Version, Layers: s.spec.Layers, Adapters: s.model.Adapters}
	h.holdings = append(h.holdings, holding{x, false})
	h.used += bytes
	h.ordered = true
	p.moving += bytes
	p.orders = append(p.orders, Order{
		BackendServer: h.info.Config.Name, Type: backend.OrderLoad, Holding: x, Bytes: bytes,
		Reason: fmt.Sprintf("stage %s %s; %s has the fewest holders in its failure domain, then the most capacity", s.spec.Name, why, h.info.Config.Name),
	})
	return true
}

// best returns the host that should hold a stage next: in the failure domain
// with the fewest holders, holding the least else, with the most capacity.
func (p *planner) best(s *stage, bytes int64) *host {
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

// grow gives backend servers that hold nothing to the stage that limits a
// model's throughput, the model with the most demand for its capacity first.
// Stages with a fixed number of replicas are left as they are.
func (p *planner) grow() {
	for {
		s := p.tightest()
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

// tightest returns the stage with the least capacity for its demand.
func (p *planner) tightest() *stage {
	var tight *stage
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
		if tight == nil || ratio < least {
			tight, least = s, ratio
		}
	}
	return tight
}

// adapt orders the adapters that holders of a stage lack. Their weights are
// small beside the model's and do not count against the budget.
func (p *planner) adapt(s *stage) {
	for _, h := range p.holders(s, true) {
		for _, x := range h.holdings {
			a := lacking(x.Holding, s.model.Adapters)
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

// assign orders the wanted role for one holder of a stage at a time, and only
// while another ready holder goes on serving.
func (p *planner) assign(s *stage) {
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

// retire unloads what no stage wants any more: versions that are neither served
// nor the previous one, once every stage of the model has ready holders of the
// wanted version without it.
func (p *planner) retire() {
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
