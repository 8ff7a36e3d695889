package capacity

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPageMatchesArithmetic(t *testing.T) {
	have, err := os.ReadFile("../docs/CAPACITY.md")
	require.NoError(t, err)
	require.Equal(t, Markdown(), string(have), "run: go run ./cmd/snowspoke capacity > docs/CAPACITY.md")
}

// The control roles of a daemon stay within the target's bounds.
func TestControlStaysWithinTarget(t *testing.T) {
	cpu, memory := Control(Roles(TwoYears, Measured))
	require.Less(t, cpu, 0.01)
	require.Less(t, memory, 64.0)
	sent := Measured.IdleBase.Value + (TwoYears.Daemons-32)*Measured.IdlePer.Value
	require.Less(t, sent, 3000.0)
}

// Membership and the relay must not grow faster than the fleet where callers wait for it:
// the restart of all daemons of a fleet twice as large stays within the time for which
// requests wait at a daemon that starts.
func TestRestartOfALargeFleetFitsTheStartWait(t *testing.T) {
	for _, daemons := range []float64{985, 2000} {
		roster, _ := RestartListSeconds(daemons)
		require.Less(t, roster, 0.9, "seconds of the store's link, %g daemons", daemons)
		require.LessOrEqual(t, LeaderListSeconds(daemons), 4.0)
		require.LessOrEqual(t, TreeLevels(daemons/5, 10, 8*fanOut), 2)
	}
}
