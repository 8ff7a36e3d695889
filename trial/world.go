// Package trial runs daemons and stand-in backends in one process on loopback, for
// demonstrations and for checking the system's guarantees under faults.
package trial

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/config"
	"github.com/snowspoke/snowspoke/daemon"
	"github.com/snowspoke/snowspoke/decision"
	"github.com/snowspoke/snowspoke/internal/memstore"
	"github.com/snowspoke/snowspoke/internal/standin"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// Names of the objects in a world.
const (
	Model   = "excursion-7b"
	Service = "status-cards"
	Token   = "try-token"
	layers  = 24
	version = "v1"
)

// engineSpec describes one stand-in engine.
type engineSpec struct {
	name        string
	accelerator string
	domain      string
	rate        float64 // tokens per second
	delay       time.Duration
	layers      topology.LayerRange
}

// engines form three stages with two engines each, of different accelerators.
var engines = []engineSpec{
	{"engine-1", "h100", "bogota-1", 4000, 400 * time.Microsecond, topology.LayerRange{Lo: 0, Hi: 8}},
	{"engine-2", "a100", "bogota-2", 2000, 700 * time.Microsecond, topology.LayerRange{Lo: 0, Hi: 8}},
	{"engine-3", "h100", "bogota-1", 4000, 400 * time.Microsecond, topology.LayerRange{Lo: 8, Hi: 16}},
	{"engine-4", "l40s", "bogota-3", 1500, 900 * time.Microsecond, topology.LayerRange{Lo: 8, Hi: 16}},
	{"engine-5", "mi300", "bogota-2", 3000, 500 * time.Microsecond, topology.LayerRange{Lo: 16, Hi: 24}},
	{"engine-6", "a100", "bogota-3", 2000, 700 * time.Microsecond, topology.LayerRange{Lo: 16, Hi: 24}},
}

// World is a complete system: the platform, stand-in engines and services, and daemons.
type World struct {
	Platform *memstore.Platform
	Fleet    *standin.Fleet
	Services []*standin.Service
	Daemons  []*Process

	hosts   Hosts
	logger  log.Logger
	keyFile string
	dir     string
}

// Hosts returns the network of the host with the given IP address.
type Hosts func(ip string) network.Network

// Loopback returns the operating system's network for every host.
func Loopback(string) network.Network { return network.NewSystem(time.Second) }

// IP addresses of a world's hosts on an in-memory network.
const (
	platformIP = "10.0.0.1"
	callersIP  = "10.0.0.2"
	engineIP   = "10.0.1.%d"
	serviceIP  = "10.0.2.%d"
	daemonIP   = "10.0.3.%d"
)

// Process is a daemon that can be restarted.
type Process struct {
	Name   string
	world  *World
	cfg    config.Config
	net    network.Network
	cycle  chan struct{} // semaphore that serializes restarts
	mu     sync.Mutex
	daemon *daemon.Daemon
	stop   context.CancelFunc
	done   chan error
}

// NewWorld starts the platform, the stand-ins and n daemons that log to logger,
// and waits until the daemons are ready.
func NewWorld(n int, hosts Hosts, logger log.Logger) (*World, error) {
	w := &World{Fleet: standin.NewFleet(), hosts: hosts, logger: logger}
	var err error
	if w.Platform, err = memstore.NewPlatform(hosts(platformIP)); err != nil {
		return nil, err
	}
	if err := w.addBackends(); err != nil {
		return nil, err
	}
	if err := w.writeKey(); err != nil {
		return nil, err
	}
	for i := range n {
		if err := w.addDaemon(i); err != nil {
			return nil, err
		}
	}
	return w, w.waitReady()
}

func (w *World) addBackends() error {
	for i, s := range engines {
		e, err := w.Fleet.Add(w.hosts(fmt.Sprintf(engineIP, i+1)), s.name, s.rate, s.delay, backend.Holding{Model: Model, Version: version, Layers: s.layers})
		if err != nil {
			return err
		}
		w.Platform.Set(string(topology.KindBackendServer), s.name, &topology.BackendServer{
			Address: e.Address(), FailureDomain: s.domain, Region: "bogota", Accelerator: s.accelerator,
			TokensPerSecond: s.rate, ChecksFencing: true, Labels: topology.Labels{"accelerator": s.accelerator, "name": s.name},
		})
	}
	w.setLinkDelays()
	w.Platform.Set(string(topology.KindModel), Model, &topology.Model{Layers: layers, Version: version, MaxTokens: 4096})
	for i, lo := range []int{0, 8, 16} {
		w.Platform.Set(string(topology.KindStage), fmt.Sprintf("stage-%d", i+1), &topology.Stage{
			Model: Model, Layers: topology.LayerRange{Lo: lo, Hi: lo + 8},
		})
	}
	w.Platform.Set(string(topology.KindWorkspace), "dispatch", &topology.Workspace{
		TokenHashes: []string{topology.HashToken(Token)}, Weight: 1, Priority: 10,
	})
	return w.addService()
}

// setLinkDelays gives links between failure domains a longer delay.
func (w *World) setLinkDelays() {
	for _, a := range engines {
		for _, b := range engines {
			d := 50 * time.Microsecond
			if a.domain != b.domain {
				d = 300 * time.Microsecond
			}
			w.Fleet.SetLink(a.name, b.name, d)
		}
	}
}

func (w *World) addService() error {
	spec := &topology.Service{Repeatable: []topology.CallPattern{{Method: "GET"}}}
	for i := range 2 {
		s, err := standin.NewService(w.hosts(fmt.Sprintf(serviceIP, i+1)), w.Fleet.Ledger)
		if err != nil {
			return err
		}
		w.Services = append(w.Services, s)
		spec.Endpoints = append(spec.Endpoints, topology.Endpoint{
			Name: fmt.Sprintf("cards-%d", i+1), Address: s.Address(), FailureDomain: fmt.Sprintf("bogota-%d", i+1),
		})
	}
	w.Platform.Set(string(topology.KindService), Service, spec)
	return nil
}

func (w *World) writeKey() error {
	dir, err := os.MkdirTemp("", "snowspoke-try-")
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	w.dir = dir
	w.keyFile = filepath.Join(dir, "fleet.key")
	key := make([]byte, 32)
	for i := range key {
		key[i] = byte(i)
	}
	return os.WriteFile(w.keyFile, []byte(hex.EncodeToString(key)), 0o600)
}

// Settings returns the settings of the i-th daemon.
func (w *World) Settings(i int) config.Config {
	cfg := config.Default()
	cfg.Daemon = config.Daemon{Name: fmt.Sprintf("daemon-%d", i+1), FailureDomain: fmt.Sprintf("bogota-%d", i%3+1), Region: "bogota"}
	cfg.Listen = config.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	cfg.Platform.URL = w.Platform.URL()
	cfg.Platform.VMPoll = 200 * time.Millisecond
	cfg.Security.FleetKeyFile = w.keyFile
	cfg.Stop = config.Stop{BalancerDelay: 200 * time.Millisecond, DrainTimeout: 20 * time.Second}
	cfg.Health.StatusPoll = 200 * time.Millisecond
	return cfg
}

// WriteSettings writes a settings file for one more daemon, to be run as a
// separate process.
func (w *World) WriteSettings(path string) error {
	cfg := w.Settings(len(w.Daemons))
	for _, p := range w.Daemons {
		cfg.Peers.Seeds = append(cfg.Peers.Seeds, p.cfg.Listen.Peers)
	}
	return os.WriteFile(path, []byte(config.Format(cfg)), 0o600)
}

func (w *World) addDaemon(i int) error {
	return w.startDaemon(i, w.Settings(i))
}

func (w *World) startDaemon(i int, cfg config.Config) error {
	p := &Process{Name: cfg.Daemon.Name, world: w, cycle: make(chan struct{}, 1), cfg: cfg, net: w.hosts(fmt.Sprintf(daemonIP, i+1))}
	for _, other := range w.Daemons {
		p.cfg.Peers.Seeds = append(p.cfg.Peers.Seeds, other.cfg.Listen.Peers)
	}
	w.Daemons = append(w.Daemons, p)
	return p.Start()
}

// Start runs the daemon.
func (p *Process) Start() error {
	d, err := daemon.New(p.cfg, p.net, p.world.logger)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	p.daemon, p.stop, p.done = d, cancel, make(chan error, 1)
	// A restarted daemon listens on the same addresses.
	p.cfg.Listen = config.Listen{Callers: d.CallersAddr(), Operators: d.OperatorsAddr(), Peers: d.PeersAddr()}
	go func(done chan error) { done <- d.Run(ctx) }(p.done)
	return nil
}

// Stop shuts the daemon down gracefully.
func (p *Process) Stop() error {
	p.mu.Lock()
	stop, done := p.stop, p.done
	p.mu.Unlock()
	stop()
	return <-done
}

// Kill stops the daemon without a graceful shutdown.
func (p *Process) Kill() {
	p.mu.Lock()
	d, done := p.daemon, p.done
	p.mu.Unlock()
	d.Kill()
	<-done
}

// Cycle kills or stops the daemon and starts it again after a pause. Concurrent
// cycles of one daemon run one after the other.
func (p *Process) Cycle(crash bool, pause time.Duration) error {
	p.cycle <- struct{}{}
	defer func() { <-p.cycle }()
	if crash {
		p.Kill()
	} else if err := p.Stop(); err != nil {
		return err
	}
	time.Sleep(pause)
	return p.Start()
}

// Ready reports whether the daemon is ready for callers.
func (p *Process) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.daemon.Ready() == nil
}

// decisions returns the decisions that the daemon keeps about a request, model or
// backend server.
func (p *Process) decisions(about string) []decision.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.daemon.Explain(about)
}

// CallersURL returns the base URL of the callers' API.
func (p *Process) CallersURL() string { return "http://" + p.cfg.Listen.Callers }

// OperatorsURL returns the base URL of the operators' API.
func (p *Process) OperatorsURL() string { return "http://" + p.cfg.Listen.Operators }

// readyTimeout is the maximum time until all daemons of a world are ready.
const readyTimeout = 10 * time.Second

// waitReady waits until every daemon is ready and can route requests to Model.
func (w *World) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, p := range w.Daemons {
		for !p.canServe() {
			if time.Now().After(deadline) {
				return errors.New("trial: the daemons did not become ready")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (p *Process) canServe() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.daemon.Status().Models {
		if m.Model == Model && m.Bound > 0 {
			return p.daemon.Ready() == nil
		}
	}
	return false
}

// SetLeaving replaces the platform's VM list with the VM of one backend server, marked
// as leaving.
func (w *World) SetLeaving(name string) {
	w.Platform.SetVMs([]store.VM{{Name: name, State: store.VMLeaving, Role: "backend"}})
}

// Close stops everything that the world started and removes its files.
func (w *World) Close() {
	for _, p := range w.Daemons {
		_ = p.Stop()
	}
	for _, s := range engines {
		w.Fleet.Engine(s.name).Kill()
	}
	for _, s := range w.Services {
		s.Close()
	}
	w.Platform.Close()
	_ = os.RemoveAll(w.dir)
}
