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

// leasePlacement is the name of the placement lease.
const leasePlacement = "placement"

func (d *Daemon) buildControl(engine backend.Engine) {
	p := d.cfg.Place
	d.leaseManager = lease.NewManager(string(topology.KindLease), leasePlacement, d.cfg.Daemon.Name, p.LeaseTTL, d.store, d.logger)
	d.control = control.New(control.Options{
		Period: p.Period, LeaseTTL: p.LeaseTTL, OrderTimeout: p.OrderTimeout, OrderExpiry: p.OrderExpiry, Budget: p.BudgetBytes,
	}, control.Dependencies{
		Lease: d.leaseManager, Store: d.store, Engine: engine, Config: d.catalog.Snapshot, Table: d.table,
		Demand: d.FleetDemand, Log: d.decisions, Logger: d.logger, Clock: time.Now,
	})
}

// placeWeights competes for the placement lease and places weights while it holds the
// lease. Only daemons that follow the store compete, so that reads of the lease do not
// grow with the fleet.
func (d *Daemon) placeWeights(ctx context.Context) {
	if !d.cfg.Place.Enabled {
		return
	}
	d.node.Follow(ctx, func(ctx context.Context) {
		var wg sync.WaitGroup
		wg.Go(func() { d.leaseManager.Run(ctx) })
		wg.Go(func() { d.control.Run(ctx) })
		wg.Go(func() { d.collectDemand(ctx) })
		wg.Wait()
	})
}

// demandInterval is the interval at which the holder of the placement lease
// requests the demand of all daemons.
const demandInterval = 10 * time.Second

// collectDemand updates the demand of the fleet while this daemon holds the
// placement lease.
func (d *Daemon) collectDemand(ctx context.Context) {
	t := time.NewTicker(demandInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if _, held := d.leaseManager.Held(); held {
			sum := d.node.Demands(ctx, d.ownDemand())
			d.demand.Store(&sum)
		}
	}
}

// FleetDemand returns the last collected demand of the fleet, in tokens per second
// by model, or nil if this daemon has collected none. Only the holder of the
// placement lease collects it.
func (d *Daemon) FleetDemand() map[string]float64 {
	if sum := d.demand.Load(); sum != nil {
		return *sum
	}
	return nil
}

// ownDemand returns the demand of this daemon by model.
func (d *Daemon) ownDemand() []peer.ModelDemand {
	var out []peer.ModelDemand
	d.gate.Demand(func(model string, tokens float64) {
		out = append(out, peer.ModelDemand{Model: model, Tokens: tokens})
	})
	return out
}
