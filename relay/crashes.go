package relay

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/quarantine"
)

// Distribution of the requests that were running on backend servers when the servers ended.
// Changes are sent at once over the links of a failure domain, and to the sources of other
// domains with the exchange of loads, so that every daemon knows of the end before the
// caller retries. A daemon forwards only changes to its own registry, so a change is not
// sent around in cycles.
//
// Daemons leave a source that has lost the store. Without links, each daemon would have to see
// the ends of two backend servers itself before it quarantines a request, so that a request that
// is retried at each daemon of a fleet could end two backend servers per daemon. While a daemon
// follows no source, it therefore keeps a link for crashes alone, which a daemon accepts whether
// it has the store or not.

// sendCrashes returns a function that sends entries on a link.
func sendCrashes(ctx context.Context, c *websocket.Conn) func([]quarantine.PackedEntry) error {
	return func(crashes []quarantine.PackedEntry) error { return writeFrame(ctx, c, &frame{Crashes: crashes}) }
}

const (
	// minCrashDialPause and maxCrashDialPause bound the pause after an attempt to open a link
	// for crashes at all daemons that may accept it. It doubles with each failure.
	minCrashDialPause = 200 * time.Millisecond
	maxCrashDialPause = sourceCheckInterval
	// crashPingInterval is the interval at which both ends of a link for crashes check it. A
	// check without an answer within silenceTimeout ends the link.
	crashPingInterval = time.Second
)

// startCrashLinks keeps links for crashes until stop is called: one to an earlier daemon of this
// domain and, if none accepts it, one to a head of each other domain.
func (n *Node) startCrashLinks(ctx context.Context) (stop func()) {
	if n.opts.Quarantine == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { n.keepCrashLinks(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

func (n *Node) keepCrashLinks(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var links sync.Map // other domains with a link
	pause := minCrashDialPause
	for ctx.Err() == nil {
		earlier := n.candidates()
		if c := n.dialCrashes(ctx, earlier); c != nil {
			n.exchangeCrashes(ctx, c)
			pause = minCrashDialPause
			wait.For(ctx, pause)
			continue
		}
		healthy := n.healthy(boottime.Now())
		if !healthy { // otherwise exchangeLoads reaches the other domains
			for domain, heads := range n.otherHeads() {
				if _, linked := links.LoadOrStore(domain, true); linked {
					continue
				}
				wg.Go(func() {
					defer links.Delete(domain)
					if c := n.dialCrashes(ctx, heads); c != nil {
						n.exchangeCrashes(ctx, c)
					}
				})
			}
		}
		wait.For(ctx, pause)
		if !healthy || len(earlier) > 0 {
			pause = min(2*pause, maxCrashDialPause)
		}
	}
}

// dialCrashes opens a link for crashes to the first of some daemons that accepts it, nil if none
// does.
func (n *Node) dialCrashes(ctx context.Context, members []Member) *websocket.Conn {
	for _, m := range members {
		// A daemon of an earlier version takes the link for a probe and merges what it receives.
		if c, err := n.dial(ctx, m, probeParam, crashesParam); err == nil {
			return c
		}
	}
	return nil
}

// exchangeCrashes sends all known crashes and then each change, and merges received ones, until
// the link or ctx ends.
func (n *Node) exchangeCrashes(ctx context.Context, c *websocket.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = c.CloseNow() }()
	go func() {
		defer cancel()
		new(quarantine.Reporter).SendChanges(ctx, n.opts.Quarantine, sendCrashes(ctx, c))
	}()
	go func() {
		defer cancel()
		n.checkLink(ctx, c)
	}()
	for {
		f, err := readFrame(ctx, c)
		if err != nil {
			return // the link has ended
		}
		n.opts.Quarantine.MergePacked(f.Crashes, time.Now())
	}
}

// checkLink returns when a check of a link has failed or ctx has ended.
func (n *Node) checkLink(ctx context.Context, c *websocket.Conn) {
	for wait.For(ctx, crashPingInterval) {
		pctx, cancel := n.opts.Stalls.WithTimeout(ctx, silenceTimeout)
		err := c.Ping(pctx)
		cancel()
		if err != nil {
			return
		}
	}
}
