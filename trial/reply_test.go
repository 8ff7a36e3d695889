package trial

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/internal/memnet"
)

// A whole reply reaches the caller, however it is framed. One that breaks off does not
// reach it as complete, if that can be known: its framing shows it, or the endpoint is gone.
func TestServiceReply(t *testing.T) {
	for name, c := range map[string]struct{ untilClose, breaks, dies bool }{
		"length": {}, "length, breaks": {breaks: true}, "length, dies": {dies: true},
		"until close": {untilClose: true}, "until close, dies": {untilClose: true, dies: true},
	} {
		for _, payload := range []string{"x", strings.Repeat("x", 600<<10)} {
			for _, key := range []string{"", "key-1"} {
				inWorld(t, 1, func(w *World, hc *http.Client, _ *memnet.Net) {
					for _, s := range w.Services {
						s.UntilClose.Store(c.untilClose)
						s.BreakNext.Store(c.breaks)
						s.DieNext.Store(c.dies)
					}
					got, err := w.clientOf(0, hc).Call(context.Background(), http.MethodPost, Service, "/cards", []byte(payload), key)
					whole := err == nil && got.Text == "POST /cards "+payload
					broken := err != nil || got.Kind == apierror.BackendFailed
					require.True(t, whole && !c.breaks && !c.dies || broken && (c.breaks || c.dies), "%s: %v, %s, %d bytes", name, err, got.Kind, len(got.Text))
					require.Equal(t, 1, w.Fleet.Ledger.Calls(payload))
				})
			}
		}
	}
}

// A reply that is not known to be complete is not kept under an idempotency key: a living
// endpoint may have broken it off.
func TestReplyUntilCloseIsNotRepeated(t *testing.T) {
	for _, broken := range []bool{false, true} {
		inWorld(t, 2, func(w *World, hc *http.Client, _ *memnet.Net) {
			for _, s := range w.Services {
				s.UntilClose.Store(true)
				s.BreakNext.Store(broken)
			}
			for i := range 5 {
				got, err := w.clientOf(i%2, hc).Call(context.Background(), http.MethodPost, Service, "/cards", []byte("loss 7"), "key-7")
				require.NoError(t, err)
				if i == 0 {
					require.True(t, strings.HasPrefix("POST /cards loss 7", got.Text))
					continue
				}
				require.Equal(t, apierror.AlreadyRan, got.Kind, "kept: %q", got.Text)
			}
			require.Equal(t, 1, w.Fleet.Ledger.Calls("loss 7"))
		})
	}
}
