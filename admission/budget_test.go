package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestBudgetBoundsEverySlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		daemons := rapid.IntRange(1, 8).Draw(t, "daemons")
		b := NewBudget(0.2, 200, window)
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Earn(now)
				requests = append(requests, now)
				continue
			}
			if b.Spend(now, Part{Ratio: 1, Slack: 1 / float64(daemons)}) {
				retries = append(retries, now)
			}
		}
		// Retries may be earned by requests of their window or the one before.
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

func TestBudgetRecoversAfterWindow(t *testing.T) {
	b := NewBudget(0, 10, 10*time.Second)
	now := time.Unix(1000, 0)
	for b.Spend(now, EntireBudget) {
	}
	require.False(t, b.Allows(now.Add(8*time.Second), EntireBudget))
	require.True(t, b.Allows(now.Add(11*time.Second), EntireBudget))
}

// Each window must allow the earned retries in addition to the slack.
func TestBudgetAddsEarnedToSlack(t *testing.T) {
	b := NewBudget(0.1, 10, 10*time.Second)
	now := time.Unix(1000, 0)
	spent := 0
	for range 1000 {
		b.Earn(now)
		for b.Spend(now, EntireBudget) {
			spent++
		}
	}
	require.Equal(t, 110, spent)
	require.False(t, b.Idle(now))
	require.True(t, b.Idle(now.Add(11*time.Second)))
}
