package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// Parameters of a load of long and short prompts.
const (
	shortPrompt      = 200  // tokens
	longPrompt       = 8000 // tokens
	longEvery        = 12   // one prompt in longEvery is long, on average
	promptsPerSecond = 64
	shortFirst       = 500 * time.Millisecond // objective of the short prompts
	longFirst        = 3 * time.Second        // objective of the long prompts
	promptChunk      = 512                    // tokens in a step of the model that processes prompts in steps
	// warmupPerDaemon is the time before requests are counted for each daemon, in which it
	// receives four long prompts on average.
	warmupPerDaemon = 800 * time.Millisecond
)

// promptTimes returns the least time before requests are counted and the time for which they are
// counted. Both are shorter under the race detector, where a run takes ten times as long.
func promptTimes() (warmup, counted time.Duration) {
	if virtual.RaceDetector {
		return 5 * time.Second, 5 * time.Second
	}
	return 20 * time.Second, 20 * time.Second
}

// promptLoad is a mix of long and short prompts.
type promptLoad struct {
	daemons int
	rate    float64    // streams per second, 0 for promptsPerSecond
	every   int        // one prompt in every is long, on average, 0 for longEvery
	chunked bool       // servers process prompts in steps
	short   float64    // tokens
	long    float64    // tokens
	prepare func(*lab) // changes the lab before the run, nil for no change
}

// promptResult is the result of a run with long and short prompts.
type promptResult struct {
	short, long             []time.Duration // times to the first event, sorted
	all, served, longInTime int
}

func (r *promptResult) longInTimeShare() float64 {
	return float64(r.longInTime) / float64(max(1, len(r.long)))
}

// runPrompts sends streams with prompts of two lengths to a fleet that exchanges no loads.
func runPrompts(seed uint64, load promptLoad) *promptResult {
	l := newFleetLab(seed, load.daemons)
	if load.chunked {
		l.engine.PrefillChunk = promptChunk
		l.chunks = &chunkedPrefill{engine: l.engine, free: map[string]time.Time{}}
	}
	if load.prepare != nil {
		load.prepare(l)
	}
	rate, every := load.rate, load.every
	if rate == 0 {
		rate = promptsPerSecond
	}
	if every == 0 {
		every = longEvery
	}
	warmup, length := promptTimes()
	warmup = max(warmup, time.Duration(load.daemons)*warmupPerDaemon)
	rng := rand.New(rand.NewPCG(seed, 5))
	var wg sync.WaitGroup
	out := &promptResult{}
	start := time.Now()
	for n := 0; time.Since(start) < warmup+length; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		tokens, objective := load.short, shortFirst
		if rng.IntN(every) == 0 {
			tokens, objective = load.long, longFirst
		}
		f, counted := l.forward[rng.IntN(load.daemons)], time.Since(start) >= warmup
		wg.Go(func() {
			now := time.Now()
			req := &Request{
				ID: fmt.Sprint("r", n), Body: fmt.Appendf(nil, "body %d", n), Service: labService, Received: now, Deadline: now.Add(20 * time.Second), Prompt: tokens,
				Route: &site.Route{Kind: site.Stream, Resumable: true, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: objective},
			}
			got := &labCaller{lab: l, sent: now}
			err := f.Do(context.Background(), req, got)
			if counted {
				l.mu.Lock()
				defer l.mu.Unlock()
				out.add(req, got, err)
			}
		})
	}
	wg.Wait()
	slices.Sort(out.short)
	slices.Sort(out.long)
	return out
}

// add counts a request. One without an event counts as having waited until its deadline.
func (r *promptResult) add(req *Request, got *labCaller, err error) {
	r.all++
	if err == nil {
		r.served++
	}
	first := got.first
	if got.events == 0 {
		first = req.Deadline.Sub(req.Received)
	}
	if req.Route.Objective == shortFirst {
		r.short = append(r.short, first)
		return
	}
	r.long = append(r.long, first)
	if err == nil && first <= req.Route.Objective && got.longest <= labMaxPause {
		r.longInTime++
	}
}

// chunkedPrefill is a model of servers that process prompts in steps of at most PrefillChunk
// tokens. Each server takes one step at a time, in the order of their arrival, so that the steps
// of several prompts take turns. A hop begins with a step when the previous hop has completed it.
type chunkedPrefill struct {
	engine *site.Engine

	mu   sync.Mutex
	free map[string]time.Time // when a server has processed the steps that have arrived
}

// process returns when the last hop of a path has processed a prompt.
func (c *chunkedPrefill) process(p site.Path, prompt float64) {
	steps := make(chan float64, int(prompt)/c.engine.PrefillChunk+1)
	for done := 0.0; done < prompt; done += float64(c.engine.PrefillChunk) {
		steps <- done
	}
	close(steps)
	for _, h := range p {
		out := make(chan float64, cap(steps))
		go func(in <-chan float64) {
			defer close(out)
			for done := range in {
				c.step(h, done, min(prompt, done+float64(c.engine.PrefillChunk)))
				out <- done
			}
		}(steps)
		steps = out
	}
	for range steps { // waits for the last hop
	}
}

// step processes the tokens of a prompt between two positions at one hop.
func (c *chunkedPrefill) step(h site.Hop, from, to float64) {
	prefill := func(tokens float64) float64 {
		return pipeline.HopPrefillMS(c.engine, h.Server.Kind, h.Layers.Len(), tokens)
	}
	c.mu.Lock()
	at := boottime.Later(time.Now(), c.free[h.Server.ID]).Add(milliseconds(prefill(to) - prefill(from)))
	c.free[h.Server.ID] = at
	c.mu.Unlock()
	time.Sleep(time.Until(at))
}
