package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Only legal transitions occur, the last capacity stays in service, and a backend server that
// responds again becomes healthy.
func TestDetector(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := rapid.Bool().Draw(t, "last")
		cfg := DefaultConfig()
		d := NewDetector(cfg, func(string) bool { return last })
		now := t0
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			from := d.State("b")
			s := Signal(rapid.IntRange(int(Success), int(ProbeFailed)).Draw(t, "signal"))
			tr, changed := d.Observe("b", s, now)
			require.Equal(t, changed, from != d.State("b"))
			if changed {
				require.True(t, Legal(tr.From, tr.To), "%s to %s", tr.From, tr.To)
			}
			if last {
				require.True(t, d.InService("b"))
			}
			w := d.Weight("b", now)
			require.True(t, w > 0 && w <= 1)
		}
		for range 200 {
			now = now.Add(time.Second)
			d.Observe("b", ProbeOK, now)
			d.Observe("b", Success, now)
			d.Ramping(now)
		}
		require.Equal(t, Healthy, d.State("b"))
	})
}

func TestServerThatOnlyAnswersProbesIsEjected(t *testing.T) {
	d := NewDetector(DefaultConfig(), func(string) bool { return false })
	now := t0
	// Its probes succeed, its requests fail.
	for range 3 {
		d.Observe("b", Failed, now)
		now = now.Add(100 * time.Millisecond)
		d.Observe("b", ProbeOK, now)
	}
	require.Equal(t, Ejected, d.State("b"))
	require.False(t, d.InService("b"))
	require.Equal(t, []string{"b"}, d.DueProbes(now))
	require.Empty(t, d.DueProbes(now))
}

// Only consecutive stalls eject: overload must not remove capacity, but a backend server that
// answers probes and serves no requests must be ejected.
func TestConsecutiveStallsEject(t *testing.T) {
	d := NewDetector(DefaultConfig(), func(string) bool { return false })
	for range 20 {
		d.Observe("b", Stalled, t0)
		d.Observe("b", Stalled, t0)
		require.Equal(t, Healthy, d.State("b"))
		d.Observe("b", Success, t0)
	}
	for range 3 {
		d.Observe("b", Stalled, t0)
	}
	require.Equal(t, Ejected, d.State("b"))
}

func TestGapBoundFollowsObservations(t *testing.T) {
	var g Gap
	require.Equal(t, time.Second, g.Bound(0, time.Second))
	for range 100 {
		g.Observe(20 * time.Millisecond)
	}
	require.InDelta(t, 40, g.Bound(0, time.Second).Milliseconds(), 5)
	for range 50 {
		g.Observe(100 * time.Millisecond)
	}
	require.Greater(t, g.Bound(0, time.Second), 150*time.Millisecond)
}

func TestUnusualGapFollowsObservations(t *testing.T) {
	var g Gap
	const least, most, unknown = 10 * time.Millisecond, 500 * time.Millisecond, 200 * time.Millisecond
	require.Equal(t, unknown, g.Unusual(least, most, unknown))
	for range 100 {
		g.Observe(20 * time.Millisecond)
	}
	require.InDelta(t, 30, g.Unusual(least, most, unknown).Milliseconds(), 2)
	for range 10 {
		g.Observe(60 * time.Millisecond)
		g.Observe(20 * time.Millisecond)
	}
	require.Greater(t, g.Unusual(least, most, unknown), 100*time.Millisecond, "spread counts")
}

// A link that becomes a hundred times slower is degraded after few samples and gets a trial
// after the hold time. A slow sample ends the trial at once; fast ones restore the link.
func TestLink(t *testing.T) {
	cfg := DefaultLinkConfig()
	var l Link
	now := t0
	for range 50 {
		require.False(t, l.Observe(cfg, time.Millisecond, now))
	}
	changes := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if l.Observe(cfg, 100*time.Millisecond, now) {
			changes++
		}
	}
	require.Equal(t, 1, changes, "flapping")
	require.InDelta(t, 0.01, l.Factor(cfg), 0.002)
	require.False(t, l.Tick(cfg, now))
	now = now.Add(cfg.HoldFor)
	require.True(t, l.Tick(cfg, now))
	require.InDelta(t, cfg.TrialShare, l.Factor(cfg), 0.001)
	require.True(t, l.Observe(cfg, 100*time.Millisecond, now))
	require.InDelta(t, 0.01, l.Factor(cfg), 0.002)
	now = now.Add(cfg.HoldFor)
	require.True(t, l.Tick(cfg, now))
	for range cfg.Samples {
		l.Observe(cfg, time.Millisecond, now)
	}
	require.False(t, l.Degraded())
	require.Equal(t, 1.0, l.Factor(cfg))
}

// A link that never reaches its seeded baseline takes its own transfer time as the baseline
// after maxSeededTrials failed trials.
func TestSeededLink(t *testing.T) {
	cfg := DefaultLinkConfig()
	var l Link
	l.Seed(time.Millisecond)
	now := t0
	require.True(t, l.Observe(cfg, 100*time.Millisecond, now))
	for range maxSeededTrials {
		require.True(t, l.Degraded())
		now = now.Add(cfg.HoldFor)
		require.True(t, l.Tick(cfg, now))
		require.True(t, l.Observe(cfg, 100*time.Millisecond, now))
	}
	require.False(t, l.Degraded())
	require.InDelta(t, 100, l.Baseline().Milliseconds(), 1)
}

// A small slowdown degrades a link only if it persists, a large one at once.
func TestLinkEvidence(t *testing.T) {
	cfg := DefaultLinkConfig()
	var small, large Link
	for range 20 {
		small.Observe(cfg, time.Millisecond, t0)
		large.Observe(cfg, time.Millisecond, t0)
	}
	require.True(t, large.Observe(cfg, 100*time.Millisecond, t0))
	require.False(t, small.Observe(cfg, 4*time.Millisecond, t0))
	require.False(t, small.Observe(cfg, time.Millisecond, t0))
	require.False(t, small.Observe(cfg, 4*time.Millisecond, t0))
	require.False(t, small.Observe(cfg, 4*time.Millisecond, t0))
	require.True(t, small.Observe(cfg, 5*time.Millisecond, t0))
}

func BenchmarkPolicyDetector(b *testing.B) {
	d := NewDetector(DefaultConfig(), func(string) bool { return false })
	b.ReportAllocs()
	for b.Loop() {
		d.Observe("b", Success, t0)
	}
}
