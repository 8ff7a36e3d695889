package forward

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// The idle connections of all daemons and those in use stay within what a backend server
// accepts, except for the one that each daemon may keep.
func TestIdleShare(t *testing.T) {
	for _, c := range []struct{ takes, slots, daemons, most int }{
		{1138, 192, 8, MaxIdle}, {1138, 192, 73, 12}, {1138, 192, 300, 3}, {110, 6, 8, 13}, {110, 6, 300, 1}, {100, 192, 8, 1}, {0, 192, 300, MaxIdle}, {1138, 192, 0, MaxIdle},
	} {
		require.Equal(t, c.most, idleShare(c.takes, c.slots, c.daemons), "%+v", c)
	}
}

// A send carries the bound on idle connections.
func TestOutgoingBoundsIdleConnections(t *testing.T) {
	f := plainForwarder(3, &scriptedBackends{})
	r := &run{f: f, req: plainRequest(site.Safe), maxConns: 20}
	to := &target{path: site.Path{{Server: f.inv.View().Servers["b0"]}}}
	require.Equal(t, 16, r.outgoing(to, 0).MaxIdle)
}
