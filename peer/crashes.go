package peer

import (
	"context"
	"time"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/quarantine"
)

// Bounds of the frames with changes of the quarantine registry.
const (
	maxCrashesPerFrame = 64
	minCrashInterval   = 100 * time.Millisecond
)

// ShareCrashes sends each change of the quarantine registry on all links until ctx ends. A change
// received from another daemon is one of the own registry and is sent on, once.
func (n *Node) ShareCrashes(ctx context.Context) {
	registry := n.opts.Quarantine
	if registry == nil {
		return
	}
	var reporter quarantine.Reporter
	for {
		changed := registry.Changed()
		if crashes := reporter.Next(registry, maxCrashesPerFrame); len(crashes) > 0 {
			n.broadcast(&Frame{Crashes: crashes}, "")
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

// sendKnownCrashes sends all entries of the quarantine registry to a new peer.
func (n *Node) sendKnownCrashes(l *link) {
	if n.opts.Quarantine == nil {
		return
	}
	var reporter quarantine.Reporter
	for {
		crashes := reporter.Next(n.opts.Quarantine, maxCrashesPerFrame)
		if len(crashes) == 0 {
			return
		}
		n.sendTo(l, &Frame{Crashes: crashes})
	}
}

func (n *Node) applyCrashes(crashes []quarantine.PackedEntry, now time.Time) {
	if n.opts.Quarantine != nil && len(crashes) > 0 {
		n.opts.Quarantine.Merge(quarantine.Unpack(crashes, now), now)
	}
}

// Rank returns the position of this daemon among the working ones, in an order that depends on the
// key and is the same at all of them.
func (n *Node) Rank(key uint64) int {
	var names []string
	for _, m := range n.working() {
		names = append(names, m.Name)
	}
	return quarantine.Rank(n.opts.Self.Name, names, key)
}
