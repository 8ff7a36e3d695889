package inventory

import (
	"context"
	"errors"
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

// watchCallMargin is the time beyond its wait after which a call of a watch times out, as in
// package platform.
const watchCallMargin = 700 * time.Millisecond

var errTimeout = errors.New("no answer")

// heldFeed is a store that holds back the answers to watches for hold, and that counts reads.
// Watches time out as in package platform.
type heldFeed struct {
	scriptFeed
	hold  time.Duration
	reads atomic.Int64
}

// answerWatch answers a watch that waits for d after hold more.
func (f *heldFeed) answerWatch(ctx context.Context, d, hold time.Duration) error {
	f.reads.Add(1)
	if hold > watchCallMargin {
		wait.For(ctx, d+watchCallMargin)
		return errTimeout
	}
	wait.For(ctx, d+hold)
	return ctx.Err()
}

func (f *heldFeed) Config(ctx context.Context) (Read[ConfigRecord], error) {
	f.reads.Add(1)
	return f.scriptFeed.Config(ctx)
}

func (f *heldFeed) ConfigChanges(ctx context.Context, since store.Position, d time.Duration) (Read[ConfigRecord], error) {
	return Read[ConfigRecord]{At: since}, f.answerWatch(ctx, d, f.hold)
}

func (f *heldFeed) Servers(ctx context.Context) (Read[ServerRecord], error) {
	f.reads.Add(1)
	return f.scriptFeed.Servers(ctx)
}

func (f *heldFeed) ServerChanges(ctx context.Context, since store.Position, d time.Duration) (Read[ServerRecord], error) {
	return Read[ServerRecord]{At: since}, f.answerWatch(ctx, d, f.hold)
}

// One daemon of each failure domain follows the store, whatever the size of the fleet. With five
// failure domains the reads are at most a hundredth of the 2,000 a second that the smallest
// deployments allow, also while the store holds back watches before a compaction.
func TestReadsOfTheStoreAreFew(t *testing.T) {
	const period, perSecond = 30, 2000 / 100 / 5
	for name, hold := range map[string]time.Duration{"calm": 0, "slow": 500 * time.Millisecond, "before compaction": time.Second} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				f := &heldFeed{hold: hold}
				i := New(f, log.NewNopLogger())
				ctx, cancel := context.WithCancel(t.Context())
				go i.Follow(ctx, 50*time.Millisecond, 400*time.Millisecond)
				time.Sleep(period * time.Second)
				require.LessOrEqual(t, f.reads.Load(), int64(period*perSecond))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// silentFeed is a store whose watch of backend servers is never answered, while one starts to drain.
type silentFeed struct {
	heldFeed
	drains atomic.Bool
}

func (f *silentFeed) Servers(context.Context) (Read[ServerRecord], error) {
	s, at := &site.BackendServer{ID: "a"}, store.Position(12)
	if f.drains.Load() {
		s.Draining, at = true, 13
	}
	return Read[ServerRecord]{At: at, Items: []ServerRecord{{ID: "a", At: at, Server: s}}}, nil
}

func (f *silentFeed) ServerChanges(ctx context.Context, _ store.Position, d time.Duration) (Read[ServerRecord], error) {
	return Read[ServerRecord]{}, f.answerWatch(ctx, d, time.Hour)
}

// Guards against a silent watch of backend servers that is noticed only after several seconds,
// since the watch of the configuration is answered (review/7).
func TestSilentWatchIsNoticedBesideAnAnsweredOne(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		f := &silentFeed{}
		i := New(f, log.NewNopLogger())
		ctx, cancel := context.WithCancel(t.Context())
		go i.Follow(ctx, 50*time.Millisecond, 400*time.Millisecond)
		time.Sleep(10 * time.Second)
		f.drains.Store(true)
		time.Sleep(2 * time.Second)
		require.True(t, i.View().Servers["a"].Draining)
		cancel()
		synctest.Wait()
	})
}
