package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/internal/memstore"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/lease"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// fakeLease is a lease that tests acquire and release.
type fakeLease struct {
	mu      sync.Mutex
	fencing uint64
}

func (l *fakeLease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencing, l.fencing > 0
}

func (l *fakeLease) set(f uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencing = f
}

// fakeEngine records orders. It checks fencing numbers if checks is set.
type fakeEngine struct {
	backend.Engine
	mu      sync.Mutex
	checks  bool
	highest uint64
	orders  []backend.Order
	holding map[string][]backend.Holding
	lose    bool // lose the reply
	down    bool // refuse connections
	pause   func()
}

func (e *fakeEngine) Order(_ context.Context, t backend.Target, o backend.Order) error {
	if e.pause != nil {
		e.pause()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return execution.ErrNotSent
	}
	if e.checks && o.Fencing < e.highest {
		return backend.ErrFenced
	}
	e.highest = max(e.highest, o.Fencing)
	e.orders = append(e.orders, o)
	for _, h := range e.holding[t.BackendServer] {
		if h.Layers == o.Holding.Layers && h.Version == o.Holding.Version {
			return nil
		}
	}
	e.holding[t.BackendServer] = append(e.holding[t.BackendServer], o.Holding)
	if e.lose {
		return execution.ErrLost
	}
	return nil
}

type fixture struct {
	store  *memstore.Store
	engine *fakeEngine
	snap   *topology.Snapshot
	table  *fleet.Table
	seq    uint64
	config atomic.Pointer[topology.Snapshot]
}

func newFixture(checks bool) *fixture {
	f := &fixture{store: memstore.New(), engine: &fakeEngine{checks: checks, holding: map[string][]backend.Holding{}}, snap: topology.NewSnapshot(), table: fleet.NewTable()}
	for _, name := range []string{"a", "b"} {
		f.snap.BackendServers[name] = &topology.BackendServer{Name: name, Address: name + ":1", FailureDomain: name, MemoryBytes: 100, ChecksFencing: checks}
	}
	f.snap.Models["m"] = &topology.Model{Name: "m", Layers: 8, Version: "v1", BytesPerLayer: 1}
	for lo := 0; lo < 8; lo += 4 {
		f.snap.Stages["m"] = append(f.snap.Stages["m"], &topology.Stage{Name: "s", Model: "m", Layers: topology.LayerRange{Lo: lo, Hi: lo + 4}, Replicas: 1})
	}
	f.table.SetConfig(f.snap.BackendServers)
	f.config.Store(f.snap)
	return f
}

func (f *fixture) controller(l Lease) *Controller {
	return New(Options{Period: time.Second, LeaseTTL: 3 * time.Second, OrderTimeout: time.Second, OrderExpiry: 30 * time.Second}, Dependencies{
		Lease: l, Store: f.store, Engine: f.engine, Config: f.config.Load, Table: f.table,
		Demand: func() map[string]float64 { return nil }, Log: decision.New(log.NewNopLogger(), 10), Logger: log.NewNopLogger(), Clock: time.Now,
	})
}

// report applies the engines' holdings to the fleet table.
func (f *fixture) report() {
	f.seq++
	for _, name := range []string{"a", "b"} {
		f.engine.mu.Lock()
		st := backend.Status{BackendServer: name, Boot: 1, Seq: f.seq, Holdings: append([]backend.Holding(nil), f.engine.holding[name]...), Fencing: f.engine.highest}
		f.engine.mu.Unlock()
		f.table.ApplyStatus(st, time.Now())
	}
}

func (f *fixture) stored(t *testing.T) int {
	os, _, err := f.store.List(context.Background(), string(topology.KindOrder))
	require.NoError(t, err)
	return len(os)
}

func TestPendingOrdersAreNotRepeated(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := newFixture(true)
		c := f.controller(&fakeLease{fencing: 1})
		for range 6 {
			c.Step(context.Background())
			time.Sleep(time.Second)
		}
		require.Len(t, f.engine.orders, 2, "pending orders are not sent twice")
		require.Equal(t, 2, f.stored(t))
		f.report()
		c.Step(context.Background())
		c.Step(context.Background())
		require.Len(t, f.engine.orders, 2)
		require.Zero(t, f.stored(t))
	})
}

// No order is sent without the lease, or while the store is down: an order must
// be stored before it is sent.
func TestNoOrdersWithoutLeaseOrStore(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := newFixture(true)
		l := &fakeLease{}
		c := f.controller(l)
		c.Step(context.Background())
		require.Empty(t, f.engine.orders)
		l.set(1)
		f.store.SetFaults(memstore.Faults{Outage: true})
		c.Step(context.Background())
		require.Empty(t, f.engine.orders)
		f.store.SetFaults(memstore.Faults{})
		c.Step(context.Background())
		require.Len(t, f.engine.orders, 2)
	})
}

// A lease holder that is paused past its lease and then sends an order is
// rejected by engines that check fencing; the orders of its successor stay in
// effect.
func TestPausedHolderIsFenced(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := newFixture(true)
		old, next := &fakeLease{fencing: 1}, &fakeLease{}
		first, second := f.controller(old), f.controller(next)
		f.engine.pause = func() {
			f.engine.pause = nil // the lease moves while the first order is delayed
			next.set(2)
			f.engine.highest = 2
		}
		first.Step(context.Background())
		for _, o := range f.engine.orders {
			require.GreaterOrEqual(t, o.Fencing, uint64(2), "an order of the previous holder took effect")
		}
		old.set(0)
		second.Step(context.Background())
		time.Sleep(31 * time.Second)
		second.Step(context.Background())
		require.Len(t, f.engine.orders, 2)
	})
}

// A new holder sends nothing to backend servers that do not check fencing until
// the previous lease and any order in flight have expired.
func TestWaitsWhereFencingIsNotChecked(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := newFixture(false)
		c := f.controller(&fakeLease{fencing: 7})
		c.Step(context.Background())
		time.Sleep(3 * time.Second)
		c.Step(context.Background())
		require.Empty(t, f.engine.orders)
		time.Sleep(time.Second)
		c.Step(context.Background())
		require.Len(t, f.engine.orders, 2)
	})
}

// A new holder treats the previous holder's orders as pending: it does not send them
// again and deletes them once the engines report their effect.
func TestTakeOver(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := newFixture(true)
		old, next := &fakeLease{fencing: 1}, &fakeLease{fencing: 2}
		f.engine.lose = true
		f.controller(old).Step(context.Background())
		require.Len(t, f.engine.orders, 2)
		second := f.controller(next)
		second.Step(context.Background())
		require.Len(t, f.engine.orders, 2)
		f.report()
		second.Step(context.Background())
		require.Zero(t, f.stored(t))
		require.Len(t, f.engine.orders, 2)
	})
}

// An order that could not be sent must not wait for its expiry.
func TestUnsentOrderIsSentInTheNextRound(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := newFixture(true)
		c := f.controller(&fakeLease{fencing: 1})
		f.engine.down = true
		c.Step(context.Background())
		f.engine.down = false
		time.Sleep(time.Second)
		c.Step(context.Background())
		c.Step(context.Background())
		require.Equal(t, 2, f.engine.count())
		require.Equal(t, 2, f.stored(t))
	})
}

// An order whose write to the store got no answer must be sent in the end, once, whether the
// store has it at once, later or not at all.
func TestOrderIsSentAfterAnAmbiguousWrite(t *testing.T) {
	for name, faults := range map[string]memstore.Faults{"answer lost": {LoseAnswer: 1}, "written later": {LateWrite: 1}, "write lost": {LoseWrite: 1}} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				f := newFixture(true)
				c := f.controller(&fakeLease{fencing: 1})
				f.store.SetFaults(faults)
				c.Step(context.Background())
				f.store.SetFaults(memstore.Faults{})
				for range 5 {
					time.Sleep(time.Second)
					c.Step(context.Background())
				}
				require.Equal(t, 2, f.engine.count())
				require.Equal(t, 2, f.stored(t))
			})
		})
	}
}

// A late write of the previous holder leaves an order that the new holder has not loaded. It is
// loaded at the conflict and stays until it expires; then the change is ordered again.
func TestOrderFoundAtAConflictIsNotOverwritten(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := newFixture(true)
		f.engine.lose = true
		f.controller(&fakeLease{fencing: 1}).Step(context.Background())
		orders, _, err := f.store.List(context.Background(), string(topology.KindOrder))
		require.NoError(t, err)
		require.Len(t, orders, 2)
		late := orders[0]
		for _, o := range orders {
			_, err := f.store.Delete(context.Background(), o.Kind, o.Name, o.Version)
			require.NoError(t, err)
		}
		f.engine.orders, f.engine.lose = nil, false

		c := f.controller(&fakeLease{fencing: 2})
		require.True(t, c.takeOver(context.Background(), 2))
		_, err = f.store.Put(context.Background(), late.Kind, late.Name, late.Spec, 0)
		require.NoError(t, err)
		for range 5 {
			c.Step(context.Background())
			time.Sleep(time.Second)
		}
		require.Equal(t, 1, f.engine.count(), "only the change without a stored order")
		require.Equal(t, 2, f.stored(t))
		time.Sleep(c.opts.OrderExpiry)
		for range 2 {
			c.Step(context.Background())
		}
		require.Equal(t, 3, f.engine.count(), "both changes once more, after their orders have expired")
	})
}

func (e *fakeEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// withReplicas returns the fixture's configuration with n replicas per stage.
func (f *fixture) withReplicas(n int) *topology.Snapshot {
	s := *f.snap
	s.Stages = map[string][]*topology.Stage{}
	for model, stages := range f.snap.Stages {
		for _, st := range stages {
			changed := *st
			changed.Replicas = n
			s.Stages[model] = append(s.Stages[model], &changed)
		}
	}
	return &s
}

// disconnectableStore is a store that a test can make unreachable for one
// daemon.
type disconnectableStore struct {
	*memstore.Store
	disconnected atomic.Bool
}

func (s *disconnectableStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	if s.disconnected.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, kind, name)
}

func (s *disconnectableStore) Put(ctx context.Context, kind, name string, spec []byte, v store.Position) (store.Position, error) {
	if s.disconnected.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.Put(ctx, kind, name, spec, v)
}

// After the loss of the lease holder, another daemon sends the next order within the
// lease's TTL and two rounds of decisions.
func TestNextOrderAfterHolderIsLost(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := newFixture(true)
		ctx, cancel := context.WithCancel(context.Background())
		const ttl = 6 * time.Second
		var stores []*disconnectableStore
		for i := range 2 {
			s := &disconnectableStore{Store: f.store}
			stores = append(stores, s)
			manager := lease.NewManager(string(topology.KindLease), "placement", fmt.Sprint("d", i), ttl, s, log.NewNopLogger())
			c := f.controller(manager)
			c.Store, c.opts.Period, c.opts.LeaseTTL = s, 2*time.Second, ttl
			go manager.Run(ctx)
			go c.Run(ctx)
			time.Sleep(time.Second)
		}
		time.Sleep(10 * time.Second)
		f.report()
		time.Sleep(5 * time.Second)
		before := f.engine.count()
		require.Equal(t, 2, before)
		stores[0].disconnected.Store(true)
		f.config.Store(f.withReplicas(2))
		start := time.Now()
		for f.engine.count() == before && time.Since(start) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("next order after %s", time.Since(start))
		require.LessOrEqual(t, time.Since(start), ttl+4*time.Second)
		cancel()
		time.Sleep(time.Minute)
	})
}
