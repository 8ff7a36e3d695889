// Package placer carries out the placement of layers: the daemon that holds the
// placement lease orders backend servers to hold the layers that package pipeline
// assigns to them, and follows their reports.
package placer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/forward"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// Intervals and limits of the placer.
const (
	// pollInterval is the time between two checks without a change of the inventory.
	pollInterval = 500 * time.Millisecond
	// orderRetryDelay is how long a backend server counts as busy after an unanswered
	// order, or if it does not report or reports that it is busy. An unanswered order may
	// still be carried out many seconds later. The order and its retry state the same
	// number of previous orders, so only one of them is carried out.
	orderRetryDelay = time.Second
	// orderVisibleTimeout is how long the result of an order may take to appear in the
	// record of the backend server, in addition to the load time.
	orderVisibleTimeout = 3 * time.Second
	// maxLoadSlowdown is the maximum factor on the load time while several backend
	// servers use the weight store.
	maxLoadSlowdown = 4
	// probeRetryInterval is the time between two probes of a dead backend server.
	probeRetryInterval = time.Second
	// settleDelay is how long the number of empty backend servers must stay the same
	// before a first placement, since they register one by one.
	settleDelay = 1200 * time.Millisecond
	// freshPeriod is how long a new empty backend server is reserved for the layers of
	// one that is about to drain. A rolling replacement starts the new backend server
	// before the old one drains.
	freshPeriod = 1500 * time.Millisecond
	// rebuildDelay is how long the backend servers of a group may fail to cover a
	// layer before the group is rebuilt. A rebuild takes two to four seconds, while most
	// crashed backend servers return empty within two to five and can load the missing
	// layers.
	rebuildDelay = 3500 * time.Millisecond
	// departureGracePeriod is how long a backend server may still serve after its
	// record was removed without a sign of failure, for example while it drains, which
	// takes 2 to 4 s or more. No layers are dropped at once during this time, so that
	// requests that pass through it are not interrupted.
	departureGracePeriod = 8 * time.Second
	// maxConcurrentOrders bounds the orders that are sent concurrently.
	maxConcurrentOrders = 8
)

// Lease reports whether this daemon holds the placement lease.
type Lease interface {
	Held() (fencing uint64, ok bool)
}

// Backends sends orders to backend servers.
type Backends interface {
	Report(ctx context.Context, s *site.BackendServer) (forward.Report, error)
	// Hold orders a backend server to hold layers. It is refused with
	// forward.ErrOrderRefused unless the number of previous orders that the backend
	// server has accepted equals after. With atOnce, the backend server drops other
	// layers at once and interrupts the requests that pass through them, else it drops
	// them when those requests have ended.
	Hold(ctx context.Context, s *site.BackendServer, layers site.Range, atOnce bool, after, fence uint64) error
}

// Inventory provides the known state of the site.
type Inventory interface {
	View() *inventory.View
	Changed() <-chan struct{}
}

// Health reports the backend servers that this daemon considers dead.
type Health interface {
	Failed(id string) bool
	// Leaving reports whether a backend server has stated that it is leaving.
	Leaving(id string) bool
}

// Observer receives the bound of each service, the number of requests that its layout can
// hold at once.
type Observer interface {
	Bound(service string, requests int)
}

// Placer places the layers of all services while this daemon holds the lease.
type Placer struct {
	lease    Lease
	inv      Inventory
	backends Backends
	health   Health
	observer Observer
	logger   log.Logger

	dead          map[string]time.Time           // by backend server ID, time of the last failed probe
	freshSince    map[string]time.Time           // by backend server ID, when it was first found empty; zero if it restarted
	holders       map[string]*site.BackendServer // by ID, the backend servers that held layers at the last check
	lastDeparture time.Time                      // when a record of holders was last removed without a sign of failure
	lastServerAt  map[string]string              // by address, the ID of the last backend server there

	mu      sync.Mutex
	pending map[string]pendingOrder // by backend server ID

	incompleteSince time.Time                 // when a group stopped covering all layers, zero if all groups cover them
	bounds          map[string]pipeline.Bound // last logged value, by service

	emptyCount     int       // number of backend servers while none holds layers
	emptyChangedAt time.Time // when emptyCount last changed
}

// pendingOrder is an order whose result is not in the backend server's record yet.
type pendingOrder struct {
	layers site.Range
	until  time.Time // when it no longer counts as pending
}

// New returns a Placer. It places layers while Run is running.
func New(lease Lease, inv Inventory, b Backends, h Health, o Observer, logger log.Logger) *Placer {
	return &Placer{
		lease: lease, inv: inv, backends: b, health: h, observer: o, logger: logger,
		dead: map[string]time.Time{}, freshSince: map[string]time.Time{}, holders: map[string]*site.BackendServer{}, lastServerAt: map[string]string{},
		pending: map[string]pendingOrder{}, bounds: map[string]pipeline.Bound{},
	}
}

// Run places layers until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		changed := p.inv.Changed()
		if fence, ok := p.lease.Held(); ok {
			p.step(ctx, fence)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-changed:
		}
	}
}

// step sends the orders that are due.
func (p *Placer) step(ctx context.Context, fence uint64) {
	view := p.inv.View()
	if view.Config == nil {
		return
	}
	for _, svc := range view.Config.Services {
		if svc.Engine == nil || svc.Engine.LayerMB <= 0 {
			continue
		}
		p.noteDepartures(view, svc, time.Now())
		p.probe(ctx, view, svc)
		servers := p.servers(view, svc)
		if !p.settled(servers) {
			continue
		}
		p.updateBound(svc, servers)
		now := time.Now()
		orders := p.decide(svc.Engine, servers, now)
		if !view.Config.RepeatableAt(svc.Name) || now.Sub(p.lastDeparture) < departureGracePeriod {
			orders = graceful(orders)
		}
		p.sendOrders(ctx, svc.Engine, orders, fence)
	}
}

// noteDepartures records when the record of a backend server with layers was last removed
// although the server neither drained nor looked dead. It must run before probe, which
// removes entries of p.dead without a record.
func (p *Placer) noteDepartures(view *inventory.View, svc *site.Service, now time.Time) {
	addresses := map[string]bool{}
	for _, s := range view.OfService(svc.Name) {
		addresses[s.Address] = true
	}
	for id, s := range p.holders {
		if s.Service != svc.Name || view.Servers[id] != nil {
			continue
		}
		delete(p.holders, id)
		restarted := addresses[s.Address] // another incarnation has its address
		if _, dead := p.dead[id]; !dead && !restarted && !s.Draining && !p.health.Leaving(id) && !p.health.Failed(id) {
			p.lastDeparture = now
			_ = level.Info(p.logger).Log("msg", "decision", "kind", "left", "server", id, "address", s.Address, "from", s.Held.From, "to", s.Held.To)
		}
	}
	for _, s := range view.OfService(svc.Name) {
		if s.Held.Len() > 0 {
			p.holders[s.ID] = s
		}
	}
}

// graceful returns the orders with AtOnce cleared: layers are dropped only when no
// request passes through them.
func graceful(orders []pipeline.Order) []pipeline.Order {
	out := slices.Clone(orders)
	for i := range out {
		out[i].AtOnce = false
	}
	return out
}

// updateBound logs and reports the bound of a service when it changes.
func (p *Placer) updateBound(svc *site.Service, servers []pipeline.ServerState) {
	b := pipeline.BoundOf(svc.Engine, servers)
	if b == p.bounds[svc.Name] {
		return
	}
	p.bounds[svc.Name] = b
	p.observer.Bound(svc.Name, b.Requests)
	_ = level.Info(p.logger).Log("msg", "decision", "kind", "bound", "service", svc.Name, "cards", len(servers),
		"requests_at_once", b.Requests, "from", b.Layers.From, "to", b.Layers.To)
}

// probe requests a report from each backend server that looks dead. A backend server that
// does not answer is excluded from placement well before its record expires.
func (p *Placer) probe(ctx context.Context, view *inventory.View, svc *site.Service) {
	now := time.Now()
	for id := range p.dead {
		if view.Servers[id] == nil {
			delete(p.dead, id)
		}
	}
	for _, s := range view.OfService(svc.Name) {
		at, dead := p.dead[s.ID]
		if !dead && !p.health.Failed(s.ID) || dead && now.Sub(at) < probeRetryInterval {
			continue
		}
		_, err := p.backends.Report(ctx, s)
		switch {
		case forward.IsHeldBack(err): // retried in the next round
		case err == nil && dead:
			delete(p.dead, s.ID)
			_ = level.Info(p.logger).Log("msg", "decision", "kind", "probe", "server", s.ID, "state", "answers again")
		case err != nil:
			p.dead[s.ID] = time.Now()
			if !dead {
				_ = level.Info(p.logger).Log("msg", "decision", "kind", "probe", "server", s.ID, "address", s.Address, "state", "dead", "err", err)
			}
		}
	}
}

// decide returns the orders of a patient placement. Once a group has been incomplete for
// rebuildDelay, it returns those of a placement that may rebuild groups.
func (p *Placer) decide(e *site.Engine, servers []pipeline.ServerState, now time.Time) []pipeline.Order {
	plan := pipeline.Place(e, servers, true)
	if !plan.Incomplete {
		p.incompleteSince = time.Time{}
		return plan.Orders
	}
	if p.incompleteSince.IsZero() {
		p.incompleteSince = now
	}
	if now.Sub(p.incompleteSince) < rebuildDelay {
		return plan.Orders
	}
	return pipeline.Place(e, servers, false).Orders
}

// settled reports whether a placement may begin: at once if some backend server holds
// layers, else once the number of backend servers has not changed for settleDelay.
func (p *Placer) settled(servers []pipeline.ServerState) bool {
	if slices.ContainsFunc(servers, func(s pipeline.ServerState) bool { return s.Assigned.Len() > 0 }) {
		return true
	}
	now := time.Now()
	if len(servers) != p.emptyCount {
		p.emptyCount, p.emptyChangedAt = len(servers), now
	}
	return now.Sub(p.emptyChangedAt) >= settleDelay
}

// servers returns the backend servers of a service, except dead ones, with the state that
// placement uses.
func (p *Placer) servers(view *inventory.View, svc *site.Service) []pipeline.ServerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []pipeline.ServerState
	maps.DeleteFunc(p.freshSince, func(id string, _ time.Time) bool { return view.Servers[id] == nil })
	for _, s := range view.OfService(svc.Name) {
		if _, dead := p.dead[s.ID]; dead {
			continue
		}
		if !s.Draining && p.health.Leaving(s.ID) {
			draining := *s
			draining.Draining = true
			s = &draining
		}
		state := pipeline.ServerState{Server: s, Assigned: s.Held}
		if o, ok := p.pending[s.ID]; ok {
			if s.Held == o.layers || now.After(o.until) {
				delete(p.pending, s.ID)
			} else {
				state.Assigned, state.Busy = o.layers, true
			}
		}
		state.Fresh = p.isFresh(s, now)
		out = append(out, state)
	}
	return out
}

// isFresh reports whether a backend server registered empty at a new address less than
// freshPeriod ago. A backend server at a known address has restarted and does not replace
// another.
func (p *Placer) isFresh(s *site.BackendServer, now time.Time) bool {
	before := p.lastServerAt[s.Address]
	p.lastServerAt[s.Address] = s.ID
	if s.Held.Len() > 0 {
		return false
	}
	if before != "" && before != s.ID {
		p.freshSince[s.ID] = time.Time{}
	}
	if _, known := p.freshSince[s.ID]; !known {
		p.freshSince[s.ID] = now
	}
	return now.Sub(p.freshSince[s.ID]) < freshPeriod
}

// sendOrders sends orders concurrently and returns when all are sent.
func (p *Placer) sendOrders(ctx context.Context, e *site.Engine, orders []pipeline.Order, fence uint64) {
	limit := make(chan struct{}, maxConcurrentOrders)
	var wg sync.WaitGroup
	for _, o := range orders {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			p.sendOrder(ctx, e, o, fence)
		})
	}
	wg.Wait()
}

// markBusy marks a backend server as busy with an order until its record shows the ordered
// layers or the timeout has passed.
func (p *Placer) markBusy(o pipeline.Order, timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[o.Server.ID] = pendingOrder{layers: o.Layers, until: time.Now().Add(timeout)}
}

func (p *Placer) sendOrder(ctx context.Context, e *site.Engine, o pipeline.Order, fence uint64) {
	if _, ok := p.lease.Held(); !ok {
		return // the lease was lost while previous orders were sent
	}
	rep, err := p.backends.Report(ctx, o.Server)
	if err != nil || rep.Busy {
		_ = level.Warn(p.logger).Log("msg", "order not sent", "server", o.Server.ID, "busy", rep.Busy, "err", err)
		p.markBusy(o, orderRetryDelay)
		return
	}
	err = p.backends.Hold(ctx, o.Server, o.Layers, o.AtOnce, rep.Orders, fence)
	switch {
	case err == nil:
		p.markBusy(o, orderVisibleTimeout+maxLoadSlowdown*e.LoadTime(o.Layers.Len()))
	case errors.Is(err, forward.ErrOrderRefused) || errors.Is(err, execution.ErrNotSent):
		p.markBusy(o, pollInterval)
	default:
		p.markBusy(o, orderRetryDelay)
	}
	_ = level.Info(p.logger).Log("msg", "decision", "kind", "placement", "server", o.Server.ID, "address", o.Server.Address,
		"card", o.Server.Kind, "domain", o.Server.FailureDomain, "held_from", o.Server.Held.From, "held_to", o.Server.Held.To,
		"from", o.Layers.From, "to", o.Layers.To, "at_once", o.AtOnce, "orders_before", rep.Orders, "fence", fence, "reason", o.Reason, "err", err)
}
