// Package control carries out placement on whichever daemon holds its lease.
// An order is written to the store before it is sent, with the fencing number
// of the lease. Orders say what should be, so sending one twice does no harm.
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
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/placement"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// Lease tells whether this daemon holds the duty right now.
type Lease interface {
	Held() (fencing uint64, ok bool)
}

// Options are the settings of a controller.
type Options struct {
	Period       time.Duration // between two decisions
	LeaseTTL     time.Duration
	OrderTimeout time.Duration // of one order to an engine
	Budget       int64         // bytes under way from the weight store at once
	OrderExpiry  time.Duration // after which an order that shows no effect is given again
}

// Parts are what a controller works with.
type Parts struct {
	Lease   Lease
	Store   store.Store
	Engine  backend.Engine
	Config  func() *topology.Snapshot
	Table   *fleet.Table
	Demand  func() map[string]float64
	Log     *decision.Log
	Logger  log.Logger
	Clock   func() time.Time
	Ordered func(placement.Order) // called after each order was sent; may be nil
}

// Controller decides and orders while it holds the lease.
type Controller struct {
	opts Options
	Parts
	fencing uint64    // of the lease as last seen
	since   time.Time // of holding it
	pending map[string]*pending
}

type pending struct {
	order   placement.Order
	version store.Position // of the stored object
	sent    time.Time
}

// storedOrder is an order as the store keeps it.
type storedOrder struct {
	Fencing uint64          `json:"fencing"`
	Order   placement.Order `json:"order"`
}

// New returns a controller; Run must be called to start it.
func New(o Options, p Parts) *Controller {
	return &Controller{opts: o, Parts: p, pending: map[string]*pending{}}
}

// Run decides until ctx ends.
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
	c.settle(ctx)
	in := placement.Input{Config: c.Config(), Servers: c.Table.View().Servers, Demand: c.Demand(), Budget: c.opts.Budget}
	for _, p := range c.pending {
		in.Pending = append(in.Pending, p.order)
	}
	for _, o := range placement.Decide(in) {
		c.give(ctx, o)
	}
}

// takeOver reads the orders that the former holder left.
func (c *Controller) takeOver(ctx context.Context, fencing uint64) bool {
	objects, _, err := c.Store.List(ctx, string(topology.KindOrder))
	if err != nil {
		return false
	}
	c.pending = map[string]*pending{}
	for _, o := range objects {
		var s storedOrder
		if json.Unmarshal(o.Spec, &s) == nil {
			c.pending[s.Order.Key()] = &pending{order: s.Order, version: o.Version, sent: c.Clock()}
		}
	}
	c.fencing, c.since = fencing, c.Clock()
	_ = level.Info(c.Logger).Log("msg", "placement taken over", "fencing", fencing, "orders", len(c.pending))
	return true
}

// settle drops the orders whose effect the engines report, and those that have
// shown none for too long; these will be decided anew if they are still wanted.
func (c *Controller) settle(ctx context.Context) {
	for key, p := range c.pending {
		done := c.effective(p.order)
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

// effective reports whether an engine shows the effect of an order. A backend
// server that is gone needs none.
func (c *Controller) effective(o placement.Order) bool {
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

// give stores and sends one order. A crash between the two leaves a stored order
// that the next holder counts and, when it shows no effect, gives again.
func (c *Controller) give(ctx context.Context, o placement.Order) {
	if c.mustWait(o) {
		return
	}
	spec, err := json.Marshal(storedOrder{Fencing: c.fencing, Order: o})
	if err != nil {
		return
	}
	version, err := c.Store.Put(ctx, string(topology.KindOrder), objectName(o), spec, 0)
	if err != nil {
		_ = level.Warn(c.Logger).Log("msg", "order not stored", "order", o.Key(), "err", err)
		return // nothing is sent that is not stored
	}
	c.pending[o.Key()] = &pending{order: o, version: version, sent: c.Clock()}
	// The last look at the lease: on the monotonic clock, right before sending.
	fencing, held := c.Lease.Held()
	if !held || fencing != c.fencing {
		return
	}
	c.send(ctx, o)
}

// mustWait reports whether an order must not be sent yet: a backend server that
// does not check fencing numbers may still get an order of the former holder.
func (c *Controller) mustWait(o placement.Order) bool {
	b := c.Config().BackendServers[o.BackendServer]
	if b == nil {
		return true
	}
	return !b.ChecksFencing && c.Clock().Sub(c.since) < c.opts.LeaseTTL+c.opts.OrderTimeout
}

func (c *Controller) send(ctx context.Context, o placement.Order) {
	b := c.Config().BackendServers[o.BackendServer]
	ctx, cancel := context.WithTimeout(ctx, c.opts.OrderTimeout)
	defer cancel()
	err := c.Engine.Order(ctx, backend.Target{BackendServer: b.Name, Address: b.Address}, backend.Order{
		ID: objectName(o), Type: o.Type, Fencing: c.fencing, Holding: o.Holding, Role: o.Role,
	})
	reason := o.Reason
	if err != nil {
		reason += "; not acknowledged: " + err.Error()
	}
	c.Log.Add(decision.Record{
		Time: c.Clock(), Kind: decision.Placement, Subject: o.BackendServer, Chosen: o.Key(), Reason: reason,
	})
	if c.Ordered != nil {
		c.Ordered(o)
	}
}
