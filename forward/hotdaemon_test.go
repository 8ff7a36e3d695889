package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
)

// Parameters of a run in which one daemon gets the new connections of a third of the callers.
const (
	hotFrom       = 12 * time.Second
	hotFor        = 5 * time.Second
	hotLength     = 20 * time.Second
	hotPressure   = 2    // factor of the requests of these callers
	hotServed     = 0.75 // least share of first attempts served, of that in the seconds before
	hotPerSecond  = 30   // requests of all callers
	hotCrashEvery = 2500 * time.Millisecond
)

// While one daemon gets the new connections of a third of the callers, which open more of them,
// it serves what it reads as before, also while backend servers end.
func TestHotDaemonServesWhatItReads(t *testing.T) {
	for _, daemons := range []int{8, 60, 300} {
		if daemons >= maxRaceFleet && virtual.RaceDetector {
			continue
		}
		for _, crashes := range []bool{false, true} {
			if !crashes && virtual.RaceDetector {
				continue // the run with crashes has all steps of the one without
			}
			t.Run(fmt.Sprintf("daemons=%d/crashes=%v", daemons, crashes), func(t *testing.T) {
				virtual.Test(t, func(t *testing.T) {
					before, during := runHotDaemon(daemons, crashes)
					t.Logf("served at the first attempt: %.3f before, %.3f of the hot daemon", before, during)
					require.GreaterOrEqual(t, during, hotServed*before)
				})
			})
		}
	}
}

// servedShare counts the first attempts that were served completely.
type servedShare struct {
	mu          sync.Mutex
	all, served int
}

func (s *servedShare) add(served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all++
	if served {
		s.served++
	}
}

func (s *servedShare) value() float64 { return float64(s.served) / float64(max(1, s.all)) }

// runHotDaemon returns the share of first attempts that are served before one daemon is hot, and
// at that daemon meanwhile.
func runHotDaemon(daemons int, crashes bool) (before, during float64) {
	l := newFleetLab(1, daemons)
	rng := rand.New(rand.NewPCG(1, 4))
	start := time.Now()
	var calm, hot servedShare
	var wg sync.WaitGroup
	nextCrash := hotCrashEvery
	for n := 0; time.Since(start) < hotLength; n++ {
		at := time.Since(start)
		isHot := at >= hotFrom && at < hotFrom+hotFor
		rate := float64(hotPerSecond)
		if isHot {
			rate *= (hotPressure + 2) / 3.0
		}
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if crashes && at > nextCrash {
			nextCrash += hotCrashEvery
			l.restart(l.anyServer(rng))
		}
		f, counted := l.forward[rng.IntN(daemons)], &calm
		switch {
		case isHot && rng.Float64() < hotPressure/(hotPressure+2.0):
			f, counted = l.forward[0], &hot
		case at >= hotFrom || at < hotFrom-hotFor:
			counted = &servedShare{}
		}
		wg.Go(func() {
			req := labRequest(fmt.Sprint("r", n), nil)
			counted.add(f.Do(context.Background(), req, &labCaller{lab: l, sent: req.Received}) == nil)
		})
	}
	wg.Wait()
	return calm.value(), hot.value()
}
