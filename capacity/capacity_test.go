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
