package relay

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.Custom(func(t *rapid.T) []byte {
			parts := rapid.SliceOfN(rapid.SampledFrom([]string{"{a}", "{b}", "{cc}", "x", "}", "{long entry of a list},"}), 0, 30).Draw(t, "parts")
			return bytes.Join(func() (out [][]byte) {
				for _, p := range parts {
					out = append(out, []byte(p))
				}
				return out
			}(), nil)
		})
		base, next, other := text.Draw(t, "base"), text.Draw(t, "next"), text.Draw(t, "other")
		d := newDelta(base, next)
		got, err := d.apply(base)
		require.NoError(t, err)
		require.True(t, bytes.Equal(next, got))
		if got, err := d.apply(other); err == nil {
			require.True(t, bytes.Equal(next, got), "applied to another base it fails or has the same result")
		}
	})
}

func TestDeltaOfOneEntryIsShort(t *testing.T) {
	entry := bytes.Repeat([]byte(`{"name":"some route","path":"/x"},`), 1000)
	next := append(append([]byte(`{"version":2,"routes":[{"name":"new"},`), entry...), ']', '}')
	base := append(append([]byte(`{"version":1,"routes":[`), entry...), ']', '}')
	require.Less(t, newDelta(base, next).size(), 24_000/100)
}

func TestInvalidDeltaIsRejected(t *testing.T) {
	_, err := (&delta{Parts: []deltaPart{{From: 4_000_000_000, Len: 4_000_000_000}}}).apply([]byte("base"))
	require.ErrorIs(t, err, errDeltaMismatch)
	_, err = (&delta{Parts: []deltaPart{{From: 0, Len: 4}}}).apply([]byte("base"))
	require.ErrorIs(t, err, errDeltaMismatch)
}
