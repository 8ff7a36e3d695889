package quarantine

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func TestRecordRestoresQuarantine(t *testing.T) {
	now := time.UnixMilli(1_000_000_000_000)
	b := NewRegistry(DefaultPolicy)
	b.Ended(7, 1, Likely, now.Add(-3*time.Second))
	b.Ended(7, 2, Likely, now.Add(-2*time.Second))
	b.Ended(8, 1, Likely, now)
	held := b.Quarantined(now)
	require.Len(t, held, 1, "one end does not quarantine a request")
	data, err := EncodeRecord(held)
	require.NoError(t, err)
	entries, err := DecodeRecord(data, now)
	require.NoError(t, err)
	require.True(t, SameHeld(held, entries))
	again := NewRegistry(DefaultPolicy)
	again.Join(entries, now)
	require.True(t, again.Look(7, now).Held)
	require.False(t, again.Look(7, now.Add(DefaultPolicy.Keep)).Held, "the entry expires")
	again.Ended(7, 1, Likely, now.Add(-3*time.Second))
	require.Equal(t, 2, again.Look(7, now).Ends, "an end known to both counts once")
}

// Entries expire although the clock of the daemon that wrote the record was ahead by an
// hour.
func TestRecordWithFutureTimesExpires(t *testing.T) {
	now := time.UnixMilli(1_000_000_000_000)
	ahead := []Entry{{Fingerprint: 7, TriedAt: now.Add(time.Hour), Ends: []End{{Server: 1, Weight: Likely, At: now.Add(time.Hour)}, {Server: 2, Weight: Likely, At: now.Add(time.Hour)}}}}
	data, err := EncodeRecord(ahead)
	require.NoError(t, err)
	entries, err := DecodeRecord(data, now)
	require.NoError(t, err)
	b := NewRegistry(DefaultPolicy)
	b.Join(entries, now)
	require.True(t, b.Look(7, now).Held)
	require.False(t, b.Look(7, now.Add(DefaultPolicy.Keep)).Held)
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	many, err := cbor.Marshal(make([]recordEntry, MaxRecordEntries+1))
	require.NoError(t, err)
	weight, err := cbor.Marshal([]recordEntry{{Print: 1, Ends: []recordEnd{{Weight: 9}}}})
	require.NoError(t, err)
	for _, data := range [][]byte{nil, []byte("text"), many, weight} {
		_, err := DecodeRecord(data, time.Now())
		require.ErrorIs(t, err, ErrRecord)
	}
}
