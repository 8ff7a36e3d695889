// Package gateway assembles the daemon that runs on the users' platform. It
// follows the store, forwards callers' requests, competes for the placement
// lease, and shuts down without interrupting requests.
package gateway

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/availability"
	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/forward"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/internal/untilclose"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/invariant"
	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/lease"
	"github.com/snowspoke/snowspoke/liveness"
	"github.com/snowspoke/snowspoke/memory"
	"github.com/snowspoke/snowspoke/metrics"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/overload"
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

const (
	// leasePeriod is the period of the placement lease, within which a failed holder is
	// replaced.
	leasePeriod = 1600 * time.Millisecond
	// headerTimeout bounds the reading of a request's headers. Callers send them
	// within 3 s.
	headerTimeout = 4 * time.Second
	// revocationMargin is subtracted from the bound on revoked keys to allow for
	// clock drift. The bound counts from when the caller sent the request.
	revocationMargin = 150 * time.Millisecond
	// idleDescriptorsDivisor limits the idle connections to backend servers to a fraction of
	// the VM's file descriptors. The daemon that places layers calls every backend server.
	idleDescriptorsDivisor = 4
)

// Limits on the memory for large messages, as fractions of the VM's memory.
const (
	answerMemoryDivisor = 8
	bodyMemoryDivisor   = 4
)

// Kinds and names of the objects that daemons keep in the store.
const (
	kindLease      = "snowspoke-leases"
	kindDaemon     = "snowspoke-daemons"
	placementLease = "placement"
)

// Gateway is the daemon with all its parts.
type Gateway struct {
	opts            Options
	listeners       listeners
	set             site.Settings // at the start of the process
	log             *forward.Log
	store           *platform.Store
	backends        *platform.Backends
	inv             *inventory.Inventory
	members         *members
	relay           *relay.Node
	permits         *permit.Node
	paths           *detour.Paths
	detours         *detour.Dialer
	carrier         *detour.Server
	serverAddresses detour.AddressIndex[inventory.View]
	forward         *forward.Forwarder
	leases          *lease.Manager
	placer          *placer.Placer
	metrics         *metrics.Metrics
	stalls          *stall.Monitor
	quarantine      *quarantine.Registry
	quarantineSync  *quarantineSyncer
	conns           *callerConns
	overload        *overload.Guard
	undelimited     untilclose.Guard // of answers to callers
	callers         *http.Server
	readiness       *http.Server
	links           *http.Server // for other daemons
	admin           *http.Server // metrics and the quarantine list
	ingress         *platform.Ingress
	stage           atomic.Int32 // a stage value
	killed          chan struct{}
	killOnce        sync.Once
}

// Options configure a daemon.
type Options struct {
	// Load reads the settings. It is called again to detect changes.
	Load func() (site.Settings, error)
	// Reload triggers a reload of the settings. It may be nil.
	Reload      <-chan os.Signal
	MetricsPort int              // 0 for none
	Connect     network.DialFunc // opens connections to backend servers; nil for net.Dialer
}

// New returns a daemon that logs to out, and opens its listening sockets. It returns an
// error if the settings or the metrics fail to load, or an address is not available.
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
		paths: detour.NewPaths(set.FailureDomain),
	}
	g.backends.SetMaxIdle(set.Descriptors / idleDescriptorsDivisor)
	g.inv = inventory.New(g.store, g.log)
	g.backends.OnRestart(g.inv.NoteRestart)
	g.store.OnRefused(func(kind string, err error) {
		m.Refused(kind)
		_ = level.Error(g.log).Log("msg", "entry refused", "kind", kind, "err", err)
	})
	g.store.OnCorrected(func(version uint64, description string) {
		_ = level.Warn(g.log).Log("msg", "values of the configuration replaced", "version", version, "values", description)
	})
	g.store.OnEra(func(era uint64) {
		m.StoreEra(era)
		g.quarantineSync.wake()
		_ = level.Info(g.log).Log("msg", "era of the store", "era", era)
	})
	g.warnOfDelays()
	if err := g.listen(); err != nil {
		return nil, err
	}
	fanOut := relay.FanOut(set.CPUs, set.LinkMbps)
	self := relay.Member{Name: set.Name, Domain: set.FailureDomain, Address: g.listeners.links.Addr().String(), FanOut: fanOut}
	g.members = newMembers(self, set.FirstStart, g.store, g.log)
	stalls.OnWake(g.members.wake)
	registry := quarantine.NewRegistry(quarantine.DefaultPolicy)
	g.quarantine = registry
	g.quarantineSync = newQuarantineSyncer(registry, g.store, g.quarantineRole, g.log)
	limits, sends := quota.NewLimits(), quota.NewSends()
	pool := quota.NewPool(set.Name, limits, sends)
	g.forward = forward.New(forward.Options{
		FailureDomain: set.FailureDomain, RetryRatio: set.RetryRatio, RetrySlack: set.RetrySlack,
		RetryWindow: set.RetryWindow, Restarted: !set.FirstStart, MaxKeyAge: maxKeyAge(set),
		AnswerBytes: set.MemoryMB << 20 / answerMemoryDivisor,
	}, forward.Dependencies{Inventory: g.inv, Fleet: g.members, Backends: g.backends, Log: g.log, Observer: observer{m}, Quarantine: registry, TrialRank: g.members.rank,
		Stalls: stalls, Limits: limits, Sends: sends, Permits: permits{g}, Way: g.paths.Way})
	g.backends.OnStatement(g.forward.ApplyStatement)
	g.backends.SetCheck(g.forward.CheckCall)
	g.setUpDetours(platform.NewDirectConnector(o.Connect, stalls))
	g.relay = relay.New(relay.Options{
		Name: set.Name, Domain: set.FailureDomain, FanOut: fanOut, MaxConfigDelay: set.MaxConfigDelay, ConditionReader: g.forward, Quarantine: registry, Stalls: stalls, BeforeStore: g.quarantineSync.load,
		StoreAnswers: g.storeAnswers,
		Restored:     func() bool { return g.store.Era() > store.FirstEra },
	}, g.inv, g.forward.Loads(), g.members, g.log)
	g.members.setRelay(g.relay)
	g.permits = permit.New(permit.Options{
		Name: set.Name, Members: g.members.permitMembers, Joined: g.members.Joined, Limits: limits, Pool: pool, Sends: sends, ApplyLimit: g.forward.ApplyLimitFrom,
		Client: relay.NewDialer(nil, stalls), Scheme: "http", Stalls: stalls, Logger: g.log,
	})
	g.links = &http.Server{Handler: g.linksHandler()}
	g.leases = lease.NewManager(kindLease, placementLease, set.Name, leasePeriod, leaseStore{g.store}, g.log)
	g.placer = placer.New(g.leases, g.inv, permittedBackends{g}, g.forward, observer{m}, g.log)
	g.conns = newCallerConns()
	g.overload, err = overload.NewGuard(overload.GuardOptions{
		Processors: set.CPUs, Others: g.forward.Loads().OthersUsage, ObserveLag: stalls.NoteLag, Metrics: m,
		Log: func(keyvals ...any) { g.log.Add("process_load", keyvals...) },
	})
	if err != nil {
		return nil, err
	}
	g.forward.Loads().SetOwnUsage(g.overload.Usage)
	stalls.SetLag(g.overload.WaitingSince)
	g.ingress = platform.NewIngress(g.forward, memory.NewPool(bodyMemory(set)))
	g.ingress.SetStopping(g.isRefusing)
	g.callers = &http.Server{
		Handler: g.refuseWhenStopping(g.ingress), ReadHeaderTimeout: headerTimeout, ConnState: g.trackState,
		// Errors of the server itself, such as a handler that panicked.
		ErrorLog: stdlog.New(log.NewStdlibAdapter(level.Error(g.log)), "", 0),
	}
	g.undelimited.Protect(g.callers)
	g.trackRequests(g.callers)
	g.readiness = &http.Server{Handler: http.HandlerFunc(g.ready)}
	g.admin = &http.Server{Handler: adminHandler(m.Handler(), g)}
	return g, nil
}

// linksHandler returns the handler for connections from other daemons.
func (g *Gateway) linksHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relay.Path, g.relay)
	mux.Handle(permit.Path, g.permits)
	mux.Handle(detour.Path, g.carrier)
	return mux
}

// bodyMemory returns the number of bytes for the bodies of requests.
func bodyMemory(set site.Settings) int {
	if set.MemoryMB <= 0 {
		return defaultBodyMemory
	}
	return set.MemoryMB << 20 / bodyMemoryDivisor
}

// defaultBodyMemory applies if the settings do not state the VM's memory.
const defaultBodyMemory = 64 << 20

// storeAnswers reads a small object that may be old and reports whether the store answered.
func (g *Gateway) storeAnswers(ctx context.Context) bool {
	_, err := g.store.GetStale(ctx, kindLease, placementLease)
	return err == nil || errors.Is(err, store.ErrNotFound)
}

// maxKeyAge returns the maximum age of the configuration up to which its keys are
// accepted, 0 for no maximum.
func maxKeyAge(set site.Settings) time.Duration {
	if !set.FailClosed {
		return 0
	}
	return max(set.MaxRevocationDelay-revocationMargin, set.MaxRevocationDelay/2)
}

// leaseStore reads leases with cheap stale reads. This is safe since the
// conditional write of a lease fails if the read was out of date. It implements
// lease.Store.
type leaseStore struct{ *platform.Store }

// Get implements lease.Store.
func (s leaseStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	return s.GetStale(ctx, kind, name)
}

// ready answers the load balancer's readiness check. A daemon is ready when it has
// the configuration and the backend servers and is not stopping.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if stage(g.stage.Load()) != serving || !g.inv.Complete() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until ctx ends, then stops gracefully. It returns early on Kill, or with the
// error of a listener for callers or readiness checks that fails.
func (g *Gateway) Run(ctx context.Context) error {
	_ = level.Info(g.log).Log("msg", "started", "vm", g.set.Name, "domain", g.set.FailureDomain, "callers", g.set.Callers, "store", g.set.Store)
	restore := invariant.SetReporter(g.reportViolation)
	defer restore()
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	roles, stopRoles := context.WithCancel(work)
	defer stopRoles()
	var wg sync.WaitGroup
	wg.Go(func() { g.log.Run(work.Done()) })
	g.stalls.Start()
	wg.Go(func() { g.stalls.Run(work) })
	wg.Go(func() { g.monitorLoad(work) })
	wg.Go(func() { g.follow(work) })
	wg.Go(func() { g.permits.Run(work) })
	wg.Go(func() { g.backends.Run(work) })
	wg.Go(func() { g.detours.Run(work) })
	wg.Go(func() { g.members.Run(roles) })
	wg.Go(func() { g.conns.Run(work, g.idleTimeout) })
	wg.Go(func() { g.runCandidate(roles) })
	wg.Go(func() { g.placer.Run(roles) })
	wg.Go(func() { g.quarantineSync.run(roles) })
	failed := make(chan error, 3)
	wg.Go(func() { failed <- g.callers.Serve(g.conns.listen(g.overload.Listen(g.listeners.callers))) })
	wg.Go(func() { failed <- g.readiness.Serve(g.listeners.readiness) })
	wg.Go(func() { g.serveOptional(g.links, g.listeners.links, "links to other daemons") })
	if g.listeners.admin != nil {
		wg.Go(func() { g.serveOptional(g.admin, g.listeners.admin, "metrics") })
	}
	wg.Go(func() { g.followSettings(work) })
	var err error
	select {
	case err = <-failed:
	case <-g.killed:
	case <-ctx.Done():
		g.stop(stopRoles)
	}
	stopWork()
	_ = g.callers.Close()
	_ = g.readiness.Close()
	_ = g.links.Close()
	g.carrier.Close()
	_ = g.admin.Close()
	waitTimeout(&wg, shutdownTimeout)
	_ = level.Info(g.log).Log("msg", "stopped", "err", err)
	g.log.Flush()
	_ = g.metrics.Close()
	return err
}

func (g *Gateway) reportViolation(p invariant.Promise, detail string) {
	_ = level.Error(g.log).Log("msg", "invariant violated", "promise", string(p), "detail", detail)
}

// shutdownTimeout bounds the wait for the daemon's goroutines. The grace of a
// planned stop is nearly over by then, and the store may be unreachable.
const shutdownTimeout = 200 * time.Millisecond

// waitTimeout waits for wg, for d at most.
func waitTimeout(wg *sync.WaitGroup, d time.Duration) {
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

// Kill ends the daemon at once, as a crash does, without finishing requests or
// releasing the lease.
func (g *Gateway) Kill() { g.killOnce.Do(func() { close(g.killed) }) }

// serveOptional runs a server whose failure does not stop the daemon.
func (g *Gateway) serveOptional(s *http.Server, l net.Listener, what string) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		_ = level.Warn(g.log).Log("msg", "server failed", "what", what, "address", l.Addr().String(), "err", err)
	}
}

// trackState is the ConnState hook of the server for callers.
func (g *Gateway) trackState(c net.Conn, s http.ConnState) {
	g.overload.Track(c, s)
	g.conns.trackState(c, s)
}

// monitorLoad measures the load of this process until ctx ends.
func (g *Gateway) monitorLoad(ctx context.Context) {
	if err := g.overload.Run(ctx); err != nil {
		_ = level.Error(g.log).Log("msg", "the load of this process is not measured", "err", err)
	}
}

// follow keeps the inventory up to date through the relay. It starts once the daemons
// have been listed or firstListTimeout is over.
func (g *Gateway) follow(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-g.members.Found():
	}
	g.relay.Run(ctx)
}

// quarantineRole reports whether this daemon writes the quarantine record, and the
// number of failure domains that sort before its own.
func (g *Gateway) quarantineRole() (rank int, writes bool) {
	before := map[string]bool{}
	for _, m := range g.members.All() {
		if m.Domain < g.set.FailureDomain {
			before[m.Domain] = true
		}
	}
	return len(before), g.relay.Leading()
}

// candidateInterval is the time between two checks of whether this daemon is a
// candidate for the placement lease.
const candidateInterval = 500 * time.Millisecond

// runCandidate competes for the placement lease while this daemon leads its failure
// domain. Placement needs the store, and few candidates keep the number of calls low.
func (g *Gateway) runCandidate(ctx context.Context) {
	for ctx.Err() == nil {
		if g.relay.Leading() {
			leaseCtx, cancel := context.WithCancel(ctx)
			go func() {
				for leaseCtx.Err() == nil && g.relay.Leading() {
					wait.For(leaseCtx, candidateInterval)
				}
				cancel()
			}()
			g.leases.Run(leaseCtx)
			cancel()
		}
		wait.For(ctx, candidateInterval)
	}
}

// idleTimeout returns how long a caller's connection may be idle, 0 for no limit.
func (g *Gateway) idleTimeout() time.Duration {
	if c := g.inv.View().Config; c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

// observer records events in the daemon's metrics. It implements forward.Observer
// and placer.Observer.
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

// ServerEnded implements forward.Observer.
func (o observer) ServerEnded() { o.m.ServerEnded() }

// ContactLost implements forward.Observer.
func (o observer) ContactLost(v liveness.Verdict) { o.m.ContactLost(v.String()) }

// Quarantined implements forward.Observer.
func (o observer) Quarantined() { o.m.Quarantined() }

// Limits implements forward.Observer.
func (o observer) Limits(known int) { o.m.Limits(known) }

// LimitReached implements forward.Observer.
func (o observer) LimitReached() { o.m.LimitReached() }

// Unavailable implements forward.Observer.
func (o observer) Unavailable(s availability.State) { o.m.Unavailable(s) }

// CallPrevented implements forward.Observer.
func (o observer) CallPrevented(s availability.State) { o.m.CallPrevented(s) }

// Shed implements forward.Observer.
func (o observer) Shed(class int) { o.m.Shed(class) }

// AdmittedFraction implements forward.Observer.
func (o observer) AdmittedFraction(class int, fraction float64) {
	o.m.TaggedGauge("admitted_fraction", "class", strconv.Itoa(class), fraction)
}

// HeaderIgnored implements forward.Observer.
func (o observer) HeaderIgnored() { o.m.HeaderIgnored() }

// AnswerEnded implements forward.Observer.
func (o observer) AnswerEnded(f framing.Framing, complete bool) { o.m.AnswerEnded(f, complete) }

// Bound implements placer.Observer.
func (o observer) Bound(service string, requests int) {
	o.m.TaggedGauge("bound_requests", "service", service, float64(requests))
}

var _ log.Logger = (*forward.Log)(nil)
