package forward

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/shedding"
)

// The smoothed load of the other daemons must reach what they report, and end once they
// report none: a backend server would otherwise count as busy for as long as reports arrive.
func TestSmoothedLoadsReachTheReportedOnes(t *testing.T) {
	for _, before := range []int{0, 1, 2, 40} {
		for _, after := range []int{0, 1, 3, 100} {
			l := NewLoads()
			report := func(running int) {
				others := relay.Loads{Daemons: 9}
				if running > 0 {
					others.Items = []relay.LoadItem{{Server: "s", Running: running, Heads: running, KV: float64(1000 * running)}}
				}
				l.SetOthers(others)
			}
			report(before)
			for range 20 {
				report(after)
			}
			got := l.Of("s", 10, time.Now())
			require.InDelta(t, after, got.Running, 0.1, "before %d", before)
			require.InDelta(t, after, got.Heads, 0.1, "before %d", before)
			require.InDelta(t, 1000*after, got.KVUsed, 100, "before %d", before)
		}
	}
}

// While the loads of fewer daemons are known, or of none, the load of the whole fleet must
// not be overestimated: requests would be refused although backend servers are free.
func TestLoadsOfFewerDaemonsAreNotOverestimated(t *testing.T) {
	const daemons = 8
	for _, known := range []int{0, 1, 3, 7} {
		l := NewLoads()
		report := func(reporting int) {
			l.SetOthers(relay.Loads{Daemons: reporting, Items: []relay.LoadItem{{Server: "s", Running: 10 * reporting, Heads: reporting, KV: float64(1000 * reporting)}}})
		}
		report(daemons - 1)
		for range 3 {
			report(known)
			got := l.Of("s", daemons, time.Now())
			require.InDelta(t, 70, got.Running, 32, "%d daemons known", known)
			require.LessOrEqual(t, got.Running, 70.0, "%d daemons known", known)
			require.LessOrEqual(t, got.KVUsed, 7000.0, "%d daemons known", known)
		}
	}
}

// Demands arrive more often than loads. They must replace those of the other daemons, be scaled by
// their own number of daemons, and be dropped before they hide a burst.
func TestDemandsAreReplacedBetweenLoads(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		const daemons, assumed = 10, 7
		l := NewLoads()
		own := []shedding.Demand{{Class: 10, KV: 1000}}
		demand := func(class uint8, kv float64) relay.Demand {
			return relay.Demand{DemandKey: relay.DemandKey{Service: 1, Class: class}, KV: kv}
		}
		demands := func() []shedding.Demand { return l.demands(1, own, daemons, assumed, time.Now()) }
		unknown := []shedding.Demand{{Class: 10, KV: assumed * 1000}}
		require.Equal(t, unknown, demands(), "nothing is known")

		l.SetOthers(relay.Loads{Daemons: 9, Demands: []relay.Demand{demand(10, 9000)}})
		require.Equal(t, []shedding.Demand{{Class: 10, KV: 10_000}}, demands())
		l.SetDemands([]relay.Demand{demand(10, 18_000), demand(20, 5000)}, 9)
		require.Equal(t, []shedding.Demand{{Class: 10, KV: 19_000}, {Class: 20, KV: 5000}}, demands())
		l.SetDemands([]relay.Demand{demand(10, 4000)}, 4)
		require.Equal(t, []shedding.Demand{{Class: 10, KV: 9000}}, demands(), "half of the fleet counts twice")
		l.SetDemands(nil, 0)
		require.Equal(t, []shedding.Demand{{Class: 10, KV: 9000}}, demands(), "demands of no daemon are no demands")

		time.Sleep(minDemandsTTL - time.Millisecond)
		require.Equal(t, []shedding.Demand{{Class: 10, KV: 9000}}, demands())
		require.Equal(t, minDemandsTTL-time.Millisecond, l.othersLoadAge(time.Now()), "the age is that of the loads")
		time.Sleep(2 * time.Millisecond)
		require.Equal(t, unknown, demands())
		l.SetDemands([]relay.Demand{demand(10, 7000)}, 9)
		require.Equal(t, []shedding.Demand{{Class: 10, KV: 8000}}, demands())
		time.Sleep(minOthersTTL)
		l.SetDemands(nil, 9)
		require.Zero(t, l.othersLoadAge(time.Now()), "demands do not prolong the validity of loads")
	})
}

// Demands of other daemons that arrive before the configuration must not end the daemon: one that
// was restarted has links before it is ready.
func TestDemandsBeforeTheConfiguration(t *testing.T) {
	f := New(Options{}, Dependencies{Inventory: fixed{inventory.NewView(nil, nil)}, Fleet: labFleet(2), Log: NewLog(io.Discard), Observer: noObserver{}})
	f.loads.SetDemands([]relay.Demand{{DemandKey: relay.DemandKey{Service: 1}, KV: 1}}, 1)
	f.loads.SetOthers(relay.Loads{Daemons: 1})
}

// The other daemons count as fully used while their usage is unknown.
func TestUsageOfOtherDaemons(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := NewLoads()
		require.Equal(t, 1.0, l.OthersUsage())
		l.SetOthers(relay.Loads{Daemons: 4, Usage: 1, ValidFor: time.Second})
		require.Equal(t, 0.25, l.OthersUsage())
		time.Sleep(minOthersTTL + time.Second)
		require.Equal(t, 1.0, l.OthersUsage())
	})
}
