package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/sitetrial"
	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

// testEnv runs a store, backend servers and daemons on loopback.
type testEnv struct {
	t       *testing.T
	store   *standin.Store
	version int
	config  map[string]any
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	env := &testEnv{t: t, store: standin.NewStore(), version: 10}
	t.Cleanup(env.store.Close)
	env.config = sitetrial.Config(env.version, []map[string]any{
		route("plain", "/plain/", "safe", 2), route("once", "/once/", "unsafe", 1), route("stream", "/stream/", "stream", 2),
	})
	return env
}

// newConfiguredEnv lets the test run in parallel with others and returns an environment with
// a configuration.
func newConfiguredEnv(t *testing.T) *testEnv {
	t.Helper()
	t.Parallel()
	env := newTestEnv(t)
	env.putConfig()
	return env
}

func route(name, prefix, kind string, attempts int) map[string]any {
	return sitetrial.Route(name, prefix, kind, attempts)
}

func (env *testEnv) putConfig() {
	env.version += 3
	env.config["version"] = env.version
	env.store.Set("config", "main", env.config)
}

func (env *testEnv) servers(service, kind string, ids ...string) []*standin.Server {
	out := make([]*standin.Server, 0, len(ids))
	for _, id := range ids {
		s := standin.NewServer(id)
		env.t.Cleanup(s.Kill)
		env.store.Set("servers", id, s.Record(service, "domain-1", kind))
		out = append(out, s)
	}
	return out
}

// pipeline starts backend servers that hold two layers each: heads the first two, tails
// the last two.
func (env *testEnv) pipeline(heads, tails int) (h, t []*standin.Server) {
	for n := range heads + tails {
		s := standin.NewServer(fmt.Sprintf("card-%d", n))
		env.t.Cleanup(s.Kill)
		if n < heads {
			s.Hold(0, 2)
			h = append(h, s)
		} else {
			s.Hold(2, 4)
			t = append(t, s)
		}
		env.store.Set("servers", s.ID, s.Record("model", "domain-1", "card"))
	}
	return h, t
}

// testDaemon is a daemon under test.
type testDaemon struct {
	*Gateway
	stop context.CancelFunc
	done chan error
}

// daemon starts a daemon; change may modify its settings.
func (env *testEnv) daemon(name string, change func(*site.Settings)) *testDaemon {
	env.t.Helper()
	return env.daemonWith(name, change, Options{})
}

// daemonWith starts a daemon with options, whose Load it sets.
func (env *testEnv) daemonWith(name string, change func(*site.Settings), o Options) *testDaemon {
	env.t.Helper()
	return env.daemonLogging(name, change, o, io.Discard)
}

// daemonLogging is daemonWith for a daemon that logs to out.
func (env *testEnv) daemonLogging(name string, change func(*site.Settings), o Options, out io.Writer) *testDaemon {
	env.t.Helper()
	set := site.Settings{
		FirstStart: true,
		Name:       name, IP: "127.0.0.1", FailureDomain: "domain-1", Callers: "127.0.0.1:0", Readiness: "127.0.0.1:0",
		Store: env.store.Address(), Grace: 8 * time.Second, FailClosed: true, MaxRevocationDelay: 5 * time.Second,
		RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
	}
	if change != nil {
		change(&set)
	}
	o.Load = func() (site.Settings, error) { return set, nil }
	g, err := New(o, out)
	require.NoError(env.t, err)
	ctx, stop := context.WithCancel(context.Background())
	r := &testDaemon{Gateway: g, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- g.Run(ctx) }()
	env.t.Cleanup(g.Kill)
	return r
}

// ready waits until the daemon is ready and knows at least this many backend servers.
func (d *testDaemon) ready(t *testing.T, servers int) *testDaemon {
	t.Helper()
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + d.ReadinessAddr() + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK && len(d.inv.View().Servers) >= servers
	}, 5*time.Second, 5*time.Millisecond)
	return d
}

type answer = sitetrial.Answer

// call is a request; empty fields get default values.
type call struct {
	method, path, body, key, id string
	header                      map[string]string
	http10                      bool
	client                      *http.Client
	ctx                         context.Context
}

func (d *testDaemon) call(t *testing.T, c call) answer {
	t.Helper()
	if c.ctx == nil {
		c.ctx = t.Context()
	}
	if c.client == nil {
		c.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	return sitetrial.Do(c.ctx, c.client, d.CallersAddr(), sitetrial.Call{
		Method: c.method, Path: c.path, Body: c.body, Header: c.header,
		Key: cmp.Or(c.key, sitetrial.Key), ID: cmp.Or(c.id, "req-1"), HTTP10: c.http10,
	})
}

func events(from, to int) string { return sitetrial.Events(from, to) }

// awaitRun waits until a request runs at one of the servers.
func awaitRun(servers []*standin.Server) {
	for totalRuns(servers) == 0 {
		time.Sleep(time.Millisecond)
	}
}

func totalRuns(servers []*standin.Server) int {
	n := 0
	for _, s := range servers {
		n += len(s.Runs())
	}
	return n
}
