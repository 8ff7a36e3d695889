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

// A daemon that starts after the store was restored from a copy, and before the
// configuration in force is written again, would read an outdated configuration. It
// therefore queries other daemons before it reads the store.

// configQueryTimeout bounds how long a starting daemon waits for the configuration of
// other daemons, while callers wait.
const configQueryTimeout = 300 * time.Millisecond

// prepare runs once before this daemon first follows the store.
func (n *Node) prepare(ctx context.Context) {
	if n.opts.BeforeStore != nil {
		n.opts.BeforeStore(ctx)
	}
	if n.opts.Restored != nil && n.opts.Restored() && n.inv.State().ConfigVersion == 0 {
		n.queryConfigs(ctx)
	}
}

// queryConfigs queries the daemons that may follow the store for the configuration in
// force, and applies the newest.
func (n *Node) queryConfigs(ctx context.Context) {
	ctx, cancel := n.opts.Stalls.WithTimeout(ctx, configQueryTimeout)
	defer cancel()
	queried := slices.AppendSeq(n.successors(), maps.Values(n.otherSources()))
	var wg sync.WaitGroup
	for _, m := range queried {
		wg.Go(func() { n.queryConfig(ctx, m) })
	}
	wg.Wait()
	_ = level.Info(n.logger).Log("msg", "decision", "kind", "configuration asked for", "reason", "the store came back from a copy",
		"asked", len(queried), "version", n.inv.State().ConfigVersion)
}

func (n *Node) queryConfig(ctx context.Context, m Member) {
	c, err := n.dial(ctx, m, probeParam)
	if err != nil {
		return // starting as well, or gone
	}
	defer func() { _ = c.CloseNow() }()
	answer, err := exchange(ctx, c, &ping{Number: 1, Sender: n.opts.Name, Domain: n.opts.Domain, LoadsOnly: true, RequestsConfig: true})
	if err == nil && answer.Config != nil {
		n.inv.Apply(inventory.Update{Config: answer.Config})
	}
}
