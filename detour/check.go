package detour

import (
	"context"
	"sync"
	"time"
)

// maxSimultaneous is the number of simultaneous checks.
const maxSimultaneous = 8

// Run checks addresses without direct reach until ctx ends, one at a time. Once one is reached
// directly, all are checked; once one is carried, those that are unreachable are.
func (d *Dialer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.impeded:
		}
		d.checkAll(ctx)
	}
}

// checkAll checks until all addresses are reached directly.
func (d *Dialer) checkAll(ctx context.Context) {
	t := time.NewTicker(minCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.restored:
			d.forEach(ctx, d.opts.Paths.Detours(), d.check)
			continue
		case <-d.carried:
			d.forEach(ctx, d.opts.Paths.Unreachable(), d.checkCarried)
			continue
		case <-t.C:
		}
		d.opts.Paths.Forget(d.opts.Exists, d.opts.Carriers())
		d.opts.Observer.Ways(d.opts.Paths.Count())
		if d.opts.Paths.AllDirect() {
			return
		}
		if address, due := d.opts.Paths.NextCheck(time.Now()); due {
			d.check(ctx, address)
		}
	}
}

// check checks an address. It keeps the way of an address that is reached through carriers if
// the direct attempt fails.
func (d *Dialer) check(ctx context.Context, address string) {
	c, err := d.opts.Direct.Probe(ctx, address)
	if err == nil {
		_ = c.Close()
		d.noteDirect(address)
		return
	}
	if d.opts.Paths.Way(address) == Unreachable {
		d.checkCarried(ctx, address)
	}
}

// checkCarried checks whether an address is reached through a carrier.
func (d *Dialer) checkCarried(ctx context.Context, address string) {
	a := d.carry(ctx, address)
	if a.err != nil {
		return
	}
	_ = a.conn.Close()
	d.noteCarried(address, a.carrier, nil)
}

// forEach calls f for some addresses, for a few of them at a time.
func (d *Dialer) forEach(ctx context.Context, addresses []string, f func(ctx context.Context, address string)) {
	sem := make(chan struct{}, maxSimultaneous)
	var wg sync.WaitGroup
	for _, a := range addresses {
		sem <- struct{}{}
		wg.Go(func() {
			f(ctx, a)
			<-sem
		})
	}
	wg.Wait()
}
