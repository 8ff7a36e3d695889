package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A preview decides like AdmitAll and does not start the trial that it announces.
func TestPreviewRecordsNothing(t *testing.T) {
	r := NewRegistry(DefaultPolicy)
	fps := []Fingerprint{77}
	for n := range 2 {
		r.RecordEndOfAll(fps, Server(n), Likely, after(time.Duration(n)*time.Second))
	}
	for _, at := range []time.Duration{2 * time.Second, time.Second + DefaultPolicy.TrialAfter, 2*time.Second + DefaultPolicy.TrialAfter} {
		entries, version := r.Since(0, 10)
		want := r.PreviewAll(fps, after(at), nil)
		require.Equal(t, want, r.PreviewAll(fps, after(at), nil))
		unchanged, same := r.Since(0, 10)
		require.Equal(t, entries, unchanged)
		require.Equal(t, version, same)
		require.Equal(t, want, r.AdmitAll(fps, after(at), nil), at)
	}
	require.True(t, r.PreviewAll(fps, after(2*time.Second), nil).Quarantined)
}
