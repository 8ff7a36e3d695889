package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
)

// An entry of another writer names no backend server to use, whatever is wrong with it,
// also where it takes the place of a valid one; the others hold.
func TestEntriesOfOtherWritersAreNotUsed(t *testing.T) {
	t.Parallel()
	spoil := map[string]func(record map[string]any){
		"a state that has no name here": func(r map[string]any) { r["state"] = "resting" },
		"no state":                      func(r map[string]any) { delete(r, "state") },
		"an address of another type":    func(r map[string]any) { r["address"] = 7 },
		"an address without a port":     func(r map[string]any) { r["address"] = "10.0.0.1" },
		"slots of another type":         func(r map[string]any) { r["slots"] = "many" },
		"a start that is not whole":     func(r map[string]any) { r["born"] = 1.5 },
		"layers the wrong way":          func(r map[string]any) { r["layers"] = map[string]any{"from": 9, "targetVersion": 3} },
		"a list instead of a record":    nil,
	}
	w := newWorld(t)
	w.putConfig()
	good := w.servers("plain", "", "plain-good")[0]
	var all []*standin.Server
	for i := range len(spoil) {
		all = append(all, w.servers("plain", "", fmt.Sprint("plain-", i))...)
	}
	d := w.daemon("daemon-1", nil).ready(t, 1+len(spoil))
	i := 0
	for what, change := range spoil {
		record := any([]int{1})
		if change != nil {
			r := all[i].Record("plain", "domain-1", "")
			change(r)
			record = r
		}
		w.store.Set("servers", all[i].ID, record)
		require.Eventually(t, func() bool { return d.inv.View().Servers[all[i].ID] == nil }, 2*time.Second, 5*time.Millisecond, what)
		i++
	}
	require.Len(t, d.inv.View().Servers, 1)
	require.Equal(t, http.StatusOK, d.call(t, call{method: "GET", path: "/plain/"}).Status)
	require.Len(t, good.Runs(), 1)
	w.store.Set("servers", all[0].ID, all[0].Record("plain", "domain-1", ""))
	require.Eventually(t, func() bool { return len(d.inv.View().Servers) == 2 }, 2*time.Second, 5*time.Millisecond, "a valid one is used again")
}

// One entry that cannot be read takes nothing else of its list or watch with it, also at
// a start.
func TestUnreadableEntryTakesNoOtherWithIt(t *testing.T) {
	t.Parallel()
	for _, raw := range []string{
		`{"metadata":{"name":7,"revision":"x"},"spec":{}}`, `"bytes"`, `null`, `[]`, `{}`, `{"metadata":{"name":"odd","revision":9},"spec":"\x00"}`,
		`{"metadata":{"name":"odd"},"spec":tru}`, "{\"metadata\":{\"name\":\"odd\"},\"spec\":\"\xff\x01\"}",
	} {
		w := newWorld(t)
		w.putConfig()
		w.servers("plain", "", "plain-1", "plain-2")
		w.store.SetForeign("servers", raw)
		w.store.SetForeign("snowspoke-daemons", raw)
		d := w.daemon("daemon-1", nil).ready(t, 2)
		w.servers("plain", "", "plain-3")
		require.Eventually(t, func() bool { return len(d.inv.View().Servers) == 3 }, 2*time.Second, 5*time.Millisecond, "%s", raw)
		w.store.SetForeign("servers", raw)
		w.servers("plain", "", "plain-4")
		require.Eventually(t, func() bool { return len(d.inv.View().Servers) == 4 }, 2*time.Second, 5*time.Millisecond, "%s", raw)
		require.Positive(t, d.members.Daemons(), "%s", raw)
	}
}

// A backend server that starts again under its ID is another one: what was found out
// about its life before says nothing of it.
func TestRebornBackendServerStartsClean(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.putConfig()
	old := w.servers("plain", "", "plain-1")[0]
	old.SetBorn(1_790_000_000_000)
	w.store.Set("servers", old.ID, old.Record("plain", "domain-1", ""))
	d := w.daemon("daemon-1", nil).ready(t, 1)
	old.Kill()
	require.NotEqual(t, http.StatusOK, d.call(t, call{method: "GET", path: "/plain/"}).Status)
	again := standin.NewServer(old.ID)
	t.Cleanup(again.Kill)
	again.SetBorn(1_790_000_001_000)
	w.store.Set("servers", again.ID, again.Record("plain", "domain-1", ""))
	began := time.Now()
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/plain/"}).Status == http.StatusOK
	}, 8*time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(began), time.Second, "a cooldown of its life before is over")
}
