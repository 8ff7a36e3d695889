package prediction

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const logText = `
 1.0 vm-1 ts=2026-01-01T00:00:01Z msg=decision kind=route request=a attempt=1 predicted_first_ms=50 path="x>y"
 1.1 vm-1 ts=2026-01-01T00:00:01.1Z msg=decision kind=finish request=a result=whole first_in=60ms longest_pause=80ms detail=
ts=2026-01-01T00:00:02Z msg=decision kind=route request=b attempt=1 predicted_first_ms=50
ts=2026-01-01T00:00:02.1Z msg=decision kind=route request=b attempt=2 predicted_first_ms=500
ts=2026-01-01T00:00:03Z msg=decision kind=finish request=b result=whole first_in=150ms longest_pause=1.2s
ts=2026-01-01T00:00:06Z msg=decision kind=route request=c attempt=1 predicted_first_ms=40
ts=2026-01-01T00:00:06Z msg=decision kind=finish request=c result=whole first_in=40ms longest_pause=70ms
ts=2026-01-01T00:00:06Z msg=decision kind=route request=d attempt=1 predicted_first_ms=40
ts=2026-01-01T00:00:06Z msg=decision kind=finish request=d result=overloaded first_in=0s longest_pause=0s
ts=2026-01-01T00:00:07Z level=info msg=started
no line of a daemon
ts=2026-01-01T00:00:08Z msg=decision kind=finish request=e result=whole first_in=4
`

func TestReadComparesPredictedWithMeasuredTimes(t *testing.T) {
	got, err := Read(strings.NewReader(logText), 5*time.Second)
	require.NoError(t, err)
	require.Len(t, got, 2)
	first, second := got[0], got[1]
	require.Equal(t, 2, first.Requests)
	require.Equal(t, 3, first.Sends)
	require.Equal(t, []float64{1.2, 3}, first.Ratios, "ratios use the prediction of the first send")
	require.InDelta(t, 0.5, first.Accuracy(), 0)
	require.Equal(t, 1200*time.Millisecond, Quantile(first.Pause, 0.9))
	require.Equal(t, 1, second.Requests, "refused and unfinished requests are not counted")
	require.InDelta(t, 1.0, second.Accuracy(), 0)
	require.Equal(t, 5*time.Second, second.Start.Sub(first.Start))
}

func TestWritePrintsOneRowPerPeriod(t *testing.T) {
	got, err := Read(strings.NewReader(logText), 5*time.Second)
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, Write(&out, got))
	require.Len(t, strings.Split(strings.TrimSpace(out.String()), "\n"), 3)
	require.Contains(t, out.String(), "00:00:05")
}

func TestReadOfLogWithoutRequests(t *testing.T) {
	got, err := Read(strings.NewReader("\n"), time.Second)
	require.NoError(t, err)
	require.Empty(t, got)
	require.Zero(t, Quantile([]float64{}, 0.5))
}
