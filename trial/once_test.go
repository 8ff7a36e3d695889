package trial

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/network"
)

// The same run as `snowspoke try --once`, in virtual time.
func TestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		w, err := NewWorld(3, func(ip string) network.Network { return n.Host(ip) }, log.NewNopLogger())
		require.NoError(t, err)
		defer w.Close()
		r := Once(context.Background(), w, func(string) {})
		require.Empty(t, r.Problems)
		require.True(t, r.OK(), r.String())
		require.Zero(t, r.Refused, r.String())
	})
}
