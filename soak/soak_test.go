// Package soak runs the real programs as processes of their own and injects
// faults from outside: signals, and a proxy before the store that delays, resets,
// cuts or silences connections. It checks the promises from what callers and
// backend servers see.
package soak

import (
	"context"
	"flag"
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
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/sitetrial"
	"github.com/snowspoke/snowspoke/platform/standin"
)

var (
	seeds    = flag.Int("seeds", 1, "fresh seeds to run")
	seed     = flag.Uint64("seed", 0, "one seed to run again")
	duration = flag.Duration("soak-for", 8*time.Second, "length of the faults of a seed")
	daemons  = flag.Int("soak-daemons", 4, "daemons of a seed")
)

// failed are seeds that have failed once, with their cause; they are run again
// every time.
var failed = map[uint64]string{
	973166922785630206:  "a daemon was not ready 10 s after its start; its log was lost, the next one says why",
	9252377730292573721: "the same: another process had taken its port between the choice and the start",
}

// streamEvents is the length of a stream; with streamGap it takes half a second.
const (
	streamEvents = 50
	streamGap    = 10 * time.Millisecond
)

var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "snowspoked")
	build := exec.Command("go", "build", "-o", program, "../cmd/snowspoked")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func TestSoak(t *testing.T) {
	var all []uint64
	for s := range failed {
		all = append(all, s)
	}
	if *seed != 0 {
		all = []uint64{*seed}
	} else {
		for range *seeds {
			all = append(all, rand.Uint64())
		}
	}
	for _, s := range all {
		t.Run(fmt.Sprint(s), func(t *testing.T) { soak(t, s) })
	}
}

// process is one daemon.
type process struct {
	name    string
	dir     string
	callers string
	ready   string
	proxy   *standin.Proxy

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // by SIGSTOP
}

const settings = `nodeName = %q
ip = "127.0.0.1"
zone = %q
portRange = [%d, %d]
[listen]
front = %q
readiness = %q
[bounds]
graceS = 6
failClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 200
[platform]
address = %q
`

func newProxy(t *testing.T, to string) *standin.Proxy {
	p, err := standin.NewProxy(to)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

// Ports of the daemons lie below those that the kernel gives to connections: one
// of these had taken a daemon's port between its choice and its use.
const (
	portsFrom = 20000
	portsTo   = 32000
)

func freePort(t *testing.T) int {
	for range 100 {
		port := portsFrom + rand.IntN(portsTo-portsFrom)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // taken
		}
		require.NoError(t, l.Close())
		return port
	}
	require.Fail(t, "no free port")
	return 0
}

// pickPort chooses the ports of daemons.
var pickPort = freePort

// portTries bounds the starts of a daemon whose ports others took meanwhile.
const portTries = 5

// newProcess starts a daemon. A port that was free may be taken before the daemon
// listens on it, by any process of the machine: it is then started with others.
func newProcess(t *testing.T, name, domain, store string) *process {
	p := &process{name: name, dir: t.TempDir(), proxy: newProxy(t, store)}
	t.Cleanup(p.kill)
	for range portTries {
		links := pickPort(t)
		p.callers = fmt.Sprintf("127.0.0.1:%d", pickPort(t))
		p.ready = fmt.Sprintf("127.0.0.1:%d", pickPort(t))
		text := fmt.Sprintf(settings, name, domain, links, links, p.callers, p.ready, p.proxy.Address())
		require.NoError(t, os.WriteFile(p.settings(), []byte(text), 0o600))
		p.start(t)
		if !p.lostPort(t) {
			return p
		}
		p.wait()
		require.NoError(t, os.Remove(filepath.Join(p.dir, "log")))
	}
	require.Fail(t, "no ports for "+name)
	return nil
}

// lostPort reports whether the daemon ended since another process has its port. It
// waits until the daemon's log says that, or that it has started.
func (p *process) lostPort(t *testing.T) bool {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		data, err := os.ReadFile(filepath.Join(p.dir, "log"))
		require.NoError(t, err)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		last := lines[len(lines)-1]
		if strings.HasPrefix(last, "start: ") && strings.HasSuffix(last, syscall.EADDRINUSE.Error()) {
			return true
		}
		if strings.Contains(string(data), "vm="+p.name) {
			return false
		}
	}
	return false // whether it becomes ready is asked later
}

// A daemon whose port another process has taken is started with other ports.
func TestDaemonIsStartedWithOtherPorts(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = taken.Close() })
	picks := 0
	pickPort = func(t *testing.T) int {
		if picks++; picks == 3 {
			return taken.Addr().(*net.TCPAddr).Port
		}
		return freePort(t)
	}
	t.Cleanup(func() { pickPort = freePort })
	site := sitetrial.New([]string{"a"}, 2, 2, 2)
	t.Cleanup(site.Close)
	p := newProcess(t, "daemon-0", "a", site.Store.Address())
	require.Equal(t, 6, picks)
	require.Eventually(t, p.isReady, 10*time.Second, 20*time.Millisecond)
}

func (p *process) settings() string { return filepath.Join(p.dir, "local.toml") }

func (p *process) start(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	p.cmd = exec.Command(program, "platform")
	p.cmd.Env = append(os.Environ(), "SNOWSPOKE_BOOT="+p.settings())
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	_ = log.Close()
}

// signal sends a signal to the process that this soak started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // it may have ended just now
	p.stopped = s == syscall.SIGSTOP
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

func (p *process) wait() {
	_ = p.cmd.Wait() // the way it ended is judged by what callers saw
}

func (p *process) isReady() bool {
	resp, err := http.Get("http://" + p.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func soak(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	site := sitetrial.New([]string{"a", "b"}, 2, 2, 2)
	t.Cleanup(site.Close)
	for _, p := range site.Servers() {
		p.Events, p.EveryGap = streamEvents, streamGap
	}
	var all []*process
	for i := range *daemons {
		all = append(all, newProcess(t, fmt.Sprintf("daemon-%d", i), []string{"a", "b"}[i%2], site.Store.Address()))
	}
	f := &faults{t: t, site: site, all: all, r: r}
	for _, p := range all {
		if !assert.Eventually(t, p.isReady, 10*time.Second, 20*time.Millisecond, p.name) {
			f.keepLogs(seed)
			t.FailNow()
		}
	}
	callers := sitetrial.NewCallers(site, streamEvents)
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range 3 * len(all) {
		cr := rand.New(rand.NewPCG(seed, uint64(i+2)))
		wg.Go(func() { keepCalling(ctx, callers, all, cr) })
	}
	wg.Go(func() { f.nameLimits(ctx, rand.New(rand.NewPCG(seed, 0))) })
	until := time.Now().Add(*duration)
	for time.Now().Before(until) {
		f.inject()
		time.Sleep(time.Duration(100+r.IntN(900)) * time.Millisecond)
	}
	f.heal()
	stop()
	wg.Wait()
	f.endLimits()
	f.servesAgain(callers)
	f.nothingPanicked()
	f.keptLimits(seed)
	sent, served, refused := callers.Counts()
	t.Logf("seed %d: sent %d, served %d, refused %d, faults %v", seed, sent, served, refused, f.names)
	problems := callers.Verify()
	if len(problems) > 0 {
		f.keepLogs(seed)
	}
	require.Empty(t, problems, "seed %d, faults %v", seed, f.names)
	require.Positive(t, served)
}

// keepCalling sends requests over connections that are kept until they close.
func keepCalling(ctx context.Context, c *sitetrial.Callers, all []*process, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for ctx.Err() == nil {
		p := all[r.IntN(len(all))]
		for range 1 + r.IntN(5) {
			c.Send(context.WithoutCancel(ctx), client, p.callers, r)
		}
		time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
	}
}

// faults injects one fault after the other; they overlap.
type faults struct {
	t     *testing.T
	site  *sitetrial.Site
	all   []*process
	r     *rand.Rand
	names []string
	back  sync.WaitGroup // faults that end by themselves

	limiting sync.WaitGroup // backend servers that name limits

	mu       sync.Mutex
	excusing []time.Time // when a daemon was started, frozen, thawed or cut off
}

func (f *faults) inject() {
	p := f.all[f.r.IntN(len(f.all))]
	kinds := []struct {
		name string
		do   func()
	}{
		{"kill", func() { p.kill(); p.start(f.t) }},
		{"stop", func() { f.restart(p) }},
		{"freeze", func() { f.freeze(p) }},
		{"hup", func() { p.signal(syscall.SIGHUP) }},
		{"store silent for one", func() { f.during(func() { p.proxy.Set(standin.Silence) }, func() { p.proxy.Set(standin.Pass) }) }},
		{"store resets for one", func() { f.during(func() { p.proxy.Set(standin.Reset) }, func() { p.proxy.Set(standin.Pass) }) }},
		{"store slow for one", func() { f.during(func() { p.proxy.Set(standin.Slow) }, func() { p.proxy.Set(standin.Pass) }) }},
		{"store away", func() { f.trouble(standin.Refusing) }},
		{"store silent", func() { f.trouble(standin.Silent) }},
		{"store loses answers", func() { f.trouble(standin.LoseWrites) }},
		{"history gone", f.site.Store.Compact},
		{"store comes back older", f.restore},
		{"configuration", func() { f.site.AddRoute() }},
		{"backend server faults", f.spoil},
		{"backend server leaves", f.leave},
		{"backend server starts again", f.startAgain},
		{"entry of another writer", f.foreign},
		{"request that ends backend servers", f.crash},
	}
	k := kinds[f.r.IntN(len(kinds))]
	f.names = append(f.names, k.name)
	k.do()
	if strings.Contains(" kill stop freeze ", " "+k.name+" ") || strings.HasSuffix(k.name, " for one") {
		f.excuse()
	}
}

// during starts a fault and ends it a moment later.
func (f *faults) during(start, end func()) {
	d := time.Duration(200+f.r.IntN(2500)) * time.Millisecond
	start()
	f.back.Go(func() {
		time.Sleep(d)
		end()
	})
}

func (f *faults) trouble(t standin.Trouble) {
	f.during(func() { f.site.Store.SetTrouble(t) }, func() { f.site.Store.SetTrouble(standin.Sound) })
}

// writeAgainMost is how long it takes at most until the operator and the backend servers
// have written what a store that came back from a copy has lost.
const writeAgainMost = time.Second

// restore has the store come back later from a copy of now.
func (f *faults) restore() {
	copied, pause := f.site.Store.Copy(), time.Duration(f.r.Int64N(int64(writeAgainMost)))
	f.during(func() {}, func() {
		f.site.Store.Restore(copied)
		time.Sleep(pause)
		f.site.WriteAgain()
	})
}

func (f *faults) freeze(p *process) {
	f.during(func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT); f.excuse() })
}

// restart stops a daemon as planned and starts it again.
func (f *faults) restart(p *process) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	began := time.Now()
	p.wait()
	require.Less(f.t, time.Since(began), 8*time.Second, "a planned stop outlived its grace")
	p.start(f.t)
}

// spoil lets the next answers of a backend server fail in a random way.
func (f *faults) spoil() {
	all := f.site.Servers()
	p := all[f.r.IntN(len(all))]
	for range 1 + f.r.IntN(4) {
		p.Next(standin.Fault(1 + f.r.IntN(int(standin.RefuseNoRun))))
	}
}

// leave takes a backend server away and brings another of its kind.
func (f *faults) leave() {
	all := f.site.Servers()
	p := all[f.r.IntN(len(all))]
	n := standin.NewServer(fmt.Sprintf("%s-%d", p.ID, len(all)))
	n.Events, n.EveryGap = streamEvents, streamGap
	if from, to := p.Held(); to > 0 {
		n.Hold(from, to)
	}
	f.site.Add(n, p.Service, p.Kind, p.Domain)
	f.site.Remove(p)
}

// startAgain ends a backend server and starts it again under its ID.
func (f *faults) startAgain() {
	all := f.site.Servers()
	all[f.r.IntN(len(all))].Kill()
	f.back.Go(func() {
		time.Sleep(300 * time.Millisecond)
		f.site.StartEndedAgain(time.Now())
	})
}

// foreign has lists and watches give an entry that no backend server wrote.
func (f *faults) foreign() {
	entries := []string{
		`{"metadata":{"name":"other","revision":1},"spec":{"state":"odd"}}`, `{"metadata":7}`, `null`, `"text"`,
		`{"metadata":{"name":"other"},"spec":"\x00"}`, `{"metadata":{"name":"other","revision":2},"spec":{"address":[],"born":0.5}}`,
	}
	f.site.Store.SetForeign("servers", entries[f.r.IntN(len(entries))])
}

// crashWait is how long the caller of such a request waits.
const crashWait = 500 * time.Millisecond

// crash sends a request that ends the backend servers that run it to all daemons, and
// starts those again.
func (f *faults) crash() {
	body := fmt.Sprint("crash ", f.r.Uint64())
	for _, s := range f.site.Servers() {
		s.CrashOn(body)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	f.back.Go(func() {
		for _, p := range f.all {
			call := sitetrial.Call{Method: "POST", Path: sitetrial.StreamTo, Key: sitetrial.Key, ID: body + p.name, Body: body}
			ctx, cancel := context.WithTimeout(context.Background(), crashWait)
			_ = sitetrial.Do(ctx, client, p.callers, call) // whatever it gets
			cancel()
		}
		f.site.StartEndedAgain(time.Now())
	})
}

// heal ends all faults.
func (f *faults) heal() {
	f.back.Wait()
	f.site.Store.SetTrouble(standin.Sound)
	for _, p := range f.all {
		p.proxy.Set(standin.Pass)
		p.signal(syscall.SIGCONT)
	}
}

// servesAgain checks that every daemon serves soon after the last fault, by the
// newest configuration.
func (f *faults) servesAgain(c *sitetrial.Callers) {
	prefix, _ := f.site.AddRoute()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, p := range f.all {
		call := sitetrial.Call{Method: "GET", Path: prefix, Key: sitetrial.Key, ID: "after-" + p.name}
		require.Eventually(f.t, func() bool {
			return sitetrial.Do(f.t.Context(), client, p.callers, call).Status == http.StatusOK
		}, 10*time.Second, 50*time.Millisecond, "%s does not serve again", p.name)
	}
}

// nothingPanicked checks that no handler of a daemon ended in a panic: its caller's
// connection is closed without an answer, and a few such look like losses.
func (f *faults) nothingPanicked() {
	for _, p := range f.all {
		data, err := os.ReadFile(filepath.Join(p.dir, "log"))
		require.NoError(f.t, err)
		require.NotContains(f.t, string(data), "panic", p.name)
	}
}

// keepLogs copies the logs of a seed that failed.
func (f *faults) keepLogs(seed uint64) {
	for _, p := range f.all {
		data, err := os.ReadFile(filepath.Join(p.dir, "log"))
		if err != nil {
			f.t.Log(err)
			continue
		}
		path := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%s.log", seed, p.name))
		if err := os.WriteFile(path, data, 0o600); err != nil {
			f.t.Log(err)
		}
		f.t.Log("log kept: ", path)
	}
}
