package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Timing of joining daemons in the simulation.
const (
	maxListDelay = 7 * time.Second // until a list of an earlier daemon has a later one
	joinDelay    = 7 * time.Second // until a daemon counts as joined
	// preferredCheckInterval is the interval at which a daemon chooses its allocator again.
	preferredCheckInterval = 2 * time.Second
)

// joiner is a simulated daemon with the others that its list has.
type joiner struct {
	*limitedDaemon
	startedAt time.Time
	knownFrom map[string]time.Time // when its list gets each daemon
	linkedAt  time.Time            // when it last chose its allocator
}

// lists reports whether the daemon's list has another one.
func (j *joiner) lists(name string, now time.Time) bool {
	from, known := j.knownFrom[name]
	return known && !now.Before(from)
}

// joiningFleet is a fleet whose daemons start one after another. A daemon that starts lists
// all earlier ones; these list it up to maxListDelay later.
type joiningFleet struct {
	*limitedFleet
	joiners []*joiner
}

func (f *joiningFleet) start(demand float64) {
	name := fmt.Sprintf("d%03d", len(f.joiners))
	j := &joiner{limitedDaemon: f.add(name, demand, anyClass), startedAt: f.now, knownFrom: map[string]time.Time{}}
	j.limitAt = f.now.Add(reportDelay)
	j.knows = func(o *limitedDaemon) bool { return j.lists(o.name, f.now) }
	for _, o := range f.joiners {
		j.knownFrom[o.name] = f.now
		o.knownFrom[name] = f.now.Add(time.Duration(f.rng.Int64N(int64(maxListDelay))))
	}
	j.knownFrom[name] = f.now
	f.joiners = append(f.joiners, j)
	f.rng.Shuffle(len(f.daemons), func(a, b int) { f.daemons[a], f.daemons[b] = f.daemons[b], f.daemons[a] })
}

func (f *joiningFleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		for _, j := range f.joiners {
			var names []string
			for name := range j.knownFrom {
				if j.lists(name, f.now) {
					names = append(names, name)
				}
			}
			if f.now.Sub(j.linkedAt) >= preferredCheckInterval {
				j.to, j.linkedAt = nil, f.now
			}
			j.pool.SetFleet(names, f.now)
			j.pool.SetJoining(f.now.Sub(j.startedAt) < joinDelay)
		}
		f.tick()
	}
}

// The first daemons of a fleet take it for smaller than it is until their lists have the
// later ones. The parts of all daemons must not add up to more than the limit meanwhile.
func TestLimitIsKeptWhileDaemonsJoin(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 11))
		daemons := []int{2, 3, 8, 40}[rng.IntN(4)]
		limit := []float64{1, 3.6, 7.4, 30}[rng.IntN(4)]
		f := &joiningFleet{limitedFleet: &limitedFleet{rng: rng, now: t0, limit: limit, requested: map[Class]int{}, granted: map[Class]int{}}}
		demand := 10 * limit / float64(daemons)
		for range daemons {
			f.start(demand)
			f.run(time.Duration(rng.IntN(2000/daemons)) * time.Millisecond)
		}
		f.run(12 * time.Second)
		require.LessOrEqual(t, f.maxExcess(t0.Add(3*time.Second)), 0.0, "seed %d: %d daemons, limit %g", seed, daemons, limit)
	}
}

// A daemon that joins gets permits from its allocator before it owns a part.
func TestJoiningDaemonGetsPermits(t *testing.T) {
	f := newLimitedFleet(3, 8, 8, 24, anyClass)
	for _, d := range f.daemons[4:] {
		d.pool.SetJoining(true)
	}
	f.stateLimit()
	f.run(20 * time.Second)
	granted := 0
	for _, c := range f.calls {
		if c.daemon.pool.Joining() {
			granted++
		}
	}
	require.Greater(t, granted, 10)
	require.LessOrEqual(t, f.used(t0.Add(5*time.Second)), 0.55, "half of the parts are owned")
}
