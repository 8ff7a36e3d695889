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

// Binding ties a plan to the live state of its backend servers. It implements
// Loads at one moment.
type Binding struct {
	Plan     *Plan
	servers  []*fleet.Server
	links    []*fleet.Link // of Plan.Links
	revision uint64        // of the configuration
	version  uint64        // of the fleet view
	built    time.Time
}

// At returns the loads as of now.
func (b *Binding) At(now time.Time) Snapshot { return Snapshot{b: b, now: now} }

// Snapshot implements Loads for one decision.
type Snapshot struct {
	b   *Binding
	now time.Time
}

// Load implements Loads.
func (s Snapshot) Load(i int) float64 { return s.b.servers[i].Load(s.now) }

// Usable implements Loads.
func (s Snapshot) Usable(i int) bool { return s.b.servers[i].Usable() }

// Full implements Loads.
func (s Snapshot) Full(i int) bool { return s.b.servers[i].Full() }

// Weight implements Loads.
func (s Snapshot) Weight(i int) float64 { return s.b.servers[i].Weight() }

// LinkLoad implements Loads. Of a link only this daemon's requests are known;
// those of others are taken to be in proportion to the loads of its sender.
func (s Snapshot) LinkLoad(i int) float64 {
	own := float64(s.b.links[i].InFlight())
	from := s.b.servers[s.b.Plan.Links[i].From]
	if mine := float64(from.InFlight()); mine > 0 {
		own *= math.Max(1, from.Load(s.now)/mine)
	}
	return own
}

// Limits of the plan cache.
const (
	maxPlans     = 4096
	rebuildPause = 20 * time.Millisecond // least time between two builds of a plan
)

// Planner keeps the plans of the classes and models in use and rebuilds them
// when the configuration or the fleet has changed. An old plan stays in use
// while a new one is built: usability is checked again at each choice.
type Planner struct {
	table *fleet.Table
	now   func() time.Time

	mu    sync.Mutex
	plans map[Key]*entry
}

type entry struct {
	current  atomic.Pointer[Binding]
	building sync.Mutex
}

// NewPlanner returns a planner over the table.
func NewPlanner(table *fleet.Table, now func() time.Time) *Planner {
	return &Planner{table: table, now: now, plans: map[Key]*entry{}}
}

// Serving returns the plan of the model's version, or of the previous one while
// no pipeline holds the new, and the version that it is for.
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

// Plan returns the plan for a class, model and adapter under the configuration.
// An old plan is returned while a new one is built beside the requests.
func (p *Planner) Plan(snap *topology.Snapshot, c topology.Class, m *topology.Model, adapter string) *Binding {
	e := p.entry(Key{Class: c.Key, Model: m.Name, Version: m.Version, Adapter: adapter})
	b := e.current.Load()
	if b == nil {
		return p.first(e, snap, c, m, adapter)
	}
	version := p.table.Version()
	fresh := b.revision == snap.Routing && b.version == version
	tooSoon := b.revision == snap.Routing && p.now().Sub(b.built) < rebuildPause
	if fresh || tooSoon || !e.building.TryLock() {
		return b
	}
	go func() {
		defer e.building.Unlock()
		e.current.Store(p.build(snap, p.table.View(), c, m, adapter))
	}()
	return b
}

// first builds a plan that nobody has asked for yet; all who ask wait for it.
func (p *Planner) first(e *entry, snap *topology.Snapshot, c topology.Class, m *topology.Model, adapter string) *Binding {
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

// evict drops any one plan when the cache is full; it is rebuilt if needed.
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
	b := &Binding{revision: snap.Routing, version: view.Version, built: p.now()}
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

// linkRate is the declared capacity of a link times what is left of it. A link
// without a declared capacity starts from that of the sending backend server.
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

// servable returns the layers that a backend server may serve for the class:
// held in the right version with the adapter, and allowed by stages and rules.
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
