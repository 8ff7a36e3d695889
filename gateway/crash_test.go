package gateway

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/quarantine"
)

// crashing is the body of a request that crashes the backend servers that run it. Its
// caller retries it under new IDs at all daemons, so it is recognized by its fingerprint.
const crashing = "crashes what runs it"

// A request that has crashed three backend servers may reach at most maxLateArrivals others
// later than reportDelay, which is the time for the daemons to report the crashes.
const (
	reportDelay     = time.Second
	maxLateArrivals = 3
)

func TestCrashingRequestIsQuarantined(t *testing.T) { testQuarantine(t, false) }

// A backend server that starts again at once accepts connections.
func TestRequestThatRestartsServersIsQuarantined(t *testing.T) { testQuarantine(t, true) }

// testQuarantine sends a crashing request at all daemons, one after the other. restarts is set
// if crashed backend servers start again at once.
func testQuarantine(t *testing.T, restarts bool) {
	env := newConfiguredEnv(t)
	heads, _ := env.pipeline(20, 2)
	for _, h := range heads {
		h.Restarts = restarts
		h.CrashOn(crashing)
	}
	daemons := make([]*testDaemon, 3)
	for i := range daemons {
		daemons[i] = env.daemon(fmt.Sprint("daemon-", i+1), nil).ready(t, 22)
	}
	awaitFollowing(t, daemons[0], daemons[2])

	unrelated := callUnrelated(t, daemons, 40)
	for n := range 16 {
		a := daemons[n%len(daemons)].call(t, call{method: "POST", path: "/stream/", body: crashing, id: fmt.Sprint("visit-", n)})
		assert.NotEqual(t, http.StatusOK, a.Status)
		time.Sleep(200 * time.Millisecond)
	}
	unrelated.Wait()
	arrivals := runsOf(heads, crashing)
	require.GreaterOrEqual(t, len(arrivals), 2, "one crash is no evidence")
	checkArrivals(t, arrivals, reportDelay)
}

// checkArrivals checks when a request that crashes backend servers reached them. Arrivals later than
// bound after the third are late.
func checkArrivals(t *testing.T, arrivals []time.Time, bound time.Duration) {
	t.Helper()
	late := 0
	for _, at := range arrivals[min(3, len(arrivals)):] {
		if at.Sub(arrivals[2]) > bound {
			late++
		}
	}
	t.Logf("%d arrivals, %d of them late", len(arrivals), late)
	assert.LessOrEqual(t, late, maxLateArrivals, "late arrivals, of %d", len(arrivals))
	assert.LessOrEqual(t, len(arrivals), 3+maxLateArrivals, "crashed backend servers")
}

// runsOf returns when a request with this body reached backend servers, in order.
func runsOf(servers []*standin.Server, body string) []time.Time {
	return runsWhere(servers, func(r standin.Run) bool { return r.Body == body })
}

// runsWhere returns when matching requests reached backend servers, in order.
func runsWhere(servers []*standin.Server, match func(standin.Run) bool) []time.Time {
	var at []time.Time
	for _, s := range servers {
		for _, r := range s.Runs() {
			if match(r) {
				at = append(at, r.At)
			}
		}
	}
	slices.SortFunc(at, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
	return at
}

// callUnrelated starts streams at all daemons while other requests crash backend servers.
// Each stream must be complete, as it resumes elsewhere when its backend server ends.
func callUnrelated(t *testing.T, daemons []*testDaemon, streams int) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := range streams {
			wg.Go(func() {
				a := daemons[n%len(daemons)].call(t, call{method: "POST", path: "/stream/", body: fmt.Sprint("innocent ", n), id: fmt.Sprint("innocent-", n)})
				assert.Equal(t, http.StatusOK, a.Status, "unrelated stream %d", n)
				assert.NoError(t, a.Err, "unrelated stream %d", n)
				assert.Equal(t, events(1, 5), a.Body, "unrelated stream %d", n)
			})
			time.Sleep(80 * time.Millisecond)
		}
	})
	return &wg
}

// Operators can list the quarantined requests, and lift a quarantine from the VM itself.
func TestOperatorsListAndLiftQuarantine(t *testing.T) {
	env := newConfiguredEnv(t)
	env.servers("plain", "", "plain-1")
	d := env.daemon("daemon-1", nil).ready(t, 1)
	for s := range quarantine.Server(2) {
		d.quarantine.RecordEnd(7, s, quarantine.Likely, time.Now())
	}
	srv := httptest.NewServer(adminHandler(http.NotFoundHandler(), d.Gateway))
	t.Cleanup(srv.Close)
	list := func() (quarantined []QuarantinedRequest) {
		resp, err := http.Get(srv.URL + QuarantinePath)
		require.NoError(t, err)
		defer resp.Body.Close()
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&quarantined))
		return quarantined
	}
	lift := func(fingerprint string) int {
		req, err := http.NewRequest(http.MethodDelete, srv.URL+QuarantinePath+"/"+fingerprint, nil)
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	quarantined := list()
	require.Len(t, quarantined, 1)
	require.Equal(t, quarantine.Fingerprint(7).String(), quarantined[0].Fingerprint)
	require.Equal(t, 2, quarantined[0].Ends)
	require.Equal(t, http.StatusBadRequest, lift("seven"))
	require.Equal(t, http.StatusNotFound, lift("8"))
	require.Equal(t, http.StatusNoContent, lift(quarantined[0].Fingerprint))
	require.Empty(t, list())
	require.False(t, fromThisVM(&http.Request{RemoteAddr: "10.0.0.9:1"}))
}
