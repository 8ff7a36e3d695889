// Package gateway wires the daemon that runs on the users' platform: it follows
// the store, forwards callers' requests, takes part in the placement duty, and
// stops without cutting a request off.
package gateway

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/forward"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/invariant"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/lease"
	"github.com/snowspoke/snowspoke/metrics"
	"github.com/snowspoke/snowspoke/permit"
	"github.com/snowspoke/snowspoke/placer"
	"github.com/snowspoke/snowspoke/platform"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/stall"
	"github.com/snowspoke/snowspoke/store"
)

// Times of the daemon.
const (
	// dutyPeriod is the period of the lease of the placement duty: a lost holder is
	// replaced within it.
	dutyPeriod = 1600 * time.Millisecond
	// headerTimeout bounds the reading of a request's head; callers keep within 3 s.
	headerTimeout = 4 * time.Second
	// keyMargin is taken off the bound on revoked keys, for clocks of different
	// speed: the bound itself counts from when the caller sent the request.
	keyMargin = 150 * time.Millisecond
)

// The objects that daemons keep in the store.
const (
	kindLease   = "snowspoke-leases"
	kindDaemon  = "snowspoke-daemons"
	placingDuty = "placement"
)

// Gateway is one daemon.
type Gateway struct {
	opts       Options
	listeners  listeners
	set        site.Settings // as the process started with
	log        *forward.Log
	store      *platform.Store
	backends   *platform.Backends
	inv        *inventory.Inventory
	members    *members
	relay      *relay.Node
	permits    *permit.Node
	forward    *forward.Forwarder
	keeper     *lease.Keeper
	placer     *placer.Placer
	metrics    *metrics.Metrics
	stalls     *stall.Monitor
	quarantine *quarantine.Book
	held       *heldKeeper
	conns      *callerConns
	callers    *http.Server
	checks     *http.Server
	links      *http.Server // to other daemons
	figures    *http.Server
	ingress    *platform.Ingress
	stage      atomic.Int32 // a stage of the planned stop
	killed     chan struct{}
	killOnce   sync.Once
}

// Options are what a daemon is started with.
type Options struct {
	// Load reads the settings. It is called again when they may have changed.
	Load func() (site.Settings, error)
	// Reload asks for that, nil for never.
	Reload      <-chan os.Signal
	MetricsPort int // 0 for none
}

// New builds a daemon whose log goes to out.
func New(o Options, out io.Writer) (*Gateway, error) {
	set, err := o.Load()
	if err != nil {
		return nil, err
	}
	m, err := metrics.New()
	if err != nil {
		return nil, err
	}
	stalls := stall.New(m.Stalled)
	g := &Gateway{
		set: set, opts: o, killed: make(chan struct{}), log: forward.NewLog(out), metrics: m, stalls: stalls,
		store: platform.NewStore(set.Store, stalls), backends: platform.NewBackends(stalls),
	}
	g.inv = inventory.New(g.store, g.log)
	g.backends.OnReborn(g.inv.NoteReborn)
	g.store.OnRefused(func(kind string, err error) {
		m.Refused(kind)
		_ = level.Error(g.log).Log("msg", "entry refused", "kind", kind, "err", err)
	})
	g.store.OnEra(func(era uint64) {
		m.StoreEra(era)
		g.held.wake()
		_ = level.Info(g.log).Log("msg", "era of the store", "era", era)
	})
	if err := g.listen(); err != nil {
		return nil, err
	}
	self := relay.Member{Name: set.Name, Domain: set.FailureDomain, Address: g.listeners.links.Addr().String()}
	g.members = newMembers(self, set.FirstStart, g.store, g.log)
	stalls.OnWake(g.members.wake)
	book := quarantine.NewBook(quarantine.DefaultPolicy)
	g.quarantine = book
	g.held = newHeldKeeper(book, g.store, g.heldTurn, g.log)
	limits, sends := quota.NewLimits(), quota.NewSends()
	pool := quota.NewPool(set.Name, limits, sends)
	g.forward = forward.New(forward.Options{
		FailureDomain: set.FailureDomain, RetryRatio: set.RetryRatio, RetrySlack: set.RetrySlack,
		RetryWindow: set.RetryWindow, Restarted: !set.FirstStart, KeysFreshFor: keysFreshFor(set),
	}, forward.Parts{Inventory: g.inv, Fleet: g.members, Backends: g.backends, Log: g.log, Observer: observer{m}, Quarantine: book, Stalls: stalls,
		Limits: limits, Sends: sends, Permits: permits{g}})
	g.backends.OnLimit(g.forward.HearLimit)
	g.relay = relay.New(relay.Options{
		Name: set.Name, Domain: set.FailureDomain, ConfigWithin: set.ConfigWithin, Asker: g.forward, Quarantine: book, Stalls: stalls, BeforeStore: g.held.load,
		Restored: func() bool { return g.store.Era() > store.FirstEra },
	}, g.inv, g.forward.Loads(), g.members, g.log)
	g.permits = permit.New(permit.Options{
		Name: set.Name, Members: g.members.permitted, Limits: limits, Pool: pool, Sends: sends, HearLimit: g.forward.HearLimitFrom,
		Client: relay.NewDialer(nil, stalls), Scheme: "http", Stalls: stalls, Logger: g.log,
	})
	g.links = &http.Server{Handler: g.linksHandler()}
	g.keeper = lease.NewKeeper(kindLease, placingDuty, set.Name, dutyPeriod, leaseStore{g.store}, g.log)
	g.placer = placer.New(g.keeper, g.inv, permittedOrders{g}, g.forward, observer{m}, g.log)
	g.conns = newCallerConns()
	g.ingress = platform.NewIngress(g.forward)
	g.callers = &http.Server{
		Handler: g.refuseLate(g.ingress), ReadHeaderTimeout: headerTimeout, ConnState: g.conns.note,
		// What the server itself has to say, a handler that panicked above all.
		ErrorLog: stdlog.New(log.NewStdlibAdapter(level.Error(g.log)), "", 0),
	}
	g.checks = &http.Server{Handler: http.HandlerFunc(g.ready)}
	g.figures = &http.Server{Handler: operators(m.Handler(), g)}
	return g, nil
}

// linksHandler serves the links of other daemons.
func (g *Gateway) linksHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relay.Path, g.relay)
	mux.Handle(permit.Path, g.permits)
	return mux
}

func keysFreshFor(set site.Settings) time.Duration {
	if !set.FailClosed {
		return 0
	}
	return max(set.RevokeWithin-keyMargin, set.RevokeWithin/2)
}

// leaseStore reads leases by the cheap reads that may be old: whoever acts on an
// old one loses the conditional write. It implements lease.Store.
type leaseStore struct{ *platform.Store }

// Get implements lease.Store.
func (s leaseStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	return s.GetStale(ctx, kind, name)
}

// ready answers the balancer: a daemon is ready when it knows the configuration
// and the backend servers and is not stopping.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if stage(g.stage.Load()) != serving || !g.inv.Complete() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until ctx ends, then stops.
func (g *Gateway) Run(ctx context.Context) error {
	_ = level.Info(g.log).Log("msg", "started", "vm", g.set.Name, "domain", g.set.FailureDomain, "callers", g.set.Callers, "store", g.set.Store)
	restore := invariant.SetReporter(g.reportViolation)
	defer restore()
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	duty, stopDuty := context.WithCancel(work)
	defer stopDuty()
	var wg sync.WaitGroup
	wg.Go(func() { g.log.Run(work.Done()) })
	wg.Go(func() { g.stalls.Run(work) })
	wg.Go(func() { g.follow(work) })
	wg.Go(func() { g.permits.Run(work) })
	wg.Go(func() { g.backends.Run(work) })
	wg.Go(func() { g.members.Run(duty) })
	wg.Go(func() { g.conns.Run(work, g.idleTimeout) })
	wg.Go(func() { g.candidate(duty) })
	wg.Go(func() { g.placer.Run(duty) })
	wg.Go(func() { g.held.run(duty) })
	failed := make(chan error, 3)
	wg.Go(func() { failed <- g.callers.Serve(g.conns.listen(g.listeners.callers)) })
	wg.Go(func() { failed <- g.checks.Serve(g.listeners.checks) })
	wg.Go(func() { g.serveExtra(g.links, g.listeners.links, "links to other daemons") })
	if g.listeners.figures != nil {
		wg.Go(func() { g.serveExtra(g.figures, g.listeners.figures, "metrics") })
	}
	wg.Go(func() { g.followSettings(work) })
	var err error
	select {
	case err = <-failed:
	case <-g.killed:
	case <-ctx.Done():
		g.stop(stopDuty)
	}
	stopWork()
	_ = g.callers.Close()
	_ = g.checks.Close()
	_ = g.links.Close()
	_ = g.figures.Close()
	waitAtMost(&wg, endsWithin)
	_ = level.Info(g.log).Log("msg", "stopped", "err", err)
	g.log.Flush()
	_ = g.metrics.Close()
	return err
}

func (g *Gateway) reportViolation(p invariant.Promise, detail string) {
	_ = level.Error(g.log).Log("msg", "invariant violated", "promise", string(p), "detail", detail)
}

// endsWithin is how long the parts of a daemon may take to end: the grace of a
// planned stop is nearly over then, and the store may be away.
const endsWithin = 200 * time.Millisecond

func waitAtMost(wg *sync.WaitGroup, d time.Duration) {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(d):
	}
}

// Kill ends the daemon at once, as a crash does: nothing is finished or handed
// over.
func (g *Gateway) Kill() { g.killOnce.Do(func() { close(g.killed) }) }

// serveExtra runs a server without which the daemon serves callers all the same.
func (g *Gateway) serveExtra(s *http.Server, l net.Listener, what string) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = level.Warn(g.log).Log("msg", "not served any more", "what", what, "address", l.Addr().String(), "err", err)
	}
}

// follow keeps the inventory up to date, over other daemons once they are known.
func (g *Gateway) follow(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-g.members.Found():
	}
	g.relay.Run(ctx)
}

// heldTurn says whether this daemon keeps what is held back, and how many failure domains
// come before its own.
func (g *Gateway) heldTurn() (rank int, writes bool) {
	before := map[string]bool{}
	for _, m := range g.members.All() {
		if m.Domain < g.set.FailureDomain {
			before[m.Domain] = true
		}
	}
	return len(before), g.relay.Leading()
}

// candidatePoll is the pause between two looks at whether this daemon is a
// candidate for the duty.
const candidatePoll = 500 * time.Millisecond

// candidate tries for the placement duty while this daemon leads its domain: the
// duty needs the store, and few candidates cost few calls.
func (g *Gateway) candidate(ctx context.Context) {
	for ctx.Err() == nil {
		if g.relay.Leading() {
			kctx, cancel := context.WithCancel(ctx)
			go func() {
				for kctx.Err() == nil && g.relay.Leading() {
					wait.For(kctx, candidatePoll)
				}
				cancel()
			}()
			g.keeper.Run(kctx)
			cancel()
		}
		wait.For(ctx, candidatePoll)
	}
}

// idleTimeout is how long a caller's connection may rest.
func (g *Gateway) idleTimeout() time.Duration {
	if c := g.inv.View().Config; c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

// observer counts requests in the daemon's metrics. It implements
// forward.Observer and placer.Observer.
type observer struct{ m *metrics.Metrics }

// Finished implements forward.Observer.
func (o observer) Finished(kind string, d time.Duration) { o.m.Finished(kind, d) }

// FirstEvent implements forward.Observer.
func (o observer) FirstEvent(d time.Duration) { o.m.FirstToken(d) }

// Recovered implements forward.Observer.
func (o observer) Recovered(_ string, gap time.Duration) { o.m.Recovered(gap) }

// LoadsAge implements forward.Observer.
func (o observer) LoadsAge(age time.Duration) { o.m.LoadsAge(age) }

// LoadsRefused implements forward.Observer.
func (o observer) LoadsRefused(n int) { o.m.LoadsRefused(n) }

// EndedUnder implements forward.Observer.
func (o observer) EndedUnder() { o.m.EndedUnder() }

// HeldBack implements forward.Observer.
func (o observer) HeldBack() { o.m.HeldBack() }

// Limits implements forward.Observer.
func (o observer) Limits(known int) { o.m.Limits(known) }

// LimitReached implements forward.Observer.
func (o observer) LimitReached() { o.m.LimitReached() }

// Bound implements placer.Observer.
func (o observer) Bound(service string, requests int) {
	o.m.TaggedGauge("bound_requests", "service", service, float64(requests))
}

var _ log.Logger = (*forward.Log)(nil)
