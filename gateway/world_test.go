package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

// world is a store, backend servers and daemons on loopback.
type world struct {
	t       *testing.T
	store   *standin.Store
	version int
	config  map[string]any
}

// Keys and hosts of the tests.
const (
	goodKey = "key-1"
	host    = "site.example"
	layers  = 4
)

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, store: standin.NewStore(), version: 10}
	t.Cleanup(w.store.Close)
	w.config = map[string]any{
		"routes": []map[string]any{
			route("plain", "/plain/", "safe", 2),
			route("once", "/once/", "unsafe", 1),
			route("stream", "/stream/", "stream", 2),
		},
		"services": []map[string]any{
			{"name": "plain", "maxConns": 100},
			{"name": "model", "maxConns": 100, "engine": engine()},
		},
		"limits":  map[string]any{"maxBodyBytes": 1000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "workspace-1", "apiKeys": []string{goodKey}}},
	}
	return w
}

func route(name, prefix, kind string, attempts int) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 300,
		"maxAttempts": attempts, "service": "plain",
	}
	if kind == "stream" {
		r["service"], r["resumable"], r["timeoutMs"] = "model", true, 8000
	}
	return r
}

// engine describes a model of four layers of which a card holds at most two.
func engine() map[string]any {
	return map[string]any{
		"slots": 100, "layers": layers, "layerMb": 100.0, "kvTokenBytes": 1000, "step_ms": 0.1, "read_per_s": 1e6,
		"usual": map[string]any{"prompt": 10, "answer": 10}, "loads_at_once": 6,
		"kinds":  []map[string]any{{"name": "card", "megabytes": 220.0, "pace": 1.0, "readX": 1.0}},
		"models": []map[string]any{{"name": "m", "loadS": 0.1}},
	}
}

func (w *world) putConfig() {
	w.version += 3
	w.config["version"] = w.version
	w.store.Set("config", "main", w.config)
}

func (w *world) servers(service, kind string, ids ...string) []*standin.Server {
	out := make([]*standin.Server, 0, len(ids))
	for _, id := range ids {
		s := standin.NewServer(id)
		w.t.Cleanup(s.Kill)
		w.store.Set("servers", id, s.Record(service, "domain-1", kind))
		out = append(out, s)
	}
	return out
}

// pipeline starts cards that hold two layers each: heads first.
func (w *world) pipeline(heads, tails int) (h, t []*standin.Server) {
	for n := range heads + tails {
		s := standin.NewServer(fmt.Sprintf("card-%d", n))
		w.t.Cleanup(s.Kill)
		if n < heads {
			s.Hold(0, 2)
			h = append(h, s)
		} else {
			s.Hold(2, 4)
			t = append(t, s)
		}
		w.store.Set("servers", s.ID, s.Record("model", "domain-1", "card"))
	}
	return h, t
}

// running is a daemon under test.
type running struct {
	*Gateway
	stop context.CancelFunc
	done chan error
}

// daemon starts a daemon; change may alter its settings.
func (w *world) daemon(name string, change func(*site.Settings)) *running {
	w.t.Helper()
	set := site.Settings{
		Name: name, IP: "127.0.0.1", FailureDomain: "domain-1", Callers: "127.0.0.1:0", Readiness: "127.0.0.1:0",
		Store: w.store.Address(), Grace: 8 * time.Second, FailClosed: true, RevokeWithin: 5 * time.Second,
		RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
	}
	if change != nil {
		change(&set)
	}
	g, err := New(Options{Load: func() (site.Settings, error) { return set, nil }}, io.Discard)
	require.NoError(w.t, err)
	ctx, stop := context.WithCancel(context.Background())
	r := &running{Gateway: g, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- g.Run(ctx) }()
	w.t.Cleanup(g.Kill)
	return r
}

// ready waits until the daemon is ready and knows so many backend servers.
func (r *running) ready(t *testing.T, servers int) *running {
	t.Helper()
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + r.ReadinessAddr() + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK && len(r.inv.View().Servers) >= servers
	}, 5*time.Second, 5*time.Millisecond)
	return r
}

// answer is what a caller got; err says that it was cut off.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

type call struct {
	method, path, body, key, id string
	header                      map[string]string
	client                      *http.Client
	ctx                         context.Context
}

func (r *running) call(t *testing.T, c call) answer {
	t.Helper()
	if c.ctx == nil {
		c.ctx = t.Context()
	}
	if c.id == "" {
		c.id = "req-1"
	}
	if c.key == "" {
		c.key = goodKey
	}
	if c.client == nil {
		c.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	req, err := http.NewRequestWithContext(c.ctx, c.method, "http://"+r.CallersAddr()+c.path, strings.NewReader(c.body))
	require.NoError(t, err)
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Snowspoke-Request-Id", c.id)
	req.Header.Set("Snowspoke-Deadline-Ms", "5000")
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// events returns what a stream of n events looks like from one on.
func events(from, n int) string {
	var b strings.Builder
	for i := from; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

func totalRuns(servers []*standin.Server) int {
	n := 0
	for _, s := range servers {
		n += len(s.Runs())
	}
	return n
}
