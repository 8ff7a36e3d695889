package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/platform/standin"
)

const untilCloseEvents = 20

// untilCloseHead starts a daemon before one head whose answers end with their connection.
func untilCloseHead(t *testing.T, cuts ...standin.Cut) (*testDaemon, *standin.Server) {
	t.Helper()
	env := newTestEnv(t)
	env.putConfig()
	heads, _ := env.pipeline(1, 1)
	heads[0].Events = untilCloseEvents
	heads[0].SetFraming(framing.UntilClose)
	heads[0].AddCuts(cuts...)
	return env.daemon("daemon-1", nil).ready(t, 2), heads[0]
}

func TestStreamUntilCloseIsServedWhole(t *testing.T) {
	t.Parallel()
	d, head := untilCloseHead(t)
	a := d.call(t, call{method: "POST", path: "/stream/"})
	require.NoError(t, a.Err)
	require.Equal(t, events(1, untilCloseEvents), a.Body)
	require.Len(t, head.Runs(), 1)
}

// A stream whose connection closes inside an event, or before the first one, was broken off.
func TestStreamClosedInsideAnEventGoesOn(t *testing.T) {
	t.Parallel()
	twoEvents := len(events(1, 2))
	for name, after := range map[string]int{
		"before the first event": 0, "inside the first event": 3, "inside a later event": twoEvents + 8,
		"before the empty line": len(events(1, 3)) - 1,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, _ := untilCloseHead(t, standin.Cut{After: after})
			a := d.call(t, call{method: "POST", path: "/stream/"})
			require.NoError(t, a.Err)
			require.Equal(t, events(1, untilCloseEvents), a.Body)
		})
	}
}

// The end of the server's process closes its connections, also between two events.
func TestStreamOfAnEndedServerIsNotComplete(t *testing.T) {
	t.Parallel()
	d, _ := untilCloseHead(t, standin.Cut{After: len(events(1, 2)), Ends: true})
	a := d.call(t, call{method: "POST", path: "/stream/"})
	require.Error(t, a.Err)
	require.Equal(t, events(1, 2), a.Body)
}

// A plain answer of a server whose process has ended is not complete.
func TestAnswerOfAnEndedServerIsNotComplete(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/plain/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.putConfig()
			s := env.servers("plain", "", "a")[0]
			s.SetFraming(framing.UntilClose)
			s.AddCuts(standin.Cut{After: 4, Ends: true})
			d := env.daemon("daemon-1", nil).ready(t, 1)
			a := d.call(t, call{method: "POST", path: path, body: "x"})
			require.NotEqual(t, 200, a.Status, a.Body)
		})
	}
}

// An answer to another request that ends with its connection is not waited for.
func TestForeignAnswerUntilCloseIsGivenUp(t *testing.T) {
	d := newInterimEnv(t, "HTTP/1.1 200 OK\r\nSnowspoke-Request-Id: other\r\n\r\n")
	began := time.Now()
	a := d.call(t, call{method: "POST", path: "/once/", body: "x"})
	require.Equal(t, 502, a.Status)
	require.Less(t, time.Since(began), time.Second)
}

// A request that may be repeated goes on elsewhere if a restarted server has cut its plain answer.
func TestAnswerOfARestartedServerGoesOnElsewhere(t *testing.T) {
	env := newConfiguredEnv(t)
	servers := env.servers("plain", "", "a", "b")
	cutting := servers[0]
	cutting.SetFraming(framing.UntilClose)
	cutting.AddCuts(standin.Cut{After: 4, Restart: true})
	d := env.daemon("daemon-1", nil).ready(t, 2)
	for n := 0; len(cutting.Runs()) == 0; n++ {
		a := d.call(t, call{method: "POST", path: "/plain/", body: "x", id: fmt.Sprint("req-", n)})
		require.NoError(t, a.Err)
		require.Equal(t, 200, a.Status, a.Body)
		require.Equal(t, "b ran x", a.Body)
	}
}

// A server that is full or leaving answers a health check too, so its whole answers are passed on.
func TestAnswerOfARefusingServerIsServed(t *testing.T) {
	for name, retryAfter := range map[string]string{"full": "", "pausing": "3"} {
		t.Run(name, func(t *testing.T) {
			env := newConfiguredEnv(t)
			s := env.servers("plain", "", "a")[0]
			s.SetFraming(framing.UntilClose)
			s.PlainGap = 100 * time.Millisecond
			d := env.daemon("daemon-1", nil).ready(t, 1)
			go func() {
				awaitRun([]*standin.Server{s})
				s.Refuse(retryAfter)
			}()
			a := d.call(t, call{method: "POST", path: "/once/", body: "x"})
			require.NoError(t, a.Err)
			require.Equal(t, 200, a.Status, a.Body)
			require.Equal(t, "a ran x", a.Body)
		})
	}
}
