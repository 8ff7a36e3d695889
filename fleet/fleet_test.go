package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

func status(name string, boot, seq uint64, leaving bool) backend.Status {
	return backend.Status{BackendServer: name, Boot: boot, Seq: seq, Leaving: leaving, Holdings: []backend.Holding{{Model: "m"}}}
}

func usable(t *Table, name string) bool {
	for _, i := range t.View().Servers {
		if i.Config.Name == name {
			return i.Usable && i.Live.Usable()
		}
	}
	return false
}

// A report that arrives before the configuration takes effect with the
// configuration.
func TestReportBeforeConfiguration(t *testing.T) {
	tb := NewTable()
	require.True(t, tb.ApplyStatus(status("a", 1, 1, false), time.Now()))
	require.Empty(t, tb.View().Servers)
	tb.SetConfig(map[string]*topology.BackendServer{"a": {Name: "a"}})
	require.Len(t, tb.View().Servers[0].Holdings, 1)
	require.True(t, usable(tb, "a"))
}

// Reports are ordered by the engine's boot and sequence, not by arrival.
func TestStaleReports(t *testing.T) {
	tb := NewTable()
	tb.SetConfig(map[string]*topology.BackendServer{"a": {Name: "a"}})
	now := time.Now()
	require.True(t, tb.ApplyStatus(status("a", 2, 5, true), now))
	require.False(t, tb.ApplyStatus(status("a", 2, 4, false), now))
	require.False(t, tb.ApplyStatus(status("a", 1, 9, false), now))
	require.False(t, usable(tb, "a"))
	require.True(t, tb.ApplyStatus(status("a", 3, 1, false), now))
	require.True(t, usable(tb, "a"))
}

func TestLeavingByConfigurationAndVMList(t *testing.T) {
	tb := NewTable()
	tb.SetConfig(map[string]*topology.BackendServer{"a": {Name: "a"}, "b": {Name: "b", Labels: topology.Labels{topology.LabelDrain: "true"}}})
	require.True(t, tb.Leaving("b"))
	require.True(t, tb.Leaving("gone"))
	require.False(t, tb.Leaving("a"))
	version := tb.Version()
	tb.SetVMs([]store.VM{{Name: "a", State: store.VMLeaving}})
	require.True(t, tb.Leaving("a"))
	require.Greater(t, tb.Version(), version)
	version = tb.Version()
	tb.SetVMs([]store.VM{{Name: "a", State: store.VMLeaving}})
	require.Equal(t, version, tb.Version(), "an equal list changes nothing")
	tb.SetVMs(nil)
	tb.SetHealth("a", true, 1)
	require.False(t, usable(tb, "a"))
	require.False(t, tb.Leaving("a"), "an ejected server is not leaving")
}

func TestLoadIsDiscounted(t *testing.T) {
	tb := NewTable()
	tb.SetConfig(map[string]*topology.BackendServer{"a": {Name: "a"}})
	s := tb.Server("a")
	now := time.Now()
	s.Acquire()
	s.ApplyLoad(9, now)
	require.InDelta(t, 9, s.Load(now), 0.01)
	require.InDelta(t, 5, s.Load(now.Add(loadHalfLife)), 0.01)
	s.ApplyLoad(100, now.Add(-time.Second))
	require.InDelta(t, 9, s.Load(now), 0.01, "an older report is ignored")
}
