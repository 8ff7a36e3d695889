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

// lever is a lease that tests hold and drop.
type lever struct {
	mu      sync.Mutex
	fencing uint64
}

func (l *lever) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencing, l.fencing > 0
}

func (l *lever) set(f uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencing = f
}

// depot is an engine that checks fencing, or ignores it.
type depot struct {
	backend.Engine
	mu      sync.Mutex
	checks  bool
	highest uint64
	orders  []backend.Order
	holding map[string][]backend.Holding
	lose    bool // the answer
	pause   func()
}

func (d *depot) Order(_ context.Context, t backend.Target, o backend.Order) error {
	if d.pause != nil {
		d.pause()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.checks && o.Fencing < d.highest {
		return backend.ErrFenced
	}
	d.highest = max(d.highest, o.Fencing)
	d.orders = append(d.orders, o)
	for _, h := range d.holding[t.BackendServer] {
		if h.Layers == o.Holding.Layers && h.Version == o.Holding.Version {
			return nil
		}
	}
	d.holding[t.BackendServer] = append(d.holding[t.BackendServer], o.Holding)
	if d.lose {
		return execution.ErrLost
	}
	return nil
}

type rig struct {
	store *memstore.Store
	depot *depot
	snap  *topology.Snapshot
	table *fleet.Table
	seq   uint64
	inUse atomic.Pointer[topology.Snapshot]
}

func newRig(checks bool) *rig {
	r := &rig{store: memstore.New(), depot: &depot{checks: checks, holding: map[string][]backend.Holding{}}, snap: topology.NewSnapshot(), table: fleet.NewTable()}
	for _, name := range []string{"a", "b"} {
		r.snap.BackendServers[name] = &topology.BackendServer{Name: name, Address: name + ":1", FailureDomain: name, MemoryBytes: 100, ChecksFencing: checks}
	}
	r.snap.Models["m"] = &topology.Model{Name: "m", Layers: 8, Version: "v1", BytesPerLayer: 1}
	for lo := 0; lo < 8; lo += 4 {
		r.snap.Stages["m"] = append(r.snap.Stages["m"], &topology.Stage{Name: "s", Model: "m", Layers: topology.LayerRange{Lo: lo, Hi: lo + 4}, Replicas: 1})
	}
	r.table.SetConfig(r.snap.BackendServers)
	r.inUse.Store(r.snap)
	return r
}

func (r *rig) controller(l Lease) *Controller {
	return New(Options{Period: time.Second, LeaseTTL: 3 * time.Second, OrderTimeout: time.Second, OrderExpiry: 30 * time.Second}, Parts{
		Lease: l, Store: r.store, Engine: r.depot, Config: r.inUse.Load, Table: r.table,
		Demand: func() map[string]float64 { return nil }, Log: decision.New(log.NewNopLogger(), 10), Logger: log.NewNopLogger(), Clock: time.Now,
	})
}

// report tells the table what the engines hold.
func (r *rig) report() {
	r.seq++
	for _, name := range []string{"a", "b"} {
		r.depot.mu.Lock()
		st := backend.Status{BackendServer: name, Boot: 1, Seq: r.seq, Holdings: append([]backend.Holding(nil), r.depot.holding[name]...), Fencing: r.depot.highest}
		r.depot.mu.Unlock()
		r.table.ApplyStatus(st, time.Now())
	}
}

func (r *rig) stored(t *testing.T) int {
	os, _, err := r.store.List(context.Background(), string(topology.KindOrder))
	require.NoError(t, err)
	return len(os)
}

func TestOrdersUntilHeld(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		r := newRig(true)
		c := r.controller(&lever{fencing: 1})
		for range 6 {
			c.Step(context.Background())
			time.Sleep(time.Second)
		}
		require.Len(t, r.depot.orders, 2, "pending orders are not given twice")
		require.Equal(t, 2, r.stored(t))
		r.report()
		c.Step(context.Background())
		c.Step(context.Background())
		require.Len(t, r.depot.orders, 2)
		require.Zero(t, r.stored(t))
	})
}

// Without the lease nothing is sent, and with the store down neither: what is
// not stored is not sent.
func TestNothingWithoutLeaseOrStore(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		r := newRig(true)
		l := &lever{}
		c := r.controller(l)
		c.Step(context.Background())
		require.Empty(t, r.depot.orders)
		l.set(1)
		r.store.SetFaults(memstore.Faults{Outage: true})
		c.Step(context.Background())
		require.Empty(t, r.depot.orders)
		r.store.SetFaults(memstore.Faults{})
		c.Step(context.Background())
		require.Len(t, r.depot.orders, 2)
	})
}

// A holder that is paused past its lease and then sends is refused by engines
// that check, and its successor's orders stand.
func TestPausedHolderIsFenced(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		r := newRig(true)
		old, fresh := &lever{fencing: 1}, &lever{}
		first, second := r.controller(old), r.controller(fresh)
		r.depot.pause = func() {
			r.depot.pause = nil // the first order is held up; meanwhile the lease moves
			fresh.set(2)
			r.depot.highest = 2
		}
		first.Step(context.Background())
		for _, o := range r.depot.orders {
			require.GreaterOrEqual(t, o.Fencing, uint64(2), "an old order took effect")
		}
		old.set(0)
		second.Step(context.Background())
		time.Sleep(31 * time.Second)
		second.Step(context.Background())
		require.Len(t, r.depot.orders, 2)
	})
}

// For backend servers that do not check, a new holder waits out the lease and an
// order of the former one before it sends any.
func TestWaitsWhereFencingIsNotChecked(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		r := newRig(false)
		c := r.controller(&lever{fencing: 7})
		c.Step(context.Background())
		time.Sleep(3 * time.Second)
		c.Step(context.Background())
		require.Empty(t, r.depot.orders)
		time.Sleep(time.Second)
		c.Step(context.Background())
		require.Len(t, r.depot.orders, 2)
	})
}

// A new holder counts the orders that the former one left and, when one shows no
// effect, gives it again.
func TestTakeOver(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		r := newRig(true)
		old, fresh := &lever{fencing: 1}, &lever{fencing: 2}
		r.depot.lose = true
		r.controller(old).Step(context.Background())
		require.Len(t, r.depot.orders, 2)
		second := r.controller(fresh)
		second.Step(context.Background())
		require.Len(t, r.depot.orders, 2)
		r.report()
		second.Step(context.Background())
		require.Zero(t, r.stored(t))
		require.Len(t, r.depot.orders, 2)
	})
}

func (d *depot) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.orders)
}

// withReplicas returns the rig's configuration with other replicas.
func (r *rig) withReplicas(n int) *topology.Snapshot {
	s := *r.snap
	s.Stages = map[string][]*topology.Stage{}
	for model, stages := range r.snap.Stages {
		for _, st := range stages {
			changed := *st
			changed.Replicas = n
			s.Stages[model] = append(s.Stages[model], &changed)
		}
	}
	return &s
}

// cutStore is a store that a crashed daemon no longer reaches.
type cutStore struct {
	*memstore.Store
	cut atomic.Bool
}

func (s *cutStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	if s.cut.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, kind, name)
}

func (s *cutStore) Put(ctx context.Context, kind, name string, spec []byte, v store.Position) (store.Position, error) {
	if s.cut.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.Put(ctx, kind, name, spec, v)
}

// When the holder of the lease is gone, the next order comes from another daemon
// within the lease's period and two rounds.
func TestNextOrderAfterHolderIsGone(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		r := newRig(true)
		ctx, cancel := context.WithCancel(context.Background())
		const ttl = 6 * time.Second
		var stores []*cutStore
		for i := range 2 {
			s := &cutStore{Store: r.store}
			stores = append(stores, s)
			k := lease.NewKeeper(string(topology.KindLease), "placement", fmt.Sprint("d", i), ttl, s, log.NewNopLogger())
			c := r.controller(k)
			c.Store, c.opts.Period, c.opts.LeaseTTL = s, 2*time.Second, ttl
			go k.Run(ctx)
			go c.Run(ctx)
			time.Sleep(time.Second)
		}
		time.Sleep(10 * time.Second)
		r.report()
		time.Sleep(5 * time.Second)
		before := r.depot.count()
		require.Equal(t, 2, before)
		stores[0].cut.Store(true)
		r.inUse.Store(r.withReplicas(2))
		began := time.Now()
		for r.depot.count() == before && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("next order after %s", time.Since(began))
		require.LessOrEqual(t, time.Since(began), ttl+4*time.Second)
		cancel()
		time.Sleep(time.Minute)
	})
}
