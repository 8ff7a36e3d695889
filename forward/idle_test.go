package forward

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// The idle connections of all daemons and the connections in use stay within the number
// that a backend server accepts, except that each daemon may always keep one.
func TestIdleShare(t *testing.T) {
	for _, c := range []struct{ maxConns, slots, daemons, most int }{
		{1138, 192, 8, MaxIdle}, {1138, 192, 73, 12}, {1138, 192, 300, 3}, {110, 6, 8, 13}, {110, 6, 300, 1}, {100, 192, 8, 1}, {0, 192, 300, MaxIdle}, {1138, 192, 0, MaxIdle},
	} {
		require.Equal(t, c.most, idleShare(c.maxConns, c.slots, c.daemons), "%+v", c)
	}
}

// Each send states the maximum number of idle connections.
func TestOutgoingBoundsIdleConnections(t *testing.T) {
	f := plainForwarder(3, &scriptedBackends{})
	r := &run{f: f, req: plainRequest(site.Safe), maxConns: 20}
	dest := &target{path: site.Path{{Server: f.inv.View().Servers["b0"]}}}
	require.Equal(t, 16, r.outgoing(dest, 0).MaxIdle)
}
