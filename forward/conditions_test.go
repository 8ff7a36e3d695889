package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/site"
)

// While the other daemons' loads are unknown, every server of the daemon's failure domain
// may be saturated; later only a nearly full server of a service whose requests follow a
// split.
func TestMaybeSaturated(t *testing.T) {
	l := newLab(1)
	f := l.forwarder("a", labFleet(60))
	of := func(domain string) int {
		n := 0
		for _, s := range l.view.Servers {
			if s.FailureDomain == domain {
				n++
			}
		}
		return n
	}
	require.Len(t, f.MaybeSaturated(), of("a"))
	f.loads.SetOthers(relay.Loads{Daemons: 59})
	require.Empty(t, f.MaybeSaturated(), "by the received loads all servers are idle")

	var full *site.BackendServer
	for _, s := range l.view.Servers {
		if s.FailureDomain == "a" && (full == nil || s.ID < full.ID) {
			full = s
		}
	}
	capacity := l.engine.KVCapacity(full.Kind, full.Held.Len())
	f.loads.SetOthers(relay.Loads{Daemons: 59, Items: []relay.LoadItem{{Server: full.ID, KV: 2 * capacity}}})
	require.Empty(t, f.MaybeSaturated(), "requests do not follow a split yet")
	f.splits.byService[labService] = &split{needed: true}
	require.Equal(t, []string{full.ID}, f.MaybeSaturated())
}

// Reported conditions are part of the loads. Only a changed slowdown causes a new split.
func TestConditionsAffectLoads(t *testing.T) {
	l := NewLoads()
	before := l.conditions.slowVersion()
	l.SetConditions(map[string]relay.Condition{"s": {MemoryUsed: 0.96, Waiting: 3}})
	got := l.Of("s", 10, time.Now())
	require.InDelta(t, 0.96, got.MemoryUsed, 0)
	require.Equal(t, 3, got.Waiting)
	require.Equal(t, before, l.conditions.slowVersion())
	l.SetConditions(map[string]relay.Condition{"s": {Slowdown: 3}})
	require.Greater(t, l.conditions.slowVersion(), before)
	require.Zero(t, l.Of("s", 10, time.Now()).MemoryUsed)
}

// Reported memory usage counts only after a start or if requests follow a split; otherwise
// all daemons would select the same servers at once. Waiting requests always count.
func TestReportedMemoryIsUsedWhileLoadsAreUnknown(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		f := l.forwarder("a", labFleet(6))
		var some string
		for id := range l.view.Servers {
			some = max(some, id)
		}
		f.loads.SetConditions(map[string]relay.Condition{some: {MemoryUsed: 0.96, Waiting: 3}})
		seen := func() pipeline.Load {
			for _, c := range f.candidates(l.view, labService, l.engine, time.Now()) {
				if c.Server.ID == some {
					return c.Load
				}
			}
			return pipeline.Load{}
		}
		require.InDelta(t, 0.96, seen().MemoryUsed, 0, "the other daemons' loads are unknown")
		time.Sleep(startupGrace)
		f.loads.SetOthers(relay.Loads{Daemons: 5})
		time.Sleep(time.Millisecond)
		require.Zero(t, seen().MemoryUsed)
		require.Equal(t, 3, seen().Waiting)
		f.splits.byService[labService] = &split{needed: true}
		require.InDelta(t, 0.96, seen().MemoryUsed, 0, "requests follow a split")
	})
}

// Loads and conditions received before a suspension of the VM are not used after it.
func TestSuspensionDropsReceivedLoads(t *testing.T) {
	l := newLab(1)
	f := l.forwarder("a", labFleet(60))
	f.loads.SetOthers(relay.Loads{Daemons: 59, Items: []relay.LoadItem{{Server: "s", Running: 100, KV: 1e6}}})
	f.loads.SetConditions(map[string]relay.Condition{"s": {Waiting: 9}})
	require.Equal(t, 9, f.loads.Of("s", 60, time.Now()).Waiting)
	f.onWake(8 * time.Second)
	require.Zero(t, f.loads.othersLoadAge(time.Now()))
	require.Zero(t, f.loads.Of("s", 60, time.Now()))
}
