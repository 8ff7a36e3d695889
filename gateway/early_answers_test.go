package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/platform/standin"
)

// longBody exceeds the buffers of the sockets between a daemon and a backend server.
var longBody = strings.Repeat("x", 16<<20)

const (
	partOfAnswer = "part of the ans"
	wholeAnswers = "the whole answer"
	// earlyCalls is the number of calls of each case: the order in which the reader and the writer of
	// a connection see its reset varies.
	earlyCalls = 4
)

// newUploadEnv returns an environment whose routes accept long bodies.
func newUploadEnv(t *testing.T) *testEnv {
	t.Helper()
	env := newTestEnv(t)
	env.config["limits"].(map[string]any)["maxBodyBytes"] = 2 * len(longBody)
	for _, r := range env.config["routes"].([]map[string]any) {
		r["timeoutMs"] = 8000
	}
	env.putConfig()
	return env
}

// earlyEnds are the ways in which a server ends the connection before it has read the request.
var earlyEnds = map[string]func(c *scriptedConn){
	"reset at once": func(c *scriptedConn) { c.reset() },
	"reset after 60 ms": func(c *scriptedConn) {
		time.Sleep(60 * time.Millisecond)
		c.reset()
	},
	"reset after 1 MB": func(c *scriptedConn) {
		c.readBody(1 << 20)
		c.reset()
	},
	"closed with unread bytes": func(*scriptedConn) {},
	"closed for writing": func(c *scriptedConn) {
		_ = c.CloseWrite()
		time.Sleep(100 * time.Millisecond)
	},
}

// Guards against a part of an answer that callers get as a whole one (MIXED): a backend server answered
// a long upload at once, without a length, and reset the connection during the upload.
func TestEarlyAnswerResetDuringTheUploadIsNotComplete(t *testing.T) {
	t.Parallel()
	for name, end := range earlyEnds {
		for _, path := range []string{"/once/", "/plain/"} {
			t.Run(name+path, func(t *testing.T) {
				env := newUploadEnv(t)
				s := newPlainScriptedServer(env, "a", func(c *scriptedConn) {
					c.send(c.okHead("") + partOfAnswer)
					end(c)
				})
				d := env.daemon("daemon-1", nil).ready(t, 1)
				for n := range earlyCalls {
					sent := s.received()
					a := d.callUntilReceived(t, s.received, call{method: "POST", path: path, body: longBody, id: fmt.Sprint("req-", n)})
					require.NoError(t, a.Err)
					require.Equal(t, 502, a.Status, a.Body)
					if path == "/once/" {
						require.Equal(t, sent+1, s.received(), "it may have run")
					}
				}
			})
		}
	}
}

// The same for a stream, which is cut between two events.
func TestEarlyStreamResetDuringTheUploadIsNotComplete(t *testing.T) {
	t.Parallel()
	for name, end := range earlyEnds {
		t.Run(name, func(t *testing.T) {
			env := newUploadEnv(t)
			s := newScriptedHead(env, func(c *scriptedConn) {
				c.send(c.okHead("Content-Type: text/event-stream\r\n") + events(1, 2))
				time.Sleep(20 * time.Millisecond)
				end(c)
			})
			d := env.daemon("daemon-1", nil).ready(t, 2)
			for n := range earlyCalls {
				a := d.callUntilReceived(t, s.received, call{method: "POST", path: "/stream/", body: longBody, id: fmt.Sprint("req-", n)})
				require.True(t, a.Err != nil || a.Status == 502, "a complete answer: %d %q", a.Status, a.Body)
			}
		})
	}
}

// A request that may be repeated goes on elsewhere.
func TestRequestWithAnEarlyAnswerGoesOnElsewhere(t *testing.T) {
	t.Parallel()
	env := newUploadEnv(t)
	broken := newPlainScriptedServer(env, "a", func(c *scriptedConn) {
		c.send(c.okHead("") + partOfAnswer)
		c.reset()
	})
	newPlainScriptedServer(env, "b", func(c *scriptedConn) {
		c.readBody(-1)
		c.send(c.okHead("") + wholeAnswers)
	})
	d := env.daemon("daemon-1", nil).ready(t, 2)
	for n := 0; n < earlyCalls || broken.received() == 0; n++ {
		a := d.call(t, call{method: "POST", path: "/plain/", body: longBody, id: fmt.Sprint("req-", n)})
		require.NoError(t, a.Err)
		require.Equal(t, 200, a.Status, a.Body)
		require.Equal(t, wholeAnswers, a.Body)
	}
}

// An early answer whose framing shows that it is whole is delivered, however the connection ends. So is
// one that ends with its connection after the whole request was read.
func TestWholeAnswersToLongUploadsAreDelivered(t *testing.T) {
	t.Parallel()
	answers := map[framing.Framing]func(c *scriptedConn){
		framing.Length: func(c *scriptedConn) {
			c.send(c.okHead(fmt.Sprintf("Content-Length: %d\r\n", len(wholeAnswers))) + wholeAnswers)
		},
		framing.Chunked: func(c *scriptedConn) {
			c.send(c.okHead("Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(wholeAnswers), wholeAnswers))
		},
		framing.UntilClose: func(c *scriptedConn) {
			c.readBody(-1)
			c.send(c.okHead("") + wholeAnswers)
		},
	}
	for f, answer := range answers {
		for name, end := range earlyEnds {
			if f == framing.UntilClose && strings.HasPrefix(name, "reset") {
				continue
			}
			t.Run(f.String()+"/"+name, func(t *testing.T) {
				env := newUploadEnv(t)
				s := newPlainScriptedServer(env, "a", func(c *scriptedConn) {
					answer(c)
					end(c)
				})
				d := env.daemon("daemon-1", nil).ready(t, 1)
				for n := range earlyCalls {
					for _, path := range []string{"/once/", "/plain/"} {
						a := d.callUntilReceived(t, s.received, call{method: "POST", path: path, body: longBody, id: fmt.Sprint("req-", path, n)})
						require.NoError(t, a.Err)
						require.Equal(t, 200, a.Status, a.Body)
						require.Equal(t, wholeAnswers, a.Body)
					}
				}
			})
		}
	}
}

// The same over a connection that another daemon carries, with uploads that the daemon writes whole and with
// longer ones.
func TestEarlyAnswerBehindACarrierIsNotComplete(t *testing.T) {
	t.Parallel()
	for name, end := range earlyEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newUploadEnv(t)
			s := newPlainScriptedServer(env, "a", func(c *scriptedConn) {
				c.send(c.okHead("") + partOfAnswer)
				end(c)
			})
			partition := standin.NewPartition()
			d := env.daemonWith("daemon-1", nil, Options{Connect: partition.Dial}).ready(t, 1)
			env.daemon("daemon-2", nil).ready(t, 1)
			require.Eventually(t, func() bool { return len(d.members.All()) == 2 }, 10*time.Second, 20*time.Millisecond)
			partition.Set(standin.RefuseNew)
			for n, size := range []int{6 << 20, 10 << 20, len(longBody)} {
				a := d.callUntilReceived(t, s.received, call{method: "POST", path: "/once/", body: longBody[:size], id: fmt.Sprint("req-", n)})
				require.NoError(t, a.Err)
				require.Equal(t, 502, a.Status, "%d bytes: %q", size, a.Body)
			}
		})
	}
}
