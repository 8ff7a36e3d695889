package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/control"
	"github.com/snowspoke/snowspoke/lease"
	"github.com/snowspoke/snowspoke/peer"
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
		Demand: d.FleetDemand, Log: d.decisions, Logger: d.logger, Clock: time.Now,
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
		wg.Go(func() { d.collectDemand(ctx) })
		wg.Wait()
	})
}

// demandEvery is the period at which the holder of the lease asks all daemons
// for the demand that they see.
const demandEvery = 10 * time.Second

// collectDemand keeps the fleet's demand while this daemon holds the lease.
func (d *Daemon) collectDemand(ctx context.Context) {
	t := time.NewTicker(demandEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if _, held := d.keeper.Held(); held {
			sum := d.node.Demands(ctx, d.ownDemand())
			d.demand.Store(&sum)
		}
	}
}

// FleetDemand returns the demand by model, in tokens per second, that the holder
// of the lease for placement has collected; nil elsewhere.
func (d *Daemon) FleetDemand() map[string]float64 {
	if sum := d.demand.Load(); sum != nil {
		return *sum
	}
	return nil
}

func (d *Daemon) ownDemand() []peer.ModelDemand {
	var out []peer.ModelDemand
	d.gate.Demand(func(model string, tokens float64) {
		out = append(out, peer.ModelDemand{Model: model, Tokens: tokens})
	})
	return out
}
