package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/snowspoke/snowspoke/internal/memstore"
	"github.com/snowspoke/snowspoke/internal/virtual"
)

// BenchmarkClaims reports the store writes per claim and the latency of Once for
// eight daemons, in virtual time with a store latency of 5 ms.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				var writes float64
				var took []time.Duration
				virtual.Run(b, func() { writes, took = claimAt(rate) })
				slices.Sort(took)
				b.ReportMetric(writes, "writes/claim")
				b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50_ms")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99_ms")
			}
		})
	}
}

func claimAt(rate int) (writesPerClaim float64, took []time.Duration) {
	store := memstore.New()
	store.SetFaults(memstore.Faults{Delay: 5 * time.Millisecond})
	registries, _ := newTestRegistries(store, 8, 0)
	var mu sync.Mutex
	var wg sync.WaitGroup
	const claims = 2000
	for i := range claims {
		registry := registries[fmt.Sprint("d", rand.IntN(8))]
		wg.Go(func() {
			start := time.Now()
			_, err := registry.Once(context.Background(), Use{Workspace: "w", Key: fmt.Sprint(i), RequestID: fmt.Sprint(i)}, ok("x"))
			if err != nil {
				panic(err)
			}
			mu.Lock()
			took = append(took, time.Since(start))
			mu.Unlock()
		})
		time.Sleep(time.Duration(rand.ExpFloat64() / float64(rate) * float64(time.Second)))
	}
	wg.Wait()
	time.Sleep(time.Minute)
	_, writes := store.Calls()
	return float64(writes) / claims, took
}
