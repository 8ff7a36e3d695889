// Package placer carries out the placement of layers: the holder of the duty
// orders backend servers to hold what package pipeline decides, and follows what
// they report.
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

// Periods of the duty.
const (
	// round is the time between two looks when nothing changes.
	round = 500 * time.Millisecond
	// orderAgain is how long a backend server is left alone after an order without an
	// answer, or while it carries out one that is not known here. The order may be
	// carried out many seconds later; it names the orders before it, as the next one
	// does, so that only one of the two is.
	orderAgain = time.Second
	// orderShows is how long it may take until a finished order shows in the
	// record of the backend server, beyond the time of the load.
	orderShows = 3 * time.Second
	// loadsSlowed is how much longer a load may take while others use the weight
	// store.
	loadsSlowed = 4
	// probeAgain is the pause between two probes of a backend server that did not
	// answer one.
	probeAgain = time.Second
	// settle is how long the set of empty cards must have been the same before a
	// first placement: backend servers register one after the other.
	settle = 1200 * time.Millisecond
	// freshFor is how long a card that came empty is kept for the layers of one that
	// is about to leave: in a rolling replacement the new one comes a second earlier.
	freshFor = 1500 * time.Millisecond
	// patience is how long a layer may lie on no card of its group before the group
	// is laid out anew, which takes two to four: most cards that crash are back, empty,
	// within two to five seconds, and need time to load as well.
	patience = 3500 * time.Millisecond
	// leavesFor is how long a backend server whose record vanished without a sign of
	// death may still serve: some leave without a word and serve for the 2 to 4 s of a
	// drain and more. Layers that others give up are not dropped at once meanwhile: 71
	// streams that passed such a card were stopped by it.
	leavesFor = 8 * time.Second
	// ordersAtOnce bounds the orders that are sent at the same moment.
	ordersAtOnce = 8
)

// Duty tells whether this daemon holds the duty now.
type Duty interface {
	Held() (fencing uint64, ok bool)
}

// Backends gives orders to backend servers.
type Backends interface {
	Report(ctx context.Context, s *site.BackendServer) (forward.Report, error)
	// Hold orders a backend server to hold layers if it has taken just so many
	// orders before. Layers that it gives up are dropped at once, with the requests
	// that pass through them, or when those have ended.
	Hold(ctx context.Context, s *site.BackendServer, layers site.Range, atOnce bool, after, fence uint64) error
}

// Inventory gives what is known of the site.
type Inventory interface {
	View() *inventory.View
	Changed() <-chan struct{}
}

// Health tells which backend servers look dead to this daemon's requests.
type Health interface {
	Failed(id string) bool
}

// Observer is told how many requests the layout of a service holds at once.
type Observer interface {
	Bound(service string, requests int)
}

// Placer is one daemon's part in the duty.
type Placer struct {
	duty     Duty
	inv      Inventory
	backends Backends
	health   Health
	observe  Observer
	logger   log.Logger

	dead  map[string]time.Time           // by backend server ID, when the probe failed
	fresh map[string]time.Time           // by backend server ID, when it was first seen empty
	seen  map[string]*site.BackendServer // those that held layers when last looked at, by ID
	left  time.Time                      // when one of them was last missing without a sign of death
	homes map[string]string              // by address, the backend server last seen there

	mu      sync.Mutex
	pending map[string]order // by backend server ID

	brokenSince time.Time                 // the cards of a group do not cover all layers since then, zero for none
	bounds      map[string]pipeline.Bound // as last logged, by service

	empty      int       // cards seen without any layers placed
	emptySince time.Time // when their number last changed
}

// order is one that is under way.
type order struct {
	layers site.Range
	until  time.Time // when it counts as lost
}

// New returns a placer; Run must be called.
func New(duty Duty, inv Inventory, b Backends, h Health, o Observer, logger log.Logger) *Placer {
	return &Placer{
		duty: duty, inv: inv, backends: b, health: h, observe: o, logger: logger,
		dead: map[string]time.Time{}, fresh: map[string]time.Time{}, seen: map[string]*site.BackendServer{}, homes: map[string]string{},
		pending: map[string]order{}, bounds: map[string]pipeline.Bound{},
	}
}

// Run places until ctx ends.
func (p *Placer) Run(ctx context.Context) {
	t := time.NewTicker(round)
	defer t.Stop()
	for {
		changed := p.inv.Changed()
		if fence, ok := p.duty.Held(); ok {
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

// step gives the orders that are due.
func (p *Placer) step(ctx context.Context, fence uint64) {
	view := p.inv.View()
	if view.Config == nil {
		return
	}
	for _, svc := range view.Config.Services {
		if svc.Engine == nil || svc.Engine.LayerMB <= 0 {
			continue
		}
		p.noteLeft(view, svc, time.Now())
		p.probe(ctx, view, svc)
		cards := p.cards(view, svc)
		if !p.settled(cards) {
			continue
		}
		p.noteBound(svc, cards)
		now := time.Now()
		orders := p.decide(svc.Engine, cards, now)
		if !view.Config.RepeatableAt(svc.Name) || now.Sub(p.left) < leavesFor {
			orders = graceful(orders)
		}
		p.give(ctx, svc.Engine, orders, fence)
	}
}

// noteLeft notes backend servers that held layers and are gone although they neither
// drained nor looked dead. It is called before the dead are forgotten with their
// records.
func (p *Placer) noteLeft(view *inventory.View, svc *site.Service, now time.Time) {
	there := map[string]bool{}
	for _, s := range view.OfService(svc.Name) {
		there[s.Address] = true
	}
	for id, s := range p.seen {
		if s.Service != svc.Name || view.Servers[id] != nil {
			continue
		}
		delete(p.seen, id)
		ended := there[s.Address] // another incarnation is where it was
		if _, dead := p.dead[id]; !dead && !ended && !s.Draining && !p.health.Failed(id) {
			p.left = now
			_ = level.Info(p.logger).Log("msg", "decision", "kind", "left", "server", id, "address", s.Address, "from", s.Held.From, "to", s.Held.To)
		}
	}
	for _, s := range view.OfService(svc.Name) {
		if s.Held.Len() > 0 {
			p.seen[s.ID] = s
		}
	}
}

// graceful returns orders that drop layers only when no request passes through them.
func graceful(orders []pipeline.Order) []pipeline.Order {
	out := slices.Clone(orders)
	for i := range out {
		out[i].AtOnce = false
	}
	return out
}

// noteBound logs which layers bind a service when that changes.
func (p *Placer) noteBound(svc *site.Service, cards []pipeline.Card) {
	b := pipeline.BoundOf(svc.Engine, cards)
	if b == p.bounds[svc.Name] {
		return
	}
	p.bounds[svc.Name] = b
	p.observe.Bound(svc.Name, b.Requests)
	_ = level.Info(p.logger).Log("msg", "decision", "kind", "bound", "service", svc.Name, "cards", len(cards),
		"requests_at_once", b.Requests, "from", b.Layers.From, "to", b.Layers.To)
}

// probe asks the backend servers that look dead for a report. One that does not
// answer counts as gone, well before its record lapses.
func (p *Placer) probe(ctx context.Context, view *inventory.View, svc *site.Service) {
	now := time.Now()
	for id := range p.dead {
		if view.Servers[id] == nil {
			delete(p.dead, id)
		}
	}
	for _, s := range view.OfService(svc.Name) {
		at, dead := p.dead[s.ID]
		if !dead && !p.health.Failed(s.ID) || dead && now.Sub(at) < probeAgain {
			continue
		}
		_, err := p.backends.Report(ctx, s)
		switch {
		case errors.Is(err, forward.ErrNoPermit): // asked again in the next round
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

// decide places with patience as long as a group has not been broken for long.
func (p *Placer) decide(e *site.Engine, cards []pipeline.Card, now time.Time) []pipeline.Order {
	plan := pipeline.Place(e, cards, true)
	if !plan.Broken {
		p.brokenSince = time.Time{}
		return plan.Orders
	}
	if p.brokenSince.IsZero() {
		p.brokenSince = now
	}
	if now.Sub(p.brokenSince) < patience {
		return plan.Orders
	}
	return pipeline.Place(e, cards, false).Orders
}

// settled reports whether a placement may begin: at once when some card holds
// layers, else when no further card has registered for a while.
func (p *Placer) settled(cards []pipeline.Card) bool {
	if slices.ContainsFunc(cards, func(c pipeline.Card) bool { return c.Ordered.Len() > 0 }) {
		return true
	}
	now := time.Now()
	if len(cards) != p.empty {
		p.empty, p.emptySince = len(cards), now
	}
	return now.Sub(p.emptySince) >= settle
}

func (p *Placer) cards(view *inventory.View, svc *site.Service) []pipeline.Card {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []pipeline.Card
	maps.DeleteFunc(p.fresh, func(id string, _ time.Time) bool { return view.Servers[id] == nil })
	for _, s := range view.OfService(svc.Name) {
		if _, dead := p.dead[s.ID]; dead {
			continue
		}
		c := pipeline.Card{Server: s, Ordered: s.Held}
		if o, ok := p.pending[s.ID]; ok {
			if s.Held == o.layers || now.After(o.until) {
				delete(p.pending, s.ID)
			} else {
				c.Ordered, c.Busy = o.layers, true
			}
		}
		c.Fresh = p.isFresh(s, now)
		out = append(out, c)
	}
	return out
}

// isFresh reports whether a card came empty a moment ago, at an address of its own:
// one at the address of another has only been started again, and replaces nobody.
func (p *Placer) isFresh(s *site.BackendServer, now time.Time) bool {
	before := p.homes[s.Address]
	p.homes[s.Address] = s.ID
	if s.Held.Len() > 0 {
		return false
	}
	if before != "" && before != s.ID {
		p.fresh[s.ID] = time.Time{}
	}
	if _, known := p.fresh[s.ID]; !known {
		p.fresh[s.ID] = now
	}
	return now.Sub(p.fresh[s.ID]) < freshFor
}

// give sends orders, several at once. Whoever receives an order counts as busy
// until it shows.
func (p *Placer) give(ctx context.Context, e *site.Engine, orders []pipeline.Order, fence uint64) {
	limit := make(chan struct{}, ordersAtOnce)
	var wg sync.WaitGroup
	for _, o := range orders {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			p.order(ctx, e, o, fence)
		})
	}
	wg.Wait()
}

// expect counts a backend server as busy with an order until it shows, for a while
// at most.
func (p *Placer) expect(o pipeline.Order, atMost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[o.Server.ID] = order{layers: o.Layers, until: time.Now().Add(atMost)}
}

func (p *Placer) order(ctx context.Context, e *site.Engine, o pipeline.Order, fence uint64) {
	if _, ok := p.duty.Held(); !ok {
		return // lost while earlier orders were sent
	}
	rep, err := p.backends.Report(ctx, o.Server)
	if err != nil || rep.Busy {
		_ = level.Warn(p.logger).Log("msg", "order not sent", "server", o.Server.ID, "busy", rep.Busy, "err", err)
		p.expect(o, orderAgain)
		return
	}
	err = p.backends.Hold(ctx, o.Server, o.Layers, o.AtOnce, rep.Orders, fence)
	switch {
	case err == nil:
		p.expect(o, orderShows+loadsSlowed*e.LoadTime(o.Layers.Len()))
	case errors.Is(err, forward.ErrOrderRefused) || errors.Is(err, execution.ErrNotSent):
		p.expect(o, round)
	default:
		p.expect(o, orderAgain)
	}
	_ = level.Info(p.logger).Log("msg", "decision", "kind", "placement", "server", o.Server.ID, "address", o.Server.Address,
		"card", o.Server.Kind, "domain", o.Server.FailureDomain, "held_from", o.Server.Held.From, "held_to", o.Server.Held.To,
		"from", o.Layers.From, "to", o.Layers.To, "at_once", o.AtOnce, "orders_before", rep.Orders, "fence", fence, "reason", o.Reason, "err", err)
}
