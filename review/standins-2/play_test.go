package standins

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/snowspoke/snowspoke/platform/sitetrial"
)

// play is one run of a case.
type play struct {
	trouble bool // the disruption happens
	began   time.Time
	dir     string

	mu     sync.Mutex
	record io.Writer
	broken int
	ended  bool
	procs  []*exec.Cmd
}

// notRun is the panic value of a case that can't be played.
type notRun string

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (p *play) breaks(format string, args ...any) {
	p.note("BROKEN: "+format, args...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken++
}

func (p *play) brokenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.broken
}

func (p *play) check(err error) {
	if err != nil {
		panic(notRun(err.Error()))
	}
}

// start starts a process that ends with this one.
func (p *play) start(c *exec.Cmd) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		panic(notRun("the case has ended"))
	}
	if err := c.Start(); err != nil {
		panic(notRun(err.Error()))
	}
	p.procs = append(p.procs, c)
}

// endAll kills all processes that were started.
func (p *play) endAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, c := range p.procs {
		_ = c.Process.Kill() // it may have ended
	}
}

// daemon is a process of the deploy file's role.
type daemon struct {
	p                *play
	name, zone, host string
	callers, ready   string
	log              string
	cmd              *exec.Cmd
}

// settings are those of a small deployment.
const settings = `nodeName = %q
role = "router"
machineClass = "front"
serves = ["front"]
ip = %q
zone = %q
region = "region"
portRange = [7340, 7355]
bootstrap = %t
heartbeatMs = 1200
[listen]
front = %q
readiness = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
failClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 200
recoverS = 12
stall_ms = 2000
requireFencing = false
[platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
`

// host returns a loopback address of its own, so that each daemon has the ports of its settings.
func (p *play) host(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, n+1)
}

// newDaemon starts a daemon with the command of the deploy file.
func (p *play) newDaemon(n int, name, zone, store string) *daemon {
	d := &daemon{p: p, name: name, zone: zone, host: p.host(n), log: filepath.Join(p.dir, name+".log")}
	d.callers, d.ready = d.host+":8227", d.host+":8220"
	d.settings(true, store)
	d.start()
	return d
}

func (d *daemon) settings(bootstrap bool, store string) {
	text := fmt.Sprintf(settings, d.name, d.host, d.zone, bootstrap, d.callers, d.ready, store)
	d.p.check(os.WriteFile(d.file(), []byte(text), 0o600))
}

func (d *daemon) file() string { return filepath.Join(d.p.dir, d.name+".toml") }

func (d *daemon) start() {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.p.check(err)
	defer log.Close()
	d.cmd = exec.Command("target/snowspoked", "platform", "--metrics-port", "9464")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "SNOWSPOKE_BOOT=" + d.file()}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.p.start(d.cmd)
	d.p.note("daemon %s started, callers at %s", d.name, d.callers)
}

func (d *daemon) signal(s syscall.Signal) {
	d.p.note("daemon %s gets %s", d.name, s)
	_ = d.cmd.Process.Signal(s) // the process may have ended
}

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	_ = d.cmd.Wait()
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until daemons are ready.
func (p *play) awaitReady(all ...*daemon) {
	for _, d := range all {
		until := time.Now().Add(15 * time.Second)
		for !d.isReady() {
			if time.Now().After(until) {
				panic(notRun("daemon " + d.name + " is not ready"))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// keep saves the logs of a daemon beside the record if KEEP is set.
func (d *daemon) keep() {
	if dir := os.Getenv("KEEP"); dir != "" {
		data, _ := os.ReadFile(d.log)
		_ = os.WriteFile(filepath.Join(dir, d.name+".log"), data, 0o600)
	}
}

// call is a request of a caller, on a connection of its own.
func call(d *daemon, method, path, key, id string) sitetrial.Answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return sitetrial.Do(ctx, client, d.callers, sitetrial.Call{
		Method: method, Path: path, Key: key, ID: id, Header: map[string]string{"Snowspoke-Deadline-Ms": "10000"},
	})
}

// route is a route as the operator writes it.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": sitetrial.Host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 8000, "targetLatencyMs": 300,
		"maxAttempts": 2, "service": service, "priority": 1,
	}
}

// config is a configuration as the operator writes it, with the keys of two tenants.
func config(version int, first, second []string) map[string]any {
	return map[string]any{
		"version":  version,
		"routes":   []map[string]any{route("safe", "/safe/", "safe", "plain"), route("unsafe", "/unsafe/", "unsafe", "plain")},
		"services": []map[string]any{{"name": "plain", "maxConns": 100, "healthPath": "/health"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": "tenant-1", "apiKeys": first}, {"name": "tenant-2", "apiKeys": second},
		},
	}
}
