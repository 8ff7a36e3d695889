package gateway

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/internal/syncbuffer"
	"github.com/snowspoke/snowspoke/platform/sitetrial"
	"github.com/snowspoke/snowspoke/platform/standin"
)

// message returns a request of a caller in the form of HTTP/1.1.
func message(method, path, key, body string, header map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s:443\r\n", method, path, sitetrial.Host)
	if key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", key)
	}
	for _, k := range slices.Sorted(maps.Keys(header)) {
		fmt.Fprintf(&b, "%s: %s\r\n", k, header[k])
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return b.String() + "\r\n" + body
}

// explain asks a daemon about a request, as from an address.
func (d *testDaemon) explain(from, message string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, ExplainPath, strings.NewReader(message))
	req.Header.Set("Content-Type", RequestContentType)
	req.RemoteAddr = from
	w := httptest.NewRecorder()
	adminHandler(http.NotFoundHandler(), d.Gateway).ServeHTTP(w, req)
	return w
}

const localCaller = "127.0.0.1:40000"

func (d *testDaemon) explained(t *testing.T, message string) RouteExplanation {
	t.Helper()
	w := d.explain(localCaller, message)
	require.Equal(t, http.StatusOK, w.Code, w.Body)
	require.Equal(t, "application/json", w.Header().Get("Content-Type"))
	var x RouteExplanation
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &x))
	return x
}

// requestMetrics returns the daemon's metrics, without those of the load and the pauses of the
// process and of the layout, which change without requests.
func requestMetrics(t *testing.T, d *testDaemon) []string {
	t.Helper()
	w := httptest.NewRecorder()
	d.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, w.Code)
	require.Contains(t, w.Body.String(), "snowspoke_requests_total")
	return slices.DeleteFunc(strings.Split(w.Body.String(), "\n"), func(line string) bool {
		return strings.Contains(line, "snowspoke_stall_seconds") || strings.Contains(line, "snowspoke_bound_requests") || strings.Contains(line, "snowspoke_process_")
	})
}

// runAt returns the server that has run a request.
func runAt(servers []*standin.Server, id string) string {
	for _, s := range servers {
		for _, run := range s.Runs() {
			if run.Header.Get("Snowspoke-Request-Id") == id {
				return s.ID
			}
		}
	}
	return ""
}

// An operator is told the path that the next request takes, for plain and streamed requests.
func TestExplanationMatchesTheNextRequest(t *testing.T) {
	env := newConfiguredEnv(t)
	heads, tails := env.pipeline(4, 3)
	plain := env.servers("plain", "", "plain-1", "plain-2", "plain-3")
	d := env.daemon("daemon-1", nil).ready(t, 10)
	for path, servers := range map[string][]*standin.Server{"/stream/x": heads, "/plain/x?y=1": plain} {
		same, told := 0, 0
		const asks = 40
		for n := range asks {
			id, body := fmt.Sprint("asked-", path, n), fmt.Sprint("body ", n)
			x := d.explained(t, message("POST", path, sitetrial.Key, body, map[string]string{"Snowspoke-Request-Id": id}))
			require.NotNil(t, x.Path, x)
			require.Equal(t, "daemon-1", x.Daemon)
			require.Equal(t, sitetrial.Workspace, x.Workspace)
			a := d.call(t, call{method: "POST", path: path, body: body, id: id})
			require.Equal(t, http.StatusOK, a.Status)
			took := runAt(servers, id)
			require.NotEmpty(t, took)
			if x.Path.Hops[0].Server == took {
				same++
			}
			for _, p := range append(x.Next, *x.Path) {
				if p.Hops[0].Server == took {
					told++
					break
				}
			}
		}
		t.Logf("%s: of %d the same first hop %d, told %d", path, asks, same, told)
		require.GreaterOrEqual(t, 20*same, 19*asks, path)
		require.Equal(t, asks, told, path)
	}
	require.Len(t, tails, 3)
}

// The properties of the request decide what is told.
func TestExplanationOfStream(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.config["routes"].([]map[string]any)[2]["priority"] = 3
	env.putConfig()
	env.pipeline(1, 1)
	d := env.daemon("daemon-1", nil).ready(t, 2)
	x := d.explained(t, message("POST", "/stream/", sitetrial.Key, "", map[string]string{"Snowspoke-Token-Counts": "123,40", "Snowspoke-Length-Hint": "6"}))
	require.Equal(t, "stream", x.Route)
	require.Equal(t, "model", x.Service)
	require.Equal(t, 3, x.Priority)
	require.EqualValues(t, 33, x.Class)
	require.InDelta(t, 300, x.ObjectiveMS, 0)
	require.InDelta(t, 123, x.Prompt, 0)
	require.InDelta(t, 8, x.Answer, 0, "the mean of the typical answer and the hint")
	require.EqualValues(t, env.version, x.Config)
	require.Len(t, x.Path.Hops, 2)
	require.Equal(t, []int{0, 2, 2, 4}, []int{x.Path.Hops[0].From, x.Path.Hops[0].To, x.Path.Hops[1].From, x.Path.Hops[1].To})
	require.Positive(t, x.Path.StepMS)
	require.Nil(t, x.Refusal)
	require.False(t, x.LoadsKnown, "a single daemon")
}

// Questions that cannot be answered get a status and a message that hold no key.
func TestExplanationRefused(t *testing.T) {
	env := newConfiguredEnv(t)
	env.servers("plain", "", "plain-1")
	d := env.daemon("daemon-1", nil).ready(t, 1)
	const secret = "secret-key"
	for name, c := range map[string]struct {
		from, message string
		status        int
		text          string
	}{
		"unknown route":      {localCaller, message("GET", "/else/", sitetrial.Key, "", nil), http.StatusNotFound, string(apierror.UnknownRoute)},
		"unknown key":        {localCaller, message("GET", "/plain/", secret, "", nil), http.StatusUnauthorized, string(apierror.Unauthorized)},
		"no key":             {localCaller, message("GET", "/plain/", "", "", nil), http.StatusUnauthorized, string(apierror.Unauthorized)},
		"body too long":      {localCaller, message("POST", "/plain/", sitetrial.Key, strings.Repeat("x", 1001), nil), http.StatusRequestEntityTooLarge, "limit 1000"},
		"another VM":         {"192.0.2.1:40000", message("GET", "/plain/", sitetrial.Key, "", nil), http.StatusForbidden, "only from the VM itself"},
		"empty":              {localCaller, "", http.StatusBadRequest, "not a request"},
		"malformed line":     {localCaller, "GET\r\n\r\n", http.StatusBadRequest, "not a request"},
		"malformed header":   {localCaller, "GET /plain/ HTTP/1.1\r\nHost: h\r\nAuthorization Bearer " + secret + "\r\n\r\n", http.StatusBadRequest, "not a request"},
		"no host":            {localCaller, "GET /plain/ HTTP/1.1\r\n\r\n", http.StatusBadRequest, "no host"},
		"body cut":           {localCaller, strings.TrimSuffix(message("POST", "/plain/", sitetrial.Key, "body", nil), "y"), http.StatusBadRequest, "shorter"},
		"invalid length":     {localCaller, message("POST", "/plain/", sitetrial.Key, "", map[string]string{"Content-Length": "-1"}), http.StatusBadRequest, "not a request"},
		"chunked, malformed": {localCaller, message("POST", "/plain/", sitetrial.Key, "", map[string]string{"Transfer-Encoding": "chunked"}) + "zz\r\n", http.StatusBadRequest, "malformed"},
	} {
		w := d.explain(c.from, c.message)
		require.Equal(t, c.status, w.Code, name)
		require.Contains(t, w.Body.String(), c.text, name)
		require.NotContains(t, w.Body.String(), secret, name)
		require.NotContains(t, w.Body.String(), sitetrial.Key, name)
	}
	req := httptest.NewRequest(http.MethodPost, ExplainPath, strings.NewReader("{}"))
	req.RemoteAddr = localCaller
	w := httptest.NewRecorder()
	adminHandler(http.NotFoundHandler(), d.Gateway).ServeHTTP(w, req)
	require.Equal(t, http.StatusUnsupportedMediaType, w.Code)
}

// A daemon without a configuration says so.
func TestExplanationWithoutConfiguration(t *testing.T) {
	t.Parallel()
	d := newTestEnv(t).daemon("daemon-1", nil)
	w := d.explain(localCaller, message("GET", "/plain/", sitetrial.Key, "", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Contains(t, w.Body.String(), string(apierror.ConfigUnavailable))
}

// Paused backend servers are named, and the Retry-After that the caller would get.
func TestExplanationOfPause(t *testing.T) {
	env := newConfiguredEnv(t)
	servers := env.servers("plain", "", "plain-1", "plain-2")
	d := env.daemon("daemon-1", nil).ready(t, 2)
	for _, s := range servers {
		s.Refuse("30")
	}
	for n := range 3 {
		d.call(t, call{method: "GET", path: "/plain/", id: fmt.Sprint("r", n)})
	}
	x := d.explained(t, message("GET", "/plain/", sitetrial.Key, "", nil))
	require.Nil(t, x.Path)
	require.Equal(t, apierror.Overloaded, x.Refusal.Kind)
	require.Equal(t, http.StatusServiceUnavailable, x.Refusal.Status)
	require.Greater(t, x.Refusal.RetryAfterMS, 20000.0)
	require.Len(t, x.Excluded, 2)
	require.Contains(t, x.Excluded[0].Reason, "pause")
	require.False(t, x.Excluded[0].Until.IsZero())
}

// Questions of operators reach no backend server, change no metric and log nothing: neither the
// answer nor the log holds the key.
func TestExplanationChangesNothing(t *testing.T) {
	env := newConfiguredEnv(t)
	heads, tails := env.pipeline(2, 2)
	plain := env.servers("plain", "", "plain-1", "plain-2")
	var log syncbuffer.Buffer
	d := env.daemonLogging("daemon-1", nil, Options{}, &log).ready(t, 6)
	for n := range 3 {
		require.Equal(t, http.StatusOK, d.call(t, call{method: "POST", path: "/stream/", id: fmt.Sprint("s", n)}).Status)
		require.Equal(t, http.StatusOK, d.call(t, call{method: "POST", path: "/plain/", id: fmt.Sprint("p", n)}).Status)
	}
	all := slices.Concat(heads, tails, plain)
	observe := func() (calls int, counts []string) {
		for _, s := range all {
			for _, a := range s.Arrivals() {
				if a.ID != "" { // reports are asked for all the time
					calls++
				}
			}
		}
		return calls, requestMetrics(t, d)
	}
	time.Sleep(1500 * time.Millisecond) // metrics are reported once a second
	calls, counts := observe()
	for n := range 50 {
		d.explained(t, message("POST", "/stream/", sitetrial.Key, fmt.Sprint(n), nil))
		d.explained(t, message("GET", "/plain/", sitetrial.Key, "", nil))
		d.explain(localCaller, message("GET", "/plain/", "wrong-key", "", nil))
	}
	time.Sleep(1500 * time.Millisecond)
	callsAfter, countsAfter := observe()
	require.Equal(t, calls, callsAfter)
	require.Equal(t, counts, countsAfter)
	d.log.Flush()
	require.NotContains(t, log.String(), "wrong-key")
	require.NotContains(t, log.String(), sitetrial.Key)
	require.Contains(t, log.String(), "kind=route", "requests are logged")
}
