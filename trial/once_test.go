package trial

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/network"
)

// A run of the scenario of `snowspoke try --once` in virtual time violates no guarantee.
func TestOnce(t *testing.T) {
	t.Run("plain", func(t *testing.T) { testOnce(t, 3, false) })
	t.Run("faults", func(t *testing.T) { testOnce(t, 8, true) })
}

func testOnce(t *testing.T, daemons int, faults bool) {
	virtual.Test(t, func(t *testing.T) {
		n := memnet.New()
		w, err := NewWorld(daemons, func(ip string) network.Network { return n.Host(ip) }, log.NewNopLogger())
		require.NoError(t, err)
		defer func() {
			w.Close()
			time.Sleep(time.Minute)
		}()
		r := RunMix(context.Background(), w, faults, func(string) {})
		require.Empty(t, r.Problems)
		require.True(t, r.OK(), r.String())
		if !faults {
			require.Zero(t, r.Refused, r.String())
		}
	})
}
