package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

// Guards against requests to backend servers that left without a word as the source of their
// failure domain was lost, however many of a service leave at once (review/3).
func TestServersThatLeaveBehindALostSourceAreDroppedInTime(t *testing.T) {
	for name, leaving := range map[string]int{"one": 1, "two": 2, "all": 3} {
		t.Run(name, func(t *testing.T) {
			env := newConfiguredEnv(t)
			servers := env.servers("plain", "", "plain-1", "plain-2", "plain-3")
			p, err := standin.NewProxy(env.store.Address())
			require.NoError(t, err)
			t.Cleanup(p.Close)
			first := env.daemon("daemon-1", func(s *site.Settings) { s.Store = p.Address() }).ready(t, len(servers))
			others := []*testDaemon{env.daemon("daemon-2", nil).ready(t, len(servers)), env.daemon("daemon-3", nil).ready(t, len(servers))}
			for _, d := range others {
				awaitFollowing(t, first, d)
			}
			time.Sleep(missingGraceAtLeast)
			p.Set(standin.Silence)
			time.Sleep(100 * time.Millisecond)
			for _, s := range servers[:leaving] {
				env.store.Remove("servers", s.ID)
			}
			acknowledged := time.Now()
			for _, d := range others {
				require.Eventually(t, func() bool { return len(d.inv.View().Servers) == len(servers)-leaving }, silentDrain-time.Since(acknowledged), 5*time.Millisecond)
			}
		})
	}
}

// missingGraceAtLeast is the time for which the store must have answered before a list of it proves
// that a backend server has left.
const missingGraceAtLeast = 2 * time.Second

// Guards against refusals after an outage in which records have expired: they are about to be
// written again, whether a part of a service or all of it has expired.
func TestRecordsThatExpireInAnOutageCauseNoRefusal(t *testing.T) {
	for name, expired := range map[string]int{"one": 1, "two": 2, "all": 3} {
		t.Run(name, func(t *testing.T) {
			env := newConfiguredEnv(t)
			servers := env.servers("plain", "", "plain-1", "plain-2", "plain-3")
			failOpen := func(s *site.Settings) { s.FailClosed = false } // keys would be refused for the age of the configuration
			daemons := []*testDaemon{env.daemon("daemon-1", failOpen).ready(t, len(servers)), env.daemon("daemon-2", failOpen).ready(t, len(servers))}
			awaitFollowing(t, daemons[0], daemons[1])
			time.Sleep(missingGraceAtLeast)
			env.store.SetMode(standin.Refusing)
			time.Sleep(2500 * time.Millisecond)
			for _, s := range servers[:expired] {
				env.store.Remove("servers", s.ID)
			}
			time.Sleep(500 * time.Millisecond)
			var wg sync.WaitGroup
			until := time.Now().Add(4 * time.Second)
			for _, d := range daemons {
				wg.Go(func() {
					for time.Now().Before(until) {
						if a := d.call(t, call{method: "GET", path: "/plain/"}); a.Status != http.StatusOK {
							t.Errorf("%s: status %d", d.set.Name, a.Status)
						}
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			env.store.SetMode(standin.Healthy)
			time.Sleep(1500 * time.Millisecond)
			for _, s := range servers[:expired] {
				env.store.Set("servers", s.ID, s.Record("plain", "domain-1", ""))
			}
			wg.Wait()
			for _, d := range daemons {
				require.Len(t, d.inv.View().Servers, len(servers))
			}
		})
	}
}
