// Package monitor updates the live state of the backend servers. It reads their
// status, receives signals from requests, evaluates both with package health, and
// stores the results in a fleet.Table.
package monitor

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/topology"
)

// Options configures a Monitor.
type Options struct {
	StatusPoll time.Duration // interval between two status reads of a backend server
	GapFloor   time.Duration // minimum of GapBound
	GapCeiling time.Duration // maximum of GapBound
	Health     health.Config
	Link       health.LinkConfig
}

// Owner reports which backend servers this daemon polls. The statuses of the other
// backend servers come from the daemons that own them.
type Owner interface {
	Owns(server string) bool
}

// OwnsAll is the Owner of a single daemon.
type OwnsAll struct{}

// Owns implements Owner.
func (OwnsAll) Owns(string) bool { return true }

// Publisher distributes the statuses that this daemon has read itself.
type Publisher interface {
	PublishStatus(st backend.Status)
}

// Dependencies are the components that a Monitor uses.
type Dependencies struct {
	Engine    backend.Engine
	Table     *fleet.Table
	Log       *decision.Log
	Logger    log.Logger
	Owner     Owner
	Publisher Publisher // may be nil
	Cache     Cache     // may be nil
	Wake      func()    // called when a backend server may be able to take more work
	Clock     func() time.Time
}

// Monitor polls backend servers and evaluates their health. It is safe for
// concurrent use.
type Monitor struct {
	opts Options
	Dependencies

	mu          sync.Mutex
	detector    *health.Detector
	links       map[linkKey]*health.Link
	hopGaps     map[string]*health.Gap
	linkGaps    map[linkKey]*health.Gap
	groupConfig health.LinkConfig
	polled      bool // see Polled
}

type linkKey struct{ from, to string }

// answerTimeout bounds the check by Unresponsive of whether backend servers answer.
const answerTimeout = 150 * time.Millisecond

// probeTimeout bounds a probe of an ejected backend server.
const probeTimeout = time.Second

// tickInterval is the period of the checks for due probes, ramping weights and due link
// trials.
const tickInterval = 100 * time.Millisecond

// New returns a monitor; Run must be called.
func New(o Options, d Dependencies) *Monitor {
	m := &Monitor{
		opts: o, Dependencies: d, links: map[linkKey]*health.Link{}, hopGaps: map[string]*health.Gap{},
		linkGaps: map[linkKey]*health.Gap{}, groupConfig: health.GroupLinkConfig(),
	}
	m.detector = health.NewDetector(o.Health, m.lastCapacity)
	return m
}

// Run polls and probes until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.pollStatuses(ctx) })
	wg.Go(func() { m.every(ctx, tickInterval, m.onTick) })
	wg.Go(func() { m.followCaches(ctx) })
	wg.Wait()
}

func (m *Monitor) every(ctx context.Context, period time.Duration, fn func(context.Context)) {
	t := time.NewTicker(period)
	defer t.Stop()
	fn(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			fn(ctx)
		}
	}
}

// pollStatuses polls periodically. Until Polled returns true, it polls on every change
// of the fleet instead.
func (m *Monitor) pollStatuses(ctx context.Context) {
	for !m.Polled() {
		changed := m.Table.Changed()
		m.pollOwned(ctx)
		if m.Polled() {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
	m.every(ctx, m.opts.StatusPoll, m.pollOwned)
}

// pollOwned reads the status of the backend servers that this daemon owns.
func (m *Monitor) pollOwned(ctx context.Context) {
	var wg sync.WaitGroup
	for _, info := range m.Table.View().Servers {
		if !m.Owner.Owns(info.Config.Name) {
			continue
		}
		wg.Go(func() { m.readStatus(ctx, info.Config) })
	}
	wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.polled = m.polled || len(m.Table.View().Servers) > 0
}

// Polled reports whether the backend servers that this daemon owns have been polled
// at least once. Before that, a lack of routes may be temporary.
func (m *Monitor) Polled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.polled
}

func (m *Monitor) readStatus(ctx context.Context, b *topology.BackendServer) {
	pctx, cancel := context.WithTimeout(ctx, max(m.opts.StatusPoll, probeTimeout))
	defer cancel()
	st, err := m.Engine.Status(pctx, backend.Target{BackendServer: b.Name, Address: b.Address})
	if err != nil {
		if ctx.Err() == nil {
			m.Signal(b.Name, health.ProbeFailed)
		}
		return
	}
	st.BackendServer = b.Name
	m.ApplyStatus(st)
	if m.Publisher != nil {
		m.Publisher.PublishStatus(st)
	}
}

// ApplyStatus applies a status that was read here or by the daemon that owns the
// backend server.
func (m *Monitor) ApplyStatus(st backend.Status) {
	if m.Table.ApplyStatus(st, m.Clock()) {
		m.Log.Add(decision.Record{
			Time: m.Clock(), Kind: decision.Health, Subject: st.BackendServer,
			Reason: "status", Chosen: describe(st),
		})
		m.Wake()
	}
}

// Reports returns the latest reports that this daemon knows, to update other daemons.
func (m *Monitor) Reports() []backend.Status { return m.Table.Reports() }

func describe(st backend.Status) string {
	text := ""
	for _, h := range st.Holdings {
		text += h.Model + "/" + h.Version + h.Layers.String() + " "
	}
	if st.Leaving {
		text += "leaving"
	}
	return text
}

// Signal records what a request or a probe observed of a backend server.
func (m *Monitor) Signal(server string, s health.Signal) {
	now := m.Clock()
	m.mu.Lock()
	tr, changed := m.detector.Observe(server, s, now)
	inService, weight := m.detector.InService(server), m.detector.Weight(server, now)
	m.mu.Unlock()
	if !changed {
		return
	}
	m.Table.SetHealth(server, !inService, weight)
	reason := "signal " + tr.Signal.String()
	if tr.KeptInService {
		reason += ", kept in service as the last capacity of some layers"
	}
	m.Log.Add(decision.Record{
		Time: now, Kind: decision.Health, Subject: server, Chosen: tr.To.String(), Reason: reason, Rejected: tr.From.String(),
	})
	if inService {
		m.Wake()
	}
}

// lastCapacity reports whether the backend server holds layers that no other usable
// backend server holds. The detector calls it while m.mu is held.
func (m *Monitor) lastCapacity(server string) bool {
	view := m.Table.View()
	var held []backend.Holding
	for _, info := range view.Servers {
		if info.Config.Name == server {
			held = info.Holdings
		}
	}
	for _, h := range held {
		if !m.coveredByOthers(view, server, h) {
			return true
		}
	}
	return false
}

func (m *Monitor) coveredByOthers(view *fleet.View, server string, h backend.Holding) bool {
	at := h.Layers.Lo
	for at < h.Layers.Hi {
		coveredTo := at
		for _, info := range view.Servers {
			if info.Config.Name == server || !info.Usable {
				continue
			}
			for _, o := range info.Holdings {
				if !o.Loading && o.Model == h.Model && o.Version == h.Version && o.Layers.Lo <= at {
					coveredTo = max(coveredTo, o.Layers.Hi)
				}
			}
		}
		if coveredTo == at {
			return false
		}
		at = coveredTo
	}
	return true
}

// onTick sends due probes, updates ramping weights and starts due link trials.
func (m *Monitor) onTick(ctx context.Context) {
	now := m.Clock()
	m.mu.Lock()
	dueProbes := m.detector.DueProbes(now)
	ramping := m.detector.Ramping(now)
	weights := make([]float64, len(ramping))
	for i, name := range ramping {
		weights[i] = m.detector.Weight(name, now)
	}
	m.tickLinks(now)
	m.mu.Unlock()
	for i, name := range ramping {
		m.Table.SetHealth(name, false, weights[i])
	}
	for _, name := range dueProbes {
		go m.probe(ctx, name)
	}
}

func (m *Monitor) probe(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	t, ok := m.target(name)
	if !ok {
		m.mu.Lock()
		m.detector.Forget(name)
		m.mu.Unlock()
		return
	}
	st, err := m.Engine.Status(ctx, t)
	if err != nil {
		m.Signal(name, health.ProbeFailed)
		return
	}
	st.BackendServer = name
	m.ApplyStatus(st)
	m.Signal(name, health.ProbeOK)
}

func (m *Monitor) target(name string) (backend.Target, bool) {
	for _, info := range m.Table.View().Servers {
		if info.Config.Name == name {
			return backend.Target{BackendServer: name, Address: info.Config.Address}, true
		}
	}
	return backend.Target{}, false
}

// Unresponsive returns the backend servers of a route that do not answer within
// answerTimeout.
func (m *Monitor) Unresponsive(ctx context.Context, r topology.Route) []string {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	silent := make([]bool, len(r))
	var wg sync.WaitGroup
	for i, h := range r {
		wg.Go(func() {
			_, err := m.Engine.Status(ctx, backend.Target{BackendServer: h.BackendServer, Address: h.Address})
			silent[i] = err != nil
		})
	}
	wg.Wait()
	var out []string
	for i, h := range r {
		if silent[i] {
			out = append(out, h.BackendServer)
		}
	}
	return out
}
