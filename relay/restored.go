package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/inventory"
)

// A daemon that is started while the store, having come back from a copy, still lacks the
// configuration in force knows nothing but the copy. It would bring routes and keys back
// that the others have seen go. So it asks the others before it reads the store.

// askWithin bounds the time for which a daemon that starts waits for the others'
// configuration: a link is opened and answered within 20 ms, and callers wait.
const askWithin = 300 * time.Millisecond

// prepare does what must be done before this daemon follows the store for the first time.
func (n *Node) prepare(ctx context.Context) {
	if n.opts.BeforeStore != nil {
		n.opts.BeforeStore(ctx)
	}
	if n.opts.Restored != nil && n.opts.Restored() && n.inv.State().ConfigVersion == 0 {
		n.askConfig(ctx)
	}
}

// askConfig asks daemons that may follow the store for the configuration in force, and
// takes the newest.
func (n *Node) askConfig(ctx context.Context) {
	ctx, cancel := n.opts.Stalls.WithTimeout(ctx, askWithin)
	defer cancel()
	asked := slices.AppendSeq(n.nextOfDomain(), maps.Values(n.otherSources()))
	var wg sync.WaitGroup
	for _, m := range asked {
		wg.Go(func() { n.askConfigOf(ctx, m) })
	}
	wg.Wait()
	_ = level.Info(n.logger).Log("msg", "decision", "kind", "configuration asked for", "reason", "the store came back from a copy",
		"asked", len(asked), "version", n.inv.State().ConfigVersion)
}

func (n *Node) askConfigOf(ctx context.Context, m Member) {
	c, err := n.dial(ctx, m, true)
	if err != nil {
		return // it is starting too, or gone
	}
	defer func() { _ = c.CloseNow() }()
	answer, err := exchange(ctx, c, &ping{Number: 1, Sender: n.opts.Name, Domain: n.opts.Domain, LoadsOnly: true, WantsConfig: true})
	if err == nil && answer.Config != nil {
		n.inv.Apply(inventory.Update{Config: answer.Config})
	}
}
