package peer

import (
	"context"
	"sync"
	"time"
)

// followCheck is the period at which a daemon looks whether it should follow
// the store itself.
const followCheck = 250 * time.Millisecond

// Follow calls run, which follows the store until its context ends, while this
// daemon is a watcher of its failure domain or hears from nobody.
func (n *Node) Follow(ctx context.Context, run func(context.Context)) {
	t := time.NewTicker(followCheck)
	defer t.Stop()
	for ctx.Err() == nil {
		if n.ShouldFollow() {
			n.followWhileDue(ctx, t.C, run)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// followWhileDue returns when this daemon need not follow any more.
func (n *Node) followWhileDue(ctx context.Context, check <-chan time.Time, run func(context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { run(ctx) })
	defer running.Wait()
	defer cancel()
	for n.ShouldFollow() {
		select {
		case <-ctx.Done():
			return
		case <-check:
		}
	}
}
