package readall

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAtMost(t *testing.T) {
	for text, want := range map[string]error{"": nil, "abcd": nil, "abcde": ErrTooLong} {
		got, err := AtMost(strings.NewReader(text), 4)
		require.ErrorIs(t, err, want)
		require.True(t, err != nil || string(got) == text)
	}
}
