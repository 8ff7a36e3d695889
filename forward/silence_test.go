package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/site"
)

// slowEvents makes events of the lab take about 120 ms, longer than a fixed threshold that
// suits events of 30 ms.
const slowEvents = 6

// Slow events do not cause a probe of the hops at each event.
func TestSlowEventsAreNotProbed(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		l.slow = slowEvents
		l.run(labRate/8, 10*time.Second)
		require.Greater(t, percentile(l.gaps, 0.5), 110*time.Millisecond, "the lab's events are slow")
		require.Less(t, l.probes, l.completed, "fewer connections by probes than streams")
	})
}

// With slow events, a dead server is detected before callers give up.
func TestDeadServerIsDetectedWithSlowEvents(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		l.slow = slowEvents
		time.AfterFunc(6*time.Second, func() { l.kill(40, true) })
		l.run(labRate/8, 10*time.Second)
		require.NotEmpty(t, l.recovered)
		require.Zero(t, l.cut)
		require.Less(t, percentile(l.recovered, 0.99), 1500*time.Millisecond)
	})
}

func TestSilenceIsLearnedPerHead(t *testing.T) {
	s := newSilences()
	require.Equal(t, defaultFirstProbe, s.probeAfter("a", true), "no history")
	require.Equal(t, defaultNextProbe, s.probeAfter("a", false))
	for range 200 {
		s.observe("a", false, 100*time.Millisecond)
		s.observe("b", false, 10*time.Millisecond)
	}
	require.InDelta(t, 150, inMS(s.probeAfter("a", false)), 5)
	require.Equal(t, minProbeSilence, s.probeAfter("b", false), "a probe is never immediate")
	require.Equal(t, defaultFirstProbe, s.probeAfter("a", true), "first events are learned separately")
	for range 200 {
		s.observe("a", false, 5*time.Second)
	}
	require.Equal(t, maxProbeSilence, s.probeAfter("a", false), "a slow head does not hide a dead hop")
	s.prune(nil)
	require.Equal(t, defaultNextProbe, s.probeAfter("a", false))
}

// With fast events, a hop is probed again if the first probe skipped it because another
// stream had recent events from it. Guards against a slow recovery.
func TestDeadServerIsDetectedWithFastEvents(t *testing.T) {
	seeds := uint64(labSeeds)
	if virtual.RaceDetector {
		seeds = 1
	}
	for seed := range seeds {
		virtual.Test(t, func(t *testing.T) {
			l := runWithLoss(seed, 40, false)
			require.NotEmpty(t, l.recovered)
			require.Less(t, percentile(l.recovered, 0.99), 700*time.Millisecond)
		})
	}
}

// A direct connection whose head is out of direct reach by now has probably stopped working,
// but a head that is busy or whose answer has not begun must not lose its streams for that.
func TestStreamOverALostConnectionGoesOnSoon(t *testing.T) {
	f := plainForwarder(1, &scriptedBackends{})
	head := &site.BackendServer{ID: "b0", Address: "10.0.0.1:80"}
	for _, c := range []struct {
		name           string
		begun, carried bool
		way            detour.Way
		waiting        int
		limit          time.Duration // of the silence, 0 for none
	}{
		{"lost", true, false, detour.Carried, 0, maxCutSilence},
		{"lost, busy head", true, false, detour.Carried, 3, maxSilence},
		{"direct", true, false, detour.Direct, 0, maxSilence},
		{"direct, busy head", true, false, detour.Direct, 3, 0},
		{"carried", true, true, detour.Carried, 0, maxSilence},
		{"no event", false, false, detour.Carried, 0, maxSilence},
		{"no event, busy head", false, false, detour.Carried, 3, 0},
	} {
		f.way = func(string) detour.Way { return c.way }
		s := &stream{r: &run{f: f}, begun: c.begun, carried: c.carried}
		if c.limit == 0 {
			require.False(t, s.standsStill(head, time.Minute, c.waiting), c.name)
			continue
		}
		require.False(t, s.standsStill(head, c.limit-1, c.waiting), c.name)
		require.True(t, s.standsStill(head, c.limit, c.waiting), c.name)
	}
}
