package stall

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
)

// monitored returns a monitor whose heartbeat is driven by hand.
func monitored(suspended *time.Duration) *Monitor {
	m := New(nil)
	m.suspended = func() time.Duration { return *suspended }
	m.start()
	return m
}

func TestStallsAreCounted(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var asleep time.Duration
		m := monitored(&asleep)
		began := time.Now()
		time.Sleep(beat)
		m.tick(time.Now())
		require.Zero(t, m.Held(began, time.Now()), "a beat in time")
		time.Sleep(beat + lateFrom/2)
		m.tick(time.Now())
		require.Zero(t, m.Held(began, time.Now()), "a little late is usual")
		stalled := time.Now()
		time.Sleep(beat + 200*time.Millisecond)
		require.Equal(t, 200*time.Millisecond, m.Held(began, time.Now()), "it shows before the beat has come")
		m.tick(time.Now())
		require.Equal(t, 200*time.Millisecond, m.Held(began, time.Now()))
		require.Equal(t, 100*time.Millisecond, m.Held(stalled.Add(125*time.Millisecond), time.Now()), "only what lies in the span")
		require.Zero(t, m.Held(time.Now(), time.Now()))
		for range 2 * kept {
			time.Sleep(beat + 20*time.Millisecond)
			m.tick(time.Now())
		}
		require.Equal(t, kept*20*time.Millisecond, m.Held(began, time.Now()), "the last ones are remembered")
		require.Zero(t, (*Monitor)(nil).Held(began, time.Now()))
	})
}

// The steady clock does not show that a VM was suspended.
func TestSuspensionIsSeen(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var asleep time.Duration
		m := monitored(&asleep)
		began := time.Now()
		require.False(t, m.Stalled(began, time.Now()))
		asleep = 5 * time.Second
		require.True(t, m.Stalled(began, time.Now()), "before the beat has come")
		m.tick(time.Now())
		require.True(t, m.Stalled(began, time.Now()))
		time.Sleep(time.Millisecond)
		require.False(t, m.Stalled(time.Now(), time.Now()))
	})
}

// A timer that was held up runs out once the process has run for its time, and one
// that was not as any other.
func TestTimersCountTimeThatTheProcessRan(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var asleep time.Duration
		m := monitored(&asleep)
		beats := func(n int) {
			for range n {
				time.Sleep(beat)
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
		time.Sleep(beat + time.Second) // 25 ms run, a second does not
		m.tick(time.Now())
		beats(4)
		require.Equal(t, time.Second+60*time.Millisecond, time.Duration(firedAt.Load()).Round(time.Millisecond))

		ctx, cancel := m.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		time.Sleep(beat + 500*time.Millisecond)
		m.tick(time.Now())
		time.Sleep(time.Millisecond)
		require.NoError(t, ctx.Err())
		beats(2)
		require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
	})
}

// A timer that was started anew just as it ran out does not call for the time before: a
// daemon that ran again after a stall read its source's answer and left it in the same
// moment, as silent.
func TestTimerStartedAnewAsItRunsOut(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var asleep time.Duration
		m := monitored(&asleep)
		var calls atomic.Int64
		timer := m.AfterFunc(time.Second, func() { calls.Add(1) })
		defer timer.Stop()
		timer.Reset(time.Second)
		timer.fire() // of the time before, which comes behind
		require.Zero(t, calls.Load())
		for range 60 {
			time.Sleep(beat)
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
		require.Zero(t, m.Held(began, time.Now()))
		require.Zero(t, stalls)
		cancel()
		<-done
		time.Sleep(time.Second)
		require.Zero(t, m.Held(began, time.Now()), "it notices nothing once it has ended")
	})
}

// BenchmarkBeat gives what the heartbeat costs: forty a second.
func BenchmarkBeat(b *testing.B) {
	m := New(nil)
	m.start()
	for b.Loop() {
		m.tick(time.Now())
	}
}
