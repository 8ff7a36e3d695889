package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/topology"
)

// Key identifies a plan.
type Key struct {
	Class   string
	Model   string
	Version string
	Adapter string
}

// Binding is a plan with the live state of its backend servers and links.
type Binding struct {
	Plan     *Plan
	servers  []*fleet.Server
	links    []*fleet.Link // of Plan.Links
	revision uint64        // of the configuration
	version  uint64        // of the fleet view
	built    time.Time
}

// At returns the loads of the binding's backend servers and links at time now.
func (b *Binding) At(now time.Time) LoadSnapshot { return LoadSnapshot{b: b, now: now} }

// LoadSnapshot implements Loads for one decision.
type LoadSnapshot struct {
	b   *Binding
	now time.Time
}

// Load implements Loads.
func (s LoadSnapshot) Load(i int) float64 { return s.b.servers[i].Load(s.now) }

// Usable implements Loads.
func (s LoadSnapshot) Usable(i int) bool { return s.b.servers[i].Usable() }

// Full implements Loads.
func (s LoadSnapshot) Full(i int) bool { return s.b.servers[i].Full() }

// Weight implements Loads.
func (s LoadSnapshot) Weight(i int) float64 { return s.b.servers[i].Weight() }

// LinkLoad implements Loads. The daemon knows only its own requests on a link. It
// scales them by the ratio of the sender's load to its own requests there.
func (s LoadSnapshot) LinkLoad(i int) float64 {
	own := float64(s.b.links[i].InFlight())
	from := s.b.servers[s.b.Plan.Links[i].From]
	if mine := float64(from.InFlight()); mine > 0 {
		own *= math.Max(1, from.Load(s.now)/mine)
	}
	return own
}

// Limits of the plan cache.
const (
	maxPlans           = 4096
	minRebuildInterval = 20 * time.Millisecond // between two builds of a plan after fleet changes
)

// Planner caches the plans of the classes and models in use and rebuilds them when
// the configuration or the fleet changes. The old plan stays in use during a
// rebuild, since usability is checked again at each choice. It is safe for
// concurrent use.
type Planner struct {
	table *fleet.Table
	now   func() time.Time

	mu    sync.Mutex
	plans map[Key]*entry
}

// entry holds a cached plan. building is held while the plan is built.
type entry struct {
	current  atomic.Pointer[Binding]
	building sync.Mutex
}

// NewPlanner returns a planner over the table.
func NewPlanner(table *fleet.Table, now func() time.Time) *Planner {
	return &Planner{table: table, now: now, plans: map[Key]*entry{}}
}

// Serving returns the plan and the version that new requests use. This is the
// model's version, or its previous version while no pipeline holds the new one.
func (p *Planner) Serving(snap *topology.Snapshot, c topology.Class, m *topology.Model, adapter string) (*Binding, string) {
	b := p.Plan(snap, c, m, adapter)
	if b.Plan.Routable() || m.Previous == "" {
		return b, m.Version
	}
	old := *m
	old.Version = m.Previous
	if ob := p.Plan(snap, c, &old, adapter); ob.Plan.Routable() {
		return ob, old.Version
	}
	return b, m.Version
}

// Plan returns the plan for a class, model and adapter under the configuration. If
// the plan is outdated, it is returned and rebuilt in the background.
func (p *Planner) Plan(snap *topology.Snapshot, c topology.Class, m *topology.Model, adapter string) *Binding {
	e := p.entry(Key{Class: c.Key, Model: m.Name, Version: m.Version, Adapter: adapter})
	b := e.current.Load()
	if b == nil {
		return p.buildFirst(e, snap, c, m, adapter)
	}
	version := p.table.Version()
	fresh := b.revision == snap.RoutingRevision && b.version == version
	tooSoon := b.revision == snap.RoutingRevision && p.now().Sub(b.built) < minRebuildInterval
	if fresh || tooSoon || !e.building.TryLock() {
		return b
	}
	go func() {
		defer e.building.Unlock()
		e.current.Store(p.build(snap, p.table.View(), c, m, adapter))
	}()
	return b
}

// buildFirst builds a plan that is not cached. Concurrent callers wait for it.
func (p *Planner) buildFirst(e *entry, snap *topology.Snapshot, c topology.Class, m *topology.Model, adapter string) *Binding {
	e.building.Lock()
	defer e.building.Unlock()
	if b := e.current.Load(); b != nil {
		return b
	}
	b := p.build(snap, p.table.View(), c, m, adapter)
	e.current.Store(b)
	return b
}

func (p *Planner) entry(k Key) *entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.plans[k]
	if e == nil {
		p.evict()
		e = &entry{}
		p.plans[k] = e
	}
	return e
}

// evict drops an arbitrary plan when the cache is full. The caller holds the lock.
func (p *Planner) evict() {
	if len(p.plans) < maxPlans {
		return
	}
	for k := range p.plans {
		delete(p.plans, k)
		return
	}
}

func (p *Planner) build(snap *topology.Snapshot, view *fleet.View, c topology.Class, m *topology.Model, adapter string) *Binding {
	b := &Binding{revision: snap.RoutingRevision, version: view.Version, built: p.now()}
	in := Input{Layers: m.Layers}
	var infos []*fleet.Info
	for i := range view.Servers {
		info := &view.Servers[i]
		ranges := servable(snap, c, m, adapter, info)
		if len(ranges) == 0 || !info.Usable {
			continue
		}
		in.Servers = append(in.Servers, Candidate{
			Name: info.Config.Name, Address: info.Config.Address, FailureDomain: info.Config.FailureDomain,
			Capacity: info.Capacity, Ranges: ranges,
		})
		infos = append(infos, info)
		b.servers = append(b.servers, info.Live)
	}
	in.Link = func(from, to int) float64 { return linkRate(view, infos[from], infos[to]) }
	b.Plan = Build(in)
	for _, l := range b.Plan.Links {
		b.links = append(b.links, p.table.TrackLink(in.Servers[l.From].Name, in.Servers[l.To].Name))
	}
	return b
}

// linkRate returns the declared capacity of a link, scaled by its link factor. A
// slow link without a declared capacity is scaled from the capacity of the sending
// backend server.
func linkRate(view *fleet.View, from, to *fleet.Info) float64 {
	declared := from.Config.LinkTo(to.Config)
	factor := view.LinkFactor(from.Config.Name, to.Config.Name)
	if factor >= 1 {
		return declared
	}
	if declared <= 0 {
		declared = from.Capacity
	}
	return declared * factor
}

// servable returns the layers that a backend server may serve for the class. It must
// hold them in the model's version and with the adapter, and stages and rules must
// allow them.
func servable(snap *topology.Snapshot, c topology.Class, m *topology.Model, adapter string, info *fleet.Info) []topology.LayerRange {
	var out []topology.LayerRange
	for i := range info.Holdings {
		h := &info.Holdings[i]
		if h.Loading || h.Model != m.Name || h.Version != m.Version || !holdsAdapter(h, adapter) {
			continue
		}
		out = append(out, snap.Allowed(c, m, info.Config, h.Layers)...)
	}
	return out
}

func holdsAdapter(h *backend.Holding, adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, a := range h.Adapters {
		if a == adapter {
			return true
		}
	}
	return false
}
