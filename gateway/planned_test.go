package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

func TestDrainingBackendServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.putConfig()
	servers := w.servers("plain", "", "plain-1", "plain-2")
	d := w.daemon("daemon-1", nil).ready(t, 2)
	record := servers[0].Record("plain", "domain-1", "")
	record["state"] = "draining"
	w.store.Set("servers", "plain-1", record)
	require.Eventually(t, func() bool { return d.inv.View().Servers["plain-1"].Draining }, 2*time.Second, 10*time.Millisecond)
	for range 8 {
		require.Equal(t, http.StatusOK, d.call(t, call{method: "GET", path: "/plain/"}).Status)
	}
	require.Empty(t, servers[0].Runs())
	w.store.Remove("servers", "plain-2")
	require.Eventually(t, func() bool { return d.inv.View().Servers["plain-2"] == nil }, 2*time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, d.call(t, call{method: "GET", path: "/plain/"}).Status)
}

func TestConfigurationIsInForceSoonAndStays(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.putConfig()
	w.servers("plain", "", "plain-1")
	d := w.daemon("daemon-1", nil).ready(t, 1)
	routes := w.config["routes"].([]map[string]any)
	w.config["routes"] = append(routes, route("added", "/added/", "safe", 1))
	w.putConfig()
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/added/"}).Status == http.StatusOK
	}, time.Second, 10*time.Millisecond)
	w.store.Compact()
	w.config["routes"] = routes
	w.putConfig()
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/added/"}).Status == http.StatusNotFound
	}, 2*time.Second, 10*time.Millisecond)
}

func TestKeysFailClosedWithoutTheStore(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.putConfig()
	servers := w.servers("plain", "", "plain-1")
	d := w.daemon("daemon-1", func(s *site.Settings) { s.RevokeWithin = 2500 * time.Millisecond }).ready(t, 1)
	w.store.SetTrouble(standin.Silent)
	silent := time.Now()
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/plain/"}).Status == http.StatusServiceUnavailable
	}, 4*time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(silent), 2600*time.Millisecond)
	ran := totalRuns(servers)
	require.Equal(t, http.StatusServiceUnavailable, d.call(t, call{method: "GET", path: "/plain/"}).Status)
	require.Equal(t, ran, totalRuns(servers))
	w.store.SetTrouble(standin.Sound)
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/plain/"}).Status == http.StatusOK
	}, 4*time.Second, 20*time.Millisecond)
}

func TestRecordsThatLapsedInAnOutageComeBackOrGo(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.putConfig()
	servers := w.servers("plain", "", "plain-1", "plain-2")
	d := w.daemon("daemon-1", nil).ready(t, 2)
	w.store.SetTrouble(standin.Refusing)
	require.Eventually(t, func() bool { return d.inv.Heard().IsZero() }, 3*time.Second, time.Millisecond, "the daemon has lost the store")
	w.store.Remove("servers", "plain-1")
	w.store.Remove("servers", "plain-2")
	time.Sleep(300 * time.Millisecond)
	w.store.SetTrouble(standin.Sound)
	time.Sleep(700 * time.Millisecond)
	require.Len(t, d.inv.View().Servers, 2, "kept for a moment")
	w.store.Set("servers", "plain-2", servers[1].Record("plain", "domain-1", ""))
	require.Eventually(t, func() bool { return len(d.inv.View().Servers) == 1 }, 3*time.Second, 10*time.Millisecond)
	require.NotNil(t, d.inv.View().Servers["plain-2"])
}

func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.putConfig()
	heads, _ := w.pipeline(1, 1)
	heads[0].Events, heads[0].EveryGap = 100, 20*time.Millisecond
	d := w.daemon("daemon-1", nil).ready(t, 2)
	streams := make(chan answer, 3)
	for range 2 {
		go func() { streams <- d.call(t, call{method: "POST", path: "/stream/"}) }()
	}
	for totalRuns(heads) < 2 {
		time.Sleep(time.Millisecond)
	}
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	began := time.Now()
	d.stop()
	time.Sleep(100 * time.Millisecond)
	resp, err := http.Get("http://" + d.ReadinessAddr() + "/ready")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "readiness goes down first")
	// The balancer goes on for a while: what comes is served.
	go func() { streams <- d.call(t, call{method: "POST", path: "/stream/", client: kept}) }()
	for range 3 {
		a := <-streams
		require.NoError(t, a.Err)
		require.Equal(t, events(1, 100), a.Body)
	}
	require.NoError(t, <-d.done)
	require.Less(t, time.Since(began), d.set.Grace)
}

func TestChangedSettingsAreApplied(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.putConfig()
	w.servers("plain", "", "plain-1")
	d := w.daemon("daemon-1", nil).ready(t, 1)
	d.forward.SetBounds(0.1, 10, time.Nanosecond)
	require.Equal(t, http.StatusServiceUnavailable, d.call(t, call{method: "GET", path: "/plain/"}).Status)
	d.forward.SetBounds(0.1, 10, time.Hour)
	require.Equal(t, http.StatusOK, d.call(t, call{method: "GET", path: "/plain/"}).Status)
}

func TestFollowersDoNotCallTheStore(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.putConfig()
	w.servers("plain", "", "plain-1")
	first := w.daemon("daemon-1", nil).ready(t, 1)
	second := w.daemon("daemon-2", nil).ready(t, 1)
	require.Eventually(t, func() bool { return first.relay.Reading() && !second.relay.Reading() }, 6*time.Second, 20*time.Millisecond)
	w.putConfig()
	require.Eventually(t, func() bool {
		return second.inv.View().Config.Version == uint64(w.version)
	}, time.Second, 5*time.Millisecond)
	require.Equal(t, http.StatusOK, second.call(t, call{method: "GET", path: "/plain/"}).Status)
	// When its source dies the follower goes to the store at once.
	first.Kill()
	w.putConfig()
	require.Eventually(t, func() bool {
		return second.inv.View().Config.Version == uint64(w.version)
	}, 2*time.Second, 5*time.Millisecond)
}
