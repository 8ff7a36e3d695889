package trial

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/client"
	"github.com/snowspoke/snowspoke/internal/memstore"
	"github.com/snowspoke/snowspoke/internal/standin"
	"github.com/snowspoke/snowspoke/network"
)

// Report holds the counters of a run of mixed requests.
type Report struct {
	Requests       int
	Completed      int
	Refused        int           // answered as not run
	Unknown        int           // answered with an unknown outcome
	Lost           int           // no explicit answer
	Repeated       int           // not repeatable, but ran more than once
	WrongText      int           // the answer has the wrong text
	FalselyRefused int           // answered as not run, but ran
	Broken         int           // the connection broke, in a run that allows it
	Recovery       time.Duration // 99th percentile of the longest gap of each stream
	Problems       []string
}

// OK reports whether all guarantees held.
func (r *Report) OK() bool {
	return r.Lost == 0 && r.Repeated == 0 && r.WrongText == 0 && r.FalselyRefused == 0 && len(r.Problems) == 0
}

// String returns the summary line of a run.
func (r *Report) String() string {
	return fmt.Sprintf("try: requests=%d whole=%d refused=%d unknown=%d lost=%d repeated=%d foreign=%d recovery_p99_ms=%d",
		r.Requests, r.Completed, r.Refused, r.Unknown, r.Lost, r.Repeated, r.WrongText, r.Recovery.Milliseconds())
}

// mix is one run of requests against a world.
type mix struct {
	w           *World
	allowBroken bool // set if daemons are killed or cut off, so that connections may break
	http        *http.Client
	mu          sync.Mutex
	report      Report
	gaps        []time.Duration // longest gap of each stream
	next        atomic.Int64    // index of the daemon used last
}

// Sizes of a run.
const (
	mixRequests = 300
	mixParallel = 24
	mixTokens   = 40
	longTokens  = 400
)

// RunMix sends mixed requests while a stage is killed in mid-stream, a backend server
// is drained and a daemon restarts. With faults the store fails and an engine freezes
// too. Each event is passed to progress.
func RunMix(ctx context.Context, w *World, faults bool, progress func(string)) *Report {
	m := newMix(w)
	events := m.events(progress)
	if faults {
		m.addPlatformFaults(events, progress)
	}
	m.run(ctx, mixRequests, func(i int, wg *sync.WaitGroup) {
		if event := events[i]; event != nil {
			wg.Go(event)
		}
	})
	return &m.report
}

func newMix(w *World) *mix { return &mix{w: w, http: network.Client(w.hosts(callersIP), mixParallel)} }

// run sends n requests. It calls before with the index of each request before sending it.
func (m *mix) run(ctx context.Context, n int, before func(i int, wg *sync.WaitGroup)) {
	defer m.http.CloseIdleConnections()
	jobs := make(chan int)
	var wg sync.WaitGroup
	for range mixParallel {
		wg.Go(func() {
			for i := range jobs {
				m.send(ctx, i)
			}
		})
	}
	for i := range n {
		before(i, &wg)
		jobs <- i
	}
	close(jobs)
	wg.Wait()
	m.finish()
}

// addPlatformFaults adds an outage of the store, lost answers and a frozen
// engine to the events.
func (m *mix) addPlatformFaults(events map[int]func(), progress func(string)) {
	store := m.w.Platform.Store
	events[20] = func() {
		progress("answers of the store are lost")
		store.SetFaults(memstore.Faults{LoseAnswer: 0.5})
	}
	events[90] = func() {
		progress("the store is down")
		store.SetFaults(memstore.Faults{Outage: true})
	}
	events[100] = func() {
		progress("engine-5 freezes for a second")
		m.w.Fleet.Engine("engine-5").Frozen.Store(true)
		time.Sleep(time.Second)
		m.w.Fleet.Engine("engine-5").Frozen.Store(false)
	}
	events[140] = func() {
		progress("the store is back")
		store.SetFaults(memstore.Faults{})
	}
}

// events returns the faults by the index of the request before which they start.
func (m *mix) events(progress func(string)) map[int]func() {
	return map[int]func(){
		60: func() {
			progress("engine-3 dies in mid-stream")
			m.w.Fleet.Engine("engine-3").DieAfter.Store(20)
		},
		120: func() {
			progress("engine-3 is back")
			m.addProblem(m.w.Fleet.Engine("engine-3").Restart())
		},
		150: func() {
			progress("engine-2 is leaving by the VM list")
			m.w.SetLeaving("engine-2")
		},
		200: func() {
			progress("daemon-2 stops and starts again")
			m.addProblem(m.w.Daemons[1].Cycle(false, time.Millisecond))
		},
	}
}

// addProblem records an error, if any.
func (m *mix) addProblem(err error) {
	if err == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.Problems = append(m.report.Problems, err.Error())
}

// nextClient returns a client of the next ready daemon, in round-robin order, or of
// the first daemon when none becomes ready.
func (m *mix) nextClient() *client.Client {
	for range 200 {
		n := int(m.next.Add(1))
		p := m.w.Daemons[n%len(m.w.Daemons)]
		if p.Ready() {
			return client.New(p.CallersURL(), Token, m.http)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return client.New(m.w.Daemons[0].CallersURL(), Token, m.http)
}

// send sends the i-th request and checks its answer.
func (m *mix) send(ctx context.Context, i int) {
	prompt := fmt.Sprintf("truck %d is warm", i)
	switch i % 7 {
	case 6:
		m.callWithKey(ctx, prompt, fmt.Sprint("key-", i))
	case 0, 1, 2:
		m.stream(ctx, prompt, mixTokens)
	case 3:
		m.complete(ctx, client.Request{Model: Model, Prompt: prompt, MaxTokens: mixTokens, Repeatable: true})
	case 4:
		m.complete(ctx, client.Request{Model: Model, Prompt: prompt, MaxTokens: mixTokens, Stream: true})
	case 5:
		m.call(ctx, prompt, i%4 == 1)
	}
	if i%50 == 10 {
		m.stream(ctx, prompt+" for long", longTokens)
	}
}

func (m *mix) stream(ctx context.Context, prompt string, tokens int) {
	r := client.Request{Model: Model, Prompt: prompt, MaxTokens: tokens, Stream: true, Repeatable: true}
	reply, err := client.CompleteWithResume(ctx, m.nextClient, r, 3)
	m.record(&r, &reply, err, standin.Answer(prompt, tokens))
}

func (m *mix) complete(ctx context.Context, r client.Request) {
	reply, err := m.nextClient().Complete(ctx, r)
	m.record(&r, &reply, err, standin.Answer(r.Prompt, r.MaxTokens))
}

func (m *mix) call(ctx context.Context, payload string, read bool) {
	method := http.MethodPost
	if read {
		method = http.MethodGet
	}
	reply, err := m.nextClient().Call(ctx, method, Service, "/cards", []byte(payload), "")
	m.record(&client.Request{Prompt: payload, Repeatable: read}, &reply, err, method+" /cards "+payload)
}

// callWithKey sends a call with an idempotency key twice concurrently and once more
// afterwards. The call must run at most once, and every complete answer must come from
// that execution.
func (m *mix) callWithKey(ctx context.Context, payload, key string) {
	before := m.w.Fleet.Ledger.Calls(payload)
	var wg sync.WaitGroup
	send := func() {
		reply, err := m.nextClient().Call(ctx, http.MethodPost, Service, "/cards", []byte(payload), key)
		m.record(&client.Request{Prompt: payload, Repeatable: true}, &reply, err, "POST /cards "+payload)
	}
	wg.Go(send)
	wg.Go(send)
	wg.Wait()
	send()
	if m.w.Fleet.Ledger.Calls(payload)-before > 1 {
		m.mu.Lock()
		m.report.Repeated++
		m.mu.Unlock()
	}
}

// record counts an answer, comparing it with the expected text and with the
// executions in the ledger.
func (m *mix) record(r *client.Request, reply *client.Reply, err error, want string) {
	runs := m.w.Fleet.Ledger.Executions(reply.RequestID)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.Requests++
	if len(reply.Gaps) > 0 {
		m.gaps = append(m.gaps, slices.Max(reply.Gaps))
	}
	if !r.Repeatable && runs > 1 {
		m.report.Repeated++
	}
	switch {
	case err != nil && m.allowBroken && !reply.Completed:
		m.report.Broken++
	case err != nil:
		m.report.Lost++
		m.report.Problems = append(m.report.Problems, fmt.Sprintf("%q: %v", r.Prompt, err))
	case reply.Completed && reply.Text == want:
		m.report.Completed++
	case reply.Completed:
		m.report.WrongText++
		m.report.Problems = append(m.report.Problems, fmt.Sprintf("%q got %.80q", r.Prompt, reply.Text))
	case reply.Ran == apierror.RanNo:
		m.report.Refused++
		if runs > 0 {
			m.report.FalselyRefused++
		}
	default:
		m.report.Unknown++
		if !strings.HasPrefix(want, reply.Text) {
			m.report.WrongText++
		}
	}
}

// finish checks the ledger and computes the recovery time.
func (m *mix) finish() {
	m.addProblem(m.w.Fleet.Ledger.Check())
	slices.Sort(m.gaps)
	if n := len(m.gaps); n > 0 {
		m.report.Recovery = m.gaps[n*99/100]
	}
}
