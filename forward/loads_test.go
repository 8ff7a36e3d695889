package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/relay"
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
