package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/snowspoke/snowspoke/site"
)

func TestBudgetHoldsInEverySlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		daemons := rapid.IntRange(1, 8).Draw(t, "daemons")
		b := NewBudget(0.2, 200, window)
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
				continue
			}
			if b.Spend(now, daemons, rapid.Bool().Draw(t, "begun")) {
				retries = append(retries, now)
			}
		}
		// The requests of the window and of the one before it count for its retries.
		for _, end := range retries {
			spent := 0
			for _, r := range retries {
				if !r.After(end) && r.After(end.Add(-window)) {
					spent++
				}
			}
			earned := 0
			for _, r := range requests {
				if !r.After(end) && r.After(end.Add(-2*window)) {
					earned++
				}
			}
			require.LessOrEqual(t, float64(spent), 0.2*float64(earned)+200/float64(daemons)+1)
		}
	})
}

func TestBegunStreamsHaveAReserve(t *testing.T) {
	b := NewBudget(0.2, 100, 10*time.Second)
	now := time.Unix(1000, 0)
	fresh := 0
	for b.Spend(now, 1, false) {
		fresh++
	}
	require.True(t, b.Allows(now, 1, true))
	begun := 0
	for b.Spend(now, 1, true) {
		begun++
	}
	require.Equal(t, 48, fresh)
	require.Equal(t, 32, begun)
}

func TestBudgetComesBackAfterTheWindow(t *testing.T) {
	b := NewBudget(0, 10, 10*time.Second)
	now := time.Unix(1000, 0)
	for b.Spend(now, 1, true) {
	}
	require.False(t, b.Allows(now.Add(8*time.Second), 1, true))
	require.True(t, b.Allows(now.Add(11*time.Second), 1, true))
}

func TestWhatIsKnownOfTheGoneIsForgotten(t *testing.T) {
	l := NewLoads()
	l.Fail("gone", time.Unix(1000, 0))
	l.Fail("here", time.Unix(1000, 0))
	l.Prune(map[string]*site.BackendServer{"here": {}})
	require.Len(t, l.servers, 1)
	r := newRecent[int](time.Hour)
	for _, id := range []string{"gone", "here"} {
		_, err := r.get(id, func() (int, error) { return 1, nil })
		require.NoError(t, err)
	}
	r.prune(map[string]*site.BackendServer{"here": {}})
	v, err := r.get("here", func() (int, error) { return 2, nil })
	require.NoError(t, err)
	require.Equal(t, 1, v, "still the last answer")
	require.Len(t, r.byID, 1)
}
