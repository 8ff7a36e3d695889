package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// settingsInterval is the time between two reads of the settings, which the platform
// may change without a signal.
const settingsInterval = 3 * time.Second

// followSettings applies changed settings until ctx ends. Only the retry bounds and the
// bound on keys may change while the process runs; the other settings, such as addresses
// and the failure domain, are fixed.
func (g *Gateway) followSettings(ctx context.Context) {
	t := time.NewTicker(settingsInterval)
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
			_ = level.Error(g.log).Log("msg", "settings not reloaded, keeping the previous ones", "err", err)
			continue
		}
		if set == last && !signalled {
			continue
		}
		_ = level.Info(g.log).Log("msg", "settings reloaded", "changed", set != last, "signalled", signalled)
		last = set
		g.forward.SetBounds(set.RetryRatio, set.RetrySlack, maxKeyAge(set))
	}
}
