package stall

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
)

// newManualMonitor returns a monitor whose heartbeat the test drives.
func newManualMonitor(suspended *time.Duration) *Monitor {
	m := New(nil)
	m.suspended = func() time.Duration { return *suspended }
	m.Start()
	return m
}

func TestStallsAreDetected(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var suspended time.Duration
		m := newManualMonitor(&suspended)
		began := time.Now()
		time.Sleep(heartbeatInterval)
		m.tick(time.Now())
		require.Zero(t, m.StallTime(began, time.Now()), "a heartbeat in time")
		time.Sleep(heartbeatInterval + minStall/2)
		m.tick(time.Now())
		require.Zero(t, m.StallTime(began, time.Now()), "a short delay is no stall")
		stalled := time.Now()
		time.Sleep(heartbeatInterval + 200*time.Millisecond)
		require.Equal(t, 200*time.Millisecond, m.StallTime(began, time.Now()), "it shows before the heartbeat")
		m.tick(time.Now())
		require.Equal(t, 200*time.Millisecond, m.StallTime(began, time.Now()))
		require.Equal(t, 100*time.Millisecond, m.StallTime(stalled.Add(125*time.Millisecond), time.Now()), "only the part after since")
		require.Zero(t, m.StallTime(time.Now(), time.Now()))
		for range 2 * maxStalls {
			time.Sleep(heartbeatInterval + 20*time.Millisecond)
			m.tick(time.Now())
		}
		require.Equal(t, maxStalls*20*time.Millisecond, m.StallTime(began, time.Now()), "the last maxStalls are stored")
		require.Zero(t, (*Monitor)(nil).StallTime(began, time.Now()))
	})
}

// A process may stall between Start and the first run of the heartbeat's goroutine.
func TestStallBeforeTheFirstHeartbeatIsDetected(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		const delay = 60 * time.Millisecond
		m := New(nil)
		began := time.Now()
		m.Start()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ended := make(chan time.Time, 1)
		timer := m.AfterFunc(delay, func() { ended <- time.Now() })
		defer timer.Stop()
		time.AfterFunc(delay, func() { m.Run(ctx) })
		time.Sleep(2 * time.Second)
		require.Equal(t, delay, m.StallTime(began, time.Now()))
		require.GreaterOrEqual(t, (<-ended).Sub(began), 2*delay, "the time-out does not count the stall")
	})
}

// A suspension of the VM is detected although the steady clock does not show it.
func TestSuspensionIsDetected(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var suspended time.Duration
		m := newManualMonitor(&suspended)
		began := time.Now()
		require.False(t, m.Stalled(began, time.Now()))
		suspended = 5 * time.Second
		require.True(t, m.Stalled(began, time.Now()), "before the heartbeat")
		m.tick(time.Now())
		require.True(t, m.Stalled(began, time.Now()))
		time.Sleep(time.Millisecond)
		require.False(t, m.Stalled(time.Now(), time.Now()))
	})
}

// A timer expires once the process has run for the duration of the timer; stalls do not
// count towards the duration.
func TestTimersCountRunningTime(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var suspended time.Duration
		m := newManualMonitor(&suspended)
		beats := func(n int) {
			for range n {
				time.Sleep(heartbeatInterval)
				m.tick(time.Now())
			}
		}
		began := time.Now()
		var firedAt atomic.Int64
		fired := func() { firedAt.Store(int64(time.Since(began))) }
		timer := m.AfterFunc(60*time.Millisecond, fired)
		beats(4)
		require.Equal(t, 60*time.Millisecond, time.Duration(firedAt.Load()))

		began = time.Now()
		timer.Reset(60 * time.Millisecond)
		time.Sleep(heartbeatInterval + time.Second) // the process runs for 25 ms of it
		m.tick(time.Now())
		beats(4)
		require.Equal(t, time.Second+60*time.Millisecond, time.Duration(firedAt.Load()).Round(time.Millisecond))

		ctx, cancel := m.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		time.Sleep(heartbeatInterval + 500*time.Millisecond)
		m.tick(time.Now())
		time.Sleep(time.Millisecond)
		require.NoError(t, ctx.Err())
		beats(2)
		require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
	})
}

// A timer that is reset while its previous expiry is pending does not call the function for
// that expiry.
func TestTimerResetDuringExpiry(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var suspended time.Duration
		m := newManualMonitor(&suspended)
		var calls atomic.Int64
		timer := m.AfterFunc(time.Second, func() { calls.Add(1) })
		defer timer.Stop()
		timer.Reset(time.Second)
		timer.fire() // of the previous period, pending
		require.Zero(t, calls.Load())
		for range 60 {
			time.Sleep(heartbeatInterval)
			m.tick(time.Now())
		}
		require.EqualValues(t, 1, calls.Load())
	})
}

func TestHeartbeatOfAQuietProcess(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		stalls := 0
		m := New(func(time.Duration) { stalls++ })
		m.suspended = func() time.Duration { return 0 }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			m.Run(ctx)
			close(done)
		}()
		began := time.Now()
		time.Sleep(time.Second)
		require.Zero(t, m.StallTime(began, time.Now()))
		require.Zero(t, stalls)
		cancel()
		<-done
		time.Sleep(time.Second)
		require.Zero(t, m.StallTime(began, time.Now()), "it detects nothing after it has ended")
	})
}

// BenchmarkBeat measures the cost of one heartbeat.
func BenchmarkBeat(b *testing.B) {
	m := New(nil)
	m.Start()
	for b.Loop() {
		m.tick(time.Now())
	}
}

// Time in which messages wait unread is no time in which others fail to answer, although the
// heartbeat is in time. It counts once where it overlaps with other stalls.
func TestUnreadMessagesAreNoTimeouts(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var suspended time.Duration
		var waiting atomic.Pointer[time.Time]
		waiting.Store(&time.Time{})
		m := newManualMonitor(&suspended)
		m.SetLag(func() time.Time { return *waiting.Load() })
		began := time.Now()
		beat := func(n int) {
			for range n {
				time.Sleep(heartbeatInterval)
				m.tick(time.Now())
			}
		}
		beat(4)
		m.NoteLag(time.Now().Add(-MinLag/2), time.Now())
		require.Zero(t, m.StallTime(began, time.Now()), "a short wait")
		m.NoteLag(time.Now().Add(-60*time.Millisecond), time.Now())
		m.NoteLag(time.Now().Add(-100*time.Millisecond), time.Now())
		require.Equal(t, 60*time.Millisecond, m.StallTime(began, time.Now()), "only the part that is new")
		var ended atomic.Bool
		timer := m.AfterFunc(100*time.Millisecond, func() { ended.Store(true) })
		defer timer.Stop()
		since := time.Now()
		waiting.Store(&since)
		beat(20)
		require.False(t, ended.Load(), "a message waits")
		require.Equal(t, 560*time.Millisecond, m.StallTime(began, time.Now()))
		m.NoteLag(since, time.Now())
		waiting.Store(&time.Time{})
		require.Equal(t, 560*time.Millisecond, m.StallTime(began, time.Now()))
		beat(3)
		require.False(t, ended.Load())
		beat(3)
		require.True(t, ended.Load())
	})
}
