package gateway

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
)

var allEndings = flag.Bool("all-endings", false, "play all orders in which processes end, not a sample")

// sampledEndings returns the orders that are played by default.
func sampledEndings() []standin.Ending {
	all := standin.Endings()
	if *allEndings {
		return all
	}
	var sample []standin.Ending
	for _, e := range all {
		switch e.Name {
		case "reset, listener 2ms later", "reset, listener 150ms later", "restarts after 40 ms", "silent for 400 ms", "dark":
			sample = append(sample, e)
		}
	}
	return sample
}

// Times of the runs with slowly ending backend servers.
const (
	visits        = 18
	visitInterval = 350 * time.Millisecond
	contactBound  = 3 * time.Second // after which daemons must act on the third crash
)

// A request whose backend servers close their connections before their listeners, or fall silent,
// stops reaching them.
func TestCrashingRequestsAreQuarantinedInAnyOrderOfEnd(t *testing.T) {
	for _, e := range sampledEndings() {
		for _, noHead := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/head=%t", e.Name, !noHead), func(t *testing.T) {
				t.Parallel()
				testEnding(t, e, noHead, 0)
			})
		}
	}
}

// A request that crashes its backend server late, but before the first event, is no other case, also
// if the daemon has given the backend server up for its silence by then.
func TestRequestsThatCrashLateAreQuarantined(t *testing.T) {
	for _, delay := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 1350 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			testEnding(t, standin.Endings()[0], false, delay)
		})
	}
}

// testEnding sends a crashing request at all daemons beside sound ones.
func testEnding(t *testing.T, e standin.Ending, noHead bool, delay time.Duration) {
	env := newTestEnv(t)
	env.putConfig()
	heads, _ := env.pipeline(20, 2)
	for _, h := range heads {
		h.Crash, h.NoHead, h.CrashDelay = &e, noHead, delay
		h.OnCrash = func() { time.AfterFunc(time.Second, func() { env.store.Remove("servers", h.ID) }) }
		h.CrashOn(crashing)
	}
	daemons := make([]*testDaemon, 3)
	for i := range daemons {
		daemons[i] = env.daemon(fmt.Sprint("daemon-", i+1), nil).ready(t, 22)
	}
	awaitFollowing(t, daemons[0], daemons[2])
	unrelated := callUnrelated(t, daemons, 40)
	for n := range visits {
		daemons[n%len(daemons)].call(t, call{method: "POST", path: "/stream/", body: crashing, id: fmt.Sprint("visit-", n)})
		time.Sleep(visitInterval)
	}
	unrelated.Wait()
	arrivals := runsOf(heads, crashing)
	require.GreaterOrEqual(t, len(arrivals), 2, "one crash is no evidence")
	checkArrivals(t, arrivals, contactBound)
}
