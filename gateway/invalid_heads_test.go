package gateway

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/rfc9112"
)

// sendCase sends the response of which the request names the number.
func sendCase(c *scriptedConn, cases []rfc9112.Response, fields, body string) {
	c.readBody(-1)
	n, _ := strconv.Atoi(c.request.Header.Get("X-Case"))
	fields += "Snowspoke-Server-Seal: s\r\nSnowspoke-Request-Id: " + c.request.Header.Get("Snowspoke-Request-Id") + "\r\n"
	c.send(cases[n].Encode(fields, body))
}

// callCases calls a daemon for each case and path, and passes the answers to check.
func callCases(t *testing.T, d *testDaemon, s *scriptedServer, cases []rfc9112.Response, paths []string, check func(t *testing.T, a answer)) {
	t.Helper()
	for _, path := range paths {
		for n, c := range cases {
			t.Run(path[1:]+c.String(), func(t *testing.T) {
				check(t, d.callUntilReceived(t, s.received, call{
					method: "POST", path: path, body: fmt.Sprint(n), id: fmt.Sprintf("req-%s-%d", path[1:len(path)-1], n), header: map[string]string{"X-Case": fmt.Sprint(n)},
				}))
			})
		}
	}
}

// Guards against callers that get an answer whose head is not valid, with another body than the backend
// server's or without the invalid line (MIXED).
func TestInvalidResponsesReachNoCaller(t *testing.T) {
	t.Parallel()
	env := newUploadEnv(t)
	s := newPlainScriptedServer(env, "a", func(c *scriptedConn) { sendCase(c, rfc9112.Invalid, "", wholeAnswers) })
	d := env.daemon("daemon-1", nil).ready(t, 1)
	callCases(t, d, s, rfc9112.Invalid, []string{"/once/", "/plain/"}, func(t *testing.T, a answer) {
		require.NoError(t, a.Err)
		require.Equal(t, 502, a.Status, a.Body)
	})
}

// The same for streams, which may break off.
func TestInvalidStreamsReachNoCallerAsComplete(t *testing.T) {
	t.Parallel()
	env := newUploadEnv(t)
	env.config["routes"].([]map[string]any)[2]["resumable"] = false
	env.putConfig()
	s := newScriptedHead(env, func(c *scriptedConn) {
		sendCase(c, rfc9112.Invalid, "Content-Type: text/event-stream\r\n", events(1, 3))
	})
	d := env.daemon("daemon-1", nil).ready(t, 2)
	callCases(t, d, s, rfc9112.Invalid, []string{"/stream/"}, func(t *testing.T, a answer) {
		require.True(t, a.Err != nil || a.Status == 502, "a complete answer: %d %q", a.Status, a.Body)
	})
}

// Responses in all forms that are valid are delivered.
func TestValidResponsesReachTheirCallers(t *testing.T) {
	t.Parallel()
	env := newUploadEnv(t)
	plain := newPlainScriptedServer(env, "a", func(c *scriptedConn) { sendCase(c, rfc9112.Valid, "", wholeAnswers) })
	head := newScriptedHead(env, func(c *scriptedConn) {
		sendCase(c, rfc9112.Valid, "Content-Type: text/event-stream\r\n", events(1, 3))
	})
	d := env.daemon("daemon-1", nil).ready(t, 3)
	whole := func(body string) func(t *testing.T, a answer) {
		return func(t *testing.T, a answer) {
			require.NoError(t, a.Err)
			require.Equal(t, 200, a.Status, a.Body)
			require.Equal(t, body, a.Body)
		}
	}
	callCases(t, d, plain, rfc9112.Valid, []string{"/once/", "/plain/"}, whole(wholeAnswers))
	callCases(t, d, head, rfc9112.Valid, []string{"/stream/"}, whole(events(1, 3)))
}
