package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

// After a suspension that is longer than the bound on revoked keys, keys are refused at
// once, although the monotonic clock shows a recent read of the configuration. Tests of
// suspensions do not run in parallel, since they change the clock of the process.
func TestKeysFailClosedAfterASuspension(t *testing.T) {
	env := newTestEnv(t)
	env.putConfig()
	env.servers("plain", "", "plain-1")
	p, err := standin.NewProxy(env.store.Address())
	require.NoError(t, err)
	t.Cleanup(p.Close)
	d := env.daemon("daemon-1", func(s *site.Settings) { s.Store = p.Address() }).ready(t, 1)
	require.Equal(t, http.StatusOK, d.call(t, call{method: "GET", path: "/plain/"}).Status)
	p.Set(standin.Silence)
	boottime.SimulateSuspension(6 * time.Second)
	a := d.call(t, call{method: "GET", path: "/plain/", id: "woken"})
	require.Equal(t, http.StatusServiceUnavailable, a.Status)
	require.Equal(t, string(apierror.ConfigUnavailable)+"\n", a.Body)
	p.Set(standin.Pass)
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/plain/", id: "again"}).Status == http.StatusOK
	}, 5*time.Second, 20*time.Millisecond)
}

// A request whose deadline passes while the VM is suspended ends when the VM resumes, and
// the placement lease is no longer held.
func TestDeadlinesAndLeaseExpireDuringSuspension(t *testing.T) {
	env := newTestEnv(t)
	env.putConfig()
	heads, _ := env.pipeline(1, 1)
	heads[0].Events, heads[0].EventGap = 400, 20*time.Millisecond
	d := env.daemon("daemon-1", nil).ready(t, 2)
	require.Eventually(t, func() bool {
		_, held := d.leases.Held()
		return held
	}, 5*time.Second, 10*time.Millisecond)
	began := time.Now()
	answers := make(chan answer, 1)
	go func() { answers <- d.call(t, call{method: "POST", path: "/stream/"}) }()
	require.Eventually(t, func() bool { return len(heads[0].Runs()) == 1 }, 2*time.Second, 5*time.Millisecond)
	boottime.SimulateSuspension(6 * time.Second) // its caller waits for 5 s
	_, held := d.leases.Held()
	require.False(t, held, "others may hold the lease by now")
	a := <-answers
	refused := a.Status == http.StatusGatewayTimeout // if no event was sent yet
	require.True(t, a.Err != nil || refused, "an incomplete answer does not look complete: status %d", a.Status)
	require.Less(t, time.Since(began), 3*time.Second)
}

// A daemon lists the others at once after a suspension, since its source and its shares of
// fleet-wide bounds depend on the list.
func TestDaemonsAreListedAfterASuspension(t *testing.T) {
	env := newTestEnv(t)
	env.putConfig()
	env.servers("plain", "", "plain-1")
	first := env.daemon("daemon-1", nil).ready(t, 1)
	second := env.daemon("daemon-2", nil).ready(t, 1)
	require.Equal(t, 2, second.members.Daemons())
	require.Equal(t, 1, first.members.Daemons(), "its next list comes later")
	boottime.SimulateSuspension(6 * time.Second)
	require.Eventually(t, func() bool { return first.members.Daemons() == 2 }, time.Second, 10*time.Millisecond)
}
