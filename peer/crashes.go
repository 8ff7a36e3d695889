package peer

import (
	"context"

	"github.com/snowspoke/snowspoke/quarantine"
)

// ShareCrashes sends each change of the quarantine registry on all links until ctx ends. A change
// received from another daemon is one of the own registry and is sent on, once.
func (n *Node) ShareCrashes(ctx context.Context) {
	var reporter quarantine.Reporter
	reporter.SendChanges(ctx, n.opts.Quarantine, func(crashes []quarantine.PackedEntry) error {
		n.broadcast(&Frame{Crashes: crashes}, "")
		return nil
	})
}

// sendKnownCrashes sends all entries of the quarantine registry to a new peer.
func (n *Node) sendKnownCrashes(l *link) {
	var reporter quarantine.Reporter
	_ = reporter.SendKnown(n.opts.Quarantine, func(crashes []quarantine.PackedEntry) error {
		n.sendTo(l, &Frame{Crashes: crashes})
		return nil
	})
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
