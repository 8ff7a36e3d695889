package relay

import (
	"context"
	"time"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/quarantine"
)

// Distribution of the requests that were running on backend servers when the servers ended.
// Changes are sent at once over the links of a failure domain, and to the sources of other
// domains with the exchange of loads, so that every daemon knows of the end before the
// caller retries. A daemon forwards only changes to its own registry, so a change is not
// sent around in cycles.

// Bounds of the frames with crashes.
const (
	// maxCrashesPerFrame bounds the entries of a frame, at about 25 bytes each.
	// minCrashInterval is the least time between two frames on a link.
	maxCrashesPerFrame = 64
	minCrashInterval   = 100 * time.Millisecond
)

// nextCrashes returns the next changes of the registry that were not sent yet.
func (n *Node) nextCrashes(reporter *quarantine.Reporter) []quarantine.PackedEntry {
	if n.opts.Quarantine == nil {
		return nil
	}
	return reporter.Next(n.opts.Quarantine, maxCrashesPerFrame)
}

// applyCrashes adds the entries received from another daemon.
func (n *Node) applyCrashes(packed []quarantine.PackedEntry) {
	if n.opts.Quarantine == nil || len(packed) == 0 {
		return
	}
	now := time.Now()
	n.opts.Quarantine.Merge(quarantine.Unpack(packed, now), now)
}

// sendKnownCrashes sends all entries known so far.
func (n *Node) sendKnownCrashes(ctx context.Context, c *websocket.Conn, reporter *quarantine.Reporter) error {
	for {
		known := n.nextCrashes(reporter)
		if len(known) == 0 {
			return nil
		}
		if err := writeFrame(ctx, c, &frame{Crashes: known}); err != nil {
			return err
		}
	}
}

// sendCrashes sends the changes of the registry that were not sent yet, and then each
// further change, until ctx or the link ends.
func (n *Node) sendCrashes(ctx context.Context, c *websocket.Conn, reporter *quarantine.Reporter) {
	registry := n.opts.Quarantine
	if registry == nil {
		return
	}
	for {
		changed := registry.Changed()
		if pending := n.nextCrashes(reporter); len(pending) > 0 {
			if writeFrame(ctx, c, &frame{Crashes: pending}) != nil {
				return // the link has ended
			}
			if !wait.For(ctx, minCrashInterval) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
