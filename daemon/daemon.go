// Package daemon assembles a daemon that can run as its own process or inside
// another program, as in the try command and in tests.
package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/api"
	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/backend/httpbackend"
	"github.com/snowspoke/snowspoke/catalog"
	"github.com/snowspoke/snowspoke/claims"
	"github.com/snowspoke/snowspoke/config"
	"github.com/snowspoke/snowspoke/control"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/dispatch"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/internal/untilclose"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/invariant"
	"github.com/snowspoke/snowspoke/lease"
	"github.com/snowspoke/snowspoke/metrics"
	"github.com/snowspoke/snowspoke/monitor"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/overload"
	"github.com/snowspoke/snowspoke/peer"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/routing"
	"github.com/snowspoke/snowspoke/store/httpstore"
	"github.com/snowspoke/snowspoke/tlsconf"
	"github.com/snowspoke/snowspoke/topology"
)

// Daemon is one daemon of the fleet.
type Daemon struct {
	cfg     config.Config
	net     network.Network
	logger  log.Logger
	metrics *metrics.Metrics
	tls     *tlsconf.Reloader // nil if no certificates are set

	catalog          *catalog.Catalog
	store            *httpstore.Client
	node             *peer.Node
	leaseManager     *lease.Manager
	control          *control.Controller
	demand           atomic.Pointer[map[string]float64] // of the fleet, in tokens per second by model
	table            *fleet.Table
	planner          *routing.Planner
	prefixes         *routing.Prefixes
	gate             *dispatch.Gate
	monitor          *monitor.Monitor
	decisions        *decision.Log
	key              []byte
	sealer           *dispatch.Sealer
	claimRegistry    *claims.Registry
	limits           limits
	quarantine       *quarantine.Registry // of requests that crash engines, shared with the other daemons
	paths            *detour.Paths
	detours          *detour.Dialer
	carrier          *detour.Server
	backendAddresses detour.AddressIndex[topology.Snapshot]
	undelimited      untilclose.Guard // of answers to callers
	overload         *overload.Guard  // nil on a network that is not the operating system's

	callers   *http.Server
	operators *http.Server
	peers     *http.Server
	listeners [3]net.Listener
	clients   []*http.Client
	// backendClients are those of clients that call backend servers.
	backendClients []*http.Client
	stopping       atomic.Bool
	killed         chan struct{}
	killOnce       sync.Once
}

// Limits of a request that are not settings.
const (
	maxAttempts    = 8
	recoverTimeout = 10 * time.Second
	moveThreshold  = 5 * time.Second
)

// New builds a daemon and opens its listeners. Run starts it. New returns an error if
// the metrics cannot be set up, a certificate or the fleet key cannot be read, or an
// address is not available.
func New(cfg config.Config, n network.Network, logger log.Logger) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, net: n, killed: make(chan struct{}), logger: log.With(logger, "daemon", cfg.Daemon.Name),
		quarantine: quarantine.NewRegistry(quarantine.DefaultPolicy),
	}
	m, err := metrics.New()
	if err != nil {
		return nil, err
	}
	d.metrics = m
	if cfg.Security.CertFile != "" {
		files := tlsconf.Files{Cert: cfg.Security.CertFile, Key: cfg.Security.KeyFile, CA: cfg.Security.CAFile}
		if d.tls, err = tlsconf.New(files, time.Now); err != nil {
			return nil, err
		}
	}
	if d.key, err = fleetKey(cfg.Security.FleetKeyFile, d.logger); err != nil {
		return nil, err
	}
	if d.sealer, err = dispatch.NewSealer(d.key); err != nil {
		return nil, err
	}
	d.buildState()
	d.buildLimits()
	d.buildDetours()
	d.buildServers()
	if err := d.limitLoad(); err != nil {
		return nil, err
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.buildNode()
	d.linkLimits()
	return d, nil
}

// fleetKey reads the key of the fleet. If no file is set, it generates a random key,
// with which this daemon cannot join others.
func fleetKey(path string, logger log.Logger) ([]byte, error) {
	if path != "" {
		return dispatch.LoadKey(path)
	}
	_ = level.Warn(logger).Log("msg", "no fleet key is set, this daemon cannot join others")
	key := make([]byte, dispatch.KeyBytes)
	if _, err := rand.Read(key); err != nil {
		return nil, fmt.Errorf("fleet key: %w", err)
	}
	return key, nil
}

func (d *Daemon) buildState() {
	d.catalog = catalog.New()
	d.table = fleet.NewTable()
	d.planner = routing.NewPlanner(d.table, time.Now)
	d.prefixes = routing.NewPrefixes()
	d.decisions = decision.New(d.logger, d.cfg.Log.Decisions)
	d.gate = dispatch.NewGate(dispatch.GateOptions{
		MaxStreams: d.cfg.Limits.Streams, QueueLimit: d.cfg.Limits.QueueLength,
		RetryRatio: d.cfg.Limits.RetryRatio, Limit: admission.DefaultLimitConfig(), Shares: peerAdapter{d},
	}, d.table, time.Now)
}

func (d *Daemon) buildServers() {
	store := httpstore.New(d.cfg.Platform.URL, d.client(platformConns))
	d.store = store
	d.claimRegistry = claims.NewRegistry(claims.Options{
		Self: d.cfg.Daemon.Name, Shards: d.cfg.Claims.Shards, MaxStoredBytes: d.cfg.Claims.KeepBytes,
		Window: claims.Window{Retention: d.cfg.Claims.Retention, Skew: d.cfg.Claims.Skew},
	}, store, peerAdapter{d}, time.Now)
	scheme := "http"
	if d.cfg.Security.BackendTLS {
		scheme = "https"
	}
	engines := httpbackend.NewEngines(d.backendClient(), scheme)
	d.buildControl(engines)
	d.monitor = monitor.New(monitor.Options{
		StatusPoll: d.cfg.Health.StatusPoll, GapFloor: d.cfg.Health.GapFloor,
		GapCeiling: d.cfg.Health.GapCeiling, Health: health.DefaultConfig(), Link: health.DefaultLinkConfig(),
	}, monitor.Dependencies{
		Engine: engines, Table: d.table, Log: d.decisions, Logger: d.logger,
		Owner: peerAdapter{d}, Publisher: peerAdapter{d}, Cache: d.prefixes, Wake: d.gate.Wake, Clock: time.Now,
	})
	disp := d.dispatcher(engines)
	services := dispatch.NewServices(disp, httpbackend.NewServices(d.backendClient(), d.backendNetwork().DialContext, scheme))
	l := d.cfg.Limits
	callers := api.NewCallers(api.CallerOptions{
		BodyBytes: l.BodyBytes, BodyMemory: l.BodyMemory, BodyTimeout: l.BodyTimeout, WriteTimeout: l.WriteTimeout,
		DefaultDeadline: l.DefaultDeadline, MaxDeadline: l.MaxDeadline,
	}, d.catalog, disp, services, d.sealer, d.claimRegistry, time.Now)
	d.callers = d.newServer(callers)
	d.undelimited.Protect(d.callers)
	d.operators = d.newServer(api.NewOperators(d, d.metrics.Handler(), d.cfg.Security.OperatorTokenHash))
}

func (d *Daemon) dispatcher(engine backend.Engine) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		FailureDomain: d.cfg.Daemon.FailureDomain, FirstToken: d.cfg.Health.FirstToken, GapCeiling: d.cfg.Health.GapCeiling,
		MaxAttempts: maxAttempts, RecoverTimeout: recoverTimeout, MoveThreshold: moveThreshold,
	}, dispatch.Dependencies{
		Engine: engine, Catalog: d.catalog, Table: d.table, Planner: d.planner, Gate: d.gate,
		Health: d.monitor, Prober: d.monitor, Warm: d.prefixes, Sealer: d.sealer, Log: d.decisions,
		Observer: d.metrics, Clock: time.Now, Limits: d.limits.calls, Quarantine: d.quarantine,
		TrialRank: func(key uint64) int { return d.node.Rank(key) },
		Isolated:  func(err error) bool { return errors.Is(err, detour.ErrIsolated) },
	})
}

// Maximum idle connections to each host.
const (
	platformConns = 8
	backendConns  = 256
)

// backendClient returns an HTTP client that calls backend servers.
func (d *Daemon) backendClient() *http.Client {
	c := d.clientOver(d.backendNetwork(), backendConns)
	d.backendClients = append(d.backendClients, c)
	return c
}

func (d *Daemon) backendNetwork() network.Network { return backendNetwork{d.net, d.detours} }

// client returns an HTTP client whose idle connections are closed when the daemon
// stops.
func (d *Daemon) client(perHost int) *http.Client { return d.clientOver(d.net, perHost) }

// clientOver is client over a particular network.
func (d *Daemon) clientOver(n network.Network, perHost int) *http.Client {
	var conf *tls.Config
	if d.tls != nil {
		conf = d.tls.Client()
	}
	c := network.TLSClient(n, perHost, conf)
	d.clients = append(d.clients, c)
	return c
}

func (d *Daemon) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: d.cfg.Limits.HeaderTimeout, MaxHeaderBytes: d.cfg.Limits.HeaderBytes,
		IdleTimeout: 2 * time.Minute, ErrorLog: nil,
	}
}

func (d *Daemon) listen() error {
	for i, address := range []string{d.cfg.Listen.Callers, d.cfg.Listen.Operators, d.cfg.Listen.Peers} {
		l, err := d.net.Listen(address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		d.listeners[i] = l
	}
	if d.overload != nil {
		d.listeners[0] = d.overload.Listen(d.listeners[0])
	}
	d.listeners[0] = newLimitListener(d.listeners[0], d.cfg.Limits.Connections)
	d.wrapTLS()
	return nil
}

// wrapTLS adds TLS to the listeners if certificates are set. The peers' listener
// uses mutual TLS if a certificate authority is set.
func (d *Daemon) wrapTLS() {
	if d.tls == nil {
		return
	}
	for i := range d.listeners {
		conf := d.tls.Server()
		if i == peersListener && d.cfg.Security.CAFile != "" {
			conf = d.tls.Mutual()
		}
		d.listeners[i] = tls.NewListener(d.listeners[i], conf)
	}
}

// peersListener is the index of the listener for other daemons in listeners.
const peersListener = 2

// peerScheme returns the URL scheme for calls between daemons.
func (d *Daemon) peerScheme() string {
	if d.tls != nil {
		return "https"
	}
	return "http"
}

// CallersAddr returns the address of the callers' listener as host:port.
func (d *Daemon) CallersAddr() string { return d.listeners[0].Addr().String() }

// OperatorsAddr returns the address of the operators' listener as host:port.
func (d *Daemon) OperatorsAddr() string { return d.listeners[1].Addr().String() }

// PeersAddr returns the address of the peers' listener as host:port.
func (d *Daemon) PeersAddr() string { return d.listeners[peersListener].Addr().String() }

// Run serves until ctx ends and then drains the daemon. To drain, it fails readiness
// checks, waits for the load balancer to react, refuses new requests and waits until
// the requests in flight have finished or the drain timeout has passed. It returns an
// error if a listener fails or if requests outlive the drain timeout.
func (d *Daemon) Run(ctx context.Context) error {
	restore := invariant.SetReporter(d.reportViolation)
	defer restore()
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var wg sync.WaitGroup
	wg.Go(func() { d.followStore(workCtx) })
	wg.Go(func() { d.followCatalog(workCtx) })
	wg.Go(func() { d.monitor.Run(workCtx) })
	wg.Go(func() { d.node.Run(workCtx) })
	wg.Go(func() { d.readVMs(workCtx) })
	wg.Go(func() { d.node.ReportQuotas(workCtx) })
	wg.Go(func() { d.node.ShareCrashes(workCtx) })
	wg.Go(func() { d.forgetCrashes(workCtx) })
	wg.Go(func() { d.limits.node.Run(workCtx) })
	wg.Go(func() { d.placeWeights(workCtx) })
	wg.Go(func() { d.detours.Run(workCtx) })
	wg.Go(func() { d.closeIdleThroughLeaving(workCtx) })
	wg.Go(func() { d.monitorLoad(workCtx) })
	d.peers = d.newServer(d.peersHandler(workCtx))
	serveErrs := make(chan error, 3)
	wg.Go(func() { serveErrs <- d.peers.Serve(d.listeners[peersListener]) })
	wg.Go(func() { serveErrs <- d.callers.Serve(d.listeners[0]) })
	wg.Go(func() { serveErrs <- d.operators.Serve(d.listeners[1]) })
	_ = level.Info(d.logger).Log("msg", "started", "callers", d.CallersAddr(), "operators", d.OperatorsAddr())
	var err error
	select {
	case err = <-serveErrs:
	case <-d.killed:
	case <-ctx.Done():
		err = d.drain()
	}
	stopWork()
	d.undelimited.Reset()
	_ = d.callers.Close()
	_ = d.operators.Close()
	_ = d.peers.Close()
	d.carrier.Close()
	wg.Wait()
	for _, c := range d.clients {
		c.CloseIdleConnections()
	}
	_ = d.metrics.Close()
	_ = level.Info(d.logger).Log("msg", "stopped", "err", err)
	return err
}

// Kill stops the daemon at once, like a crash. The daemon does not drain, announce
// that it leaves or hand over leases.
func (d *Daemon) Kill() { d.killOnce.Do(func() { close(d.killed) }) }

// drain performs the graceful stop. It returns an error if requests outlive the drain
// timeout.
func (d *Daemon) drain() error {
	d.stopping.Store(true)
	_ = level.Info(d.logger).Log("msg", "stopping", "balancer_delay", d.cfg.Stop.BalancerDelay)
	d.carrier.Stop()
	d.node.Leave()
	time.Sleep(d.cfg.Stop.BalancerDelay)
	d.gate.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.Stop.DrainTimeout)
	defer cancel()
	err := d.callers.Shutdown(ctx)
	d.awaitCarried(ctx)
	running, waiting := d.gate.InFlight()
	if err != nil {
		return errors.Join(fmt.Errorf("drain: %d requests were cut off: %w", running+waiting, err),
			invariant.Check(false, invariant.PlannedStopCutsOffNothing, "%d requests outlived the drain timeout", running+waiting))
	}
	return nil
}

// carriedPollInterval is the time between two checks for carried connections.
const carriedPollInterval = 50 * time.Millisecond

// awaitCarried waits until the daemon carries no connections for others.
func (d *Daemon) awaitCarried(ctx context.Context) {
	for d.carrier.Carried() > 0 && wait.For(ctx, carriedPollInterval) {
	}
}

// followCatalog applies changes of the configuration to the fleet table and the
// limits, and wakes waiting requests.
func (d *Daemon) followCatalog(ctx context.Context) {
	for {
		changed := d.catalog.Changed()
		d.table.SetConfig(d.catalog.Snapshot().BackendServers)
		d.declareLimits()
		d.gate.Wake()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (d *Daemon) reportViolation(p invariant.Promise, detail string) {
	_ = level.Error(d.logger).Log("msg", "invariant violated", "promise", string(p), "detail", detail)
}
