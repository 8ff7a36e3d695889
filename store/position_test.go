package store

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEraIsMoreSignificantThanRevision(t *testing.T) {
	p := At(2, 60)
	require.EqualValues(t, 2, p.Era())
	require.EqualValues(t, 60, p.Revision())
	require.Greater(t, p, At(1, 100))
	require.Greater(t, At(1, 0), At(0, 1<<revisionBits-1))
	require.Greater(t, At(2, 61), p)
	require.Equal(t, Position(7), At(0, 7), "a store that does not report eras")
	require.Zero(t, At(0, 0))
	require.Equal(t, "2.60", p.String())
	require.Equal(t, "7", At(0, 7).String())
}
