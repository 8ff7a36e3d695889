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

// Report is what a run of mixed requests showed.
type Report struct {
	Requests int
	Whole    int
	Refused  int // truly not run
	Unknown  int // told so
	Lost     int // no explicit answer, or a whole one that is not
	Repeated int // not repeatable, and ran more than once
	Foreign  int // not the caller's own answer
	Untrue   int // called not run, but ran
	Broken   int // the connection broke although the caller may expect that
	Recovery time.Duration
	Problems []string
}

// OK reports whether every promise held.
func (r *Report) OK() bool {
	return r.Lost == 0 && r.Repeated == 0 && r.Foreign == 0 && r.Untrue == 0 && len(r.Problems) == 0
}

// String is the last line of a run.
func (r *Report) String() string {
	return fmt.Sprintf("try: requests=%d whole=%d refused=%d unknown=%d lost=%d repeated=%d foreign=%d recovery_p99_ms=%d",
		r.Requests, r.Whole, r.Refused, r.Unknown, r.Lost, r.Repeated, r.Foreign, r.Recovery.Milliseconds())
}

// mix is one run of requests against a world.
type mix struct {
	w      *World
	crash  bool // connections may break: daemons are killed or cut off
	http   *http.Client
	mu     sync.Mutex
	report Report
	gaps   []time.Duration // the longest of each stream
	next   atomic.Int64
}

// Sizes of a run.
const (
	mixRequests = 300
	mixParallel = 24
	mixTokens   = 40
	longTokens  = 400
)

// Once sends a few hundred mixed requests, kills a stage in mid-stream, drains a
// backend server and restarts a daemon while they run; with faults the store
// fails too.
func Once(ctx context.Context, w *World, faults bool, say func(string)) *Report {
	m := newMix(w)
	events := m.events(say)
	if faults {
		m.addPlatformFaults(events, say)
	}
	m.run(ctx, mixRequests, func(i int, wg *sync.WaitGroup) {
		if event := events[i]; event != nil {
			wg.Go(event)
		}
	})
	return &m.report
}

func newMix(w *World) *mix { return &mix{w: w, http: network.Client(w.hosts(callersIP), mixParallel)} }

// run sends n requests, calling before for each.
func (m *mix) run(ctx context.Context, n int, before func(i int, wg *sync.WaitGroup)) {
	defer m.http.CloseIdleConnections()
	jobs := make(chan int)
	var wg sync.WaitGroup
	for range mixParallel {
		wg.Go(func() {
			for i := range jobs {
				m.one(ctx, i)
			}
		})
	}
	for i := range n {
		before(i, &wg)
		jobs <- i
	}
	close(jobs)
	wg.Wait()
	m.settle()
}

// addPlatformFaults adds an outage of the store, lost answers and a frozen
// engine to the events.
func (m *mix) addPlatformFaults(events map[int]func(), say func(string)) {
	store := m.w.Platform.Store
	events[20] = func() {
		say("answers of the store are lost")
		store.SetFaults(memstore.Faults{LoseAnswer: 0.5})
	}
	events[90] = func() {
		say("the store is down")
		store.SetFaults(memstore.Faults{Outage: true})
	}
	events[100] = func() {
		say("engine-5 freezes for a second")
		m.w.Fleet.Engine("engine-5").Frozen.Store(true)
		time.Sleep(time.Second)
		m.w.Fleet.Engine("engine-5").Frozen.Store(false)
	}
	events[140] = func() {
		say("the store is back")
		store.SetFaults(memstore.Faults{})
	}
}

// events are the faults, by the number of the request before which they begin.
func (m *mix) events(say func(string)) map[int]func() {
	return map[int]func(){
		60: func() {
			say("engine-3 dies in mid-stream")
			m.w.Fleet.Engine("engine-3").DieAfter.Store(20)
		},
		120: func() {
			say("engine-3 is back")
			m.check(m.w.Fleet.Engine("engine-3").Restart())
		},
		150: func() {
			say("engine-2 is leaving by the VM list")
			m.w.SetLeaving("engine-2")
		},
		200: func() {
			say("daemon-2 stops and starts again")
			m.check(m.w.Daemons[1].Cycle(false, time.Millisecond))
		},
	}
}

func (m *mix) check(err error) {
	if err == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.Problems = append(m.report.Problems, err.Error())
}

// balance is the platform's balancer: the next ready daemon.
func (m *mix) balance() *client.Client {
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

// one sends the i-th request and judges its answer.
func (m *mix) one(ctx context.Context, i int) {
	prompt := fmt.Sprintf("truck %d is warm", i)
	switch i % 7 {
	case 6:
		m.keyed(ctx, prompt, fmt.Sprint("key-", i))
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
	reply, err := client.CompleteThrough(ctx, m.balance, r, 3)
	m.judge(&r, &reply, err, standin.Answer(prompt, tokens))
}

func (m *mix) complete(ctx context.Context, r client.Request) {
	reply, err := m.balance().Complete(ctx, r)
	m.judge(&r, &reply, err, standin.Answer(r.Prompt, r.MaxTokens))
}

func (m *mix) call(ctx context.Context, payload string, read bool) {
	method := http.MethodPost
	if read {
		method = http.MethodGet
	}
	reply, err := m.balance().Call(ctx, method, Service, "/cards", []byte(payload), "")
	m.judge(&client.Request{Prompt: payload, Repeatable: read}, &reply, err, method+" /cards "+payload)
}

// keyed sends a call that must not be repeated under a key, twice at once and
// once more later, on whatever daemons the balancer picks: it must run once, and
// every whole answer must be that of the one run.
func (m *mix) keyed(ctx context.Context, payload, key string) {
	before := m.w.Fleet.Ledger.Calls(payload)
	var wg sync.WaitGroup
	send := func() {
		reply, err := m.balance().Call(ctx, http.MethodPost, Service, "/cards", []byte(payload), key)
		m.judge(&client.Request{Prompt: payload, Repeatable: true}, &reply, err, "POST /cards "+payload)
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

// judge compares an answer with what the caller must get and with what ran.
func (m *mix) judge(r *client.Request, reply *client.Reply, err error, want string) {
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
	case err != nil && m.crash && !reply.Whole:
		m.report.Broken++
	case err != nil:
		m.report.Lost++
		m.report.Problems = append(m.report.Problems, fmt.Sprintf("%q: %v", r.Prompt, err))
	case reply.Whole && reply.Text == want:
		m.report.Whole++
	case reply.Whole:
		m.report.Foreign++
		m.report.Problems = append(m.report.Problems, fmt.Sprintf("%q got %.80q", r.Prompt, reply.Text))
	case reply.Ran == apierror.RanNo:
		m.report.Refused++
		if runs > 0 {
			m.report.Untrue++
		}
	default:
		m.report.Unknown++
		if !strings.HasPrefix(want, reply.Text) {
			m.report.Foreign++
		}
	}
}

// settle checks the engines' ledger and finds the recovery time.
func (m *mix) settle() {
	m.check(m.w.Fleet.Ledger.Check())
	slices.Sort(m.gaps)
	if n := len(m.gaps); n > 0 {
		m.report.Recovery = m.gaps[n*99/100]
	}
}
