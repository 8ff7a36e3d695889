package boottime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestClockAdvancesWhileSuspended(t *testing.T) {
	before, steady, already := Now(), time.Now(), Suspended()
	SimulateSuspension(5 * time.Second)
	require.GreaterOrEqual(t, Since(before), 5*time.Second)
	require.Less(t, time.Since(steady), 5*time.Second)
	require.LessOrEqual(t, Until(before.Add(5*time.Second)), time.Duration(0))
	require.Less(t, Suspended()-already-5*time.Second, 10*time.Millisecond, "this VM is not suspended")
}

// BenchmarkNow measures the cost of Now.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		_ = Now()
	}
}
