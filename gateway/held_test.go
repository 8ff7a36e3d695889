package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
	"github.com/snowspoke/snowspoke/site"
)

// crashingSite is a site with three daemons whose heads a request makes end.
func crashingSite(t *testing.T) (w *world, heads []*standin.Server, daemons []*running) {
	t.Helper()
	w = newWorld(t)
	w.putConfig()
	heads, _ = w.pipeline(20, 2)
	for _, h := range heads {
		h.CrashOn(crashing)
	}
	for i := range 3 {
		daemons = append(daemons, w.daemon(fmt.Sprint("vm-", i+1), nil).ready(t, 22))
	}
	return w, heads, daemons
}

func visitCrashing(t *testing.T, daemons []*running, visits int) {
	t.Helper()
	for visit := range visits {
		daemons[visit%len(daemons)].call(t, call{method: "POST", path: "/stream/", body: crashing, id: fmt.Sprint("visit-", time.Now().UnixNano())})
		time.Sleep(100 * time.Millisecond)
	}
}

// restartAll kills all daemons at one moment and starts them again.
func restartAll(t *testing.T, w *world, daemons []*running) []*running {
	t.Helper()
	for _, d := range daemons {
		d.Kill()
	}
	for _, d := range daemons {
		<-d.done
	}
	var again []*running
	for _, d := range daemons {
		again = append(again, w.daemon(d.set.Name, func(s *site.Settings) { s.FirstStart = false }))
	}
	for _, d := range again {
		d.ready(t, 18)
	}
	return again
}

// What is held back outlasts the daemons: after all of them were killed, a request that
// ends what runs it reaches no backend server, neither at the daemon that follows the
// store nor at those that follow that one.
func TestHeldBackOutlastsAllDaemons(t *testing.T) {
	t.Parallel()
	w, heads, daemons := crashingSite(t)
	visitCrashing(t, daemons, 6)
	require.Len(t, runsOf(heads, crashing), 2, "held back after two")
	require.Eventually(t, func() bool { return w.store.Calls("POST", kindQuarantine) > 0 }, 3*time.Second, 10*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	daemons = restartAll(t, w, daemons)
	visitCrashing(t, daemons, 6)
	require.Len(t, runsOf(heads, crashing), 2, "backend servers that it has ended")
}

// A store that comes back from a copy without it gets it again; few calls are made for it.
func TestHeldBackIsWrittenAgainAfterACopy(t *testing.T) {
	t.Parallel()
	w, heads, daemons := crashingSite(t)
	before := w.store.Copy()
	visitCrashing(t, daemons, 6)
	stored := func() bool { return w.store.Has(kindQuarantine, heldObject) }
	require.Eventually(t, stored, 3*time.Second, 10*time.Millisecond)
	w.store.Restore(before)
	require.False(t, stored())
	require.Eventually(t, stored, 4*time.Second, 10*time.Millisecond)
	daemons = restartAll(t, w, daemons)
	visitCrashing(t, daemons, 6)
	require.Len(t, runsOf(heads, crashing), 2, "backend servers that it has ended")
	writes := w.store.Calls("POST", kindQuarantine) + w.store.Calls("PUT", kindQuarantine)
	require.LessOrEqual(t, writes, 4, "writes of one request that is held back, through one return of the store")
}

// What is held back in an outage of the store is kept soon after it: until then a moment at
// which all daemons are killed would lose it. The outage itself costs few calls.
func TestHeldBackIsKeptSoonAfterAnOutage(t *testing.T) {
	t.Parallel()
	w, heads, daemons := crashingSite(t)
	w.store.SetTrouble(standin.Refusing)
	before := w.store.Calls("GET", kindQuarantine)
	visitCrashing(t, daemons, 6)
	require.Len(t, runsOf(heads, crashing), 2, "held back after two")
	time.Sleep(4 * time.Second)
	require.LessOrEqual(t, w.store.Calls("GET", kindQuarantine)-before+w.store.Calls("POST", kindQuarantine), 12)
	w.store.SetTrouble(standin.Sound)
	require.Eventually(t, func() bool { return w.store.Has(kindQuarantine, heldObject) }, 3*time.Second, 10*time.Millisecond)
}
