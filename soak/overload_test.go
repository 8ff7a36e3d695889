package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/platform/sitetrial"
)

// bulkPath is the prefix of a second route to the model service, which is less urgent.
const bulkPath = sitetrial.StreamPath + "bulk/"

// kvTokenBytes leaves room for 8 streams on each of the 4 heads.
const kvTokenBytes = 250_000

// bulkWorkspaces are the workspaces of the bulk load by key. The first is that of all other
// callers and has the most urgent priority; the last has that of its routes.
var bulkWorkspaces = map[string]string{sitetrial.Key: sitetrial.Workspace, "key-2": "workspace-2", "key-3": "workspace-3"}

// prioritize edits a configuration so that load shedding is active for the model service.
func prioritize(spec any) {
	c := spec.(map[string]any)
	routes := c["routes"].([]map[string]any)
	for _, r := range routes {
		r["priority"] = 1
	}
	bulk := sitetrial.Route("bulk", bulkPath, "stream", 2)
	bulk["priority"] = 4
	c["routes"] = append(routes, bulk)
	c["tenants"] = []map[string]any{
		{"name": sitetrial.Workspace, "apiKeys": []string{sitetrial.Key}, "priority": 0},
		{"name": "workspace-2", "apiKeys": []string{"key-2"}, "priority": 7}, {"name": "workspace-3", "apiKeys": []string{"key-3"}},
	}
	c["services"].([]map[string]any)[1]["engine"].(map[string]any)["kvTokenBytes"] = kvTokenBytes
}

// Callers of the bulk load, nearly twice as many as the backend servers have room for, and
// the times of its phases.
const (
	bulkCallers   = 60
	maxBulkPause  = 2 * time.Second
	minBulkPhase  = time.Second
	maxBulkPhase  = 3 * time.Second
	quietOverload = 4 * time.Second  // phase after the faults
	maxRecovery   = 10 * time.Second // until all requests are served; 0.5 to 6.1 s in the runs that passed
)

// Deadlines of bulk requests. Streams take half a second, so the longest one leaves time for
// retries.
const (
	shortDeadline = time.Second
	longDeadline  = 5 * time.Second
)

// bulkLoad sends streams of all classes, most of them less urgent, and keeps the answers. It is
// safe for concurrent use.
type bulkLoad struct {
	all       []*process
	client    *http.Client
	deadlines []time.Duration // of requests, at random

	mu    sync.Mutex
	calls map[string]bulkCall // by request ID
}

type bulkCall struct {
	daemon         string // address
	workspace      string
	deadline, took time.Duration
	answer         sitetrial.Answer
}

func newBulkLoad(all []*process, deadlines ...time.Duration) *bulkLoad {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: bulkCallers}}
	return &bulkLoad{all: all, client: client, deadlines: deadlines, calls: map[string]bulkCall{}}
}

// isOfBulkLoad reports whether a problem found by sitetrial.Callers names a request of the bulk
// load, of whose workspaces it knows one only. checkShed checks the workspaces of these.
func isOfBulkLoad(problem string) bool { return strings.HasPrefix(problem, "bulk-") }

// runPhases runs phases of overload with random pauses until ctx ends.
func (b *bulkLoad) runPhases(ctx context.Context, r *rand.Rand) {
	for wait.For(ctx, time.Duration(r.Int64N(int64(maxBulkPause)))) {
		phase, cancel := context.WithTimeout(ctx, minBulkPhase+time.Duration(r.Int64N(int64(maxBulkPhase-minBulkPhase))))
		b.run(phase, r.Uint64())
		cancel()
	}
}

// run sends requests from all callers until ctx ends, and returns when they are answered. Half
// of the refused callers wait for the Retry-After.
func (b *bulkLoad) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for i := range bulkCallers {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() {
			for pause := time.Duration(r.IntN(500)) * time.Millisecond; wait.For(ctx, pause); {
				c := b.send(b.all[r.IntN(len(b.all))], r, b.deadlines[r.IntN(len(b.deadlines))])
				pause = time.Duration(r.IntN(40)) * time.Millisecond
				if after, err := c.retryAfter(); err == nil && i%2 == 0 {
					pause = after
				}
			}
		})
	}
	wg.Wait()
}

// send makes one request of a random class to a daemon.
func (b *bulkLoad) send(p *process, r *rand.Rand, deadline time.Duration) bulkCall {
	key := fmt.Sprint("key-", 1+r.IntN(len(bulkWorkspaces)))
	c := bulkCall{daemon: p.callers, workspace: bulkWorkspaces[key], deadline: deadline}
	b.mu.Lock()
	id := fmt.Sprint("bulk-", len(b.calls))
	b.calls[id] = c
	b.mu.Unlock()
	call := sitetrial.Call{
		Method: "POST", Path: []string{sitetrial.StreamPath, bulkPath}[r.IntN(2)], Key: key, ID: id, Body: "body of " + id,
		Header: map[string]string{"Snowspoke-Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10)},
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	sent := time.Now()
	c.answer = sitetrial.Do(ctx, b.client, c.daemon, call)
	c.took = time.Since(sent)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls[id] = c
	return c
}

func (c *bulkCall) refused() bool {
	return c.answer.Err == nil && c.answer.Status == http.StatusServiceUnavailable
}

func (c *bulkCall) served() bool { return c.answer.Err == nil && c.answer.Status == http.StatusOK }

// retryAfter returns the Retry-After of a refusal. An error means that there is none.
func (c *bulkCall) retryAfter() (time.Duration, error) {
	s, err := strconv.ParseFloat(c.answer.Header.Get("Retry-After"), 64)
	return time.Duration(s * float64(time.Second)), err
}

// Bounds of the Retry-After of a request refused by load shedding: minReturnTime, and the
// caller's remaining time divided by returnDivisor.
const (
	minReturnTime = 150 * time.Millisecond
	returnDivisor = 3
)

// checkReturn returns what is wrong with the Retry-After of a request refused by load shedding, ""
// for nothing. The remaining time at the refusal was at most the deadline, and at least what
// remained at the answer.
func (c *bulkCall) checkReturn() string {
	after, err := c.retryAfter()
	if err != nil && (c.deadline-c.took)/returnDivisor >= minReturnTime {
		return "has no Retry-After"
	}
	if err == nil && (after < minReturnTime || after > c.deadline/returnDivisor) {
		return fmt.Sprint("has a Retry-After of ", after)
	}
	return ""
}

var shedLine = regexp.MustCompile(`kind=shed request=(\S+)`)

// checkShed checks that requests refused by load shedding have not run and have a valid
// Retry-After, and that all requests ran for their workspaces. A request counts as refused if
// the daemon that its caller asked logged so, or any daemon did and the answer was 503: a daemon
// without backend servers sends requests to others, and to a further one after a refusal.
func (f *faults) checkShed(t *testing.T, seed uint64, b *bulkLoad, callers *sitetrial.Callers) {
	time.Sleep(300 * time.Millisecond) // until the log is written
	ran, shed, problems := map[string]bool{}, map[string]bool{}, []string{}
	for _, srv := range f.site.Servers() {
		for _, r := range srv.Runs() {
			ran[r.ID] = true
			if c, ok := b.calls[r.ID]; ok && c.workspace != r.Workspace {
				problems = append(problems, fmt.Sprintf("%s of %s ran for %q", r.ID, c.workspace, r.Workspace))
			}
		}
	}
	for _, p := range f.all {
		log, err := os.ReadFile(filepath.Join(p.dir, "log"))
		require.NoError(t, err)
		for _, m := range shedLine.FindAllStringSubmatch(string(log), -1) {
			c := b.calls[m[1]]
			shed[m[1]] = shed[m[1]] || c.refused() || c.daemon == p.callers || callers.OriginOf(m[1]).Daemon == p.callers
		}
	}
	for id, counts := range shed {
		c := b.calls[id]
		if counts && ran[id] {
			problems = append(problems, fmt.Sprintf("%s was refused by load shedding and ran, status %d", id, c.answer.Status))
		}
		if problem := c.checkReturn(); c.refused() && problem != "" {
			problems = append(problems, fmt.Sprintf("%s, refused by load shedding after %s of %s, %s", id, c.took, c.deadline, problem))
		}
	}
	t.Logf("seed %d: %d bulk requests, %d requests logged as refused by load shedding", seed, len(b.calls), len(shed))
	assert.Empty(t, problems, "seed %d", seed)
	assert.NotEmpty(t, shed, "seed %d: requests refused by load shedding", seed)
}

// checkOverload runs an overload after the faults. It checks that no begun stream is cut to make
// room for others.
func (f *faults) checkOverload(t *testing.T, seed uint64, b *bulkLoad) {
	for _, srv := range f.site.Servers() {
		srv.ClearFaults()
	}
	before, served := len(b.calls), map[string]int{}
	ctx, cancel := context.WithTimeout(t.Context(), quietOverload)
	defer cancel()
	b.run(ctx, seed)
	for i := before; i < len(b.calls); i++ {
		c := b.calls[fmt.Sprint("bulk-", i)]
		begun := c.answer.Status == http.StatusOK && c.deadline == longDeadline
		if begun && !assert.Equal(t, sitetrial.Events(1, streamEvents), c.answer.Body, "seed %d: bulk-%d at %s was cut after %s: %v", seed, i, c.daemon, c.took, c.answer.Err) {
			return
		}
		outcome := fmt.Sprint(c.answer.Status)
		if c.answer.Err != nil {
			outcome = "failed"
		}
		served[fmt.Sprint(c.workspace, " ", c.deadline, " ", outcome)]++
	}
	t.Logf("seed %d: overload without faults: %v", seed, served)
}

// checkRecovery checks that all requests are served again when the overload has ended.
func checkRecovery(t *testing.T, seed uint64, b *bulkLoad) {
	ended := time.Now()
	for !b.allServed(seed) {
		require.Less(t, time.Since(ended), maxRecovery, "seed %d: requests are refused after the overload", seed)
	}
	t.Logf("seed %d: all requests served %s after the overload", seed, time.Since(ended).Round(time.Millisecond))
}

// allServed reports whether each daemon serves several requests at once. All daemons together would ask
// for more than the site holds, so they are asked in groups.
func (b *bulkLoad) allServed(seed uint64) bool {
	const group = 4
	ok := true
	for daemons := range slices.Chunk(b.all, group) {
		ok = b.serves(daemons, seed) && ok
	}
	return ok
}

// serves reports whether some daemons serve several requests each at once.
func (b *bulkLoad) serves(daemons []*process, seed uint64) bool {
	served := make(chan bool)
	const each = 4
	for i := range each * len(daemons) {
		go func() {
			c := b.send(daemons[i/each], rand.New(rand.NewPCG(seed, uint64(i))), longDeadline)
			served <- c.served()
		}()
	}
	ok := true
	for range each * len(daemons) {
		ok = <-served && ok
	}
	return ok
}

// Guards against a Retry-After that a caller cannot honor: a third of its remaining time is less
// than the minimum return time.
func TestShedRequestWithLittleTimeHasNoRetryAfter(t *testing.T) {
	site := sitetrial.New([]string{"a"}, 2, 2, 2)
	t.Cleanup(site.Close)
	site.Store.Edit("config", prioritize)
	site.PutConfig()
	for _, srv := range site.Servers() {
		srv.Events, srv.EventGap = streamEvents, streamGap
	}
	all := []*process{newProcess(t, "daemon-0", "a", site.Store.Address())}
	require.Eventually(t, all[0].isReady, 10*time.Second, 20*time.Millisecond)
	load := newBulkLoad(all, 300*time.Millisecond, longDeadline)
	ctx, cancel := context.WithTimeout(t.Context(), quietOverload)
	defer cancel()
	load.run(ctx, 1)
	(&faults{t: t, site: site, all: all}).checkShed(t, 1, load, sitetrial.NewCallers(site, streamEvents))
}
