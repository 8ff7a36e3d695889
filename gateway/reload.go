package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// settingsPoll is the time between two looks at the settings: the platform may
// change them without a signal.
const settingsPoll = 3 * time.Second

// followSettings applies changed settings until ctx ends. Addresses and the
// failure domain are fixed while a process runs; what may change is applied.
func (g *Gateway) followSettings(ctx context.Context) {
	t := time.NewTicker(settingsPoll)
	defer t.Stop()
	last := g.set
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-g.opts.Reload:
			signalled = true
		case <-t.C:
		}
		set, err := g.opts.Load()
		if err != nil {
			_ = level.Error(g.log).Log("msg", "settings not reloaded, the former ones stay in force", "err", err)
			continue
		}
		if set == last && !signalled {
			continue
		}
		_ = level.Info(g.log).Log("msg", "settings reloaded", "changed", set != last, "signalled", signalled)
		last = set
		g.forward.SetBounds(set.RetryRatio, set.RetrySlack, keysFreshFor(set))
	}
}
