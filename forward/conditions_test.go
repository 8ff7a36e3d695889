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

// Where nothing was told of the others' loads any card of the own failure domain may be
// crowded. Later those may that are nearly full as far as the loads say, and only where
// the daemons are too many to know by their own requests.
func TestWhoMayBeCrowded(t *testing.T) {
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
	require.Len(t, f.MaybeCrowded(), of("a"))
	f.loads.TakeOthers(relay.Loads{Daemons: 59})
	require.Empty(t, f.MaybeCrowded(), "all are idle, as the others tell")

	var full *site.BackendServer
	for _, s := range l.view.Servers {
		if s.FailureDomain == "a" && (full == nil || s.ID < full.ID) {
			full = s
		}
	}
	room := l.engine.KVRoom(full.Kind, full.Held.Len())
	f.loads.TakeOthers(relay.Loads{Daemons: 59, Items: []relay.LoadItem{{Server: full.ID, KV: 2 * room}}})
	require.Empty(t, f.MaybeCrowded(), "no split is needed yet")
	f.splits.byService[labService] = &split{needed: true}
	require.Equal(t, []string{full.ID}, f.MaybeCrowded())
}

// What a card says of itself goes into the choice of a path, and only a change of who is
// slow has the fleet's load split anew.
func TestConditionsGoIntoTheLoads(t *testing.T) {
	l := NewLoads()
	before := l.conditions.changes()
	l.TakeConditions(map[string]relay.Condition{"s": {Full: 0.96, Waiting: 3}})
	got := l.Of("s", 10, time.Now())
	require.InDelta(t, 0.96, got.Full, 0)
	require.Equal(t, 3, got.Waiting)
	require.Equal(t, before, l.conditions.changes())
	l.TakeConditions(map[string]relay.Condition{"s": {Slowdown: 3}})
	require.Greater(t, l.conditions.changes(), before)
	require.Zero(t, l.Of("s", 10, time.Now()).Full)
}

// A card's own word on its memory counts where the daemons know too little by themselves:
// after a start, and where they are many. Few daemons that all go by the same word go to the
// same cards at once. That requests wait counts everywhere.
func TestWordOnMemoryCountsWhereLoadsAreUnknown(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		f := l.forwarder("a", labFleet(6))
		var some string
		for id := range l.view.Servers {
			some = max(some, id)
		}
		f.loads.TakeConditions(map[string]relay.Condition{some: {Full: 0.96, Waiting: 3}})
		seen := func() pipeline.Load {
			for _, c := range f.candidates(l.view, labService, l.engine, time.Now()) {
				if c.Server.ID == some {
					return c.Load
				}
			}
			return pipeline.Load{}
		}
		require.InDelta(t, 0.96, seen().Full, 0, "nothing was told of the others")
		time.Sleep(startUnknown)
		f.loads.TakeOthers(relay.Loads{Daemons: 5})
		time.Sleep(time.Millisecond)
		require.Zero(t, seen().Full)
		require.Equal(t, 3, seen().Waiting)
		f.splits.byService[labService] = &split{needed: true}
		require.InDelta(t, 0.96, seen().Full, 0, "too few requests to know by them")
	})
}

// What was told before a suspension of the VM is not acted on after it.
func TestWordsOfBeforeASuspensionAreForgotten(t *testing.T) {
	l := newLab(1)
	f := l.forwarder("a", labFleet(60))
	f.loads.TakeOthers(relay.Loads{Daemons: 59, Items: []relay.LoadItem{{Server: "s", Running: 100, KV: 1e6}}})
	f.loads.TakeConditions(map[string]relay.Condition{"s": {Waiting: 9}})
	require.Equal(t, 9, f.loads.Of("s", 60, time.Now()).Waiting)
	f.wake(8 * time.Second)
	require.Zero(t, f.loads.newsAge(time.Now()))
	require.Zero(t, f.loads.Of("s", 60, time.Now()))
}
