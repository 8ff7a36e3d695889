package monitor

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/snowspoke/snowspoke/backend"
)

// Cache tracks which backend servers hold which prompt prefixes. Its data may be late
// and incomplete: a wrong entry costs no more than a prefill.
type Cache interface {
	Sent(key uint64, server string)
	Evicted(key uint64, server string)
}

// cacheCheckInterval is the period at which the set of followed backend servers
// is updated.
const cacheCheckInterval = 5 * time.Second

// followCaches follows the cache events of the backend servers that this daemon
// owns. Of the other backend servers' caches, it knows only its own requests.
func (m *Monitor) followCaches(ctx context.Context) {
	if m.Cache == nil {
		return
	}
	following := map[string]context.CancelFunc{}
	m.every(ctx, cacheCheckInterval, func(ctx context.Context) {
		owned := map[string]bool{}
		for _, info := range m.Table.View().Servers {
			name := info.Config.Name
			if !info.Usable || !m.Owner.Owns(name) {
				continue
			}
			owned[name] = true
			if following[name] == nil {
				fctx, cancel := context.WithCancel(ctx)
				following[name] = cancel
				go m.followCache(fctx, backend.Target{BackendServer: name, Address: info.Config.Address})
			}
		}
		for name, cancel := range following {
			if !owned[name] {
				cancel()
				delete(following, name)
			}
		}
	})
	for _, cancel := range following {
		cancel()
	}
}

// followCache reads one engine's events until ctx ends. The pauses between attempts
// grow while the engine sends no events.
func (m *Monitor) followCache(ctx context.Context, t backend.Target) {
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = time.Minute
	for ctx.Err() == nil {
		_ = m.Engine.CacheEvents(ctx, t, func(ev backend.CacheEvent) {
			pause.Reset()
			if ev.Evicted {
				m.Cache.Evicted(ev.Prefix, t.BackendServer)
				return
			}
			m.Cache.Sent(ev.Prefix, t.BackendServer)
		})
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
}
