package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLimitEndsOnlyByALaterRequest(t *testing.T) {
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	limits := NewLimits()
	observe := func(stated bool, rate float64, sent, received int) Change {
		c, _, _ := limits.Apply(LimitReport{Server: "s", Stated: stated, Rate: rate, SentAt: at(sent), At: at(received)})
		return c
	}
	require.Equal(t, Unchanged, observe(false, 0, 0, 10), "no limit was stated")
	require.Equal(t, Learned, observe(true, 4, 0, 20))
	require.Equal(t, Unchanged, observe(false, 0, 15, 30), "the request was sent before the limit was stated")
	require.Equal(t, Unchanged, observe(true, 4, 25, 40))
	require.Equal(t, Changed, observe(true, 0, 30, 50), "zero is a limit")
	l, known := limits.Of("s")
	require.True(t, known)
	require.Equal(t, Limit{Server: "s", Rate: 0, Since: at(20), At: at(50)}, l)
	require.Equal(t, Ended, observe(false, 0, 51, 60))
	require.Equal(t, Learned, observe(true, 1, 60, 70))
	require.Equal(t, 1, limits.Size())
	limits.Forget(func(string) bool { return false }, t0)
	require.Zero(t, limits.Size())
}

func TestSendsWithinTheWindow(t *testing.T) {
	s := NewSends()
	for i := range 80 {
		s.Add("s", t0.Add(time.Duration(i)*100*time.Millisecond))
	}
	now := t0.Add(7900 * time.Millisecond)
	require.InDelta(t, 41, s.Recent("s", now), 3, "a slot more than the window at most")
	require.GreaterOrEqual(t, s.Recent("s", now), 41)
	require.Zero(t, s.Recent("s", now.Add(Window+slot)))
	require.Zero(t, s.Recent("other", now))
}

// A trial is granted once its backend server has had no request for a time, within the
// limit. Reports and orders do not count as requests.
func TestTrialIsGrantedToAnIdleServerOnly(t *testing.T) {
	const idle = 500 * time.Millisecond
	limits, now := NewLimits(), t0
	limits.Apply(LimitReport{Server: "s", Stated: true, Rate: 20, SentAt: now, At: now})
	pool := NewPool("d", limits, NewSends())
	pool.SetFleet([]string{"d"}, now)
	decide := func(after time.Duration, priority int, idleFor time.Duration) Decision {
		now = now.Add(after)
		return pool.Decide("d", PermitRequest{Servers: []string{"s"}, Class: Class{Priority: priority}, IdleFor: idleFor}, now)
	}
	granted := func(after time.Duration, priority int, idleFor time.Duration) bool {
		return decide(after, priority, idleFor).Granted
	}
	require.False(t, granted(0, 0, idle), "the pool has just begun to grant")
	require.True(t, granted(idle, 0, idle))
	require.False(t, granted(idle/2, 0, idle))
	require.True(t, granted(0, 0, 0), "a request")
	require.Equal(t, Decision{Server: "s", After: idle / 2, RetryAfter: idle / 2}, decide(idle/2, 0, idle))
	require.True(t, granted(0, ReportPriority, 0))
	require.True(t, granted(0, OrderPriority, 0))
	require.True(t, granted(idle/2, 0, idle))
}

// A trial of a server without calls left is denied, and does not delay callers.
func TestDeniedTrialDelaysNoCaller(t *testing.T) {
	const idle = 500 * time.Millisecond
	limits, now := NewLimits(), t0
	limits.Apply(LimitReport{Server: "s", Stated: true, Rate: 0, SentAt: now, At: now})
	pool := NewPool("d", limits, NewSends())
	pool.SetFleet([]string{"d"}, now)
	decide := func(idleFor time.Duration) Decision {
		return pool.Decide("d", PermitRequest{Servers: []string{"s"}, IdleFor: idleFor}, now)
	}
	require.False(t, decide(idle).Granted)
	now = now.Add(2 * time.Second)
	require.True(t, decide(idle).Granted)
	now = now.Add(idle)
	for range 20 {
		require.False(t, decide(idle).Granted)
	}
	d := decide(0)
	require.False(t, d.Granted)
	require.Less(t, d.RetryAfter, maxRetryAfter)
}
