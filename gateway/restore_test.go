package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/platform/sitetrial"
	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

// A store that is restored from an older copy reverts nothing: draining backend servers
// get no work, deregistered ones stay removed, new ones are used, and the configuration in
// force stays. Later writes take effect although their revisions were used before.
func TestStoreRestoredFromOlderCopyRevertsNothing(t *testing.T) {
	env := newTestEnv(t)
	env.putConfig()
	old := env.servers("plain", "", "drains", "leaves", "stays")
	first := env.daemon("vm-1", nil)
	second := env.daemon("vm-2", func(s *site.Settings) { s.FirstStart = false })
	daemons := []*testDaemon{first.ready(t, 3), second.ready(t, 3)}
	copied := env.store.Snapshot()

	drains := old[0].Record("plain", "domain-1", "")
	drains["state"] = "draining"
	env.store.Set("servers", "drains", drains)
	env.store.Remove("servers", "leaves")
	env.servers("plain", "", "new")
	env.putConfig()
	for range 20 {
		env.store.Set("servers", "stays", old[2].Record("plain", "domain-1", "")) // revisions grow
	}
	inForce := uint64(env.version)
	upToDate := func(d *testDaemon) bool {
		v := d.inv.View()
		return v.Config.Version == inForce && len(v.Servers) == 3 && v.Servers["drains"] != nil && v.Servers["drains"].Draining
	}
	for _, d := range daemons {
		require.Eventually(t, func() bool { return upToDate(d) }, 3*time.Second, 5*time.Millisecond)
	}

	env.store.Restore(copied)
	until := time.Now().Add(2500 * time.Millisecond) // longer than a watch and MissingGrace
	for time.Now().Before(until) {
		for _, d := range daemons {
			v := d.inv.View()
			require.Equal(t, inForce, v.Config.Version, "the configuration never reverts")
			require.NotContains(t, v.Servers, "leaves")
			require.Contains(t, v.Servers, "new")
			require.True(t, v.Servers["drains"].Draining)
		}
		time.Sleep(10 * time.Millisecond)
	}

	// Later writes have lower revisions than those before the restore.
	env.store.Set("servers", "drains", drains)
	env.store.Remove("servers", "leaves")
	env.store.Set("servers", "new", old[0].Record("plain", "domain-1", ""))
	late := standin.NewServer("late")
	t.Cleanup(late.Kill)
	env.store.Set("servers", "late", late.Record("plain", "domain-1", ""))
	env.store.Remove("servers", "stays")
	env.putConfig()
	for _, d := range daemons {
		require.Eventually(t, func() bool {
			v := d.inv.View()
			return v.Servers["late"] != nil && v.Servers["stays"] == nil && v.Config.Version == uint64(env.version)
		}, 3*time.Second, 5*time.Millisecond, "%s knows %v", d.set.Name, d.inv.View().Servers)
	}
}

// A daemon that starts while the store still lacks the configuration in force gets it
// from other daemons, and does not use the configuration in the copy.
func TestDaemonStartedOnOlderCopyAsksOthers(t *testing.T) {
	env := newTestEnv(t)
	env.putConfig()
	env.servers("plain", "", "p")
	inDomain := func(domain string, first bool) func(*site.Settings) {
		return func(s *site.Settings) { s.FailureDomain, s.FirstStart = domain, first }
	}
	first := env.daemon("vm-1", inDomain("domain-1", true))
	other := env.daemon("vm-2", inDomain("domain-2", true))
	first.ready(t, 1)
	other.ready(t, 1)
	copied := env.store.Snapshot()
	env.putConfig()
	inForce := uint64(env.version)
	require.Eventually(t, func() bool {
		return other.inv.View().Config.Version == inForce && len(other.members.All()) == 2
	}, 5*time.Second, 5*time.Millisecond)
	env.store.Restore(copied)
	first.Kill()
	<-first.done
	again := env.daemon("vm-1", inDomain("domain-1", false)).ready(t, 1)
	require.Equal(t, inForce, again.inv.View().Config.Version)
	time.Sleep(1500 * time.Millisecond)
	require.Greater(t, again.inv.Age(boottime.Now()), time.Second, "the copy is no proof of freshness")
	// A write proves freshness for about half a second, which a test that is delayed may miss.
	require.Eventually(t, func() bool {
		env.store.Set("config", "main", env.config)
		time.Sleep(10 * time.Millisecond)
		return again.inv.Age(boottime.Now()) < 950*time.Millisecond
	}, 3*time.Second, 100*time.Millisecond)
}

// Guards against a key that had been taken away and works again at a daemon that the store did not answer
// from before that on until it was restored from a copy (review/8). The other daemon still waits for the
// store as it is asked.
func TestKeyTakenAwayIsRefusedAfterARestore(t *testing.T) {
	const taken = "key-taken"
	env := newTestEnv(t)
	setKeys := func(keys ...string) {
		env.config["tenants"] = []map[string]any{{"name": sitetrial.Workspace, "apiKeys": keys}}
		env.putConfig()
	}
	setKeys(sitetrial.Key, taken)
	env.servers("plain", "", "p")
	p, err := standin.NewProxy(env.store.Address())
	require.NoError(t, err)
	t.Cleanup(p.Close)
	env.daemon("vm-1", func(s *site.Settings) { s.FailureDomain = "domain-2" }).ready(t, 1)
	apart := env.daemon("vm-2", func(s *site.Settings) { s.Store = p.Address() }).ready(t, 1)
	require.Eventually(t, func() bool { return len(apart.members.All()) == 2 }, 5*time.Second, 5*time.Millisecond)
	status := func(key string) int { return apart.call(t, call{method: "GET", path: "/plain/", key: key}).Status }
	require.Equal(t, http.StatusOK, status(taken))
	copied := env.store.Snapshot()
	p.Set(standin.Silence)
	setKeys(sitetrial.Key)
	time.Sleep(5 * time.Second)
	env.store.SetMode(standin.Silent)
	time.Sleep(time.Second)
	env.store.Restore(copied)
	env.store.SetMode(standin.Healthy)
	p.Set(standin.Pass)
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		require.NotEqual(t, http.StatusOK, status(taken))
	}
	env.store.Set("config", "main", env.config)
	require.Eventually(t, func() bool { return status(sitetrial.Key) == http.StatusOK }, 3*time.Second, 20*time.Millisecond)
	require.Equal(t, http.StatusUnauthorized, status(taken))
}

// Guards against a daemon that refuses keys for seconds after its start, long after the store was restored,
// because it does not ask the others once it doubts the store's configuration.
func TestDaemonStartedLongAfterARestoreServesSoon(t *testing.T) {
	env := newTestEnv(t)
	env.putConfig()
	env.servers("plain", "", "p")
	inDomain := func(domain string, first bool) func(*site.Settings) {
		return func(s *site.Settings) { s.FailureDomain, s.FirstStart = domain, first }
	}
	other := env.daemon("vm-2", inDomain("domain-2", true)).ready(t, 1)
	env.store.Restore(env.store.Snapshot())
	require.Eventually(t, func() bool { return other.inv.Age(boottime.Now()) < 1500*time.Millisecond }, 8*time.Second, 20*time.Millisecond)
	time.Sleep(6 * time.Second)
	started := env.daemon("vm-1", inDomain("domain-1", false)).ready(t, 1)
	began := time.Now()
	require.Eventually(t, func() bool {
		return started.call(t, call{method: "GET", path: "/plain/"}).Status == http.StatusOK
	}, 8*time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(began), 1500*time.Millisecond)
}
