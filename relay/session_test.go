package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/inventory"
)

// serveLateState is a source that answers a ping before it has sent the full state, as
// over a slow link.
func serveLateState(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = c.CloseNow() }()
	var toFollower loadReporter
	for stateSent := false; ; {
		f, err := readFrame(r.Context(), c)
		if err != nil {
			return
		}
		answer := &pong{Number: f.Ping.Number, Version: 1}
		if f.Ping.HasLoads {
			answer.Daemons, answer.Loads = 1, toFollower.changes([]LoadItem{{Server: "s", Running: 1}})
		}
		if writeFrame(r.Context(), c, &frame{Pong: answer}) != nil {
			return
		}
		if stateSent {
			continue
		}
		servers := map[string]inventory.Entry{"s": {At: 1}}
		if writeFrame(r.Context(), c, &frame{Update: &update{Config: []byte("1"), Servers: servers, Full: true}}) != nil {
			return
		}
		stateSent = true
	}
}

// A daemon becomes a source only once it has resolved the loads that arrived before the
// list of backend servers. Otherwise its followers would receive lower loads, and a
// difference of one request is not sent again.
func TestSourceKeepsLoadsReceivedBeforeState(t *testing.T) {
	t.Parallel()
	inv, n, _ := followSource(t, serveLateState)
	require.Eventually(t, func() bool { return n.healthy(time.Now()) }, 5*time.Second, 100*time.Microsecond)
	inv.mu.Lock()
	defer inv.mu.Unlock()
	require.Equal(t, []LoadItem{{Server: "s", Running: 1}}, inv.others)
}

// followSource starts a daemon that follows a source with this handler until the test ends. It returns
// the daemon and a channel that gets the error with which the link ends.
func followSource(t *testing.T, serve http.HandlerFunc) (inv *fakeInventory, n *Node, ended <-chan error) {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	source := Member{Name: daemonName(0), Domain: "d", Address: server.Listener.Addr().String()}
	inv = newFakeInventory(&fakeStore{version: 1})
	n = New(Options{Name: daemonName(1), Domain: "d"}, inv, inv, memberList{source}, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	errs := make(chan error, 1)
	go func() {
		_, err := n.session(ctx, source, nil)
		errs <- err
	}()
	return inv, n, errs
}

// acceptWithState accepts a link as a source and sends a whole state. It returns nil after an error.
func acceptWithState(w http.ResponseWriter, r *http.Request) *websocket.Conn {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil
	}
	full := &frame{Update: &update{Config: []byte("1"), Servers: map[string]inventory.Entry{"s": {At: 1}}, Full: true}}
	if writeFrame(r.Context(), c, full) != nil {
		_ = c.CloseNow()
		return nil
	}
	return c
}
