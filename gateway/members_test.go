package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/store"
)

// staleStore is a memberStore whose stale lists show its state of lag ago.
type staleStore struct {
	mu      sync.Mutex
	lag     time.Duration
	version store.Position
	objects []store.Object
	times   []time.Time // when each was written

	unavailable atomic.Bool // all calls fail

	writes, freshLists, staleLists, gets int
}

func (s *staleStore) Get(_ context.Context, kind, name string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	return s.newest(kind, name)
}

// newest returns the last version of an object. s.mu is held.
func (s *staleStore) newest(kind, name string) (store.Object, error) {
	for _, o := range slices.Backward(s.objects) {
		if o.Kind == kind && o.Name == name && !s.unavailable.Load() {
			return o, nil
		}
	}
	return store.Object{}, store.ErrNotFound
}

func (s *staleStore) GetStale(_ context.Context, kind, name string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest(kind, name)
}

func (s *staleStore) Put(_ context.Context, kind, name string, spec []byte, ifVersion store.Position) (store.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable.Load() {
		return 0, store.ErrUnavailable
	}
	s.writes++
	if o, err := s.newest(kind, name); err == nil && o.Version != ifVersion {
		return 0, store.ErrConflict
	}
	s.append(kind, name, spec)
	return s.version, nil
}

func (s *staleStore) add(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(kind, name, spec)
}

// append adds an object. s.mu is held.
func (s *staleStore) append(kind, name string, spec []byte) {
	s.version++
	s.objects = append(s.objects, store.Object{Kind: kind, Name: name, Version: s.version, Spec: spec})
	s.times = append(s.times, time.Now())
}

func (s *staleStore) Delete(context.Context, string, string, store.Position) (store.Position, error) {
	return 0, nil
}

func (s *staleStore) List(_ context.Context, kind string, fresh bool) ([]store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable.Load() {
		return nil, store.ErrUnavailable
	}
	if fresh {
		s.freshLists++
	} else {
		s.staleLists++
	}
	var out []store.Object
	for i, o := range s.objects {
		if o.Kind == kind && (fresh || time.Since(s.times[i]) >= s.lag) {
			out = append(out, o)
		}
	}
	return out, nil
}

var thisDaemon = relay.Member{Name: "vm-1", Domain: "a", Address: "10.0.0.1:7400"}

func recordOf(t *testing.T, m relay.Member) []byte {
	t.Helper()
	spec, err := cbor.Marshal(memberSpec{Domain: m.Domain, Address: m.Address, Heartbeat: 3})
	require.NoError(t, err)
	return spec
}

// A restarted daemon adopts the record of its predecessor without a write, after a single
// stale list.
func TestRestartedDaemonAdoptsItsRecord(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{}
		s.add(kindDaemon, thisDaemon.Name, recordOf(t, thisDaemon))
		m := newMembers(thisDaemon, false, s, log.NewNopLogger())
		m.join(t.Context())
		require.Zero(t, s.writes+s.freshLists+s.gets)
		require.Equal(t, 1, s.staleLists)
		require.Len(t, m.All(), 1)
		m.heartbeat(t.Context())
		require.Equal(t, 1, s.writes, "the version of the record is known")
		require.Zero(t, s.gets)
	})
}

// A daemon that restarts at another address writes its record.
func TestRestartedDaemonAtAnotherAddressWritesItsRecord(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{}
		s.add(kindDaemon, "vm-0", recordOf(t, relay.Member{Name: "vm-0", Domain: "a", Address: "10.0.0.9:7400"}))
		m := newMembers(thisDaemon, false, s, log.NewNopLogger())
		ctx, stop := context.WithCancel(t.Context())
		go m.Run(ctx)
		synctest.Wait()
		require.Equal(t, 1, s.writes)
		require.NotZero(t, m.version)
		stop()
		synctest.Wait()
	})
}

// At the first start a stale list is complete up to the daemon's own record once it has
// that record.
func TestFirstStartWaitsForItsOwnRecord(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{lag: time.Second}
		s.add(kindDaemon, "vm-0", recordOf(t, relay.Member{Name: "vm-0", Domain: "a", Address: "10.0.0.9:7400"}))
		m := newMembers(thisDaemon, true, s, log.NewNopLogger())
		began := time.Now()
		m.join(t.Context())
		require.Len(t, m.All(), 2)
		require.Zero(t, s.freshLists)
		require.Less(t, time.Since(began), joinTimeout)
	})
}

// If stale lists never show the own record, one fresh list is read.
func TestFirstStartFallsBackToAFreshList(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{lag: time.Minute}
		m := newMembers(thisDaemon, true, s, log.NewNopLogger())
		m.join(t.Context())
		require.Len(t, m.All(), 1)
		require.Equal(t, 1, s.freshLists)
	})
}

// A daemon that is started during an outage of the store lists the others and writes its
// record soon after the outage.
func TestDaemonStartedDuringOutageFindsOthersAfterIt(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{}
		s.unavailable.Store(true)
		s.add(kindDaemon, "vm-0", recordOf(t, relay.Member{Name: "vm-0", Domain: "a", Address: "10.0.0.9:7400"}))
		m := newMembers(thisDaemon, false, s, log.NewNopLogger())
		ctx, stop := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(5500 * time.Millisecond)
		synctest.Wait()
		require.Empty(t, m.All())
		require.Zero(t, s.writes)
		require.False(t, isClosed(m.Found()), "it does not go on alone")
		s.unavailable.Store(false)
		time.Sleep(3 * time.Second / 2)
		synctest.Wait()
		require.NotEmpty(t, m.All())
		require.True(t, isClosed(m.Found()))
		require.Equal(t, 1, s.writes, "its own record")
		stop()
		synctest.Wait()
	})
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// A daemon that gets no list within firstListTimeout continues alone.
func TestDaemonContinuesAloneWithoutAList(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		s := &staleStore{}
		s.unavailable.Store(true)
		m := newMembers(thisDaemon, false, s, log.NewNopLogger())
		ctx, stop := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(firstListTimeout + listRetryInterval)
		synctest.Wait()
		require.True(t, isClosed(m.Found()))
		stop()
		synctest.Wait()
	})
}

// The rate of calls of all daemons together does not grow with the fleet.
func TestMembershipCallsAreBounded(t *testing.T) {
	for _, daemons := range []int{8, 60, 295, 380, 1000} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			n := float64(daemons)
			require.LessOrEqual(t, n/heartbeatInterval(daemons).Seconds(), 5.001, "writes a second")
			require.LessOrEqual(t, n/listInterval(daemons).Seconds(), 10.001, "lists a second")
			require.Greater(t, memberTTL(daemons), 2*heartbeatInterval(daemons))
		})
	}
	require.Equal(t, minHeartbeatInterval, heartbeatInterval(8))
	require.Equal(t, minListInterval, listInterval(8))
}
