package apierror

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDocsMatchTable(t *testing.T) {
	got, err := os.ReadFile("../docs/ERRORS.md")
	require.NoError(t, err)
	require.Equal(t, Markdown(), string(got), "run: go run ./cmd/snowspoke errors > docs/ERRORS.md")
}

// Only kinds that guarantee that the request did not run allow a retry.
func TestRetryOnlyWhenNotRun(t *testing.T) {
	for _, a := range All() {
		if a.MayRetry {
			require.Equal(t, RanNo, a.Ran, a.Kind)
			require.Positive(t, a.RetryAfter, a.Kind)
		}
	}
}

func TestFrom(t *testing.T) {
	e := New(Overloaded, "queue %d", 7).WithRetryAfter(3 * time.Second)
	wrapped := fmt.Errorf("model m: %w", e)
	require.Equal(t, e, From(wrapped))
	require.Equal(t, 3*time.Second, From(wrapped).Answer().RetryAfter)
	require.Equal(t, Internal, From(errors.New("x")).Kind)
	require.Equal(t, Internal, Lookup("nonsense").Kind)
}
