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

// listed returns the record of a backend server as a list gives it.
func listed(id string, at store.Position, draining bool) ServerRecord {
	return ServerRecord{ID: id, At: at, Raw: []byte(id), Server: &site.BackendServer{
		ID: id, Service: "s", Address: "a:" + id, Draining: draining, Incarnation: site.Incarnation{Name: id},
	}}
}

// beforeRestore is an inventory that has read era 1 up to revision 100.
func beforeRestore() *Inventory {
	i := newTest()
	i.takeServers(store.At(1, 10), []ServerRecord{listed("drains", store.At(1, 3), false), listed("left", store.At(1, 4), false)}, true)
	i.takeServers(store.At(1, 100), []ServerRecord{
		listed("drains", store.At(1, 60), true), {ID: "left", At: store.At(1, 70), Gone: true}, listed("new", store.At(1, 80), false),
	}, false)
	return i
}

// copied is what the copy of revision 20 has.
func copied() []ServerRecord {
	return []ServerRecord{listed("drains", store.At(2, 3), false), listed("left", store.At(2, 4), false)}
}

func TestCopyTakesNothingBack(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := beforeRestore()
		i.takeServers(store.At(2, 20), copied(), true)
		check := func() {
			t.Helper()
			v := i.View().Servers
			require.True(t, v["drains"].Draining, "it said that it drains")
			require.NotContains(t, v, "left")
			require.Contains(t, v, "new", "it writes its record again")
		}
		check()
		time.Sleep(settleAfter - time.Millisecond)
		check()
	})
}

// What is written in the new era counts, although its revisions are lower than those of
// the same records before.
func TestNewEraCountsWhateverItsRevisions(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := beforeRestore()
		i.takeServers(store.At(2, 20), copied(), true)
		i.takeServers(store.At(2, 25), []ServerRecord{
			{ID: "drains", At: store.At(2, 21), Gone: true}, listed("left", store.At(2, 22), false), listed("new", store.At(2, 23), true), listed("later", store.At(2, 24), false),
		}, false)
		v := i.View().Servers
		require.NotContains(t, v, "drains")
		require.Contains(t, v, "left", "written again after the store came back")
		require.True(t, v["new"].Draining)
		require.Contains(t, v, "later")
		time.Sleep(settleAfter + lapseGrace + time.Second)
		synctest.Wait()
		require.Len(t, i.View().Servers, 3)
	})
}

// Once the store has had the time to tell everything again, it is believed as it is.
func TestCopyIsBelievedOnceItHasSettled(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := beforeRestore()
		i.takeServers(store.At(2, 20), copied(), true)
		time.Sleep(settleAfter + time.Millisecond)
		synctest.Wait()
		require.Contains(t, i.View().Servers, "left", "its record would have lapsed")
		require.False(t, i.View().Servers["drains"].Draining)
		time.Sleep(lapseGrace)
		synctest.Wait()
		require.NotContains(t, i.View().Servers, "new", "never written again")
	})
}

// A daemon that has not heard of the new era brings nothing back and takes nothing away.
func TestWordsOfAnEarlierEra(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := newTest()
		raw := func(at store.Position) Entry { return Entry{Raw: []byte(`{"Service":"s","Address":"a:1"}`), At: at} }
		i.Apply(Update{Full: true, Restored: store.At(2, 20), Servers: map[string]Entry{"a": raw(store.At(2, 25))}})
		other := Entry{Raw: []byte(`{"Service":"s","Address":"a:2"}`), At: store.At(1, 90)}
		i.Apply(Update{Full: true, Restored: store.At(1, 5), Servers: map[string]Entry{"b": other}})
		i.Apply(Update{Restored: store.At(1, 5), Gone: []string{"a"}, Servers: map[string]Entry{"a": {Raw: []byte(`{"Service":"s","Address":"a:1","Draining":true}`), At: store.At(1, 99)}}})
		time.Sleep(lapseGrace + time.Second)
		synctest.Wait()
		require.Contains(t, i.View().Servers, "a")
		require.False(t, i.View().Servers["a"].Draining)
	})
}

// A store that lacks the configuration in force proves nothing of keys until it has that
// again.
func TestStoreBehindIsNoProof(t *testing.T) {
	i := newTest()
	read := func(at store.Position, fresh time.Time, versions ...uint64) {
		r := Read[ConfigRecord]{At: at}
		for _, v := range versions {
			r.Items = append(r.Items, ConfigRecord{Raw: []byte(fmt.Sprint(v)), Config: site.NewConfig(v, site.Limits{}, nil, nil, nil)})
		}
		i.takeConfig(r, fresh)
	}
	began := boottime.Now()
	at := func(s int) time.Time { return began.Add(time.Duration(s) * time.Second) }
	read(store.At(1, 10), at(1), 3)
	read(store.At(1, 50), at(2), 7)
	require.Equal(t, time.Duration(0), i.Age(at(2)))
	read(store.At(2, 20), at(3), 3) // the copy
	read(store.At(2, 20), at(4))    // nothing new there
	require.EqualValues(t, 7, i.View().Config.Version)
	require.Equal(t, 3*time.Second, i.Age(at(5)))
	read(store.At(2, 30), at(6), 7) // written again
	require.Equal(t, time.Duration(0), i.Age(at(6)))
}

// A doubted record that a later list lacks has left, although no word of that came.
func TestDoubtedRecordThatIsGoneStaysGone(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := beforeRestore()
		i.takeServers(store.At(2, 20), copied(), true)
		i.takeServers(store.At(2, 30), copied()[:1], true) // listed again: "left" was removed in between
		time.Sleep(settleAfter + time.Millisecond)
		synctest.Wait()
		require.NotContains(t, i.View().Servers, "left")
	})
}

// A backend server that left while this daemon had no way to the store stays away, also
// where the copy has a later record of it than was ever heard of here.
func TestCopyDoesNotBringBackWhatLeftUnheard(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := newTest()
		i.takeServers(store.At(1, 10), []ServerRecord{listed("left", store.At(1, 4), false)}, true)
		i.takeServers(store.At(1, 100), nil, true) // it drained at 27 and left at 29
		time.Sleep(lapseGrace + time.Millisecond)
		synctest.Wait()
		require.Empty(t, i.View().Servers)
		i.takeServers(store.At(2, 28), []ServerRecord{listed("left", store.At(2, 27), true)}, true)
		require.Empty(t, i.View().Servers)
		i.takeServers(store.At(2, 30), []ServerRecord{{ID: "left", At: store.At(2, 29), Gone: true}}, false)
		time.Sleep(settleAfter)
		synctest.Wait()
		require.Empty(t, i.View().Servers)
	})
}
