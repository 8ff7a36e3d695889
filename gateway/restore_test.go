package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

// A store that comes back from an older copy takes nothing back: what drains gets no work,
// what has left stays away, what has just registered is used, and the configuration in
// force stays. What is written from then on is known soon, although the revisions were
// given out before.
func TestStoreThatComesBackOlder(t *testing.T) {
	w := newWorld(t)
	w.putConfig()
	old := w.servers("plain", "", "drains", "leaves", "stays")
	first := w.daemon("vm-1", nil)
	second := w.daemon("vm-2", func(s *site.Settings) { s.FirstStart = false })
	daemons := []*running{first.ready(t, 3), second.ready(t, 3)}
	copied := w.store.Copy()

	drains := old[0].Record("plain", "domain-1", "")
	drains["state"] = "draining"
	w.store.Set("servers", "drains", drains)
	w.store.Remove("servers", "leaves")
	w.servers("plain", "", "new")
	w.putConfig()
	for range 20 {
		w.store.Set("servers", "stays", old[2].Record("plain", "domain-1", "")) // revisions grow
	}
	inForce := uint64(w.version)
	settled := func(r *running) bool {
		v := r.inv.View()
		return v.Config.Version == inForce && len(v.Servers) == 3 && v.Servers["drains"] != nil && v.Servers["drains"].Draining
	}
	for _, r := range daemons {
		require.Eventually(t, func() bool { return settled(r) }, 3*time.Second, 5*time.Millisecond)
	}

	w.store.Restore(copied)
	until := time.Now().Add(2500 * time.Millisecond) // longer than a watch and a grace
	for time.Now().Before(until) {
		for _, r := range daemons {
			v := r.inv.View()
			require.Equal(t, inForce, v.Config.Version, "the configuration never reverts")
			require.NotContains(t, v.Servers, "leaves")
			require.Contains(t, v.Servers, "new")
			require.True(t, v.Servers["drains"].Draining)
		}
		time.Sleep(10 * time.Millisecond)
	}

	// Written again, and more: all below the revisions of before.
	w.store.Set("servers", "drains", drains)
	w.store.Remove("servers", "leaves")
	w.store.Set("servers", "new", old[0].Record("plain", "domain-1", ""))
	late := standin.NewServer("late")
	t.Cleanup(late.Kill)
	w.store.Set("servers", "late", late.Record("plain", "domain-1", ""))
	w.store.Remove("servers", "stays")
	w.putConfig()
	for _, r := range daemons {
		require.Eventually(t, func() bool {
			v := r.inv.View()
			return v.Servers["late"] != nil && v.Servers["stays"] == nil && v.Config.Version == uint64(w.version)
		}, 3*time.Second, 5*time.Millisecond, "%s knows %v", r.set.Name, r.inv.View().Servers)
	}
}

// A daemon that starts while the store still lacks the configuration in force asks the
// others for it: it never serves by the copy.
func TestDaemonThatKnowsOnlyTheCopyAsksTheOthers(t *testing.T) {
	w := newWorld(t)
	w.putConfig()
	w.servers("plain", "", "p")
	inDomain := func(domain string, first bool) func(*site.Settings) {
		return func(s *site.Settings) { s.FailureDomain, s.FirstStart = domain, first }
	}
	first := w.daemon("vm-1", inDomain("domain-1", true))
	other := w.daemon("vm-2", inDomain("domain-2", true))
	first.ready(t, 1)
	other.ready(t, 1)
	copied := w.store.Copy()
	w.putConfig()
	inForce := uint64(w.version)
	require.Eventually(t, func() bool {
		return other.inv.View().Config.Version == inForce && len(other.members.All()) == 2
	}, 5*time.Second, 5*time.Millisecond)
	w.store.Restore(copied)
	first.Kill()
	<-first.done
	again := w.daemon("vm-1", inDomain("domain-1", false)).ready(t, 1)
	require.Equal(t, inForce, again.inv.View().Config.Version)
	time.Sleep(1500 * time.Millisecond)
	require.Greater(t, again.inv.Age(boottime.Now()), time.Second, "the copy proves nothing")
	w.store.Set("config", "main", w.config)
	require.Eventually(t, func() bool { return again.inv.Age(boottime.Now()) < 950*time.Millisecond }, 3*time.Second, 5*time.Millisecond)
}
