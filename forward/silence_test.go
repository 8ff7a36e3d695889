package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
)

// slowEvents makes events of the lab take about 120 ms, as where they hold many
// tokens: longer than a fixed silence that suits events of 30 ms.
const slowEvents = 6

// Events that are slow as usual are no sign of death: the hops of a stream are not
// connected to at each of them.
func TestSlowEventsAreNotProbed(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newLab(1)
		l.slow = slowEvents
		l.run(labRate/8, 10*time.Second)
		require.Greater(t, percentile(l.gaps, 0.5), 110*time.Millisecond, "the lab's events are slow")
		require.Less(t, l.reached, l.whole, "connections made to look after the hops, for each stream")
	})
}

// What was learnt keeps detection fast: a card that dies is found well before the
// caller leaves, where events are slow as where they are fast.
func TestDeadCardIsFoundAmongSlowEvents(t *testing.T) {
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

func TestSilenceIsLearntByHead(t *testing.T) {
	s := newSilences()
	require.Equal(t, probeFirst, s.probeAfter("a", true), "nothing is known")
	require.Equal(t, probeNext, s.probeAfter("a", false))
	for range 200 {
		s.observe("a", false, 100*time.Millisecond)
		s.observe("b", false, 10*time.Millisecond)
	}
	require.InDelta(t, 150, inMS(s.probeAfter("a", false)), 5)
	require.Equal(t, probeLeast, s.probeAfter("b", false), "a probe is never made at once")
	require.Equal(t, probeFirst, s.probeAfter("a", true), "first events are learnt apart")
	for range 200 {
		s.observe("a", false, 5*time.Second)
	}
	require.Equal(t, probeMost, s.probeAfter("a", false), "a slow head does not hide a dead card")
	s.prune(nil)
	require.Equal(t, probeNext, s.probeAfter("a", false))
}

// Events come every 30 ms and hops are looked after soon, while other streams have just
// heard of them: the look is repeated, not left at that. Recovery took 1.3 s instead of
// 0.3.
func TestDeadCardIsFoundAmongFastEvents(t *testing.T) {
	for seed := range uint64(labSeeds) {
		virtual.Test(t, func(t *testing.T) {
			l := lose(seed, 40, false)
			require.NotEmpty(t, l.recovered)
			require.Less(t, percentile(l.recovered, 0.99), 700*time.Millisecond)
		})
	}
}
