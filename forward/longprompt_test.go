package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
)

// maxShortP99 is the largest 99th percentile of the time to the first event of short prompts.
const maxShortP99 = 150 * time.Millisecond

// servedBefore is the share of these streams that was served when long and short prompts shared
// all paths.
const servedBefore = 1.0

// Guards against short prompts that wait behind long ones on the same backend servers.
func TestLongPromptsDoNotDelayShortOnes(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, daemons := range []int{1, 6, 60, 300} {
			if daemons > maxRaceFleet && (virtual.RaceDetector || chunked) {
				continue // takes too long
			}
			t.Run(fmt.Sprintf("daemons=%d/chunked=%v", daemons, chunked), func(t *testing.T) {
				virtual.Test(t, func(t *testing.T) {
					r := runPrompts(1, promptLoad{daemons: daemons, chunked: chunked, short: shortPrompt, long: longPrompt})
					t.Logf("first event of %d short prompts: p50 %v, p99 %v; of %d long ones: p50 %v, p99 %v, in time %.3f; served %d of %d",
						len(r.short), percentile(r.short, 0.5), percentile(r.short, 0.99), len(r.long), percentile(r.long, 0.5), percentile(r.long, 0.99),
						r.longInTimeShare(), r.served, r.all)
					require.LessOrEqual(t, percentile(r.short, 0.99), maxShortP99)
					require.GreaterOrEqual(t, r.longInTimeShare(), 0.99)
					require.GreaterOrEqual(t, float64(r.served)/float64(r.all), servedBefore)
				})
			})
		}
	}
}
