package standins

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/snowspoke/snowspoke/platform/standin"
)

// Contents of the configuration of all cases.
const (
	tenant = "tenant-1"
	apiKey = "key-1"
	host   = "site.example"
)

// Ports of a daemon; each daemon has a loopback address of its own.
const (
	frontPort     = 8227
	readinessPort = 8220
)

// startTimeout is the time within which a daemon must be ready.
const startTimeout = 15 * time.Second

// world is a store and daemons on loopback, and the record of a case.
type world struct {
	root    string
	temp    string
	trouble bool
	store   *standin.Store
	network string // first three parts of the loopback addresses of this run
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	closers []func()
	runners []*standin.Server
}

// newWorld starts a store.
func newWorld(root, dir string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	network := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
	w := &world{root: root, temp: temp, trouble: trouble, store: standin.NewStore(), network: network, began: time.Now(), record: record}
	w.notef("trouble=%t", trouble)
	return w, nil
}

// notef writes a line to the record, with the time since the start.
func (w *world) notef(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// onClose adds a function that ends what a case has started.
func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

func (w *world) close() {
	w.mu.Lock()
	closers, daemons := w.closers, w.daemons
	w.mu.Unlock()
	for _, d := range daemons {
		d.kill()
	}
	for _, f := range closers {
		f()
	}
	w.store.Close()
	_ = os.RemoveAll(w.temp)
	_ = w.record.Close()
}

// daemon is one process of the system.
type daemon struct {
	name     string
	front    string
	ready    string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// settingsText follows the example of the deploy page.
const settingsText = `nodeName = %q
role = "router"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "region"
portRange = [7340, 7355]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "layers"]
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen]
front = %q
readiness = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
failClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 200
recoverS = 12
passMs = 120
retryAfterS = 0
stall_ms = 2000
requireFencing = false
[platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// startDaemons starts n daemons in three zones with the command of the deploy file and waits
// until they are ready.
func (w *world) startDaemons(n int) ([]*daemon, error) {
	var all []*daemon
	for i := range n {
		d, err := w.startDaemon(i)
		if err != nil {
			return nil, err
		}
		all = append(all, d)
	}
	for _, d := range all {
		if err := d.awaitReady(); err != nil {
			return nil, err
		}
	}
	w.notef("%d daemons are ready", n)
	return all, nil
}

func (w *world) startDaemon(i int) (*daemon, error) {
	ip := fmt.Sprintf("%s%d", w.network, i+1)
	d := &daemon{
		name:  fmt.Sprintf("front-%d", i+1),
		front: fmt.Sprintf("%s:%d", ip, frontPort), ready: fmt.Sprintf("%s:%d", ip, readinessPort),
		exited: make(chan struct{}),
	}
	d.settings = filepath.Join(w.temp, d.name+".toml")
	text := fmt.Sprintf(settingsText, d.name, ip, zoneOf(i), d.front, d.ready, w.store.Address())
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	command, err := w.runCommand()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.temp, d.name+".log"))
	if err != nil {
		return nil, err
	}
	d.cmd = exec.Command(filepath.Join(w.root, command[0]), command[1:]...)
	d.cmd.Dir, d.cmd.Stdout, d.cmd.Stderr = w.root, log, log
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SNOWSPOKE_BOOT=" + d.settings}
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = d.cmd.Wait()
		_ = log.Close()
		close(d.exited)
	}()
	w.mu.Lock()
	w.daemons = append(w.daemons, d)
	w.mu.Unlock()
	return d, nil
}

// runCommand returns the run command of the deploy file.
func (w *world) runCommand() ([]string, error) {
	data, err := os.ReadFile(filepath.Join(w.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("no run command in the deploy file")
}

// zoneOf returns the zone of the daemon or runner of a number.
func zoneOf(i int) string { return "zone-" + string(rune('a'+i%3)) }

func (d *daemon) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + d.ready + "/ready")
		if err != nil {
			continue // it does not listen yet
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// config returns a configuration as the operator writes it.
func config(routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": 10, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}}},
	}
}
