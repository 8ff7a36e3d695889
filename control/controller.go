// Package control executes placement on the daemon that holds the placement
// lease. An order is written to the store, with the fencing number of the
// lease, before it is sent. Orders describe the desired state and are
// idempotent.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/placement"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// Lease reports whether this daemon holds the placement lease now.
type Lease interface {
	Held() (fencing uint64, ok bool)
}

// Options configures a Controller.
type Options struct {
	Period       time.Duration // time between two rounds of decisions
	LeaseTTL     time.Duration // time to live of the placement lease
	OrderTimeout time.Duration // timeout of one order to an engine
	Budget       int64         // see placement.Input
	OrderExpiry  time.Duration // time after which an order without effect is dropped
}

// Dependencies are the components that a Controller uses.
type Dependencies struct {
	Lease   Lease
	Store   store.Store
	Engine  backend.Engine
	Config  func() *topology.Snapshot
	Table   *fleet.Table
	Demand  func() map[string]float64 // see placement.Input
	Log     *decision.Log
	Logger  log.Logger
	Clock   func() time.Time
	OnOrder func(placement.Order) // called after each order was sent; may be nil
}

// Controller decides on placement and sends orders while it holds the lease.
type Controller struct {
	opts Options
	Dependencies
	fencing   uint64    // of the lease when last checked; 0 when not held
	heldSince time.Time // when the lease was acquired
	pending   map[string]*pending
	outdated  bool // the store has orders that pending lacks
}

type pending struct {
	order   placement.Order
	version store.Position // of the stored object
	sent    time.Time
	unsent  bool // the backend server could not be connected to
}

// maxResent bounds the unsent orders that one round sends again: each may take OrderTimeout.
const maxResent = 4

// storedOrder is the form of an order in the store.
type storedOrder struct {
	Fencing uint64          `json:"fencing"`
	Order   placement.Order `json:"order"`
}

// New returns a controller; Run must be called.
func New(o Options, d Dependencies) *Controller {
	return &Controller{opts: o, Dependencies: d, pending: map[string]*pending{}}
}

// Run makes a round of decisions every period until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	t := time.NewTicker(c.opts.Period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.Step(ctx)
		}
	}
}

// Step makes one round of decisions if this daemon holds the lease.
func (c *Controller) Step(ctx context.Context) {
	fencing, ok := c.Lease.Held()
	if !ok {
		c.fencing = 0
		return
	}
	if fencing != c.fencing && !c.takeOver(ctx, fencing) {
		return
	}
	if c.outdated && !c.loadOrders(ctx) {
		return
	}
	c.removeFinished(ctx)
	c.resend(ctx)
	in := placement.Input{Config: c.Config(), Servers: c.Table.View().Servers, Demand: c.Demand(), Budget: c.opts.Budget}
	for _, p := range c.pending {
		in.Pending = append(in.Pending, p.order)
	}
	for _, o := range placement.Decide(in) {
		c.issue(ctx, o)
	}
}

// takeOver loads the stored orders of previous lease holders as pending. It returns
// false if the store cannot be read.
func (c *Controller) takeOver(ctx context.Context, fencing uint64) bool {
	if !c.loadOrders(ctx) {
		return false
	}
	c.fencing, c.heldSince = fencing, c.Clock()
	_ = level.Info(c.Logger).Log("msg", "placement taken over", "fencing", fencing, "orders", len(c.pending))
	return true
}

// loadOrders loads the stored orders as pending. It returns false if the store cannot be
// read.
func (c *Controller) loadOrders(ctx context.Context) bool {
	objects, _, err := c.Store.List(ctx, string(topology.KindOrder))
	if err != nil {
		return false
	}
	c.pending, c.outdated = map[string]*pending{}, false
	for _, o := range objects {
		var s storedOrder
		if json.Unmarshal(o.Spec, &s) == nil {
			c.pending[s.Order.Key()] = &pending{order: s.Order, version: o.Version, sent: c.Clock()}
		}
	}
	return true
}

// removeFinished deletes the orders whose effect the engines report, and the orders
// that have had no effect within OrderExpiry. The next decision orders a change again
// if it is still needed.
func (c *Controller) removeFinished(ctx context.Context) {
	for key, p := range c.pending {
		done := c.hasEffect(p.order)
		if !done && c.Clock().Sub(p.sent) < c.opts.OrderExpiry {
			continue
		}
		_, err := c.Store.Delete(ctx, string(topology.KindOrder), objectName(p.order), p.version)
		if err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict) {
			continue
		}
		delete(c.pending, key)
	}
}

// hasEffect reports whether an engine shows the effect of an order. An order to
// a backend server that is no longer configured counts as effective.
func (c *Controller) hasEffect(o placement.Order) bool {
	servers := c.Table.View().Servers
	for i := range servers {
		if servers[i].Config.Name == o.BackendServer {
			return o.Effective(&servers[i])
		}
	}
	return true
}

func objectName(o placement.Order) string {
	return fmt.Sprintf("order-%016x", xxhash.Sum64String(o.Key()))
}

// issue stores and sends one order. If this daemon crashes in between, the next lease
// holder treats the stored order as pending until it expires, and then orders the
// change again if it is still needed.
func (c *Controller) issue(ctx context.Context, o placement.Order) {
	if c.mustWait(o) {
		return
	}
	version, err := c.put(ctx, storedOrder{Fencing: c.fencing, Order: o})
	if err != nil {
		_ = level.Warn(c.Logger).Log("msg", "order not stored", "order", o.Key(), "err", err)
		return // an order that is not stored must not be sent
	}
	p := &pending{order: o, version: version, sent: c.Clock()}
	c.pending[o.Key()] = p
	c.send(ctx, p)
}

// resend sends orders again that could not be sent.
func (c *Controller) resend(ctx context.Context) {
	sent := 0
	for _, p := range c.pending {
		if sent == maxResent {
			return
		}
		if p.unsent {
			sent++
			c.send(ctx, p)
		}
	}
}

// put stores an order and returns its version. A write whose answer was lost may have taken
// effect, also in an earlier round; the store then has the same order of this lease holder.
// Another order of the same name is not known here, so that all are loaded again.
func (c *Controller) put(ctx context.Context, s storedOrder) (store.Position, error) {
	spec, err := json.Marshal(s)
	if err != nil {
		return 0, err
	}
	name := objectName(s.Order)
	version, err := c.Store.Put(ctx, string(topology.KindOrder), name, spec, 0)
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrAmbiguous) {
		return version, err
	}
	object, getErr := c.Store.Get(ctx, string(topology.KindOrder), name)
	if getErr != nil {
		return 0, errors.Join(err, getErr)
	}
	var stored storedOrder
	if json.Unmarshal(object.Spec, &stored) == nil && stored.Fencing == s.Fencing && stored.Order.Key() == s.Order.Key() {
		return object.Version, nil
	}
	c.outdated = true
	return 0, err
}

// mustWait reports whether an order must not be sent yet: a backend server that
// does not check fencing numbers may still receive an order of the previous
// lease holder. It also returns true for a backend server that is not
// configured.
func (c *Controller) mustWait(o placement.Order) bool {
	b := c.Config().BackendServers[o.BackendServer]
	if b == nil {
		return true
	}
	return !b.ChecksFencing && c.Clock().Sub(c.heldSince) < c.opts.LeaseTTL+c.opts.OrderTimeout
}

// send sends a stored order.
func (c *Controller) send(ctx context.Context, p *pending) {
	o := p.order
	b := c.Config().BackendServers[o.BackendServer]
	// Check the lease again, on the monotonic clock, right before sending.
	fencing, held := c.Lease.Held()
	if b == nil || !held || fencing != c.fencing {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.OrderTimeout)
	defer cancel()
	err := c.Engine.Order(ctx, backend.Target{BackendServer: b.Name, Address: b.Address}, backend.Order{
		ID: objectName(o), Type: o.Type, Fencing: c.fencing, Holding: o.Holding, Role: o.Role,
	})
	p.unsent = errors.Is(err, execution.ErrNotSent)
	reason := o.Reason
	if err != nil {
		reason += "; not acknowledged: " + err.Error()
	}
	c.Log.Add(decision.Record{
		Time: c.Clock(), Kind: decision.Placement, Subject: o.BackendServer, Chosen: o.Key(), Reason: reason,
	})
	if c.OnOrder != nil {
		c.OnOrder(o)
	}
}
