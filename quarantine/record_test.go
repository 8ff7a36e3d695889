package quarantine

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func TestRecordRestoresQuarantine(t *testing.T) {
	now := time.UnixMilli(1_000_000_000_000)
	r := NewRegistry(DefaultPolicy)
	r.RecordEnd(7, 1, Likely, now.Add(-3*time.Second))
	r.RecordEnd(7, 2, Likely, now.Add(-2*time.Second))
	r.RecordEnd(8, 1, Likely, now)
	held := r.Quarantined(now)
	require.Len(t, held, 1, "one end does not quarantine a request")
	data, err := EncodeRecord(held)
	require.NoError(t, err)
	entries, err := DecodeRecord(data, now)
	require.NoError(t, err)
	require.True(t, SameQuarantined(held, entries))
	restored := NewRegistry(DefaultPolicy)
	restored.Merge(entries, now)
	require.True(t, restored.Check(7, now).Quarantined)
	require.False(t, restored.Check(7, now.Add(DefaultPolicy.Keep)).Quarantined, "the entry expires")
	restored.RecordEnd(7, 1, Likely, now.Add(-3*time.Second))
	require.Equal(t, 2, restored.Check(7, now).Ends, "an end that is in the record counts once")
}

// Entries expire even if the clock of the daemon that wrote the record was an hour ahead.
func TestRecordWithFutureTimesExpires(t *testing.T) {
	now := time.UnixMilli(1_000_000_000_000)
	ahead := []Entry{{Fingerprint: 7, TriedAt: now.Add(time.Hour), Ends: []End{{Server: 1, Weight: Likely, At: now.Add(time.Hour)}, {Server: 2, Weight: Likely, At: now.Add(time.Hour)}}}}
	data, err := EncodeRecord(ahead)
	require.NoError(t, err)
	entries, err := DecodeRecord(data, now)
	require.NoError(t, err)
	r := NewRegistry(DefaultPolicy)
	r.Merge(entries, now)
	require.True(t, r.Check(7, now).Quarantined)
	require.False(t, r.Check(7, now.Add(DefaultPolicy.Keep)).Quarantined)
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	many, err := cbor.Marshal(make([]recordEntry, MaxRecordEntries+1))
	require.NoError(t, err)
	weight, err := cbor.Marshal([]recordEntry{{FP: 1, Ends: []recordEnd{{Weight: 9}}}})
	require.NoError(t, err)
	for _, data := range [][]byte{nil, []byte("text"), many, weight} {
		_, err := DecodeRecord(data, time.Now())
		require.ErrorIs(t, err, ErrRecord)
	}
}
