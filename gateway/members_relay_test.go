package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/store"
)

// fakeRelay is the relay of a daemon in a fixed role.
type fakeRelay struct {
	leads, receives bool
	listedByAll     store.Position
}

func (r fakeRelay) Leading() bool               { return r.leads }
func (r fakeRelay) ReceivesMembers() bool       { return r.receives }
func (r fakeRelay) ListedByAll() store.Position { return r.listedByAll }

var (
	otherDaemon = relay.Member{Name: "vm-0", Domain: "a", Address: "10.0.0.9:7400"}
	lateDaemon  = relay.Member{Name: "vm-2", Domain: "b", Address: "10.0.0.3:7400"}
)

// runMembers runs the membership of thisDaemon in a role until the test ends.
func runMembers(t *testing.T, s *staleStore, r fakeRelay) *members {
	t.Helper()
	m := newMembers(thisDaemon, true, s, log.NewNopLogger())
	m.setRelay(r)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	<-m.Found()
	synctest.Wait()
	return m
}

// A daemon that joins must be known to all soon, whatever the size of the fleet: the leading
// daemons of failure domains list the others often.
func TestLeaderFindsAJoiningDaemonSoon(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{lag: time.Second}
		m := runMembers(t, s, fakeRelay{leads: true})
		s.add(kindDaemon, lateDaemon.Name, recordOf(t, lateDaemon))
		time.Sleep(s.lag + minLeaderListInterval + listCheckInterval)
		require.Contains(t, m.All(), lateDaemon)
	})
}

// Lists by all daemons of a large fleet would take the store's rate: a daemon that receives
// the list from its source does not read the store.
func TestDaemonWithASourceDoesNotList(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{}
		m := runMembers(t, s, fakeRelay{receives: true})
		lists := s.staleLists + s.freshLists
		changed := m.Changed()
		m.Apply([]relay.Member{otherDaemon, thisDaemon, lateDaemon}, m.Era())
		require.True(t, isClosed(changed))
		require.Equal(t, []relay.Member{otherDaemon, thisDaemon, lateDaemon}, m.All())
		require.Equal(t, 3, m.Daemons())
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, lists, s.staleLists+s.freshLists)
	})
}

// A daemon whose record was lost would be unknown to the others for good: it lists again if
// its source does not list it, or if the store was restored.
func TestDaemonListsAgainWhenItsRecordMayBeLost(t *testing.T) {
	for name, apply := range map[string]func(m *members){
		"not listed":     func(m *members) { m.Apply([]relay.Member{otherDaemon}, m.Era()) },
		"restored store": func(m *members) { m.Apply([]relay.Member{otherDaemon, thisDaemon}, m.Era()+1) },
	} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				s := &staleStore{}
				m := runMembers(t, s, fakeRelay{receives: true})
				lists := s.staleLists
				apply(m)
				require.Contains(t, m.All(), thisDaemon)
				time.Sleep(2 * minListInterval)
				synctest.Wait()
				require.Greater(t, s.staleLists, lists)
			})
		})
	}
}

// A list of an earlier era of the store lacks the daemons that joined since.
func TestListOfAnEarlierEraIsIgnored(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{version: store.At(2, 1)}
		m := runMembers(t, s, fakeRelay{receives: true})
		require.Equal(t, uint64(2), m.Era())
		m.Apply([]relay.Member{otherDaemon}, 1)
		require.NotContains(t, m.All(), otherDaemon)
	})
}

// A daemon counts as joined once the lists of all failure domains have its record, or have
// had time to. One that restarts is known to the others.
func TestDaemonJoinsWhenAllOthersKnowIt(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{lag: time.Second}
		listed := runMembers(t, s, fakeRelay{})
		require.False(t, listed.Joined())
		listed.setRelay(fakeRelay{listedByAll: listed.recordAt - 1})
		require.False(t, listed.Joined())
		listed.setRelay(fakeRelay{listedByAll: listed.recordAt})
		require.True(t, listed.Joined())
		listed.setRelay(fakeRelay{})
		require.True(t, listed.Joined(), "also after a change of the source")

		unconfirmed := runMembers(t, &staleStore{lag: time.Second}, fakeRelay{})
		time.Sleep(joinDelay(1) - time.Millisecond)
		require.False(t, unconfirmed.Joined())
		time.Sleep(time.Millisecond)
		require.True(t, unconfirmed.Joined())

		restarted := newMembers(thisDaemon, false, s, log.NewNopLogger())
		restarted.join(t.Context())
		require.True(t, restarted.Joined())
	})
}

// The rate of the lists of all leaders together, and the records that one of them reads,
// stay bounded.
func TestLeaderListsAreBounded(t *testing.T) {
	const leaders = 7 // one in each failure domain of the largest fleet
	for _, daemons := range []int{8, 60, 295, 985, 2000} {
		interval := leaderListInterval(daemons).Seconds()
		require.LessOrEqual(t, leaders/interval, 3.5, "lists a second")
		require.LessOrEqual(t, float64(daemons)/interval, 500.0, "records a second")
		require.LessOrEqual(t, leaderListInterval(daemons), 4*time.Second)
	}
}
