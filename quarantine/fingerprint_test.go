package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFingerprintDistinguishesParts(t *testing.T) {
	of := func(parts ...string) Fingerprint {
		var b [][]byte
		for _, p := range parts {
			b = append(b, []byte(p))
		}
		return FingerprintOf(b...)
	}
	require.Equal(t, of("POST", "/a", "body"), of("POST", "/a", "body"))
	require.NotEqual(t, of("POST", "/a", "body"), of("POST", "/a", "Body"))
	require.NotEqual(t, of("POST", "/ab", ""), of("POST", "/a", "b"), "part boundaries matter")
	require.NotEqual(t, of("a", "b"), of("b", "a"))
}
