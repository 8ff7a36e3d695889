package lease

import (
	"context"
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/memstore"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/store"
)

var histories = flag.Int("histories", 1000, "generated histories of a lease in a store that is restored from copies")

// In a store that is restored from older copies, with outages, lost and delayed writes,
// there is at most one holder at any time, and no two holders have the same fencing
// number.
func TestOneHolderThroughRestores(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		for seed := range *histories {
			runRestores(t, rand.New(rand.NewPCG(uint64(seed), 31)))
		}
	})
}

// runRestores simulates one history of half a minute.
func runRestores(t *testing.T, rng *rand.Rand) {
	t.Helper()
	s := memstore.New()
	managers := newManagers(s, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		time.Sleep(5 * time.Second)
	}()
	for _, m := range managers {
		go m.Run(ctx)
	}
	copies := []*memstore.Snapshot{s.Snapshot()}
	holderOf, highest := map[uint64]int{}, uint64(0)
	for range 300 {
		switch rng.IntN(25) {
		case 0:
			copies = append(copies, s.Snapshot())
		case 1:
			s.Restore(copies[max(0, len(copies)-1-rng.IntN(3))])
		case 2:
			s.SetFaults(memstore.Faults{
				Outage: rng.IntN(4) == 0, LoseAnswer: rng.Float64() * 0.3, LoseWrite: rng.Float64() * 0.2,
				LateWrite: rng.Float64() * 0.2, Delay: time.Duration(rng.IntN(50)) * time.Millisecond,
			})
		}
		time.Sleep(100 * time.Millisecond)
		holders := 0
		for i, m := range managers {
			fencing, held := m.Held()
			if !held {
				continue
			}
			holders++
			holder, known := holderOf[fencing]
			require.True(t, !known || holder == i, "fencing number %d of two holders", fencing)
			require.GreaterOrEqual(t, fencing, highest)
			holderOf[fencing], highest = i, fencing
		}
		require.LessOrEqual(t, holders, 1)
	}
}

// A lease that a restored copy lacks, or shows as released, may be held by a daemon that
// acquired it later. It is acquired only after a whole period.
func TestLeaseMissingFromACopyIsWaitedOut(t *testing.T) {
	now := time.Unix(1000, 0)
	released := Spec{Fencing: 4, TTL: time.Millisecond}.Encode()
	for name, copied := range map[string]store.Object{
		"missing":  {Version: store.At(2, 0)},
		"given up": {Version: store.At(2, 70), Spec: released},
	} {
		t.Run(name, func(t *testing.T) {
			c := New("d1", ttl)
			c.Seen(store.Object{Version: store.At(1, 100), Spec: Spec{Holder: "d0", Fencing: 5, TTL: ttl}.Encode()}, now)
			c.Seen(copied, now)
			for at := now; at.Before(now.Add(ttl)); at = at.Add(ttl / 10) {
				c.Seen(copied, at)
				require.Equal(t, Wait, c.Next(at), "after %s", at.Sub(now))
			}
			c.Seen(copied, now.Add(ttl+time.Millisecond))
			require.Equal(t, Acquire, c.Next(now.Add(ttl+time.Millisecond)))
			spec, _ := c.Propose(Acquire, 1)
			require.Greater(t, spec.Fencing, uint64(5), "fencing number of the holder that the store has lost")
		})
	}
}
