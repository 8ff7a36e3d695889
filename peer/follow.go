package peer

import (
	"context"
	"sync"
	"time"
)

// followCheckInterval is the interval between two checks of whether this daemon
// should follow the store itself.
const followCheckInterval = 250 * time.Millisecond

// Follow calls run whenever ShouldFollow returns true, and cancels its context when
// ShouldFollow returns false. run follows the store until its context ends. Follow
// returns when ctx ends.
func (n *Node) Follow(ctx context.Context, run func(context.Context)) {
	t := time.NewTicker(followCheckInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		if n.ShouldFollow() {
			n.followWhileAssigned(ctx, t.C, run)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// followWhileAssigned calls run and cancels it when ShouldFollow returns false.
func (n *Node) followWhileAssigned(ctx context.Context, check <-chan time.Time, run func(context.Context)) {
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
