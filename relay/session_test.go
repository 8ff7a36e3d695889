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
	server := httptest.NewServer(http.HandlerFunc(serveLateState))
	t.Cleanup(server.Close)
	source := Member{Name: daemonName(0), Domain: "d", Address: server.Listener.Addr().String()}
	inv := newFakeInventory(&fakeStore{version: 1})
	n := New(Options{Name: daemonName(1), Domain: "d"}, inv, inv, memberList{source}, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _, _ = n.session(ctx, source, nil) }()
	require.Eventually(t, func() bool { return n.healthy(time.Now()) }, 5*time.Second, 100*time.Microsecond)
	inv.mu.Lock()
	defer inv.mu.Unlock()
	require.Equal(t, []LoadItem{{Server: "s", Running: 1}}, inv.others)
}
