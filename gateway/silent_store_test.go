package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

// Bounds of the settings in the tests of silent connections.
const (
	silentContact = 3 * time.Second // contactMs: a silent connection counts as a disruption for so long
	silentDrain   = 2 * time.Second // drainMs
)

// levelsOfDaemons starts ten daemons of one failure domain: the first follows the store through
// a proxy, seven follow the first, and the last two follow followers. It returns one of each level.
func (env *testEnv) levelsOfDaemons(servers int) (levels []*testDaemon, p *standin.Proxy) {
	t := env.t
	p, err := standin.NewProxy(env.store.Address())
	require.NoError(t, err)
	t.Cleanup(p.Close)
	var all []*testDaemon
	for i := range 10 {
		all = append(all, env.daemon(fmt.Sprintf("daemon-%d", i), func(s *site.Settings) { s.Store = p.Address() }))
	}
	for _, d := range all {
		d.ready(t, servers)
	}
	require.Eventually(t, func() bool {
		for i, d := range all {
			if d.relay.FollowsStore() != (i == 0) {
				return false
			}
		}
		return true
	}, 15*time.Second, 20*time.Millisecond)
	return []*testDaemon{all[0], all[1], all[9]}, p
}

// isDraining reports whether a daemon knows that a backend server is draining.
func (d *testDaemon) isDraining(id string) bool {
	s := d.inv.View().Servers[id]
	return s != nil && s.Draining
}

// setDraining writes the record of a draining backend server.
func (env *testEnv) setDraining(s *standin.Server) {
	record := s.Record("plain", "domain-1", "")
	record["state"] = "draining"
	env.store.Set("servers", s.ID, record)
}

// Guards against requests that reach a draining backend server because only the connection that
// waits for changes of backend servers has fallen silent (review/7).
func TestSilentWatchOfServersDoesNotHideThatOneDrains(t *testing.T) {
	env := newConfiguredEnv(t)
	servers := env.servers("plain", "", "plain-1", "plain-2")
	levels, p := env.levelsOfDaemons(len(servers))
	require.Eventually(t, func() bool { return p.SilenceLinks("/objects/servers?watch=") == 1 }, time.Second, 5*time.Millisecond)
	time.Sleep(silentContact + 300*time.Millisecond)
	env.setDraining(servers[0])
	acknowledged := time.Now()
	for level, d := range levels {
		require.Eventually(t, func() bool { return d.isDraining("plain-1") }, silentDrain-time.Since(acknowledged), 5*time.Millisecond,
			"daemon of level %d", level)
	}
}

// Other connections to the store that fall silent while new ones work: all changes are known to the
// daemons of all levels once the silence counts as over.
func TestSilentConnectionsToTheStoreHideNoChange(t *testing.T) {
	for name, text := range map[string]string{"watch of the configuration": "/objects/config?watch=", "all": "/objects/"} {
		t.Run(name, func(t *testing.T) {
			env := newConfiguredEnv(t)
			servers := env.servers("plain", "", "plain-1", "plain-2")
			levels, p := env.levelsOfDaemons(len(servers))
			require.Eventually(t, func() bool { return p.SilenceLinks(text) > 0 }, time.Second, 5*time.Millisecond)
			time.Sleep(silentContact)
			env.setDraining(servers[0])
			env.putConfig()
			acknowledged := time.Now()
			for level, d := range levels {
				require.Eventually(t, func() bool {
					return d.isDraining("plain-1") && d.inv.View().Config.Version == uint64(env.version)
				}, silentDrain-time.Since(acknowledged), 5*time.Millisecond, "daemon of level %d", level)
			}
		})
	}
}
