package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

func TestStreamIsServedByInitiallyEmptyServers(t *testing.T) {
	env := newConfiguredEnv(t)
	var servers []*standin.Server
	for _, id := range []string{"a", "b", "c", "d"} {
		s := standin.NewServer(id)
		t.Cleanup(s.Kill)
		env.store.Set("servers", id, s.Record("model", "domain-1", "card"))
		servers = append(servers, s)
	}
	d := env.daemon("daemon-1", nil).ready(t, 4)
	// Backend servers update their records when their layers change.
	require.Eventually(t, func() bool {
		ordered := 0
		for _, s := range servers {
			if len(s.Orders()) > 0 {
				ordered++
				env.store.Set("servers", s.ID, s.Record("model", "domain-1", "card"))
			}
		}
		return ordered >= 2
	}, 8*time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "POST", path: "/stream/"}).Status == http.StatusOK
	}, 3*time.Second, 50*time.Millisecond)
}

func TestBrokenStreamResumesElsewhere(t *testing.T) { testResumesElsewhere(t, standin.BreakOff) }

// A stream with an event that has no end goes on elsewhere, with each event once.
func TestStreamWithAnEndlessEventResumesElsewhere(t *testing.T) {
	testResumesElsewhere(t, standin.EndlessBody)
}

// testResumesElsewhere tests a stream whose first answer of each head has a fault.
func testResumesElsewhere(t *testing.T, fault standin.Fault) {
	env := newConfiguredEnv(t)
	heads, _ := env.pipeline(2, 1)
	for _, h := range heads {
		h.Events = 20
	}
	d := env.daemon("daemon-1", nil).ready(t, 3)
	heads[0].AddFaults(fault)
	heads[1].AddFaults(fault)
	a := d.call(t, call{method: "POST", path: "/stream/"})
	for a.Err != nil { // both had the fault and no retry is left: the caller resumes
		a = d.call(t, call{method: "POST", path: "/stream/", id: "req-2"})
	}
	require.Equal(t, http.StatusOK, a.Status)
	require.Equal(t, events(1, 20), a.Body, "each event once, in order")
}

// A stream that is silent for over a second is not cut off when no retry is left, since
// it may continue.
func TestSilentStreamIsKeptWithoutRetries(t *testing.T) {
	t.Parallel()
	a := slowStream(t, func(h *standin.Server) { h.Events, h.EventGap = 3, 1400*time.Millisecond })
	require.NoError(t, a.Err)
	require.Equal(t, events(1, 3), a.Body)
}

// A stream whose first event takes over a second is still served when no retry is left.
func TestSlowFirstEventIsAwaitedWithoutRetries(t *testing.T) {
	t.Parallel()
	a := slowStream(t, func(h *standin.Server) { h.FirstGap = 1800 * time.Millisecond })
	require.NoError(t, a.Err)
	require.Equal(t, events(1, 5), a.Body)
}

// slowStream requests a stream of slow heads from a daemon that allows no retries.
func slowStream(t *testing.T, slow func(*standin.Server)) answer {
	t.Helper()
	env := newTestEnv(t)
	env.config["routes"].([]map[string]any)[2]["timeoutMs"] = 8000
	env.putConfig()
	heads, _ := env.pipeline(2, 1)
	for _, h := range heads {
		slow(h)
	}
	d := env.daemon("daemon-1", func(s *site.Settings) { s.RetryRatio, s.RetrySlack = 0, 0 }).ready(t, 3)
	return d.call(t, call{method: "POST", path: "/stream/", header: map[string]string{"Snowspoke-Deadline-Ms": "8000"}})
}

func TestStreamResumesAfterLastEventID(t *testing.T) {
	env := newConfiguredEnv(t)
	heads, _ := env.pipeline(1, 1)
	heads[0].Events = 9
	d := env.daemon("daemon-1", nil).ready(t, 2)
	a := d.call(t, call{method: "POST", path: "/stream/", header: map[string]string{"Last-Event-Id": "4"}})
	require.NoError(t, a.Err)
	require.Equal(t, events(5, 9), a.Body)
}

func TestStreamIsRepathedAroundStalledHop(t *testing.T) {
	env := newConfiguredEnv(t)
	heads, tails := env.pipeline(1, 2)
	heads[0].Events = 12
	d := env.daemon("daemon-1", nil).ready(t, 3)
	heads[0].AddFaults(standin.StreamStall)
	go func() {
		awaitRun(heads[:1])
		path := heads[0].Runs()[0].Path
		for _, tail := range tails {
			if len(path) > len(tail.Address()) && contains(path, tail.Address()) {
				heads[0].Stall("req-1", tail.Address())
			}
		}
	}()
	began := time.Now()
	a := d.call(t, call{method: "POST", path: "/stream/"})
	require.NoError(t, a.Err)
	require.Equal(t, events(1, 12), a.Body)
	require.Less(t, time.Since(began), time.Second)
	require.Len(t, heads[0].Orders(), 1)
	require.Equal(t, "repath", heads[0].Orders()[0]["op"])
}

func TestStreamResumesWhenItsHeadDies(t *testing.T) {
	env := newConfiguredEnv(t)
	heads, _ := env.pipeline(2, 1)
	for _, h := range heads {
		h.Events, h.EventGap = 60, 10*time.Millisecond
	}
	d := env.daemon("daemon-1", nil).ready(t, 3)
	go func() {
		awaitRun(heads)
		time.Sleep(100 * time.Millisecond)
		// Kill only the head that the stream began at.
		began := slices.IndexFunc(heads, func(h *standin.Server) bool { return len(h.Runs()) > 0 })
		heads[began].Kill()
	}()
	a := d.call(t, call{method: "POST", path: "/stream/"})
	require.NoError(t, a.Err)
	require.Equal(t, events(1, 60), a.Body)
}

// A stream that broke off is not ended by refusals in quick succession, since saturated
// backend servers regain capacity.
func TestStartedStreamOutlastsRefusals(t *testing.T) {
	env := newConfiguredEnv(t)
	heads, _ := env.pipeline(2, 1)
	for _, h := range heads {
		h.Events = 20
	}
	d := env.daemon("daemon-1", nil).ready(t, 3)
	var full []standin.Fault
	for range 40 {
		full = append(full, standin.NotRun)
	}
	for _, h := range heads {
		h.AddFaults(append([]standin.Fault{standin.BreakOff}, full...)...)
	}
	go func() {
		awaitRun(heads)
		time.Sleep(900 * time.Millisecond)
		for _, h := range heads {
			h.ClearFaults()
		}
	}()
	a := d.call(t, call{method: "POST", path: "/stream/"})
	require.NoError(t, a.Err)
	require.Equal(t, events(1, 20), a.Body)
}

func contains(path, address string) bool {
	for i := 0; i+len(address) <= len(path); i++ {
		if path[i:i+len(address)] == address {
			return true
		}
	}
	return false
}

func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	env := newConfiguredEnv(t)
	heads, _ := env.pipeline(1, 1)
	heads[0].Events = 20
	d := env.daemon("daemon-1", nil).ready(t, 2)
	heads[0].AddFaults(standin.BreakOff, standin.Fail)
	a := d.call(t, call{method: "POST", path: "/stream/"})
	require.NoError(t, a.Err, "it fails once and then goes on")
	require.Equal(t, events(1, 20), a.Body)
	fails := []standin.Fault{standin.BreakOff}
	for range 40 {
		fails = append(fails, standin.Fail)
	}
	heads[0].AddFaults(fails...)
	ran := len(heads[0].Runs())
	a = d.call(t, call{method: "POST", path: "/stream/", id: "req-2"})
	require.Error(t, a.Err, "it must not look complete")
	require.Equal(t, events(1, 2), a.Body)
	require.LessOrEqual(t, len(heads[0].Runs())-ran, maxSendsOfAStream)
}

// maxSendsOfAStream is the number of sends that package forward allows for a request.
const maxSendsOfAStream = 6
