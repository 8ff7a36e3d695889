package trial

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/memnet"
	"github.com/snowspoke/snowspoke/internal/memstore"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/invariant"
	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/topology"
)

var (
	seeds     = flag.Int("seeds", 6, "seeds that TestSoak runs")
	firstSeed = flag.Int("first-seed", 1, "first seed of TestSoak")
)

// soak is one randomized run. The seed determines the faults and their times.
type soak struct {
	w   *World
	net *memnet.Net
	mix *mix
	rng *rand.Rand
	mu  sync.Mutex
	// routesAfterLeave counts routes through engines 3 s or more after they reported leaving.
	routesAfterLeave int
	leaving          map[string]bool
	freezes          map[string]int
	faultNames       []string // injected so far
}

const (
	soakRequests        = 150
	meanRequestInterval = 60 * time.Millisecond
)

// soakFaults maps the name of a fault to a function that starts it and ends it.
var soakFaults = map[string]func(s *soak, r *rand.Rand){
	"engine dies": func(s *soak, r *rand.Rand) {
		e := s.w.Fleet.Engine(engines[r.IntN(len(engines))].name)
		e.DieAfter.Store(1 + r.Int64N(60))
		time.Sleep(randomDuration(r, 3*time.Second))
		e.Kill()
		s.mix.addProblem(e.Restart())
	},
	"engine freezes": func(s *soak, r *rand.Rand) {
		e := s.w.Fleet.Engine(engines[r.IntN(len(engines))].name)
		s.mu.Lock()
		s.freezes[e.Name]++
		s.mu.Unlock()
		e.Frozen.Store(true)
		time.Sleep(randomDuration(r, 4*time.Second))
		e.Frozen.Store(false)
	},
	"engine refuses": func(s *soak, r *rand.Rand) {
		e := s.w.Fleet.Engine(engines[r.IntN(len(engines))].name)
		e.RefuseAll.Store(true)
		time.Sleep(randomDuration(r, time.Second))
		e.RefuseAll.Store(false)
	},
	"events disturbed": func(s *soak, r *rand.Rand) {
		e := s.w.Fleet.Engine(engines[r.IntN(2)].name)
		e.Shuffle.Store(true)
		time.Sleep(randomDuration(r, 3*time.Second))
		e.Shuffle.Store(false)
	},
	"engine leaves": func(s *soak, r *rand.Rand) {
		e := s.w.Fleet.Engine(engines[r.IntN(len(engines))].name)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leaving[e.Name] {
			return // already leaving
		}
		s.leaving[e.Name] = true
		freezes, frozen := s.freezes[e.Name], e.Frozen.Load()
		e.SetLeaving(true)
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		from := time.Now()
		time.Sleep(randomDuration(r, 2*time.Second))
		s.mu.Lock()
		if !frozen && freezes == s.freezes[e.Name] { // a frozen engine cannot report that it is leaving
			s.routesAfterLeave += s.w.routesSince(e.Name, from)
		}
		s.leaving[e.Name] = false
		e.SetLeaving(false)
	},
	"slow links": func(s *soak, r *rand.Rand) {
		a, b := engines[r.IntN(len(engines))].name, engines[r.IntN(len(engines))].name
		s.w.Fleet.SetLink(a, b, 30*time.Millisecond)
		time.Sleep(randomDuration(r, 5*time.Second))
		s.w.Fleet.SetLink(a, b, 300*time.Microsecond)
	},
	"store down": func(s *soak, r *rand.Rand) {
		s.w.Platform.Store.SetFaults(memstore.Faults{Outage: true})
		time.Sleep(randomDuration(r, 5*time.Second))
		s.w.Platform.Store.SetFaults(memstore.Faults{})
	},
	"store loses": func(s *soak, r *rand.Rand) {
		s.w.Platform.Store.SetFaults(memstore.Faults{LoseAnswer: 0.4, LoseWrite: 0.2, LateWrite: 0.2, Delay: 20 * time.Millisecond})
		time.Sleep(randomDuration(r, 5*time.Second))
		s.w.Platform.Store.SetFaults(memstore.Faults{})
	},
	"daemon killed": func(s *soak, r *rand.Rand) {
		p := s.w.Daemons[r.IntN(len(s.w.Daemons))]
		s.mix.addProblem(p.Cycle(true, randomDuration(r, time.Second)))
	},
	"daemon restarts": func(s *soak, r *rand.Rand) {
		p := s.w.Daemons[r.IntN(len(s.w.Daemons))]
		s.mix.addProblem(p.Cycle(false, time.Millisecond))
	},
	"daemon cut off": func(s *soak, r *rand.Rand) {
		d := fmt.Sprintf(daemonIP, 1+r.IntN(len(s.w.Daemons)))
		s.net.Cut(d, fmt.Sprintf(engineIP, 1+r.IntN(len(engines))))
		s.net.Cut(d, platformIP)
		s.net.Cut(d, fmt.Sprintf(daemonIP, 1+r.IntN(len(s.w.Daemons))))
		time.Sleep(randomDuration(r, 5*time.Second))
		s.net.Heal()
	},
	"caller cut off": func(s *soak, r *rand.Rand) {
		s.net.Cut(callersIP, fmt.Sprintf(daemonIP, 1+r.IntN(len(s.w.Daemons))))
		time.Sleep(randomDuration(r, time.Second))
		s.net.Heal()
	},
	"service breaks": func(s *soak, r *rand.Rand) {
		s.w.Services[r.IntN(len(s.w.Services))].CutNext.Store(r.Int64N(4))
	},
	"operators race": func(s *soak, r *rand.Rand) {
		for i := range 6 {
			m := &topology.Model{Layers: layers, Version: version, MaxTokens: 4096, QueueLimit: 100 + i}
			if r.IntN(3) == 0 {
				m.Layers = -1
			}
			s.w.Platform.Set(string(topology.KindModel), Model, m)
			time.Sleep(randomDuration(r, 200*time.Millisecond))
		}
		s.w.Platform.Set(string(topology.KindModel), Model, &topology.Model{Layers: layers, Version: version, MaxTokens: 4096})
	},
}

// routesSince counts the routes that daemons chose through an engine after a time. It does
// not count the starts of requests at the engine: a head that was frozen starts them late.
func (w *World) routesSince(engine string, since time.Time) int {
	n := 0
	for _, p := range w.Daemons {
		for _, d := range p.decisions(Model) {
			if d.Time.After(since) && strings.Contains(d.Chosen, engine+"[") {
				n++
			}
		}
	}
	return n
}

func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit))) + time.Millisecond
}

// allFaultNames lists the keys of soakFaults in a fixed order, so that a seed gives the
// same faults on every run.
var allFaultNames = []string{
	"caller cut off", "daemon cut off", "daemon killed", "daemon restarts", "engine dies", "engine freezes",
	"engine leaves", "engine refuses", "events disturbed", "operators race", "service breaks", "slow links",
	"store down", "store loses",
}

// TestSoak runs daemons under random faults in virtual time and checks the guarantees.
// The seed determines the faults and their times, but not the scheduling of goroutines.
func TestSoak(t *testing.T) {
	require.Len(t, allFaultNames, len(soakFaults))
	total := &Report{}
	var mu sync.Mutex
	t.Run("seeds", func(t *testing.T) {
		for i := range *seeds {
			seed := uint64(*firstSeed + i)
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				virtual.Test(t, func(t *testing.T) {
					r := runSoak(t, seed)
					mu.Lock()
					defer mu.Unlock()
					total.add(r)
				})
			})
		}
	})
	t.Logf("%d seeds, %s broken=%d", *seeds, total, total.Broken)
}

func (r *Report) add(o *Report) {
	r.Requests += o.Requests
	r.Completed += o.Completed
	r.Refused += o.Refused
	r.Unknown += o.Unknown
	r.Broken += o.Broken
	r.Recovery = max(r.Recovery, o.Recovery)
}

func runSoak(t *testing.T, seed uint64) *Report {
	before := invariant.Total()
	net := memnet.New()
	w, err := NewWorld(3, func(ip string) network.Network { return net.Host(ip) }, log.NewNopLogger())
	require.NoError(t, err)
	s := &soak{w: w, net: net, mix: newMix(w), leaving: map[string]bool{}, freezes: map[string]int{}, rng: rand.New(rand.NewPCG(seed, 9))}
	s.mix.allowBroken = true
	var faults sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	faults.Go(func() { s.injectFaults(ctx, &faults) })
	rng := rand.New(rand.NewPCG(seed, 10))
	s.mix.run(context.Background(), soakRequests, func(int, *sync.WaitGroup) {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanRequestInterval)))
	})
	cancel()
	faults.Wait()
	net.Heal()
	s.awaitSameConfiguration(t)
	w.Close()
	time.Sleep(2 * time.Minute)
	r := &s.mix.report
	require.True(t, r.OK(), "seed %d: %s falsely_refused=%d %v\nfaults %v", seed, r, r.FalselyRefused, r.Problems, s.faultNames)
	require.Zero(t, s.routesAfterLeave, "seed %d: routes through an engine that is leaving\nfaults %v", seed, s.faultNames)
	require.Equal(t, before, invariant.Total(), "seed %d: invariants violated", seed)
	require.Greater(t, r.Completed, r.Requests/3, "seed %d: %s", seed, r)
	return r
}

// injectFaults starts faults at random times until ctx ends. Faults may overlap, also
// several of the same kind.
func (s *soak) injectFaults(ctx context.Context, wg *sync.WaitGroup) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(s.rng.ExpFloat64() * float64(1200*time.Millisecond)))
		name := allFaultNames[s.rng.IntN(len(allFaultNames))]
		r := rand.New(rand.NewPCG(s.rng.Uint64(), 11))
		s.faultNames = append(s.faultNames, name)
		wg.Go(func() { soakFaults[name](s, r) })
	}
}

// awaitSameConfiguration waits until all daemons have the same configuration in force.
func (s *soak) awaitSameConfiguration(t *testing.T) {
	same := func() bool {
		first := s.w.Daemons[0].daemon.Status()
		for _, p := range s.w.Daemons {
			if st := p.daemon.Status(); st.Digest != first.Digest || st.Revision != first.Revision {
				return false
			}
		}
		return true
	}
	for range 3000 {
		if same() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(t, "the daemons do not have the same configuration")
}
