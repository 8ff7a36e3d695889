package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/routing"
	"github.com/snowspoke/snowspoke/topology"
)

// Signal is an observation of a backend server's health made by a request.
type Signal = health.Signal

// Catalog provides the configuration in force.
type Catalog interface {
	Snapshot() *topology.Snapshot
}

// Warm records which backend servers probably cache a prompt's prefix. Prefixes are
// identified by Request.CacheKey.
type Warm interface {
	// Servers returns the backend servers that probably cache the prefix.
	Servers(key uint64) []string
	// Sent records that a prompt with the prefix was sent to the backend server.
	Sent(key uint64, server string)
}

// Observer receives measurements of requests.
type Observer interface {
	// Finished records the duration of a request. kind is the kind of its error, or
	// "whole" if the answer was complete.
	Finished(kind string, d time.Duration)
	// FirstToken records the time to the first token of a request.
	FirstToken(d time.Duration)
	// Recovered records the pause in a stream that continued after a failure.
	Recovered(gap time.Duration)
	// Dropped counts the events of a request that were dropped.
	Dropped(d Drops)
	// LimitReached counts a request refused because of backend servers' limits.
	LimitReached()
	// ServerEnded counts a backend server that ended while it may have run a request.
	ServerEnded()
	// Quarantined counts a request that is not sent because backend servers crash as they run it.
	Quarantined()
}

// Options are the settings of a dispatcher.
type Options struct {
	FailureDomain  string
	FirstToken     time.Duration // longest time to the first token of an attempt
	GapCeiling     time.Duration // longest time between two tokens
	MaxAttempts    int           // attempts per request, the first included
	RecoverTimeout time.Duration // longest wait for another route after an attempt failed
	MoveThreshold  time.Duration // expected remaining time above which a stream moves off a leaving backend server
}

// Dispatcher runs requests for models. It is safe for concurrent use.
type Dispatcher struct {
	opts    Options
	engine  backend.Engine
	catalog Catalog
	table   *fleet.Table
	planner *routing.Planner
	gate    *Gate
	health  HealthSink
	prober  Prober
	warm    Warm
	sealer  *Sealer
	log     *decision.Log
	observe Observer
	clock   Clock
	policy  Policy
	limits  *CallLimits
	pauses  *pauses
	crashes *crashes
}

// Dependencies are the dependencies of a dispatcher.
type Dependencies struct {
	Engine   backend.Engine
	Catalog  Catalog
	Table    *fleet.Table
	Planner  *routing.Planner
	Gate     *Gate
	Health   HealthSink
	Prober   Prober
	Warm     Warm
	Sealer   *Sealer
	Log      *decision.Log
	Observer Observer
	Clock    Clock
	Choose   Policy      // nil means routing.Choose
	Limits   *CallLimits // nil means no limits
	// Quarantine is shared with the other daemons, nil for a private registry.
	Quarantine *quarantine.Registry
	// TrialRank returns the position of this daemon in an order of all daemons that depends on
	// the key and is the same at all of them. nil for a single daemon.
	TrialRank func(key uint64) int
	// Isolated reports whether a call failed because this daemon reaches no backend server, so that
	// it says nothing about the one that was called. nil if that is not tracked.
	Isolated func(err error) bool
}

// Policy picks a route for a new request.
type Policy func(p *routing.Plan, l routing.Loads, o routing.Options, r *rand.Rand) (routing.Choice, error)

// New returns a dispatcher.
func New(o Options, p Dependencies) *Dispatcher {
	if p.Choose == nil {
		p.Choose = routing.Choose
	}
	if p.Quarantine == nil {
		p.Quarantine = quarantine.NewRegistry(quarantine.DefaultPolicy)
	}
	return &Dispatcher{
		crashes: &crashes{registry: p.Quarantine, trialRank: p.TrialRank, isolated: p.Isolated},
		opts:    o, engine: p.Engine, catalog: p.Catalog, table: p.Table, planner: p.Planner, gate: p.Gate,
		health: p.Health, prober: p.Prober, warm: p.Warm, sealer: p.Sealer, log: p.Log, observe: p.Observer,
		clock: p.Clock, policy: p.Choose, limits: p.Limits, pauses: newPauses(p.Clock, p.Log),
	}
}

// Do runs a request and passes its tokens to sink. An error is an
// *apierror.Error that correctly states whether the request ran.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) (Outcome, error) {
	r := d.newRun(req, sink)
	return r.runAndFinish(ctx, r.runNew)
}

func (d *Dispatcher) newRun(req *Request, sink Sink) *run {
	return &run{
		d: d, req: req, sink: sink, began: d.clock(),
		Tracker:  execution.New(req.Repeatable),
		delivery: NewDelivery(req.ID, 0),
		avoid:    map[string]bool{},
		guard:    req.guard(d.crashes.registry),
	}
}

// finish logs the end of a request and returns err as an *apierror.Error.
func (d *Dispatcher) finish(req *Request, attempts int, err error, began time.Time) error {
	rec := decision.Record{
		Time: d.clock(), Kind: decision.Finish, RequestID: req.ID, Attempt: attempts,
		Workspace: req.Workspace.Name, Subject: req.Model, Reason: "whole",
	}
	kind := "whole"
	if err != nil {
		e := apierror.From(err)
		kind = string(e.Kind)
		rec.Kind = decision.Refuse
		if !e.NotRun() {
			rec.Kind = decision.Finish
		}
		rec.Reason = e.Error()
		err = e
	}
	d.log.Add(rec)
	d.observe.Finished(kind, d.clock().Sub(began))
	return err
}
