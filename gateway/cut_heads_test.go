package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/platform/standin"
)

// headCuts are cuts within the first and the last bytes of a head.
func headCuts(n, step int) []standin.Cut {
	var cuts []standin.Cut
	for i := 0; i < n; i += step {
		for _, reset := range []bool{false, true} {
			cuts = append(cuts, standin.Cut{InHead: true, After: i, Reset: reset}, standin.Cut{InHead: true, After: -1 - i, Reset: reset})
		}
	}
	return cuts
}

var allFramings = []framing.Framing{framing.Length, framing.Chunked, framing.UntilClose}

// Guards against a head that is cut behind a carrier and counts as that of an empty or a short answer (MIXED).
func TestHeadCutBehindACarrierIsNoAnswer(t *testing.T) {
	t.Parallel()
	e := newPartitionedEnv(t)
	e.partition.Set(standin.RefuseNew)
	for _, f := range allFramings {
		e.plain.SetFraming(f)
		for n, cut := range headCuts(60, 3) {
			e.plain.AddCuts(cut)
			a := e.cut.callUntilReceived(t, func() int { return len(e.plain.Runs()) }, call{method: http.MethodPost, path: "/once/", body: "x", id: fmt.Sprintf("req-%s-%d", f, n)})
			require.NoError(t, a.Err)
			require.Equal(t, 502, a.Status, "%s, %+v: %q", f, cut, a.Body)
		}
	}
}

// The same for streams, directly and behind a carrier. They go on elsewhere (ORDER).
func TestStreamWithACutHeadIsNotShort(t *testing.T) {
	t.Parallel()
	for _, carried := range []bool{false, true} {
		for _, f := range allFramings {
			t.Run(fmt.Sprintf("%s, carried %v", f, carried), func(t *testing.T) {
				t.Parallel()
				e := newPartitionedEnv(t)
				if carried {
					e.partition.Set(standin.RefuseNew)
				}
				e.heads[1].ShareCuts(e.heads[0])
				for _, h := range e.heads {
					h.SetFraming(f)
				}
				for n, cut := range headCuts(60, 10) {
					e.heads[0].ClearCuts()
					e.heads[0].AddCuts(cut)
					a := e.cut.callUntilReceived(t, func() int { return totalRuns(e.heads) }, call{method: http.MethodPost, path: "/stream/", body: "x", id: fmt.Sprint("req-", n)})
					whole := a.Status == 200 && a.Body == events(1, e.heads[0].Events)
					require.True(t, whole || a.Err != nil || a.Status == 502, "%+v: %d %q", cut, a.Status, a.Body)
				}
			})
		}
	}
}
