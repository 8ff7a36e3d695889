package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/dispatch"
	"github.com/snowspoke/snowspoke/internal/virtual"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/topology"
)

// Parameters of messages that crash the engines that begin to answer them.
const (
	crashingMessage  = "bad"
	crashRestart     = 2 * time.Second // from the end of an engine to its next start
	crashContact     = 3 * time.Second // after which daemons must act on what others know
	maxLateCrashes   = 3               // that reach engines later than that after the fifth end
	crashRunLength   = 15 * time.Second
	crashShareDelay  = 500 * time.Millisecond
	soundPerSecond   = 10
	minSoundComplete = 0.95
	// minSoundOfSlowEnds holds if engines accept connections for a second as they end.
	minSoundOfSlowEnds = 0.5
)

// Requests of which no two are alike, with one message that crashes the engines that begin to answer
// it, stop reaching engines, and the others are served.
func TestCrashingMessageStopsReachingEngines(t *testing.T) {
	for _, c := range []struct {
		perSecond  float64
		listensFor time.Duration
		minSound   float64
	}{
		{0.5, 0, minSoundComplete}, {5, 0, minSoundComplete},
		{0.5, 40 * time.Millisecond, minSoundComplete}, {5, 40 * time.Millisecond, minSoundComplete},
		{5, time.Second, minSoundOfSlowEnds},
	} {
		t.Run(fmt.Sprintf("rate=%g/listens=%s", c.perSecond, c.listensFor), func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				l := newSim(simSpec{seed: 1, daemons: 3, stages: 2, width: 8, retry: 0.2})
				l.listensFor = c.listensFor
				stopSharing := l.shareQuarantine()
				served := l.runWithCrashes(c.perSecond)
				stopSharing()
				l.stop()
				late := 0
				for _, at := range l.crashingSends {
					if len(l.crashes) >= 5 && at.Sub(l.crashes[4]) > crashContact {
						late++
					}
				}
				t.Logf("%d engines ended, %d late sends, %.3f of the sound requests served", len(l.crashes), late, served)
				require.LessOrEqual(t, late, maxLateCrashes)
				require.GreaterOrEqual(t, served, c.minSound)
			})
		})
	}
}

// runWithCrashes runs sound requests beside some per second that crash engines, and returns the
// share of the sound ones that were served. All of them share a first message.
func (l *sim) runWithCrashes(perSecond float64) (served float64) {
	rng := rand.New(rand.NewPCG(l.spec.seed, 3))
	var mu sync.Mutex
	var wg sync.WaitGroup
	sound, complete := 0, 0
	w := &topology.Workspace{Name: "w"}
	total := soundPerSecond + perSecond
	for n, began := 0, time.Now(); time.Since(began) < crashRunLength; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / total * float64(time.Second)))
		own, crashing := fmt.Sprint("own ", n), rng.Float64() < perSecond/total
		req := &dispatch.Request{
			ID: fmt.Sprint("r", n), Workspace: w, Model: simModel, MaxTokens: 1 + rng.IntN(2*simTokens-1), Repeatable: true, BodyHash: uint64(n + 1),
			Messages: []backend.Message{{Role: "system", Content: "all"}, {Role: "user", Content: "sound"}, {Role: "user", Content: own}},
		}
		if crashing {
			req.Messages[1].Content = crashingMessage
		}
		req.Parts = []string{req.Messages[0].Content, req.Messages[1].Content}
		d := l.daemons[rng.IntN(len(l.daemons))]
		wg.Go(func() {
			res := l.runRequest(d, req)
			mu.Lock()
			defer mu.Unlock()
			if !crashing {
				sound++
				if res.err == nil {
					complete++
				}
			}
		})
	}
	wg.Wait()
	return float64(complete) / float64(sound)
}

// shareQuarantine merges the registries of all daemons, each entry up to crashShareDelay after it was
// recorded.
func (l *sim) shareQuarantine() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		versions := make([]uint64, len(l.registries))
		for wait.For(ctx, crashShareDelay) {
			for i, from := range l.registries {
				var entries []quarantine.Entry
				entries, versions[i] = from.Since(versions[i], 1<<20)
				for _, to := range l.registries {
					to.Merge(entries, time.Now())
				}
			}
		}
	}()
	return cancel
}
