package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/relay"
)

// addRoster stores a roster with the given daemons.
func addRoster(t *testing.T, s *staleStore, all ...relay.Member) {
	t.Helper()
	spec, err := relay.EncodeMembers(all)
	require.NoError(t, err)
	s.add(kindRoster, rosterName, spec)
}

// If all daemons are restarted and each lists all records, the store sends bytes that grow
// with the square of the fleet: a restarted daemon reads the roster alone.
func TestRestartedDaemonReadsTheRoster(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{}
		s.add(kindDaemon, thisDaemon.Name, recordOf(t, thisDaemon))
		addRoster(t, s, otherDaemon, thisDaemon, lateDaemon)
		m := newMembers(thisDaemon, false, s, log.NewNopLogger())
		m.join(t.Context())
		require.Equal(t, []relay.Member{otherDaemon, thisDaemon, lateDaemon}, m.All())
		require.True(t, m.Joined())
		require.Zero(t, s.staleLists+s.freshLists+s.gets+s.writes)
	})
}

// A leader that restarts does not write the roster that it has just read.
func TestUnchangedRosterIsNotWrittenAgain(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{}
		s.add(kindDaemon, thisDaemon.Name, recordOf(t, thisDaemon))
		addRoster(t, s, thisDaemon)
		m := newMembers(thisDaemon, false, s, log.NewNopLogger())
		m.setRelay(fakeRelay{leads: true})
		go m.Run(t.Context())
		time.Sleep(2 * rosterInterval)
		synctest.Wait()
		require.Zero(t, s.writes)
	})
}

// A roster without this daemon, or with its former address, was written before its record.
func TestRosterWithoutThisDaemonIsNotUsed(t *testing.T) {
	for name, listed := range map[string][]relay.Member{
		"not listed":      {otherDaemon},
		"another address": {otherDaemon, {Name: thisDaemon.Name, Domain: thisDaemon.Domain, Address: "10.0.0.8:7400"}},
	} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				s := &staleStore{}
				s.add(kindDaemon, thisDaemon.Name, recordOf(t, thisDaemon))
				addRoster(t, s, listed...)
				m := newMembers(thisDaemon, false, s, log.NewNopLogger())
				m.join(t.Context())
				require.Equal(t, 1, s.staleLists)
				require.Equal(t, []relay.Member{thisDaemon}, m.All())
			})
		})
	}
}

// A daemon that stopped and restarts soon may still be in the roster although its record is
// deleted. It must write its record again once the others turn out not to list it.
func TestDaemonInTheRosterAloneWritesItsRecord(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{}
		addRoster(t, s, otherDaemon, thisDaemon)
		m := newMembers(thisDaemon, false, s, log.NewNopLogger())
		m.setRelay(fakeRelay{receives: true})
		go m.Run(t.Context())
		synctest.Wait()
		require.True(t, m.Joined())
		m.Apply([]relay.Member{otherDaemon}, m.Era())
		synctest.Wait()
		require.Equal(t, 1, s.writes)
		require.False(t, m.Joined())
	})
}

// The same for a daemon that lists the others itself.
func TestLeaderInTheRosterAloneWritesItsRecord(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{}
		addRoster(t, s, thisDaemon)
		m := newMembers(thisDaemon, false, s, log.NewNopLogger())
		m.setRelay(fakeRelay{leads: true})
		go m.Run(t.Context())
		time.Sleep(leaderListInterval(1) + listCheckInterval)
		synctest.Wait()
		require.NotZero(t, m.recordAt)
		require.False(t, m.Joined())
	})
}

// The leading daemon of the first failure domain writes the roster when the list changes,
// also over one that another daemon has written.
func TestLeaderOfTheFirstDomainWritesTheRoster(t *testing.T) {
	rosters := func(s *staleStore) (n int) {
		for _, o := range s.objects {
			if o.Kind == kindRoster {
				n++
			}
		}
		return n
	}
	for name, c := range map[string]struct {
		relay   fakeRelay
		other   relay.Member
		rosters int
	}{
		"leader of the first domain":   {fakeRelay{leads: true}, lateDaemon, 2},
		"leader of a later domain":     {fakeRelay{leads: true}, relay.Member{Name: "vm-2", Domain: "A", Address: "10.0.0.3:7400"}, 1},
		"follower of the first domain": {fakeRelay{receives: true}, lateDaemon, 1},
	} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				s := &staleStore{}
				addRoster(t, s, otherDaemon)
				s.add(kindDaemon, c.other.Name, recordOf(t, c.other))
				runMembers(t, s, c.relay)
				time.Sleep(2 * rosterInterval)
				synctest.Wait()
				require.Equal(t, c.rosters, rosters(s))
			})
		})
	}
}

// A restarted fleet reads one roster a daemon; its size is a small part of the records'.
func TestRosterIsSmall(t *testing.T) {
	for _, daemons := range []int{985, 2000} {
		var all []relay.Member
		records := 0
		for i := range daemons {
			m := relay.Member{Name: fmt.Sprintf("front-%c-%d", 'a'+i%5, i/5), Domain: fmt.Sprintf("dom-%c", 'a'+i%5), Address: fmt.Sprintf("10.%d.%d.%d:7340", 1+i%5, i/5/250, 1+i/5%250), FanOut: 7}
			all = append(all, m)
			records += len(recordOf(t, m))
		}
		slices.SortFunc(all, func(a, b relay.Member) int { return strings.Compare(a.Name, b.Name) })
		spec, err := relay.EncodeMembers(all)
		require.NoError(t, err)
		t.Logf("%d daemons: roster %d bytes, records %d bytes without their metadata", daemons, len(spec), records)
		require.Less(t, len(spec), 8*daemons)
		decoded, err := relay.DecodeMembers(spec)
		require.NoError(t, err)
		require.Equal(t, all, decoded)
	}
}
