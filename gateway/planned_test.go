package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/sitetrial"
	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

func TestDrainingBackendServerGetsNoNewWork(t *testing.T) {
	env := newConfiguredEnv(t)
	servers := env.servers("plain", "", "plain-1", "plain-2")
	d := env.daemon("daemon-1", nil).ready(t, 2)
	record := servers[0].Record("plain", "domain-1", "")
	record["state"] = "draining"
	env.store.Set("servers", "plain-1", record)
	require.Eventually(t, func() bool { return d.inv.View().Servers["plain-1"].Draining }, 2*time.Second, 10*time.Millisecond)
	for range 8 {
		require.Equal(t, http.StatusOK, d.call(t, call{method: "GET", path: "/plain/"}).Status)
	}
	require.Empty(t, servers[0].Runs())
	env.store.Remove("servers", "plain-2")
	require.Eventually(t, func() bool { return d.inv.View().Servers["plain-2"] == nil }, 2*time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, d.call(t, call{method: "GET", path: "/plain/"}).Status)
}

func TestConfigurationChangesAreAppliedSoon(t *testing.T) {
	env := newConfiguredEnv(t)
	env.servers("plain", "", "plain-1")
	d := env.daemon("daemon-1", nil).ready(t, 1)
	routes := env.config["routes"].([]map[string]any)
	env.config["routes"] = append(routes, route("added", "/added/", "safe", 1))
	env.putConfig()
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/added/"}).Status == http.StatusOK
	}, time.Second, 10*time.Millisecond)
	env.store.Compact()
	env.config["routes"] = routes
	env.putConfig()
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/added/"}).Status == http.StatusNotFound
	}, 2*time.Second, 10*time.Millisecond)
}

func TestKeysFailClosedWithoutTheStore(t *testing.T) {
	env := newConfiguredEnv(t)
	servers := env.servers("plain", "", "plain-1")
	d := env.daemon("daemon-1", func(s *site.Settings) { s.MaxRevocationDelay = 2500 * time.Millisecond }).ready(t, 1)
	env.store.SetMode(standin.Silent)
	silent := time.Now()
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/plain/"}).Status == http.StatusServiceUnavailable
	}, 4*time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(silent), 2600*time.Millisecond)
	ran := totalRuns(servers)
	require.Equal(t, http.StatusServiceUnavailable, d.call(t, call{method: "GET", path: "/plain/"}).Status)
	require.Equal(t, ran, totalRuns(servers))
	env.store.SetMode(standin.Healthy)
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/plain/"}).Status == http.StatusOK
	}, 4*time.Second, 20*time.Millisecond)
}

func TestRecordsLostInAnOutageAreDroppedUnlessRewritten(t *testing.T) {
	env := newConfiguredEnv(t)
	servers := env.servers("plain", "", "plain-1", "plain-2")
	d := env.daemon("daemon-1", nil).ready(t, 2)
	env.store.SetMode(standin.Refusing)
	require.Eventually(t, func() bool { return d.inv.LastContact().IsZero() }, 3*time.Second, time.Millisecond, "the daemon has lost the store")
	env.store.Remove("servers", "plain-1")
	env.store.Remove("servers", "plain-2")
	time.Sleep(300 * time.Millisecond)
	env.store.SetMode(standin.Healthy)
	time.Sleep(700 * time.Millisecond)
	require.Len(t, d.inv.View().Servers, 2, "kept for MissingGrace")
	env.store.Set("servers", "plain-2", servers[1].Record("plain", "domain-1", ""))
	require.Eventually(t, func() bool { return len(d.inv.View().Servers) == 1 }, 3*time.Second, 10*time.Millisecond)
	require.NotNil(t, d.inv.View().Servers["plain-2"])
}

func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	env := newConfiguredEnv(t)
	heads, _ := env.pipeline(1, 1)
	heads[0].Events, heads[0].EventGap = 100, 20*time.Millisecond
	d := env.daemon("daemon-1", nil).ready(t, 2)
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
	// The load balancer still sends requests, which are served.
	go func() { streams <- d.call(t, call{method: "POST", path: "/stream/", client: kept}) }()
	for range 3 {
		a := <-streams
		require.NoError(t, a.Err)
		require.Equal(t, events(1, 100), a.Body)
	}
	require.NoError(t, <-d.done)
	require.Less(t, time.Since(began), d.set.Grace)
}

// Guards against a request that is passed on late in the grace of a planned stop, since its body took until
// then, and is cut off at the end of the grace: an unsafe request would be lost.
func TestRequestWithALateBodyIsRefusedByAPlannedStop(t *testing.T) {
	env := newConfiguredEnv(t)
	for _, r := range env.config["routes"].([]map[string]any) {
		r["timeoutMs"] = 20_000
	}
	env.putConfig()
	servers := env.servers("plain", "", "plain-1")
	servers[0].PlainGap = 6 * time.Second
	d := env.daemon("daemon-1", nil).ready(t, 1)
	c := d.dial(t)
	require.NoError(t, c.SetDeadline(time.Now().Add(d.set.Grace+5*time.Second)))
	request := strings.Replace(head("POST", "/once/", "late", "Content-Length: 4"), "Deadline-Ms: 3000", "Deadline-Ms: 20000", 1)
	_, err := io.WriteString(c, request+"bo")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	d.stop()
	time.Sleep(balancerDelay + 300*time.Millisecond)
	_, err = io.WriteString(c, "dy")
	require.NoError(t, err)
	status, _ := c.answer(t)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NoError(t, <-d.done)
	require.Zero(t, totalRuns(servers), "the refusal promises that it did not run")
}

// A request that arrived together with the one before it is not taken for an idle connection, neither
// by a planned stop nor by the bound on idle connections.
func TestPipelinedRequestIsNotCutOffAsIdle(t *testing.T) {
	for name, stops := range map[string]bool{"planned stop": true, "idle timeout": false} {
		t.Run(name, func(t *testing.T) {
			env := newConfiguredEnv(t)
			if !stops {
				env.config["limits"] = map[string]any{"maxBodyBytes": 1000, "idleTimeoutMs": 500}
				env.putConfig()
			}
			env.servers("plain", "", "plain-1")
			heads, _ := env.pipeline(1, 1)
			heads[0].Events, heads[0].EventGap = 200, 20*time.Millisecond
			d := env.daemon("daemon-1", nil).ready(t, 3)
			c, err := net.Dial("tcp", d.CallersAddr())
			require.NoError(t, err)
			defer c.Close()
			const head = " HTTP/1.1\r\nHost: " + sitetrial.Host + "\r\nAuthorization: Bearer " + sitetrial.Key + "\r\nSnowspoke-Request-Id: "
			_, err = io.WriteString(c, "GET /plain/"+head+"first\r\n\r\nPOST /stream/"+head+"second\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			r := bufio.NewReader(c)
			read := func(method string) string {
				resp, err := http.ReadResponse(r, &http.Request{Method: method})
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				return string(body)
			}
			require.Contains(t, read(http.MethodGet), "plain-1 ran")
			awaitRun(heads)
			if stops {
				d.stop()
			}
			require.Equal(t, events(1, 200), read(http.MethodPost))
		})
	}
}

func TestChangedSettingsAreApplied(t *testing.T) {
	env := newConfiguredEnv(t)
	env.servers("plain", "", "plain-1")
	d := env.daemon("daemon-1", nil).ready(t, 1)
	d.forward.SetBounds(0.1, 10, time.Nanosecond)
	require.Equal(t, http.StatusServiceUnavailable, d.call(t, call{method: "GET", path: "/plain/"}).Status)
	d.forward.SetBounds(0.1, 10, time.Hour)
	require.Equal(t, http.StatusOK, d.call(t, call{method: "GET", path: "/plain/"}).Status)
}

func TestFollowersDoNotCallTheStore(t *testing.T) {
	env := newConfiguredEnv(t)
	env.servers("plain", "", "plain-1")
	first := env.daemon("daemon-1", nil).ready(t, 1)
	second := env.daemon("daemon-2", nil).ready(t, 1)
	require.Eventually(t, func() bool { return first.relay.FollowsStore() && !second.relay.FollowsStore() }, 6*time.Second, 20*time.Millisecond)
	env.putConfig()
	require.Eventually(t, func() bool {
		return second.inv.View().Config.Version == uint64(env.version)
	}, time.Second, 5*time.Millisecond)
	require.Equal(t, http.StatusOK, second.call(t, call{method: "GET", path: "/plain/"}).Status)
	// When its source dies the follower reads the store at once.
	first.Kill()
	env.putConfig()
	require.Eventually(t, func() bool {
		return second.inv.View().Config.Version == uint64(env.version)
	}, 2*time.Second, 5*time.Millisecond)
}
