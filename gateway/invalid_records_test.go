package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/standin"
)

// An invalid record is not used, also when it replaces a valid one. Other records are not
// affected.
func TestInvalidRecordsAreNotUsed(t *testing.T) {
	t.Parallel()
	invalidate := map[string]func(record map[string]any){
		"unknown state":                func(r map[string]any) { r["state"] = "resting" },
		"missing state":                func(r map[string]any) { delete(r, "state") },
		"address of another type":      func(r map[string]any) { r["address"] = 7 },
		"address without a port":       func(r map[string]any) { r["address"] = "10.0.0.1" },
		"port 0":                       func(r map[string]any) { r["address"] = "127.0.0.1:0" },
		"port -1":                      func(r map[string]any) { r["address"] = "127.0.0.1:-1" },
		"port out of range":            func(r map[string]any) { r["address"] = "127.0.0.1:70000" },
		"port of twenty digits":        func(r map[string]any) { r["address"] = "127.0.0.1:12345678901234567890" },
		"port by name":                 func(r map[string]any) { r["address"] = "127.0.0.1:http" },
		"address without a host":       func(r map[string]any) { r["address"] = ":80" },
		"missing version":              func(r map[string]any) { delete(r, "version") },
		"missing time until warm":      func(r map[string]any) { delete(r, "coldLeftMs") },
		"missing sequence":             func(r map[string]any) { delete(r, "sequence") },
		"missing start":                func(r map[string]any) { delete(r, "born") },
		"another service":              func(r map[string]any) { r["service"] = "other" },
		"slots of another type":        func(r map[string]any) { r["slots"] = "many" },
		"start that is not an integer": func(r map[string]any) { r["born"] = 1.5 },
		"reversed layers":              func(r map[string]any) { r["layers"] = map[string]any{"from": 9, "targetVersion": 3} },
		"list instead of a record":     nil,
	}
	env := newTestEnv(t)
	env.putConfig()
	good := env.servers("plain", "", "plain-good")[0]
	var all []*standin.Server
	for i := range len(invalidate) {
		s := env.servers("plain", "", fmt.Sprint("plain-", i))[0]
		s.SetBorn(1_790_000_000_000)
		env.store.Set("servers", s.ID, s.Record("plain", "domain-1", ""))
		all = append(all, s)
	}
	d := env.daemon("daemon-1", nil).ready(t, 1+len(invalidate))
	i := 0
	for what, change := range invalidate {
		record := any([]int{1})
		if change != nil {
			r := all[i].Record("plain", "domain-1", "")
			change(r)
			record = r
		}
		env.store.Set("servers", all[i].ID, record)
		require.Eventually(t, func() bool { return len(d.inv.View().Servers) == len(invalidate)-i }, 2*time.Second, 5*time.Millisecond, what)
		i++
	}
	require.Len(t, d.inv.View().Servers, 1)
	require.Equal(t, http.StatusOK, d.call(t, call{method: "GET", path: "/plain/"}).Status)
	require.Len(t, good.Runs(), 1)
	env.store.Set("servers", all[0].ID, all[0].Record("plain", "domain-1", ""))
	require.Eventually(t, func() bool { return len(d.inv.View().Servers) == 2 }, 2*time.Second, 5*time.Millisecond, "a valid one is used again")
}

// An entry that cannot be decoded does not affect others in its list or watch, also at the
// start of a daemon.
func TestUnreadableEntryDoesNotAffectOthers(t *testing.T) {
	t.Parallel()
	for _, raw := range []string{
		`{"metadata":{"name":7,"revision":"x"},"spec":{}}`, `"bytes"`, `null`, `[]`, `{}`, `{"metadata":{"name":"odd","revision":9},"spec":"\x00"}`,
		`{"metadata":{"name":"odd"},"spec":tru}`, "{\"metadata\":{\"name\":\"odd\"},\"spec\":\"\xff\x01\"}",
		`{"metadata":{"name":"odd","revision":9},"spec":{"service":"pl`, `{"metadata":{"name":"odd","revision":9},"spec":[[[[`,
		`{"metadata":{"name":"odd","revision":9},"spec":` + strings.Repeat("[", 2_000_000) + strings.Repeat("]", 2_000_000) + `}`,
	} {
		env := newTestEnv(t)
		env.putConfig()
		env.servers("plain", "", "plain-1", "plain-2")
		env.store.SetForeign("servers", raw)
		env.store.SetForeign("snowspoke-daemons", raw)
		d := env.daemon("daemon-1", nil).ready(t, 2)
		env.servers("plain", "", "plain-3")
		require.Eventually(t, func() bool { return len(d.inv.View().Servers) == 3 }, 2*time.Second, 5*time.Millisecond, "%.80s", raw)
		env.store.SetForeign("servers", raw)
		env.servers("plain", "", "plain-4")
		require.Eventually(t, func() bool { return len(d.inv.View().Servers) == 4 }, 2*time.Second, 5*time.Millisecond, "%.80s", raw)
		require.Positive(t, d.members.Daemons(), "%.80s", raw)
	}
}

// A backend server that restarts under its ID is a new incarnation: a cooldown of the
// earlier one does not apply to it.
func TestRestartedBackendServerHasNoCooldown(t *testing.T) {
	env := newConfiguredEnv(t)
	old := env.servers("plain", "", "plain-1")[0]
	old.SetBorn(1_790_000_000_000)
	env.store.Set("servers", old.ID, old.Record("plain", "domain-1", ""))
	d := env.daemon("daemon-1", nil).ready(t, 1)
	old.Kill()
	require.NotEqual(t, http.StatusOK, d.call(t, call{method: "GET", path: "/plain/"}).Status)
	again := standin.NewServer(old.ID)
	t.Cleanup(again.Kill)
	again.SetBorn(1_790_000_001_000)
	env.store.Set("servers", again.ID, again.Record("plain", "domain-1", ""))
	began := time.Now()
	require.Eventually(t, func() bool {
		return d.call(t, call{method: "GET", path: "/plain/"}).Status == http.StatusOK
	}, 8*time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(began), time.Second, "no cooldown of the earlier incarnation")
}
