package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/control"
	"github.com/snowspoke/snowspoke/lease"
	"github.com/snowspoke/snowspoke/topology"
)

// leasePlacement is the name of the lease for placement.
const leasePlacement = "placement"

func (d *Daemon) buildControl(engine backend.Engine) {
	p := d.cfg.Place
	d.keeper = lease.NewKeeper(string(topology.KindLease), leasePlacement, d.cfg.Daemon.Name, p.LeaseTTL, d.store, d.logger)
	d.control = control.New(control.Options{
		Period: p.Period, LeaseTTL: p.LeaseTTL, OrderTimeout: p.OrderTimeout, OrderExpiry: p.OrderExpiry, Budget: p.BudgetBytes,
	}, control.Parts{
		Lease: d.keeper, Store: d.store, Engine: engine, Config: d.catalog.Snapshot, Table: d.table,
		Demand: func() map[string]float64 { return nil }, Log: d.decisions, Logger: d.logger, Clock: time.Now,
	})
}

// placeWeights takes part in the lease for placement. Of each failure domain
// only few daemons do, so that reads of the lease do not grow with the fleet.
func (d *Daemon) placeWeights(ctx context.Context) {
	if !d.cfg.Place.Enabled {
		return
	}
	d.node.Follow(ctx, func(ctx context.Context) {
		var wg sync.WaitGroup
		wg.Go(func() { d.keeper.Run(ctx) })
		wg.Go(func() { d.control.Run(ctx) })
		wg.Wait()
	})
}
