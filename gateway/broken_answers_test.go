package gateway

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/platform/standin"
)

// door passes connections on to a backend server. Its listener may outlive the server.
type door struct {
	net.Listener
	mu      sync.Mutex
	to      *standin.Server
	next    *standin.Server       // takes over once the first one has ended, nil for none
	onEnd   func(d *door)         // called once, before the first connection that the server closed is closed
	ended   sync.Once             // for onEnd
	rewrite func(p []byte) []byte // of what the daemon sends, nil for none
	answers func(p []byte) []byte // of what the server answers, nil for none
	interim string                // written before the first bytes of an answer
}

func openDoor(t *testing.T, to *standin.Server) *door {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &door{Listener: l, to: to}
	t.Cleanup(func() { _ = l.Close() })
	return d
}

// open starts to accept connections, and registers the door as the server's address.
func (d *door) open(env *testEnv, service, kind string) {
	r := d.to.Record(service, "domain-1", kind)
	r["address"] = d.Addr().String()
	env.store.Set("servers", d.to.ID, r)
	go func() {
		for {
			c, err := d.Accept()
			if err != nil {
				return // closed
			}
			go d.pass(c)
		}
	}()
}

func (d *door) behind() *standin.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.next != nil && d.to.Ended() {
		return d.next
	}
	return d.to
}

func (d *door) pass(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp", d.behind().Address())
	if err != nil {
		return
	}
	defer up.Close()
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			p := buf[:n]
			if d.rewrite != nil {
				p = d.rewrite(p)
			}
			if _, werr := up.Write(p); err != nil || werr != nil {
				_ = up.Close()
				return
			}
		}
	}()
	var total int
	buf := make([]byte, 64<<10)
	for {
		n, err := up.Read(buf)
		p := buf[:n]
		if n > 0 && total == 0 {
			p = append([]byte(d.interim), p...)
		}
		if d.answers != nil {
			p = d.answers(p)
		}
		total += n
		if _, werr := c.Write(p); werr != nil {
			return
		}
		if err != nil {
			break
		}
	}
	if total > 0 && d.onEnd != nil {
		d.ended.Do(func() { d.onEnd(d) })
	}
}

// untilCloseDoors starts a daemon before heads that are reached through doors and whose
// answers end with their connection.
func untilCloseDoors(t *testing.T, heads int, change func(d *door, s *standin.Server)) (*testDaemon, []*standin.Server) {
	t.Helper()
	env := newTestEnv(t)
	env.putConfig()
	h, _ := env.pipeline(heads, 1)
	for _, s := range h {
		s.Events = untilCloseEvents
		s.SetFraming(framing.UntilClose)
		d := openDoor(t, s)
		change(d, s)
		d.open(env, "model", "card")
	}
	return env.daemon("daemon-1", nil).ready(t, heads+1), h
}

// requireNotCut requires that a stream is whole or its caller sees that it is not.
func requireNotCut(t *testing.T, a answer) {
	t.Helper()
	if a.Err == nil && a.Status == 200 && a.Body != events(1, untilCloseEvents) {
		t.Fatalf("a complete answer with the body %q", a.Body)
	}
}

// A backend server whose process ends may be restarted at its address at once. The new
// incarnation accepts connections.
func TestStreamOfARestartedServerIsNotComplete(t *testing.T) {
	t.Parallel()
	d, _ := untilCloseDoors(t, 1, func(d *door, s *standin.Server) {
		s.AddCuts(standin.Cut{After: len(events(1, 2)), Ends: true})
		d.next = standin.NewServer("restarted")
		d.next.Hold(0, 2)
		t.Cleanup(d.next.Kill)
	})
	requireNotCut(t, d.call(t, call{method: "POST", path: "/stream/"}))
}

// The same for a plain answer.
func TestAnswerOfARestartedServerIsNotComplete(t *testing.T) {
	env := newConfiguredEnv(t)
	s := standin.NewServer("a")
	t.Cleanup(s.Kill)
	s.SetFraming(framing.UntilClose)
	s.AddCuts(standin.Cut{After: 4, Ends: true})
	front := openDoor(t, s)
	front.next = standin.NewServer("restarted")
	t.Cleanup(front.next.Kill)
	front.open(env, "plain", "")
	d := env.daemon("daemon-1", nil).ready(t, 1)
	a := d.call(t, call{method: "POST", path: "/once/", body: "x"})
	require.NotEqual(t, 200, a.Status, a.Body)
}

// A process that ends may close its connections shortly before its listener.
func TestStreamOfAServerThatStopsListeningLaterIsNotComplete(t *testing.T) {
	t.Parallel()
	d, _ := untilCloseDoors(t, 1, func(d *door, s *standin.Server) {
		s.AddCuts(standin.Cut{After: len(events(1, 2)), Ends: true})
		d.onEnd = func(d *door) { time.AfterFunc(5*time.Millisecond, func() { _ = d.Close() }) }
	})
	requireNotCut(t, d.call(t, call{method: "POST", path: "/stream/"}))
}

// A head may close a stream because another hop has failed, which this daemon does not know
// yet.
func TestStreamCutAfterTheEndOfAHopIsNotComplete(t *testing.T) {
	env := newConfiguredEnv(t)
	heads, tails := env.pipeline(1, 1)
	heads[0].Events, heads[0].EventGap = untilCloseEvents, 20*time.Millisecond
	heads[0].SetFraming(framing.UntilClose)
	heads[0].AddCuts(standin.Cut{After: len(events(1, 2))})
	d := env.daemon("daemon-1", nil).ready(t, 2)
	go func() {
		awaitRun(heads[:1])
		tails[0].End()
	}()
	requireNotCut(t, d.call(t, call{method: "POST", path: "/stream/"}))
}

// A stalled stream that was moved to another path, and closes before its next event, was
// broken off.
func TestStreamClosedAfterAMoveIsNotComplete(t *testing.T) {
	env := newConfiguredEnv(t)
	heads, tails := env.pipeline(1, 2)
	head := heads[0]
	head.Events = untilCloseEvents
	head.SetFraming(framing.UntilClose)
	head.AddFaults(standin.StreamStall)
	head.AddCuts(standin.Cut{After: len(events(1, 2))})
	front := openDoor(t, head)
	front.onEnd = func(*door) { time.Sleep(50 * time.Millisecond) } // the order is answered before
	front.open(env, "model", "card")
	d := env.daemon("daemon-1", nil).ready(t, 3)
	go func() {
		for len(head.Runs()) == 0 {
			time.Sleep(time.Millisecond)
		}
		for _, tail := range tails {
			if strings.Contains(head.Runs()[0].Path, tail.Address()) {
				head.Stall("req-1", tail.Address())
			}
		}
	}()
	a := d.call(t, call{method: "POST", path: "/stream/"})
	require.Len(t, head.Orders(), 1, "the stream was moved")
	requireNotCut(t, a)
}

// The answers to streams of a service without an engine also have events, and may end inside
// one.
func TestStreamOfAPlainServiceClosedInsideAnEventIsNotComplete(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.config["routes"].([]map[string]any)[2]["service"] = "plain"
	env.putConfig()
	s := env.servers("plain", "", "a")[0]
	s.Events = untilCloseEvents
	s.SetFraming(framing.UntilClose)
	s.AddCuts(standin.Cut{After: len(events(1, 2)) + 8})
	d := env.daemon("daemon-1", nil).ready(t, 1)
	requireNotCut(t, d.call(t, call{method: "POST", path: "/stream/"}))
}

// A resumed stream that ends before the last event that its caller has was broken off.
func TestResumedStreamThatEndsBeforeItsStartIsNotComplete(t *testing.T) {
	t.Parallel()
	d, heads := untilCloseDoors(t, 1, func(d *door, s *standin.Server) {
		s.AddCuts(standin.Cut{After: len(events(1, 5)) + 3}, standin.Cut{After: len(events(1, 3))})
		d.rewrite = func(p []byte) []byte {
			return bytes.Replace(p, []byte("Last-Event-Id:"), []byte("Xast-Event-Id:"), 1)
		}
	})
	a := d.call(t, call{method: "POST", path: "/stream/"})
	require.Greater(t, len(heads[0].Runs()), 1, "the stream was resumed")
	requireNotCut(t, a)
}

// A stream whose events have no IDs cannot be resumed: its events would come twice.
func TestStreamWithoutEventIDsIsNotResumed(t *testing.T) {
	t.Parallel()
	noIDs := func(p []byte) []byte {
		p = bytes.ReplaceAll(p, []byte("id:"), []byte("xd:"))
		return bytes.ReplaceAll(p, []byte("\n\n"), []byte("\n\n: ping\n\n")) // a comment changes nothing
	}
	d, _ := untilCloseDoors(t, 1, func(d *door, s *standin.Server) {
		s.AddCuts(standin.Cut{After: len(events(1, 2)) + 8})
		d.answers = noIDs
	})
	a := d.call(t, call{method: "POST", path: "/stream/"})
	require.LessOrEqual(t, strings.Count(a.Body, "data: token 1\n"), 1, "%q", a.Body)
}

// newInterimEnv starts a daemon with a plain backend server that sends these bytes before each
// answer.
func newInterimEnv(t *testing.T, interim string) *testDaemon {
	t.Helper()
	env := newConfiguredEnv(t)
	s := standin.NewServer("a")
	t.Cleanup(s.Kill)
	front := openDoor(t, s)
	front.interim = interim
	front.open(env, "plain", "")
	return env.daemon("daemon-1", nil).ready(t, 1)
}

// An interim answer is not the answer.
func TestInterimAnswerIsSkipped(t *testing.T) {
	d := newInterimEnv(t, "HTTP/1.1 103 Early Hints\r\nSnowspoke-Request-Id: req-1\r\n\r\n")
	a := d.call(t, call{method: "POST", path: "/once/", body: "x"})
	require.NoError(t, a.Err)
	require.Equal(t, 200, a.Status)
	require.Equal(t, "a ran x", a.Body)
}

// Guards against callers that get an answer whose status is of no class, or the bytes behind it: a
// backend server in trouble sent 000 to a plain request or a stream (MIXED).
func TestInvalidStatusReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			head := "HTTP/1.1 " + status + " Trouble\r\nSnowspoke-Request-Id: req-1\r\nSnowspoke-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 0\r\n\r\n"
			d := newInterimEnv(t, head)
			for _, path := range []string{"/once/", "/plain/"} {
				a := d.call(t, call{method: "POST", path: path, body: "x"})
				require.NoError(t, a.Err)
				require.Equal(t, 502, a.Status, path)
				require.Empty(t, a.Header.Get("Snowspoke-Server-Seal"))
			}
		})
	}
	t.Run("stream", func(t *testing.T) {
		t.Parallel()
		d, _ := untilCloseDoors(t, 1, func(d *door, _ *standin.Server) {
			d.interim = "HTTP/1.1 000 Trouble\r\nSnowspoke-Request-Id: req-1\r\n\r\n"
		})
		a := d.call(t, call{method: "POST", path: "/stream/"})
		require.NoError(t, a.Err)
		require.Equal(t, 502, a.Status)
	})
}

// A complete stream whose head ends right after it costs at most one further send.
func TestStreamThatEndsWithItsHeadIsServedWhole(t *testing.T) {
	t.Parallel()
	var first sync.Once
	d, heads := untilCloseDoors(t, 2, func(d *door, _ *standin.Server) {
		d.onEnd = func(d *door) { first.Do(func() { _ = d.Close() }) }
	})
	a := d.call(t, call{method: "POST", path: "/stream/"})
	t.Logf("%d runs", totalRuns(heads))
	require.NoError(t, a.Err)
	require.Equal(t, events(1, untilCloseEvents), a.Body)
	require.LessOrEqual(t, totalRuns(heads), 2)
}

// A stream that is resumed after its last event has nothing more to deliver.
func TestStreamResumedAfterItsLastEventIsServed(t *testing.T) {
	t.Parallel()
	for _, f := range []framing.Framing{framing.Chunked, framing.UntilClose} {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.putConfig()
			heads, _ := env.pipeline(1, 1)
			heads[0].Events = untilCloseEvents
			heads[0].SetFraming(f)
			d := env.daemon("daemon-1", nil).ready(t, 2)
			a := d.call(t, call{method: "POST", path: "/stream/", header: map[string]string{"Last-Event-Id": "20"}})
			t.Logf("%d runs", len(heads[0].Runs()))
			require.NoError(t, a.Err)
			require.Equal(t, 200, a.Status, a.Body)
			require.Empty(t, a.Body)
		})
	}
}

// Leaving servers that end after complete answers are no evidence against the request.
func TestEndsOfLeavingServersDoNotQuarantine(t *testing.T) {
	env := newConfiguredEnv(t)
	for _, id := range []string{"a", "b"} {
		s := standin.NewServer(id)
		t.Cleanup(s.Kill)
		s.SetFraming(framing.UntilClose)
		s.Leave()
		front := openDoor(t, s)
		front.onEnd = func(d *door) { _ = d.Close() }
		front.open(env, "plain", "")
	}
	d := env.daemon("daemon-1", nil).ready(t, 2)
	a := d.call(t, call{method: "POST", path: "/plain/", body: "x"})
	t.Logf("first call: %d %v %q", a.Status, a.Err, a.Body)
	env.servers("plain", "", "c")
	d.ready(t, 3)
	a = d.call(t, call{method: "POST", path: "/plain/", body: "x", id: "req-2"})
	require.Equal(t, 200, a.Status, a.Body)
}
