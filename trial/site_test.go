package trial

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// A run on a stand-in site violates no guarantee.
func TestOnceOnSite(t *testing.T) {
	summary, problems, err := RunOnSite(t.Context(), io.Discard, func(s string) { t.Log(s) })
	require.NoError(t, err)
	require.Empty(t, problems)
	t.Log(summary)
}
