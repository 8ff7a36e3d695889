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

// serveLateState is a source that answers a ping before it has sent its full state, as
// one whose link is slow to write does.
func serveLateState(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = c.CloseNow() }()
	var toFollower teller
	for stated := false; ; {
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
		if stated {
			continue
		}
		servers := map[string]inventory.Entry{"s": {At: 1}}
		if writeFrame(r.Context(), c, &frame{Update: &update{Config: []byte("1"), Servers: servers, Full: true}}) != nil {
			return
		}
		stated = true
	}
}

// A daemon is a source only once it knows the loads that its own source told, also
// those told before the list of the backend servers had come: its followers would
// otherwise be told less, and a difference of one request is not told again.
func TestSourceKnowsTheLoadsItWasToldFirst(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(serveLateState))
	t.Cleanup(server.Close)
	above := Member{Name: daemonName(0), Domain: "d", Address: server.Listener.Addr().String()}
	inv := newCopied(&copySource{version: 1})
	n := New(Options{Name: daemonName(1), Domain: "d"}, inv, inv, everybody{above}, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _, _ = n.session(ctx, above, nil) }()
	require.Eventually(t, func() bool { return n.sound(time.Now()) }, 5*time.Second, 100*time.Microsecond)
	inv.mu.Lock()
	defer inv.mu.Unlock()
	require.Equal(t, []LoadItem{{Server: "s", Running: 1}}, inv.others)
}
