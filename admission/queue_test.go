package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Workspaces with waiting requests must be served in proportion to their weights,
// no matter how many requests one of them has.
func TestFairByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		weights := map[string]float64{"greedy": 1, "small": float64(rapid.IntRange(1, 4).Draw(t, "weight"))}
		counts := map[string]int{"greedy": rapid.IntRange(200, 1000).Draw(t, "greedy"), "small": 100}
		for name, n := range counts {
			for range n {
				q.Push(&Item{Workspace: name, Weight: weights[name]})
			}
		}
		served := map[string]int{}
		for range 100 {
			served[q.Pop().Workspace]++
		}
		want := 100 * weights["small"] / (1 + weights["small"])
		require.InDelta(t, want, served["small"], 2)
	})
}

func TestPriorityThenDeadline(t *testing.T) {
	q := NewQueue()
	now := time.Now()
	late := &Item{Workspace: "w", Weight: 1, Deadline: now.Add(time.Hour)}
	early := &Item{Workspace: "w", Weight: 1, Deadline: now.Add(time.Minute)}
	alert := &Item{Workspace: "v", Weight: 1, Priority: 5, Deadline: now.Add(2 * time.Hour)}
	gone := &Item{Workspace: "v", Weight: 1, Priority: 9}
	for _, it := range []*Item{late, early, alert, gone} {
		q.Push(it)
	}
	require.Equal(t, 4, q.Ahead("x", 1, -1))
	require.True(t, q.Remove(gone))
	require.False(t, q.Remove(gone))
	require.Same(t, alert, q.Pop())
	require.Same(t, early, q.Pop())
	require.Same(t, late, q.Pop())
	require.Nil(t, q.Pop())
	require.Zero(t, q.Len())
}

// Every pushed request must leave the queue exactly once, by Pop or by Remove.
func TestQueueKeepsEveryRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		in := map[*Item]bool{}
		for i := range rapid.IntRange(0, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				it := &Item{Workspace: fmt.Sprint(i % 7), Weight: 1 + float64(i%3), Priority: i % 2}
				in[it] = true
				q.Push(it)
			case 2:
				if it := q.Pop(); it != nil {
					require.True(t, in[it])
					delete(in, it)
				}
			case 3:
				for it := range in {
					require.True(t, q.Remove(it))
					delete(in, it)
					break
				}
			}
			require.Equal(t, len(in), q.Len())
		}
	})
}

func TestBucket(t *testing.T) {
	var b Bucket
	now := time.Now()
	taken := 0
	for i := range 1000 {
		if ok, wait := b.Take(10, 5, now.Add(time.Duration(i)*10*time.Millisecond)); ok {
			taken++
		} else {
			require.Positive(t, wait)
			require.LessOrEqual(t, wait, 100*time.Millisecond)
		}
	}
	require.InDelta(t, 105, taken, 1)
}

// The limit must grow while latency is constant and fall when it rises.
func TestLimitAdapts(t *testing.T) {
	l := NewLimit(DefaultLimitConfig())
	for range 300 {
		l.Observe(10*time.Millisecond, l.Value())
	}
	high := l.Value()
	require.Greater(t, high, 64)
	for range 300 {
		l.Observe(100*time.Millisecond, l.Value())
	}
	require.Less(t, l.Value(), high/2)
}

func BenchmarkPolicyQueue(b *testing.B) {
	q := NewQueue()
	for i := range 10000 {
		q.Push(&Item{Workspace: fmt.Sprint(i % 1000), Weight: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Push(q.Pop())
	}
}

func TestRate(t *testing.T) {
	var r Rate
	now := time.Now()
	for range 3000 {
		now = now.Add(100 * time.Millisecond)
		r.Add(5, now)
	}
	require.InDelta(t, 50, r.PerSecond(now), 1)
	require.InDelta(t, 25, r.PerSecond(now.Add(rateHalfLife)), 1)
}
