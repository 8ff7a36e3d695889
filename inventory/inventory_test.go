package inventory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/store"
)

// plainFeed decodes records from JSON of the types of package site.
type plainFeed struct{ Feed }

func (plainFeed) DecodeConfig(raw []byte) (*site.Config, error) {
	var version uint64
	err := json.Unmarshal(raw, &version)
	return site.NewConfig(version, site.Limits{}, nil, nil, nil), err
}

func (plainFeed) DecodeServer(id string, raw []byte) (*site.BackendServer, error) {
	s := &site.BackendServer{ID: id}
	return s, json.Unmarshal(raw, s)
}

func entry(revision uint64) Entry {
	return Entry{Raw: []byte(fmt.Sprintf(`{"Service":"s","Address":"a:%d"}`, revision)), At: store.Position(revision)}
}

func newTestInventory() *Inventory { return New(plainFeed{}, log.NewNopLogger()) }

func fullUpdate(servers map[string]Entry) Update { return Update{Full: true, Servers: servers} }

func TestOlderSourceDoesNotRestoreRemovedServers(t *testing.T) {
	i := newTestInventory()
	i.Apply(fullUpdate(map[string]Entry{"a": entry(5)}))
	i.Apply(Update{Gone: []string{"a"}})
	i.Apply(fullUpdate(map[string]Entry{"a": entry(5)})) // of a source that lost the store meanwhile
	require.Empty(t, i.View().Servers)
	i.Apply(fullUpdate(map[string]Entry{"a": entry(9)})) // written again after an outage
	require.Contains(t, i.View().Servers, "a")
}

func TestOneIncarnationAtAnAddress(t *testing.T) {
	i := newTestInventory()
	at := func(revision uint64) Entry {
		return Entry{Raw: []byte(`{"Service":"s","Address":"a:1"}`), At: store.Position(revision)}
	}
	i.Apply(fullUpdate(map[string]Entry{"old": at(5), "new": at(9)}))
	require.Len(t, i.View().Servers, 1)
	require.Contains(t, i.View().Servers, "new")
}

// Receiving a known state again, as after a change of source, changes nothing and sends
// no notification.
func TestKnownStateChangesNothing(t *testing.T) {
	i := newTestInventory()
	servers := map[string]Entry{"a": entry(5), "b": entry(6)}
	i.Apply(fullUpdate(servers))
	before, changed := i.View(), i.Changed()
	i.Apply(fullUpdate(servers))
	require.Same(t, before, i.View())
	require.Equal(t, changed, i.Changed())
	i.Apply(fullUpdate(map[string]Entry{"a": entry(5), "b": entry(7)}))
	require.Same(t, before.Servers["a"], i.View().Servers["a"])
	require.NotSame(t, before.Servers["b"], i.View().Servers["b"])
}

func TestCompleteNeedsConfigurationAndFullList(t *testing.T) {
	i := newTestInventory()
	i.Apply(Update{Config: []byte("7")})
	require.False(t, i.Complete())
	i.Apply(Update{Servers: map[string]Entry{"a": entry(5)}})
	require.False(t, i.Complete(), "an update that is not full")
	require.False(t, i.State().Complete)
	i.Apply(fullUpdate(map[string]Entry{"a": entry(5)}))
	require.True(t, i.Complete())
	require.True(t, i.State().Complete)
}

// BenchmarkKnownState applies a known full state of 3,000 backend servers.
func BenchmarkKnownState(b *testing.B) {
	i := newTestInventory()
	servers := map[string]Entry{}
	for n := range uint64(3000) {
		servers[fmt.Sprint("i-", n)] = entry(n + 1)
	}
	i.Apply(fullUpdate(servers))
	for b.Loop() {
		i.Apply(fullUpdate(servers))
	}
}

func TestMissingRecordIsDroppedAfterGrace(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		i := newTestInventory()
		i.Apply(fullUpdate(map[string]Entry{"a": entry(5), "b": entry(6)}))
		i.Apply(fullUpdate(map[string]Entry{"b": entry(6)}))
		require.Contains(t, i.View().Servers, "a")
		time.Sleep(MissingGrace + time.Millisecond)
		synctest.Wait()
		require.NotContains(t, i.View().Servers, "a")
	})
}

func TestMissingRecordOfASourceIsNotAdded(t *testing.T) {
	i := newTestInventory()
	e := entry(5)
	e.Lapsed = true
	i.Apply(fullUpdate(map[string]Entry{"a": e}))
	require.Empty(t, i.View().Servers)
}

func TestConfigurationIsNeverReverted(t *testing.T) {
	i := newTestInventory()
	i.Apply(Update{Config: []byte("7")})
	i.Apply(Update{Config: []byte("5")})
	require.EqualValues(t, 7, i.View().Config.Version)
}

func TestConfirmFreshNeedsTheConfiguration(t *testing.T) {
	i := newTestInventory()
	now := time.Now()
	i.Apply(Update{Config: []byte("7")})
	i.ConfirmFresh(8, now) // the source has a newer one that was not received
	require.Greater(t, i.Age(now), time.Hour)
	i.ConfirmFresh(7, now)
	require.Zero(t, i.Age(now))
}

// scriptFeed answers watches of the configuration by the function watch.
type scriptFeed struct {
	plainFeed
	watch func(ctx context.Context, wait time.Duration) (Read[ConfigRecord], error)
}

func (f *scriptFeed) Config(context.Context) (Read[ConfigRecord], error) {
	c, err := f.DecodeConfig([]byte("3"))
	return Read[ConfigRecord]{At: 10, Items: []ConfigRecord{{Raw: []byte("3"), Config: c}}}, err
}

func (f *scriptFeed) ConfigChanges(ctx context.Context, _ store.Position, wait time.Duration) (Read[ConfigRecord], error) {
	return f.watch(ctx, wait)
}

func (f *scriptFeed) Servers(context.Context) (Read[ServerRecord], error) {
	return Read[ServerRecord]{At: 10}, nil
}

func (f *scriptFeed) ServerChanges(ctx context.Context, since store.Position, wait time.Duration) (Read[ServerRecord], error) {
	select {
	case <-ctx.Done():
		return Read[ServerRecord]{}, ctx.Err()
	case <-time.After(wait):
		return Read[ServerRecord]{At: since}, nil
	}
}

// outageFeed is a store that refuses lists between start and end.
type outageFeed struct {
	scriptFeed
	start, end time.Time
	calls      atomic.Int64
}

var errOutage = errors.New("store unavailable")

func (f *outageFeed) refuses() bool {
	unavailable := !time.Now().Before(f.start) && time.Now().Before(f.end)
	if unavailable {
		f.calls.Add(1)
	}
	return unavailable
}

func (f *outageFeed) Config(ctx context.Context) (Read[ConfigRecord], error) {
	if f.refuses() {
		return Read[ConfigRecord]{}, errOutage
	}
	return f.scriptFeed.Config(ctx)
}

func (f *outageFeed) Servers(ctx context.Context) (Read[ServerRecord], error) {
	if f.refuses() {
		return Read[ServerRecord]{}, errOutage
	}
	return f.scriptFeed.Servers(ctx)
}

// In an outage every daemon retries the store itself. The number of calls is bounded, and
// the daemon recovers within its longest pause.
func TestOutageCausesFewCalls(t *testing.T) {
	for _, c := range []struct {
		first, longest time.Duration
		maxCalls       int64
	}{
		{50 * time.Millisecond, 400 * time.Millisecond, 30},
		{2 * time.Second, 4 * time.Second, 6},
	} {
		virtual.Test(t, func(t *testing.T) {
			began := time.Now()
			f := &outageFeed{start: began, end: began.Add(8 * time.Second)}
			f.watch = func(ctx context.Context, d time.Duration) (Read[ConfigRecord], error) {
				wait.For(ctx, d)
				return Read[ConfigRecord]{At: 10}, ctx.Err()
			}
			i := New(f, log.NewNopLogger())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go i.Follow(ctx, c.first, c.longest)
			time.Sleep(8*time.Second + 3*c.longest/2)
			synctest.Wait()
			require.LessOrEqual(t, f.calls.Load(), c.maxCalls)
			require.True(t, i.Complete(), "both are known again")
			cancel()
			synctest.Wait()
		})
	}
}

// lapseFeed is a store that is away from the first watch of the configuration until end. The
// record of its backend server expires meanwhile.
type lapseFeed struct {
	scriptFeed
	end atomic.Pointer[time.Time] // nil before the outage
}

func (f *lapseFeed) Config(ctx context.Context) (Read[ConfigRecord], error) {
	if f.isAway() {
		return Read[ConfigRecord]{}, errOutage
	}
	return f.scriptFeed.Config(ctx)
}

func (f *lapseFeed) isAway() bool {
	end := f.end.Load()
	return end != nil && time.Now().Before(*end)
}

func (f *lapseFeed) Servers(context.Context) (Read[ServerRecord], error) {
	if f.end.Load() != nil {
		return Read[ServerRecord]{At: 12}, nil
	}
	return Read[ServerRecord]{At: 10, Items: []ServerRecord{{ID: "a", At: 10, Server: &site.BackendServer{ID: "a"}}}}, nil
}

func (f *lapseFeed) ServerChanges(ctx context.Context, since store.Position, wait time.Duration) (Read[ServerRecord], error) {
	if since >= 12 {
		return f.scriptFeed.ServerChanges(ctx, since, wait)
	}
	return Read[ServerRecord]{At: 12, Items: []ServerRecord{{ID: "a", At: 12, Gone: true}}}, nil
}

// The follower of backend servers may be between two calls when the store is lost. A watch after
// the outage would remove a record that has expired at once.
func TestRecordThatExpiresBetweenCallsIsKeptForTheGrace(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := &lapseFeed{}
		f.watch = func(ctx context.Context, d time.Duration) (Read[ConfigRecord], error) {
			if f.end.Load() == nil {
				end := time.Now().Add(time.Second)
				f.end.Store(&end)
				return Read[ConfigRecord]{}, errOutage
			}
			wait.For(ctx, d)
			return Read[ConfigRecord]{At: 10}, ctx.Err()
		}
		i := New(f, log.NewNopLogger())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go i.Follow(ctx, 50*time.Millisecond, 100*time.Millisecond)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Contains(t, i.View().Servers, "a", "the store is back for less than the grace")
		time.Sleep(MissingGrace)
		synctest.Wait()
		require.NotContains(t, i.View().Servers, "a")
		cancel()
		synctest.Wait()
	})
}

func TestFreshnessFollowsWatches(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		away := make(chan struct{})
		f := &scriptFeed{watch: func(ctx context.Context, wait time.Duration) (Read[ConfigRecord], error) {
			select {
			case <-away:
				<-ctx.Done() // a store that does not answer
				return Read[ConfigRecord]{}, ctx.Err()
			case <-time.After(wait):
				return Read[ConfigRecord]{At: 10}, nil
			}
		}}
		i := New(f, log.NewNopLogger())
		ctx, cancel := context.WithCancel(t.Context())
		go i.Follow(ctx, time.Second/8, time.Second)
		time.Sleep(20 * time.Second)
		require.Less(t, i.Age(time.Now()), WatchTimeout+watchMargin+100*time.Millisecond)
		close(away)
		time.Sleep(10 * time.Second)
		require.Greater(t, i.Age(time.Now()), 9*time.Second)
		cancel()
		synctest.Wait()
		require.Zero(t, i.LastContact())
	})
}
