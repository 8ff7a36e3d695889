// Package load sends an open-loop load to the callers' interface and measures
// the time to the first token, the gaps between tokens and the goodput.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/client"
)

// Spec describes a load.
type Spec struct {
	Rate     float64 // requests per second, Poisson arrivals
	Length   time.Duration
	Model    string
	Tokens   int // mean response length; uniformly distributed from 1 to just below twice that
	Deadline time.Duration
	Priority int
	Seed     uint64
	Timeout  time.Duration // for requests still running after Length
}

// Result holds the measurements of a load.
type Result struct {
	Sent       int
	Completed  int
	Errors     map[apierror.Kind]int // error responses by kind
	Broken     int                   // requests whose connection failed before a complete response or an error
	Tokens     int                   // in complete responses
	Elapsed    time.Duration
	FirstToken *hdrhistogram.Histogram // microseconds
	Gap        *hdrhistogram.Histogram // microseconds
	Refusal    *hdrhistogram.Histogram // microseconds until an error of a request that did not run
	Timeline   []Second
}

// Second holds the results of requests that ended in one second of a load.
type Second struct {
	Tokens int // in complete responses
	Errors int
}

// Maximum value, in microseconds, and significant digits of the histograms.
const (
	histMax    = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histMax, histDigits) }

// runner executes one load.
type runner struct {
	spec    Spec
	clients []*client.Client
	start   time.Time
	mu      sync.Mutex
	result  Result
}

// Run sends the load, rotating over the clients, and waits for the responses.
func Run(ctx context.Context, s Spec, clients []*client.Client) *Result {
	r := &runner{spec: s, clients: clients, start: time.Now(), result: Result{
		Errors: map[apierror.Kind]int{}, FirstToken: newHistogram(), Gap: newHistogram(), Refusal: newHistogram(),
	}}
	rng := rand.New(rand.NewPCG(s.Seed, 0))
	ctx, cancel := context.WithTimeout(ctx, s.Length+s.Timeout)
	defer cancel()
	var wg sync.WaitGroup
	next := r.start
	for n := 0; ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second)))
		if next.Sub(r.start) >= s.Length {
			break
		}
		time.Sleep(time.Until(next))
		tokens := 1 + rng.IntN(max(1, 2*s.Tokens-1))
		wg.Go(func() { r.send(ctx, n, tokens) })
	}
	wg.Wait()
	r.result.Elapsed = time.Since(r.start)
	return &r.result
}

// send sends the nth request and records its result.
func (r *runner) send(ctx context.Context, n, tokens int) {
	req := client.Request{
		Model: r.spec.Model, Prompt: fmt.Sprintf("load %d of seed %d", n, r.spec.Seed), MaxTokens: tokens,
		Stream: true, Repeatable: true, Deadline: r.spec.Deadline, Priority: r.spec.Priority,
	}
	reply, err := r.clients[n%len(r.clients)].Complete(ctx, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.add(&reply, err, time.Since(r.start))
}

// add records a response that ended at a time after the start of the load.
func (r *Result) add(reply *client.Reply, err error, at time.Duration) {
	r.Sent++
	for len(r.Timeline) <= int(at.Seconds()) {
		r.Timeline = append(r.Timeline, Second{})
	}
	second := &r.Timeline[int(at.Seconds())]
	if reply.FirstToken > 0 {
		_ = r.FirstToken.RecordValue(reply.FirstToken.Microseconds())
	}
	for _, g := range reply.Gaps {
		_ = r.Gap.RecordValue(max(1, g.Microseconds()))
	}
	switch {
	case err != nil:
		r.Broken++
		second.Errors++
	case reply.Completed:
		r.Completed++
		r.Tokens += reply.Tokens
		second.Tokens += reply.Tokens
	default:
		r.Errors[reply.Kind]++
		second.Errors++
		if reply.Ran == apierror.RanNo {
			_ = r.Refusal.RecordValue(max(1, reply.Took.Microseconds()))
		}
	}
}

// Goodput returns the tokens per second in complete responses.
func (r *Result) Goodput() float64 { return float64(r.Tokens) / r.Elapsed.Seconds() }
