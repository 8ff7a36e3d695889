package forward

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// While all streams of a daemon are checked at the same moment, the cost of a check does not grow
// with the number of streams.
func TestSilentStreamsAreCheckedCheaply(t *testing.T) {
	few, many := shortestCheck(t, 3), shortestCheck(t, 300)
	require.Less(t, many, 10*few, "time of a check with 300 streams and with 3")
}

// shortestCheck returns the mean time of a check of a silent stream among others that had events,
// the shortest of several runs.
func shortestCheck(t *testing.T, streams int) time.Duration {
	const hops, checks, runs = 16, 300, 5
	f := newLab(1).forward[0]
	var path site.Path
	for i := range hops {
		path = append(path, site.Hop{Server: &site.BackendServer{ID: fmt.Sprint("s", i)}})
	}
	for range streams {
		r := &run{f: f}
		r.headSent.Store(true)
		f.live.add(&stream{r: r, path: path, silentSince: time.Now().Add(time.Hour)})
	}
	shortest := time.Duration(math.MaxInt64)
	for range runs {
		began := time.Now()
		for range checks {
			require.False(t, f.probePath(context.Background(), path), "all hops are active")
		}
		shortest = min(shortest, time.Since(began)/checks)
	}
	return shortest
}
