package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
)

// Bounds on the requests that reach a backend server after it has announced a limit: from
// limitDelay after the announcement, at most limitFactor times the limit plus limitSlack
// in any limitWindow. Daemons must share the limit, since each decides alone.
const (
	limitWindow = 4 * time.Second
	limitDelay  = 3 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// maxArrivals returns the largest number of arrivals in a limitWindow that ends at or
// after from.
func maxArrivals(arrivals []standin.Arrival, from time.Time) int {
	maximum := 0
	for i, a := range arrivals {
		end := a.At
		if end.Before(from) {
			continue
		}
		first := slices.IndexFunc(arrivals, func(b standin.Arrival) bool { return b.At.After(end.Add(-limitWindow)) })
		maximum = max(maximum, i-first+1)
	}
	return maximum
}

func TestLimitOfABackendServerIsKeptByAllDaemons(t *testing.T) {
	t.Parallel()
	const rate, daemonCount, perSecond = 4.0, 3, 24
	env := newTestEnv(t)
	env.putConfig()
	heads, _ := env.pipeline(2, 1)
	daemons := make([]*testDaemon, daemonCount)
	for i := range daemons {
		daemons[i] = env.daemon(fmt.Sprint("daemon-", i+1), nil).ready(t, 3)
	}
	awaitFollowing(t, daemons[0], daemons[2])
	var wg sync.WaitGroup
	var announcedAt time.Time
	for n := range 9 * perSecond {
		if n == 2*perSecond {
			heads[0].SetLimit(fmt.Sprint(rate))
			announcedAt = time.Now()
		}
		wg.Go(func() {
			a := daemons[n%daemonCount].call(t, call{method: "POST", path: "/stream/", body: fmt.Sprint("b", n), id: fmt.Sprint("limited-", n)})
			assert.Equal(t, http.StatusOK, a.Status, "the other first hop has capacity for all")
		})
		time.Sleep(time.Second / perSecond)
	}
	wg.Wait()
	got := maxArrivals(heads[0].Arrivals(), announcedAt.Add(limitDelay))
	t.Logf("%d in four seconds", got)
	require.LessOrEqual(t, float64(got), limitFactor*rate*limitWindow.Seconds()+limitSlack)
	late := slices.DeleteFunc(heads[0].Arrivals(), func(a standin.Arrival) bool { return a.At.Before(announcedAt.Add(limitDelay)) })
	seconds := 7 - limitDelay.Seconds()
	require.GreaterOrEqual(t, float64(len(late)), 0.8*rate*seconds, "what the limit allows is used")
}
