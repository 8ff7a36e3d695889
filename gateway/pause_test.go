package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
)

// Bounds on the requests of one daemon to a backend server that has refused it with a
// Retry-After: from pauseDelay after the refusal to the end of that time, at most
// maxCallsInPause.
const (
	pauseDelay      = 500 * time.Millisecond
	maxCallsInPause = 2
)

// callsInPause returns the largest number of arrivals within the pause after a refusal.
// All arrivals are of one daemon.
func callsInPause(arrivals []standin.Arrival) int {
	largest := 0
	for i, refused := range arrivals {
		if refused.RetryAfter == "" {
			continue
		}
		pause, err := time.ParseDuration(refused.RetryAfter + "s")
		if err != nil {
			continue
		}
		n := 0
		for _, a := range arrivals[i+1:] {
			if a.At.After(refused.At.Add(pauseDelay)) && a.At.Before(refused.At.Add(pause)) {
				n++
			}
		}
		largest = max(largest, n)
	}
	return largest
}

// startThree starts, by the path of a route, three backend servers that may get its
// requests.
var startThree = map[string]func(env *testEnv) []*standin.Server{
	"/plain/": func(env *testEnv) []*standin.Server { return env.servers("plain", "", "plain-1", "plain-2", "plain-3") },
	"/once/":  func(env *testEnv) []*standin.Server { return env.servers("plain", "", "plain-1", "plain-2", "plain-3") },
	"/stream/": func(env *testEnv) []*standin.Server {
		heads, _ := env.pipeline(3, 1)
		return heads
	},
}

// forEachRoute runs a test for each path of startThree. post sends a request and returns
// its status.
func forEachRoute(t *testing.T, test func(t *testing.T, path string, servers []*standin.Server, post func(n int) int)) {
	for path, start := range startThree {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.putConfig()
			servers := start(env)
			d := env.daemon("daemon-1", nil).ready(t, len(servers))
			test(t, path, servers, func(n int) int {
				return d.call(t, call{method: "POST", path: path, body: fmt.Sprint("b", n), id: fmt.Sprint("r-", n)}).Status
			})
		})
	}
}

func TestNoRequestsWithinRetryAfterOfARefusal(t *testing.T) {
	const length, interval = 4 * time.Second, 25 * time.Millisecond
	forEachRoute(t, func(t *testing.T, path string, servers []*standin.Server, post func(n int) int) {
		servers[0].Refuse("3")
		var wg sync.WaitGroup
		for n := range int(length / interval) {
			wg.Go(func() {
				status := post(n)
				if path != "/once/" { // one attempt, which the refusal may use up
					assert.Equal(t, http.StatusOK, status, "two others have capacity for all")
				}
			})
			time.Sleep(interval)
		}
		wg.Wait()
		require.NotEmpty(t, servers[0].Arrivals(), "it was asked")
		require.LessOrEqual(t, callsInPause(servers[0].Arrivals()), maxCallsInPause)
	})
}

// The record of a backend server that leaves may still call it ready. Its first answer, to a
// request or a report, says that it leaves.
func TestNoRequestsAfterAnAnswerThatStatesLeaving(t *testing.T) {
	const requests, interval = 80, 10 * time.Millisecond
	forEachRoute(t, func(t *testing.T, _ string, servers []*standin.Server, post func(n int) int) {
		servers[0].Leave()
		for n := range requests {
			require.Equal(t, http.StatusOK, post(n))
			time.Sleep(interval)
		}
		require.NotEmpty(t, servers[0].Arrivals())
		require.LessOrEqual(t, len(servers[0].Runs()), 1)
		require.Positive(t, totalRuns(servers[1:]))
	})
}
