package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

// newCrashEnv starts three daemons and a pipeline whose heads crash on a request.
func newCrashEnv(t *testing.T) (env *testEnv, heads []*standin.Server, daemons []*testDaemon) {
	t.Helper()
	env = newTestEnv(t)
	env.putConfig()
	heads, _ = env.pipeline(20, 2)
	for _, h := range heads {
		h.CrashOn(crashing)
	}
	for i := range 3 {
		daemons = append(daemons, env.daemon(fmt.Sprint("vm-", i+1), nil).ready(t, 22))
	}
	return env, heads, daemons
}

func sendCrashing(t *testing.T, daemons []*testDaemon, calls int) {
	t.Helper()
	for n := range calls {
		daemons[n%len(daemons)].call(t, call{method: "POST", path: "/stream/", body: crashing, id: fmt.Sprint("visit-", time.Now().UnixNano())})
		time.Sleep(100 * time.Millisecond)
	}
}

// restartAll kills all daemons at once and starts them again.
func restartAll(t *testing.T, env *testEnv, daemons []*testDaemon) []*testDaemon {
	t.Helper()
	for _, d := range daemons {
		d.Kill()
	}
	for _, d := range daemons {
		<-d.done
	}
	var again []*testDaemon
	for _, d := range daemons {
		again = append(again, env.daemon(d.set.Name, func(s *site.Settings) { s.FirstStart = false }))
	}
	for _, d := range again {
		d.ready(t, 18)
	}
	return again
}

// Quarantined requests outlast a restart of all daemons: they reach no backend server,
// neither through the daemon that follows the store nor through its followers.
func TestQuarantineOutlastsAllDaemons(t *testing.T) {
	t.Parallel()
	env, heads, daemons := newCrashEnv(t)
	sendCrashing(t, daemons, 6)
	require.Len(t, runsOf(heads, crashing), 2, "quarantined after two crashes")
	require.Eventually(t, func() bool { return env.store.Calls("POST", kindQuarantine) > 0 }, 3*time.Second, 10*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	daemons = restartAll(t, env, daemons)
	sendCrashing(t, daemons, 6)
	require.Len(t, runsOf(heads, crashing), 2, "crashed backend servers")
}

// A store that is restored from a copy without the record gets it again, with few writes.
func TestQuarantineIsRewrittenAfterARestore(t *testing.T) {
	t.Parallel()
	env, heads, daemons := newCrashEnv(t)
	before := env.store.Snapshot()
	sendCrashing(t, daemons, 6)
	stored := func() bool { return env.store.Has(kindQuarantine, quarantineObject) }
	require.Eventually(t, stored, 3*time.Second, 10*time.Millisecond)
	env.store.Restore(before)
	require.False(t, stored())
	require.Eventually(t, stored, 4*time.Second, 10*time.Millisecond)
	daemons = restartAll(t, env, daemons)
	sendCrashing(t, daemons, 6)
	require.Len(t, runsOf(heads, crashing), 2, "crashed backend servers")
	writes := env.store.Calls("POST", kindQuarantine) + env.store.Calls("PUT", kindQuarantine)
	require.LessOrEqual(t, writes, 4, "writes for one quarantined request and one restore of the store")
}

// Requests that are quarantined during an outage of the store are stored soon after it.
// The outage itself causes few calls.
func TestQuarantineIsStoredSoonAfterAnOutage(t *testing.T) {
	t.Parallel()
	env, heads, daemons := newCrashEnv(t)
	env.store.SetMode(standin.Refusing)
	before := env.store.Calls("GET", kindQuarantine)
	sendCrashing(t, daemons, 6)
	require.Len(t, runsOf(heads, crashing), 2, "quarantined after two crashes")
	time.Sleep(4 * time.Second)
	require.LessOrEqual(t, env.store.Calls("GET", kindQuarantine)-before+env.store.Calls("POST", kindQuarantine), 12)
	env.store.SetMode(standin.Healthy)
	require.Eventually(t, func() bool { return env.store.Has(kindQuarantine, quarantineObject) }, 3*time.Second, 10*time.Millisecond)
}
