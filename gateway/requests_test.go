package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
)

// newPlainEnv starts a daemon with two plain backend servers.
func newPlainEnv(t *testing.T) (*testDaemon, []*standin.Server) {
	env := newConfiguredEnv(t)
	servers := env.servers("plain", "", "plain-1", "plain-2")
	return env.daemon("daemon-1", nil).ready(t, 2), servers
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	d, servers := newPlainEnv(t)
	a := d.call(t, call{method: "POST", path: "/once/a%20b?x=1&y=%2F", body: "the body",
		header: map[string]string{"X-Own": "kept", "Snowspoke-Tenant": "forged", "Snowspoke-Hop-Count": "forged", "Connection": "close"}})
	require.NoError(t, a.Err)
	require.Equal(t, http.StatusOK, a.Status)
	require.Equal(t, 1, totalRuns(servers))
	run := append(servers[0].Runs(), servers[1].Runs()...)[0]
	require.Equal(t, "/once/a%20b?x=1&y=%2F", run.Target)
	require.Equal(t, "the body", run.Body)
	require.Equal(t, "workspace-1", run.Workspace)
	require.Equal(t, "kept", run.Header.Get("X-Own"))
	require.Empty(t, run.Header.Get("Authorization"))
	require.Empty(t, run.Path)
	require.LessOrEqual(t, run.Deadline, 1500, "the route allows less time than the caller")
	require.True(t, strings.HasSuffix(a.Body, "ran the body"))
	require.NotEmpty(t, a.Header.Get("Snowspoke-Server-Seal"))
}

func TestRefusalsBeforeSending(t *testing.T) {
	d, servers := newPlainEnv(t)
	for name, c := range map[string]struct {
		call   call
		status int
	}{
		"unknown key":   {call{method: "GET", path: "/plain/", key: "other"}, http.StatusUnauthorized},
		"unknown route": {call{method: "GET", path: "/else/"}, http.StatusNotFound},
		"body too long": {call{method: "POST", path: "/plain/", body: strings.Repeat("x", 1001)}, http.StatusRequestEntityTooLarge},
	} {
		require.Equal(t, c.status, d.call(t, c.call).Status, name)
	}
	require.Zero(t, totalRuns(servers))
}

func TestRequestsAreRefusedWithoutConfiguration(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	d := env.daemon("daemon-1", nil)
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/plain/"}).Status == http.StatusServiceUnavailable
	}, 2*time.Second, 10*time.Millisecond)
	resp, err := http.Get("http://" + d.ReadinessAddr() + "/ready")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
}

// Requests that arrive before a starting daemon has read the store wait instead of being
// refused.
func TestRequestsWaitForStartingDaemon(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	servers := env.servers("plain", "", "plain-1")
	d := env.daemon("daemon-1", nil)
	answer := make(chan int, 1)
	go func() { answer <- d.call(t, call{method: "GET", path: "/plain/"}).Status }()
	time.Sleep(200 * time.Millisecond)
	env.putConfig()
	require.Equal(t, http.StatusOK, <-answer)
	require.Equal(t, 1, totalRuns(servers))
}

func TestFaultsOfBackendServers(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		fault   standin.Fault
		status  int
		runs    int
		signed  bool
		refused bool
	}{
		"unsafe, connection reset after it ran":      {"/once/", standin.ResetAfter, http.StatusBadGateway, 1, false, false},
		"unsafe, answer broken off":                  {"/once/", standin.BreakOff, http.StatusBadGateway, 1, false, false},
		"unsafe, refused as not run":                 {"/once/", standin.NotRun, http.StatusServiceUnavailable, 0, false, true},
		"unsafe, refused without saying so":          {"/once/", standin.RefuseAmbiguous, http.StatusBadGateway, 1, false, false},
		"unsafe, success without a signature":        {"/once/", standin.Unsigned, http.StatusBadGateway, 1, false, false},
		"unsafe, its own failure":                    {"/once/", standin.Fail, http.StatusInternalServerError, 1, true, false},
		"unsafe, answer of another request first":    {"/once/", standin.Foreign, http.StatusOK, 1, true, false},
		"unsafe, answer of another request follows":  {"/once/", standin.Surplus, http.StatusOK, 1, true, false},
		"unsafe, a head without end":                 {"/once/", standin.EndlessHead, http.StatusBadGateway, 1, false, false},
		"unsafe, a body without end":                 {"/once/", standin.EndlessBody, http.StatusBadGateway, 1, false, false},
		"safe, a head without end":                   {"/plain/", standin.EndlessHead, http.StatusOK, 2, true, false},
		"safe, a body without end":                   {"/plain/", standin.EndlessBody, http.StatusOK, 2, true, false},
		"safe, connection reset after it ran":        {"/plain/", standin.ResetAfter, http.StatusOK, 2, true, false},
		"safe, answer broken off":                    {"/plain/", standin.BreakOff, http.StatusOK, 2, true, false},
		"safe, refused as not run":                   {"/plain/", standin.NotRun, http.StatusOK, 1, true, false},
		"safe, refused without saying so":            {"/plain/", standin.RefuseAmbiguous, http.StatusOK, 2, true, false},
		"safe, failed at the first backend server":   {"/plain/", standin.Fail, http.StatusOK, 2, true, false},
		"safe, success without a signature at first": {"/plain/", standin.Unsigned, http.StatusOK, 2, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			d, servers := newPlainEnv(t)
			// Both servers have the fault once, so a repeatable request hits it at each.
			servers[0].AddFaults(c.fault)
			servers[1].AddFaults(c.fault)
			a := d.call(t, call{method: "POST", path: c.path, body: "x"})
			if c.status == http.StatusOK && a.Status != http.StatusOK {
				require.GreaterOrEqual(t, a.Status, 500)
				a = d.call(t, call{method: "POST", path: c.path, body: "x", id: "req-2"})
			}
			require.NoError(t, a.Err)
			require.Equal(t, c.status, a.Status)
			require.Equal(t, c.signed, a.Header.Get("Snowspoke-Server-Seal") != "")
			require.Equal(t, c.refused, a.Header.Get("Retry-After") != "")
			if c.path == "/once/" {
				require.Equal(t, c.runs, totalRuns(servers))
			}
			if c.status == http.StatusOK {
				require.Contains(t, a.Body, "ran x")
			}
			// Surplus bytes of a response never reach the next request.
			b := d.call(t, call{method: "POST", path: "/once/", body: "y", id: "req-3"})
			if b.Status == http.StatusOK {
				require.Contains(t, b.Body, "ran y")
			}
		})
	}
}

func TestDeadBackendServerIsSkipped(t *testing.T) {
	d, servers := newPlainEnv(t)
	servers[0].Kill()
	for range 6 {
		a := d.call(t, call{method: "GET", path: "/plain/"})
		require.Equal(t, http.StatusOK, a.Status)
	}
	require.Equal(t, 6, len(servers[1].Runs()))
}

func TestDisconnectedCallerCancelsItsRequest(t *testing.T) {
	env := newConfiguredEnv(t)
	heads, _ := env.pipeline(1, 1)
	heads[0].Events, heads[0].EventGap = 1000, 5*time.Millisecond
	d := env.daemon("daemon-1", nil).ready(t, 2)
	ctx, disconnect := context.WithCancel(t.Context())
	go func() {
		awaitRun(heads)
		disconnect()
	}()
	a := d.call(t, call{method: "POST", path: "/stream/", ctx: ctx})
	require.Error(t, a.Err)
	require.Eventually(t, func() bool { return d.forward.InFlight() == 0 }, 500*time.Millisecond, 5*time.Millisecond)
}

func TestRouteTimeoutEndsStream(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.config["routes"].([]map[string]any)[2]["timeoutMs"] = 300
	env.putConfig()
	heads, _ := env.pipeline(1, 1)
	heads[0].Events, heads[0].EventGap = 1000, 10*time.Millisecond
	d := env.daemon("daemon-1", nil).ready(t, 2)
	began := time.Now()
	a := d.call(t, call{method: "POST", path: "/stream/"})
	require.Error(t, a.Err, "a stream that is cut must not look complete")
	require.Less(t, time.Since(began), 700*time.Millisecond)
}

func TestRequestWithoutTimeLeftIsAnswered(t *testing.T) {
	d, servers := newPlainEnv(t)
	a := d.call(t, call{method: "GET", path: "/plain/", header: map[string]string{"Snowspoke-Deadline-Ms": "5"}})
	require.NoError(t, a.Err, "an answer, not a closed connection")
	require.Equal(t, http.StatusGatewayTimeout, a.Status)
	require.Zero(t, totalRuns(servers))
}

// An answer to HEAD states the length of the answer to GET (RFC 9110, section 8.6).
func TestHeadAnswerStatesTheLengthOfGet(t *testing.T) {
	d, _ := newPlainEnv(t)
	get := d.call(t, call{method: http.MethodGet, path: "/plain/"})
	require.NoError(t, get.Err)
	head := d.call(t, call{method: http.MethodHead, path: "/plain/"})
	require.NoError(t, head.Err)
	require.Equal(t, http.StatusOK, head.Status)
	require.Empty(t, head.Body)
	require.Equal(t, strconv.Itoa(len(get.Body)), head.Header.Get("Content-Length"))
}
