package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/memstore"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/store"
)

const ttl = 3 * time.Second

func newManagers(store store.Store, n int) []*Manager {
	var out []*Manager
	for i := range n {
		out = append(out, NewManager("Lease", "placement", fmt.Sprint("d", i), ttl, store, log.NewNopLogger()))
	}
	return out
}

// With outages, lost and delayed writes there is at most one holder at any time, and
// fencing numbers only increase.
func TestOneHolder(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		store := memstore.New()
		managers := newManagers(store, 5)
		ctx, cancel := context.WithCancel(context.Background())
		for _, m := range managers {
			go m.Run(ctx)
		}
		held, highest := 0, uint64(0)
		for i := range 6000 {
			if i%40 == 0 {
				store.SetFaults(memstore.Faults{
					Outage: rand.IntN(4) == 0, LoseAnswer: rand.Float64() * 0.3, LoseWrite: rand.Float64() * 0.2,
					LateWrite: rand.Float64() * 0.2, Delay: time.Duration(rand.IntN(50)) * time.Millisecond,
				})
			}
			time.Sleep(50 * time.Millisecond)
			holders := 0
			for _, m := range managers {
				if f, ok := m.Held(); ok {
					holders++
					require.GreaterOrEqual(t, f, highest)
					highest = f
				}
			}
			require.LessOrEqual(t, holders, 1)
			held += holders
		}
		store.SetFaults(memstore.Faults{})
		require.Greater(t, held, 2000, "the lease was rarely held")
		cancel()
		time.Sleep(time.Minute)
	})
}

// A holder that is paused beyond its lease no longer holds it, and its successor has a
// higher fencing number.
func TestPausedHolder(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a, b := New("a", ttl), New("b", ttl)
	a.Seen(store.Object{}, now)
	require.Equal(t, Acquire, a.Next(now))
	s, v := a.Propose(Acquire, 1)
	require.Zero(t, v)
	a.Written(s, 1, now, now)
	fa, ok := a.Held(now)
	require.True(t, ok)
	b.Seen(store.Object{Version: 1, Spec: s.Encode()}, now)
	require.Equal(t, Wait, b.Next(now))
	later := now.Add(ttl + time.Millisecond) // a is paused
	_, ok = a.Held(later)
	require.False(t, ok)
	b.Seen(store.Object{Version: 1, Spec: s.Encode()}, later)
	require.Equal(t, Acquire, b.Next(later))
	s, v = b.Propose(Acquire, 2)
	require.Equal(t, store.Position(1), v)
	b.Written(s, 2, later, later)
	fb, ok := b.Held(later)
	require.True(t, ok)
	require.Greater(t, fb, fa)
}

// A planned stop hands the lease over without waiting for its expiry.
func TestHandover(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		store := memstore.New()
		managers := newManagers(store, 2)
		first, stopFirst := context.WithCancel(context.Background())
		second, stopSecond := context.WithCancel(context.Background())
		go managers[0].Run(first)
		time.Sleep(time.Second)
		go managers[1].Run(second)
		time.Sleep(5 * time.Second)
		_, ok := managers[0].Held()
		require.True(t, ok)
		began := time.Now()
		stopFirst()
		for {
			if _, ok := managers[1].Held(); ok {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, time.Since(began), ttl/2)
		stopSecond()
		time.Sleep(time.Minute)
	})
}

// BenchmarkTakeover reports the time until a crashed holder is replaced.
func BenchmarkTakeover(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	worst := time.Duration(0)
	for b.Loop() {
		c := New("b", ttl)
		spec := Spec{Holder: "a", Fencing: 1, TTL: ttl}
		at := now
		for c.Next(at) != Acquire {
			if c.Next(at) == Read {
				c.Seen(store.Object{Version: 1, Spec: spec.Encode()}, at)
			}
			at = at.Add(ttl / 10)
		}
		worst = max(worst, at.Sub(now))
	}
	b.ReportMetric(float64(worst.Milliseconds()), "takeover_ms")
}

// Stale and out-of-order reads do not prolong an expired lease.
func TestStaleReadsDoNotProlongALease(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New("d1", ttl)
	lease := func(version store.Position) store.Object {
		return store.Object{Version: version, Spec: Spec{Holder: "d0", Fencing: 1, TTL: ttl, Nonce: uint64(version)}.Encode()}
	}
	for i := range 7 {
		c.Seen(lease(store.Position(10-i%3)), now)
		require.NotEqual(t, Acquire, c.Next(now), "it was renewed %s ago", time.Duration(i)*ttl/6)
		now = now.Add(ttl / 6)
	}
	require.Equal(t, Acquire, c.Next(now))
	_, version := c.Propose(Acquire, 1)
	require.EqualValues(t, 10, version, "the newest version that was read")
}

// After a conflicting write, stale reads of the previous object cause no write. An object
// that was removed is written again.
func TestStaleReadsAfterAConflictCauseNoWrite(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New("d1", ttl)
	released := store.Object{Version: 7, Spec: Spec{Fencing: 1, TTL: time.Millisecond}.Encode()}
	c.Seen(released, now)
	now = now.Add(10 * time.Millisecond)
	require.Equal(t, Acquire, c.Next(now))
	c.Lost(now)
	for range 5 {
		c.Seen(released, now)
		now = now.Add(ttl / 10)
		require.Equal(t, Read, c.Next(now))
	}
	c.Seen(store.Object{Version: 8, Spec: Spec{Holder: "d2", Fencing: 2, TTL: ttl}.Encode()}, now)
	require.Equal(t, Wait, c.Next(now.Add(time.Millisecond)))
	c.Lost(now)
	now = now.Add(staleReadPeriods * ttl)
	c.Seen(store.Object{}, now)
	require.Equal(t, Acquire, c.Next(now))
}
