package site

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestIncarnationsOfOneName(t *testing.T) {
	first, second, unknown := Incarnation{"i-1", 1000}, Incarnation{"i-1", 2000}, Incarnation{Name: "i-1"}
	require.Equal(t, "i-1", unknown.ID())
	require.NotEqual(t, first.ID(), second.ID())
	require.True(t, second.Newer(first))
	require.False(t, first.Newer(second))
	require.False(t, second.Newer(unknown), "its start time is unknown")
	require.False(t, unknown.Newer(first))
	require.False(t, Incarnation{"i-2", 2000}.Newer(first))
}
