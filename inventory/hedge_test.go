package inventory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/store"
)

// muteFeed is a store that never answers calls made between start and end. They time out like those
// of package platform.
type muteFeed struct {
	scriptFeed
	start, end time.Time
}

// muteListTimeout is the timeout of a list, as in package platform.
const muteListTimeout = 1500 * time.Millisecond

func (f *muteFeed) call(ctx context.Context, answered, timeout time.Duration) error {
	now := time.Now()
	if !now.Before(f.end) || now.Add(answered).Before(f.start) {
		wait.For(ctx, answered)
		return ctx.Err()
	}
	wait.For(ctx, timeout)
	return errTimeout
}

func (f *muteFeed) Config(ctx context.Context) (Read[ConfigRecord], error) {
	if err := f.call(ctx, 0, muteListTimeout); err != nil {
		return Read[ConfigRecord]{}, err
	}
	return f.scriptFeed.Config(ctx)
}

func (f *muteFeed) ConfigChanges(ctx context.Context, since store.Position, d time.Duration) (Read[ConfigRecord], error) {
	return Read[ConfigRecord]{At: since}, f.call(ctx, d, d+watchCallMargin)
}

func (f *muteFeed) Servers(ctx context.Context) (Read[ServerRecord], error) {
	if err := f.call(ctx, 0, muteListTimeout); err != nil {
		return Read[ServerRecord]{}, err
	}
	return f.scriptFeed.Servers(ctx)
}

func (f *muteFeed) ServerChanges(ctx context.Context, since store.Position, d time.Duration) (Read[ServerRecord], error) {
	return Read[ServerRecord]{At: since}, f.call(ctx, d, d+watchCallMargin)
}

// Guards against a list that is sent just before a silent store returns, and holds up the next one for
// its timeout and a pause: the grace of expired records would come on top.
func TestReturnOfASilentStoreIsNoticedSoon(t *testing.T) {
	for away := 3 * time.Second; away < 6*time.Second; away += 100 * time.Millisecond {
		virtual.Test(t, func(t *testing.T) {
			start := time.Now().Add(5 * time.Second)
			f := &muteFeed{start: start, end: start.Add(away)}
			i := New(f, log.NewNopLogger())
			ctx, cancel := context.WithCancel(t.Context())
			go i.Follow(ctx, 50*time.Millisecond, 400*time.Millisecond)
			time.Sleep(time.Until(f.end) + ReturnDelay)
			require.False(t, i.LastContact().IsZero(), "away for %s", away)
			require.WithinDuration(t, f.end, i.Contact().Since, ReturnDelay)
			cancel()
			time.Sleep(2 * muteListTimeout)
			synctest.Wait()
		})
	}
}
