package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The unexpired grants of one owner never add up to more than 1, in any order of requests.
func TestGrantsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := NewOwner()
		now := t0
		const n = 5
		share := map[string]float64{}
		until := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
			d := fmt.Sprint("d", rapid.IntRange(0, n-1).Draw(t, "daemon"))
			share[d] = o.Grant(d, Demand{Workspace: "w", Rate: rapid.Float64Range(0, 100).Draw(t, "rate")}, n, now).Share
			until[d] = now.Add(GrantTTL)
			sum := 0.0
			for d, s := range share {
				if now.Before(until[d]) {
					sum += s
				}
			}
			require.LessOrEqual(t, sum, 1+1e-9)
		}
	})
}

// fleet simulates n daemons, some of which reach the owner, and returns the requests
// admitted a second as a fraction of the limit over the last ten seconds.
func fleet(n int, demand func(d, second int) int, reaches func(d, second int) bool, seconds int) float64 {
	owner := NewOwner()
	var trackers []*Tracker
	for range n {
		trackers = append(trackers, NewTracker(t0))
	}
	const limit = 100.0
	admitted := 0.0
	for s := range seconds {
		now := t0.Add(time.Duration(s) * time.Second)
		if s%5 == 4 {
			for d, tr := range trackers {
				for _, dm := range tr.Report(now) {
					if reaches(d, s) {
						tr.Apply(owner.Grant(fmt.Sprint(d), dm, n, now), now)
					}
				}
			}
		}
		for d, tr := range trackers {
			want := demand(d, s)
			share := 0.0
			for range want {
				share = tr.Share("w", n, now)
			}
			if s >= seconds-10 {
				admitted += min(float64(want), share*limit)
			}
		}
	}
	return admitted / 10 / limit
}

func always(int, int) bool { return true }

func TestShareFollowsDemand(t *testing.T) {
	one := func(d, _ int) int { return map[int]int{0: 200}[d] }
	require.InDelta(t, 0.8+0.2/8, fleet(8, one, always, 40), 0.01, "all demand at one of eight daemons")
	even := func(int, int) int { return 50 }
	require.InDelta(t, 1, fleet(8, even, always, 40), 0.01)
	moves := func(d, s int) int {
		if (s < 30) == (d == 0) {
			return 200
		}
		return 0
	}
	require.LessOrEqual(t, fleet(8, moves, always, 45), 1.0001)
}

// Daemons that cannot reach the owner overshoot by at most their even shares.
func TestOvershootIsBounded(t *testing.T) {
	busy := func(int, int) int { return 100 }
	partitioned := func(d, s int) bool { return s < 20 || d >= 3 }
	require.LessOrEqual(t, fleet(8, busy, partitioned, 60), 1+3.0/8+1e-9)
}
