package monitor

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/routing"
	"github.com/snowspoke/snowspoke/topology"
)

// frozenEngine answers the status reads of every backend server except
// "frozen", whose reads block until their context ends.
type frozenEngine struct{ backend.Engine }

func (frozenEngine) Status(ctx context.Context, t backend.Target) (backend.Status, error) {
	if t.BackendServer == "frozen" {
		<-ctx.Done()
		return backend.Status{}, execution.ErrLost
	}
	return backend.Status{Boot: 1, Seq: 1, Holdings: []backend.Holding{{Model: "m", Version: "v", Layers: topology.LayerRange{Lo: 0, Hi: 4}}}}, nil
}

// lossyCacheEngine is an engine whose cache events repeat, arrive late and have
// gaps.
type lossyCacheEngine struct {
	frozenEngine
	calls atomic.Int64
}

func (e *lossyCacheEngine) CacheEvents(_ context.Context, _ backend.Target, fn func(backend.CacheEvent)) error {
	if e.calls.Add(1) == 1 {
		fn(backend.CacheEvent{Seq: 1, Prefix: 7})
		fn(backend.CacheEvent{Seq: 1, Prefix: 7})
		fn(backend.CacheEvent{Seq: 9, Prefix: 8})
		return execution.ErrLost // the stream breaks, events 10 and 11 are missed
	}
	fn(backend.CacheEvent{Seq: 12, Prefix: 8, Evicted: true})
	fn(backend.CacheEvent{Seq: 13, Prefix: 99, Evicted: true})
	return execution.ErrLost
}

// Cache events update the cached prefixes in spite of broken streams and gaps.
func TestCacheEvents(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		table := fleet.NewTable()
		table.SetConfig(map[string]*topology.BackendServer{"b": {Name: "b"}})
		prefixes := routing.NewPrefixes()
		m := New(Options{StatusPoll: time.Second, Health: health.DefaultConfig(), Link: health.DefaultLinkConfig()}, Dependencies{
			Engine: &lossyCacheEngine{}, Table: table, Log: decision.New(log.NewNopLogger(), 10), Logger: log.NewNopLogger(),
			Owner: OwnsAll{}, Cache: prefixes, Wake: func() {}, Clock: time.Now,
		})
		ctx, cancel := context.WithCancel(context.Background())
		go m.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, []string{"b"}, prefixes.Servers(7))
		require.Equal(t, []string{"b"}, prefixes.Servers(8))
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"b"}, prefixes.Servers(7))
		require.NotContains(t, prefixes.Servers(8), "b")
		cancel()
		time.Sleep(2 * time.Minute)
	})
}

// All links of a port count as slow once two of them are; a single slow link
// does not affect the others, however often it is observed.
func TestSlowPort(t *testing.T) {
	table := fleet.NewTable()
	table.SetConfig(map[string]*topology.BackendServer{"a": {Name: "a"}, "b": {Name: "b"}, "c": {Name: "c"}})
	m := New(Options{StatusPoll: time.Second, Health: health.DefaultConfig(), Link: health.DefaultLinkConfig()}, Dependencies{
		Engine: frozenEngine{}, Table: table, Log: decision.New(log.NewNopLogger(), 10), Logger: log.NewNopLogger(),
		Owner: OwnsAll{}, Wake: func() {}, Clock: time.Now,
	})
	load := func(to string, d time.Duration) {
		m.ObserveLoad(backend.HopLoad{BackendServer: "a", NextHop: to, LinkSeconds: d.Seconds(), TokenSeconds: 0.001})
	}
	for range 10 {
		load("b", time.Millisecond)
		load("c", time.Millisecond)
	}
	for range 10 {
		load("b", 100*time.Millisecond)
	}
	require.Less(t, table.View().LinkFactor("a", "b"), 0.1)
	require.Equal(t, 1.0, table.View().LinkFactor("a", "d"))
	load("c", 100*time.Millisecond)
	require.Less(t, table.View().LinkFactor("a", "d"), 0.1, "a link that has carried nothing yet")
}

// A backend server that accepts a status read and never answers is taken out of
// service by the status reads alone.
func TestFrozenServerIsEjected(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		table := fleet.NewTable()
		table.SetConfig(map[string]*topology.BackendServer{"frozen": {Name: "frozen"}, "fine": {Name: "fine"}})
		for _, name := range []string{"frozen", "fine"} {
			st, _ := frozenEngine{}.Status(context.Background(), backend.Target{})
			st.BackendServer = name
			table.ApplyStatus(st, time.Now())
		}
		m := New(Options{StatusPoll: 500 * time.Millisecond, Health: health.DefaultConfig(), Link: health.DefaultLinkConfig()}, Dependencies{
			Engine: frozenEngine{}, Table: table, Log: decision.New(log.NewNopLogger(), 10), Logger: log.NewNopLogger(),
			Owner: OwnsAll{}, Wake: func() {}, Clock: time.Now,
		})
		ctx, cancel := context.WithCancel(context.Background())
		go m.Run(ctx)
		time.Sleep(2500 * time.Millisecond)
		require.False(t, table.Server("frozen").Usable())
		require.True(t, table.Server("fine").Usable())
		require.Equal(t, []string{"frozen"}, m.Unresponsive(ctx, topology.Route{{BackendServer: "fine"}, {BackendServer: "frozen"}}))
		cancel()
		time.Sleep(time.Minute)
	})
}
