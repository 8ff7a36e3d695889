package inventory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/store"
)

// listed returns the record of a backend server as a list returns it.
func listed(id string, at store.Position, draining bool) ServerRecord {
	return ServerRecord{ID: id, At: at, Raw: []byte(id), Server: &site.BackendServer{
		ID: id, Service: "s", Address: "a:" + id, Draining: draining, Incarnation: site.Incarnation{Name: id},
	}}
}

// beforeRestore returns an inventory that has read era 1 up to revision 100.
func beforeRestore() *Inventory {
	i := newTestInventory()
	i.applyServers(store.At(1, 10), []ServerRecord{listed("drains", store.At(1, 3), false), listed("left", store.At(1, 4), false)}, true)
	i.applyServers(store.At(1, 100), []ServerRecord{
		listed("drains", store.At(1, 60), true), {ID: "left", At: store.At(1, 70), Gone: true}, listed("new", store.At(1, 80), false),
	}, false)
	return i
}

// copied returns the records of the copy, which is of revision 20.
func copied() []ServerRecord {
	return []ServerRecord{listed("drains", store.At(2, 3), false), listed("left", store.At(2, 4), false)}
}

func TestCopyRevertsNothing(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := beforeRestore()
		i.applyServers(store.At(2, 20), copied(), true)
		check := func() {
			t.Helper()
			v := i.View().Servers
			require.True(t, v["drains"].Draining, "draining is not reverted")
			require.NotContains(t, v, "left")
			require.Contains(t, v, "new", "it will write its record again")
		}
		check()
		time.Sleep(reconcileDelay - time.Millisecond)
		check()
	})
}

// Writes of the new era take effect although their revisions are lower than those of the
// same records before.
func TestNewEraSupersedesHigherRevisions(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := beforeRestore()
		i.applyServers(store.At(2, 20), copied(), true)
		i.applyServers(store.At(2, 25), []ServerRecord{
			{ID: "drains", At: store.At(2, 21), Gone: true}, listed("left", store.At(2, 22), false), listed("new", store.At(2, 23), true), listed("later", store.At(2, 24), false),
		}, false)
		v := i.View().Servers
		require.NotContains(t, v, "drains")
		require.Contains(t, v, "left", "written again after the restore")
		require.True(t, v["new"].Draining)
		require.Contains(t, v, "later")
		time.Sleep(reconcileDelay + MissingGrace + time.Second)
		synctest.Wait()
		require.Len(t, i.View().Servers, 3)
	})
}

// After reconcileDelay the content of the store counts as it is.
func TestCopyCountsAfterReconciliation(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := beforeRestore()
		i.applyServers(store.At(2, 20), copied(), true)
		time.Sleep(reconcileDelay + time.Millisecond)
		synctest.Wait()
		require.Contains(t, i.View().Servers, "left", "its record would have expired")
		require.False(t, i.View().Servers["drains"].Draining)
		time.Sleep(MissingGrace)
		synctest.Wait()
		require.NotContains(t, i.View().Servers, "new", "never written again")
	})
}

// An update from a daemon that does not know the new era neither restores nor removes
// anything.
func TestUpdatesOfAnEarlierEra(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := newTestInventory()
		raw := func(at store.Position) Entry { return Entry{Raw: []byte(`{"Service":"s","Address":"a:1"}`), At: at} }
		i.Apply(Update{Full: true, Restored: store.At(2, 20), Servers: map[string]Entry{"a": raw(store.At(2, 25))}})
		other := Entry{Raw: []byte(`{"Service":"s","Address":"a:2"}`), At: store.At(1, 90)}
		i.Apply(Update{Full: true, Restored: store.At(1, 5), Servers: map[string]Entry{"b": other}})
		i.Apply(Update{Restored: store.At(1, 5), Gone: []string{"a"}, Servers: map[string]Entry{"a": {Raw: []byte(`{"Service":"s","Address":"a:1","Draining":true}`), At: store.At(1, 99)}}})
		time.Sleep(MissingGrace + time.Second)
		synctest.Wait()
		require.Contains(t, i.View().Servers, "a")
		require.False(t, i.View().Servers["a"].Draining)
	})
}

// Reads of a store that lacks the configuration in force do not prove freshness.
func TestStoreBehindDoesNotProveFreshness(t *testing.T) {
	i := newTestInventory()
	read := func(at store.Position, fresh time.Time, versions ...uint64) {
		r := Read[ConfigRecord]{At: at}
		for _, v := range versions {
			r.Items = append(r.Items, ConfigRecord{Raw: []byte(fmt.Sprint(v)), Config: site.NewConfig(v, site.Limits{}, nil, nil, nil)})
		}
		i.applyConfig(r, true, fresh)
	}
	began := boottime.Now()
	at := func(s int) time.Time { return began.Add(time.Duration(s) * time.Second) }
	read(store.At(1, 10), at(1), 3)
	read(store.At(1, 50), at(2), 7)
	require.Equal(t, time.Duration(0), i.Age(at(2)))
	read(store.At(2, 20), at(3), 3) // the copy
	read(store.At(2, 20), at(4))    // no change
	require.EqualValues(t, 7, i.View().Config.Version)
	require.Equal(t, 3*time.Second, i.Age(at(5)))
	read(store.At(2, 30), at(6), 7) // written again
	require.Equal(t, time.Duration(0), i.Age(at(6)))
}

// An unconfirmed record that a later list lacks is removed.
func TestUnconfirmedRecordMissingFromListIsRemoved(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := beforeRestore()
		i.applyServers(store.At(2, 20), copied(), true)
		i.applyServers(store.At(2, 30), copied()[:1], true) // listed again: "left" was removed in between
		time.Sleep(reconcileDelay + time.Millisecond)
		synctest.Wait()
		require.NotContains(t, i.View().Servers, "left")
	})
}

// A backend server that was removed while this daemon could not reach the store stays
// removed, even if the copy has a later record of it than was ever received.
func TestCopyDoesNotRestoreServersRemovedUnseen(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := newTestInventory()
		i.applyServers(store.At(1, 10), []ServerRecord{listed("left", store.At(1, 4), false)}, true)
		i.applyServers(store.At(1, 100), nil, true) // it drained at revision 27 and was removed at 29
		time.Sleep(MissingGrace + time.Millisecond)
		synctest.Wait()
		require.Empty(t, i.View().Servers)
		i.applyServers(store.At(2, 28), []ServerRecord{listed("left", store.At(2, 27), true)}, true)
		require.Empty(t, i.View().Servers)
		i.applyServers(store.At(2, 30), []ServerRecord{{ID: "left", At: store.At(2, 29), Gone: true}}, false)
		time.Sleep(reconcileDelay)
		synctest.Wait()
		require.Empty(t, i.View().Servers)
	})
}

// configRead returns a read of one version of the configuration at a position.
func configRead(at store.Position, version uint64) Read[ConfigRecord] {
	return Read[ConfigRecord]{At: at, Items: []ConfigRecord{{Raw: []byte(fmt.Sprint(version)), Config: site.NewConfig(version, site.Limits{}, nil, nil, nil)}}}
}

// Guards against keys that are accepted although they had been taken away: a store that was restored from a
// copy proves nothing to a daemon that starts, or that the store had not answered before (review/8).
func TestCopyProvesNothingToADaemonWithoutARecentProof(t *testing.T) {
	for name, turnedAway := range map[string]bool{"starts": false, "was turned away": true} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				doubting := func() *Inventory {
					i := newTestInventory()
					if turnedAway {
						i.applyConfig(configRead(store.At(1, 10), 3), true, boottime.Now())
						time.Sleep(maxProofAge + time.Millisecond)
					}
					i.applyConfig(configRead(store.At(2, 10), 3), true, boottime.Now())
					require.True(t, i.DoubtsConfig())
					require.Greater(t, i.Age(boottime.Now()), maxProofAge)
					return i
				}
				confirmed := doubting()
				confirmed.ApplyConfirmed([]byte("7"), time.Second)
				require.EqualValues(t, 7, confirmed.View().Config.Version)
				confirmed.applyConfig(configRead(store.At(2, 10), 3), true, boottime.Now())
				require.Greater(t, confirmed.Age(boottime.Now()), maxProofAge, "the copy lacks the newest version")
				confirmed.applyConfig(configRead(store.At(2, 12), 7), false, boottime.Now())
				require.Less(t, confirmed.Age(boottime.Now()), time.Millisecond)

				outdated := doubting()
				outdated.ApplyConfirmed([]byte("3"), maxProofAge+time.Second)
				require.True(t, outdated.DoubtsConfig(), "the other daemon had no recent proof either")

				written := doubting()
				written.applyConfig(configRead(store.At(2, 12), 7), false, boottime.Now())
				require.Less(t, written.Age(boottime.Now()), time.Millisecond, "written since the restore")

				alone := doubting()
				time.Sleep(reconcileDelay)
				alone.applyConfig(configRead(store.At(2, 10), 3), true, boottime.Now())
				require.Less(t, alone.Age(boottime.Now()), time.Millisecond, "what was lost has been written again")
				time.Sleep(reconcileDelay)
				synctest.Wait()
			})
		})
	}
}

// A daemon that the store answered until it was restored knows the newest configuration.
func TestDaemonWithARecentProofDoesNotDoubtACopy(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := newTestInventory()
		i.applyConfig(configRead(store.At(1, 10), 3), true, boottime.Now())
		time.Sleep(2 * time.Second)
		i.applyConfig(configRead(store.At(2, 9), 3), true, boottime.Now())
		require.False(t, i.DoubtsConfig())
		require.Less(t, i.Age(boottime.Now()), time.Millisecond)
		time.Sleep(reconcileDelay)
		synctest.Wait()
	})
}
