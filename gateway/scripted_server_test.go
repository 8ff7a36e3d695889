package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/tcptest"
	"github.com/snowspoke/snowspoke/platform/standin"
)

// scriptedServer answers callers' requests with the bytes of a script. The calls of daemons of their
// own, such as health checks, go to a stand-in, so that it looks alive and well.
type scriptedServer struct {
	control  *standin.Server
	script   func(c *scriptedConn)
	requests atomic.Int32
}

// scriptedConn is a connection on which the head of a request was read.
type scriptedConn struct {
	*net.TCPConn
	r       *bufio.Reader
	request *http.Request
}

// newScriptedServer starts a server and registers it. The connection is closed when script returns.
func newScriptedServer(env *testEnv, service, kind string, control *standin.Server, script func(c *scriptedConn)) *scriptedServer {
	env.t.Helper()
	s := &scriptedServer{control: control, script: script}
	record := control.Record(service, "domain-1", kind)
	record["address"] = tcptest.Serve(env.t, s.serve)
	env.store.Set("servers", control.ID, record)
	return s
}

// newPlainScriptedServer starts a server of the plain service.
func newPlainScriptedServer(env *testEnv, id string, script func(c *scriptedConn)) *scriptedServer {
	env.t.Helper()
	control := standin.NewServer(id)
	env.t.Cleanup(control.Kill)
	return newScriptedServer(env, "plain", "", control, script)
}

// newScriptedHead starts a first hop of the model service and the rest of a pipeline.
func newScriptedHead(env *testEnv, script func(c *scriptedConn)) *scriptedServer {
	env.t.Helper()
	heads, _ := env.pipeline(1, 1)
	return newScriptedServer(env, "model", "card", heads[0], script)
}

func (s *scriptedServer) serve(c *net.TCPConn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.Header.Get("Snowspoke-Request-Id") == "" {
			if !s.passToControl(c, req) {
				return
			}
			continue
		}
		s.requests.Add(1)
		s.script(&scriptedConn{TCPConn: c, r: r, request: req})
		return
	}
}

// passToControl has the stand-in answer a call.
func (s *scriptedServer) passToControl(c net.Conn, req *http.Request) (keep bool) {
	control, err := net.Dial("tcp", s.control.Address())
	if err != nil {
		return false
	}
	defer control.Close()
	if err := req.Write(control); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(control), req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.Write(c) == nil && !resp.Close
}

// received returns the number of requests.
func (s *scriptedServer) received() int { return int(s.requests.Load()) }

// callUntilReceived repeats a call until a server has received it. A daemon may refuse a call for want of a
// server soon after one was lost, and closes new connections unread while its processor is overloaded.
func (d *testDaemon) callUntilReceived(t *testing.T, received func() int, c call) answer {
	t.Helper()
	before := received()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		a := d.call(t, c)
		if received() > before {
			return a
		}
		require.True(t, a.Err != nil || a.Status == 503, "%d %q", a.Status, a.Body)
		require.True(t, time.Now().Before(deadline), "refused for too long")
	}
}

// okHead returns the head of a signed answer to the request, with further headers.
func (c *scriptedConn) okHead(headers string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nSnowspoke-Request-Id: %s\r\nSnowspoke-Server-Seal: s\r\n%s\r\n",
		c.request.Header.Get("Snowspoke-Request-Id"), headers)
}

func (c *scriptedConn) send(text string) { _, _ = io.WriteString(c.TCPConn, text) }

// readBody reads the first n bytes of the request's body, all of them if n is negative.
func (c *scriptedConn) readBody(n int64) {
	if n < 0 {
		n = c.request.ContentLength
	}
	_, _ = io.CopyN(io.Discard, c.r, n)
}

// reset makes the close of the connection a reset.
func (c *scriptedConn) reset() { _ = c.SetLinger(0) }
