package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	limitSeed  = flag.Uint64("limit-seed", 0, "first seed of the simulated fleets in front of a backend server with a limit")
	limitSeeds = flag.Uint64("limit-seeds", 1000, "number of simulated fleets")
)

// A backend server with a limit may receive, within a Window, allowedFactor times its limit
// plus allowedSlack calls.
const (
	allowedFactor = 1.5
	allowedSlack  = 5
)

// Timing of the simulation and its links between daemons.
const (
	step         = 20 * time.Millisecond
	pollInterval = 500 * time.Millisecond
	partTTL      = 1500 * time.Millisecond
	pollTimeout  = 1200 * time.Millisecond
	reportDelay  = 100 * time.Millisecond
)

// limitedFleet simulates daemons in front of one backend server with a limit. Each
// contributes to the first daemon in the order of names that it can reach.
type limitedFleet struct {
	rng       *rand.Rand
	now       time.Time
	limit     float64
	daemons   []*limitedDaemon
	calls     []call
	requested map[Class]int
	granted   map[Class]int
}

// call is a call that reached the backend server.
type call struct {
	at     time.Time
	daemon *limitedDaemon
}

type limitedDaemon struct {
	name         string
	limits       *Limits
	sends        *Sends
	pool         *Pool
	to           *limitedDaemon // the daemon it contributes to, nil for none
	polled       time.Time      // when it was last polled for its part
	demand       float64        // calls a second
	classes      []Class
	pending      float64
	limitAt      time.Time                   // when it receives the limit
	limitKnownAt time.Time                   // when it first knew the limit
	knows        func(o *limitedDaemon) bool // whether its list has another daemon, nil for all
	isolated     bool                        // from the other daemons
	paused       bool
	removed      bool
}

const limitedServer = "s"

func newLimitedFleet(seed uint64, daemons int, limit, demand float64, classes []Class) *limitedFleet {
	f := &limitedFleet{rng: rand.New(rand.NewPCG(seed, 7)), now: t0, limit: limit, requested: map[Class]int{}, granted: map[Class]int{}}
	sum := 0.0
	for i := range daemons {
		sum += f.add(fmt.Sprintf("d%03d", i), f.rng.Float64(), classes).demand
	}
	for _, d := range f.daemons {
		d.demand *= demand / sum // uneven, as with callers distributed by hash
	}
	f.updateFleet()
	return f
}

func (f *limitedFleet) add(name string, demand float64, classes []Class) *limitedDaemon {
	d := &limitedDaemon{name: name, limits: NewLimits(), sends: NewSends(), demand: demand, classes: classes, pending: f.rng.Float64()}
	d.pool = NewPool(name, d.limits, d.sends)
	f.daemons = append(f.daemons, d)
	return d
}

// updateFleet updates the names of the daemons in all pools.
func (f *limitedFleet) updateFleet() {
	var names []string
	for _, d := range f.daemons {
		if !d.removed {
			names = append(names, d.name)
		}
	}
	for _, d := range f.daemons {
		d.pool.SetFleet(names, f.now)
	}
}

// stateLimit reports the limit to one daemon at once and to the others after reportDelay.
func (f *limitedFleet) stateLimit() {
	first := f.daemons[f.rng.IntN(len(f.daemons))]
	for _, d := range f.daemons {
		at := f.now
		if d != first {
			at = at.Add(reportDelay)
		}
		d.limitAt = at
	}
}

func (d *limitedDaemon) up() bool { return !d.removed && !d.paused }

// reaches reports whether a daemon receives answers from another.
func (d *limitedDaemon) reaches(o *limitedDaemon) bool { return o.up() && !d.isolated && !o.isolated }

func (f *limitedFleet) tick() {
	f.now = f.now.Add(step)
	for _, d := range f.daemons {
		if !d.up() {
			continue
		}
		if !d.limitAt.IsZero() && !f.now.Before(d.limitAt) {
			d.limits.Apply(LimitReport{Server: limitedServer, Stated: true, Rate: f.limit, SentAt: f.now, At: f.now})
			if d.limitKnownAt.IsZero() {
				d.limitKnownAt = f.now
			}
		}
		if _, known := d.limits.Of(limitedServer); known {
			f.link(d)
		}
		f.call(d)
	}
}

// link keeps a daemon's part contributed to the first daemon that it reaches.
func (f *limitedFleet) link(d *limitedDaemon) {
	if d.to != nil && !d.reaches(d.to) && f.now.Sub(d.polled) > pollTimeout {
		d.to = nil
	}
	if d.to == nil {
		i := slices.IndexFunc(f.daemons, func(o *limitedDaemon) bool { return o == d || d.reaches(o) && (d.knows == nil || d.knows(o)) })
		d.to, d.polled = f.daemons[i], f.now.Add(-time.Duration(f.rng.Int64N(int64(pollInterval))))
	}
	o := d.to
	if o == d || !d.reaches(o) || f.now.Sub(d.polled) < pollInterval {
		return
	}
	d.polled = f.now
	o.pool.Polled(d.name)
	if to := d.pool.ContributedTo(f.now); to != "" && to != o.name {
		return
	}
	d.pool.ContributeTo(o.name, f.now.Add(partTTL), f.now)
	o.pool.AddContribution(d.name, Part{Until: f.now.Add(partTTL), Sent: map[string]int{limitedServer: d.sends.Recent(limitedServer, f.now)}, Joining: d.pool.Joining()})
}

// call makes the calls that are due from a daemon's callers.
func (f *limitedFleet) call(d *limitedDaemon) {
	d.pending += d.demand * step.Seconds() * 2 * f.rng.Float64()
	for ; d.pending >= 1; d.pending-- {
		class := d.classes[f.rng.IntN(len(d.classes))]
		f.requested[class]++
		if f.permit(d, class) {
			f.granted[class]++
			f.calls = append(f.calls, call{f.now, d})
		}
	}
}

func (f *limitedFleet) permit(d *limitedDaemon, class Class) bool {
	r := PermitRequest{Servers: []string{limitedServer}, Class: class}
	if _, known := d.limits.Of(limitedServer); !known {
		d.sends.Add(limitedServer, f.now)
		return true
	}
	if d.to == nil || d.to == d || d.pool.ContributedTo(f.now) != d.to.name {
		return d.pool.Decide(d.name, r, f.now).Granted
	}
	if !d.reaches(d.to) || !d.to.pool.Decide(d.name, r, f.now).Granted {
		return false
	}
	d.sends.Add(limitedServer, f.now)
	return true
}

func (f *limitedFleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.tick()
	}
}

// maxExcess returns the maximum number of calls above the allowed number, over all windows
// that end at from or later. It counts daemons that have known the limit for half a second.
// Calls that a daemon made before it knew the limit reduce the allowed number, to no less
// than zero.
func (f *limitedFleet) maxExcess(from time.Time) float64 {
	worst := -1e9
	for end := from; !end.After(f.now); end = end.Add(100 * time.Millisecond) {
		before, after := 0, 0
		for _, c := range f.calls {
			limitKnownAt := c.daemon.limitKnownAt
			if limitKnownAt.IsZero() || limitKnownAt.After(end.Add(-500*time.Millisecond)) || !c.at.After(end.Add(-Window)) || c.at.After(end) {
				continue
			}
			if c.at.After(limitKnownAt) {
				after++
			} else {
				before++
			}
		}
		allowed := allowedFactor*f.limit*Window.Seconds() + allowedSlack
		worst = max(worst, float64(after)-max(0, allowed-float64(before)))
	}
	return worst
}

// used returns the fraction of the limit that was used after from.
func (f *limitedFleet) used(from time.Time) float64 {
	n := 0
	for _, c := range f.calls {
		if c.at.After(from) {
			n++
		}
	}
	return float64(n) / f.limit / f.now.Sub(from).Seconds()
}

var anyClass = []Class{{Workspace: "w"}}

// Daemons use most of a limit and do not exceed it, with 3 to 300 daemons and a demand of
// three times the limit.
func TestLimitIsUsedAndKept(t *testing.T) {
	for _, c := range []struct {
		daemons int
		limit   float64
		minUsed float64
	}{{3, 3.6, 0.9}, {8, 3.6, 0.9}, {8, 40, 0.9}, {73, 3.6, 0.8}, {300, 3.6, 0.8}, {300, 40, 0.8}, {300, 1.2, 0.8}} {
		t.Run(fmt.Sprintf("daemons=%d/limit=%g", c.daemons, c.limit), func(t *testing.T) {
			f := newLimitedFleet(uint64(c.daemons), c.daemons, c.limit, 3*c.limit, anyClass)
			f.run(5 * time.Second)
			f.stateLimit()
			stated := f.now
			f.run(40 * time.Second)
			used := f.used(stated.Add(5 * time.Second))
			t.Logf("used %.3f of the limit, %+.1f over what is allowed", used, f.maxExcess(stated.Add(3*time.Second)))
			require.LessOrEqual(t, f.maxExcess(stated.Add(3*time.Second)), 0.0)
			require.GreaterOrEqual(t, used, c.minUsed)
			require.LessOrEqual(t, used, 1.02)
		})
	}
}

// Daemons that know a limit do not exceed it while daemons join, leave, pause and are
// partitioned. Calls of paused, partitioned or removed daemons count as well.
func TestLimitIsKeptUnderFaults(t *testing.T) {
	for shard := range uint64(seedShards) {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for seed := *limitSeed + shard; seed < *limitSeed+*limitSeeds; seed += seedShards {
				runWithFaults(t, seed)
			}
		})
	}
}

// seedShards is the number of seeds that run in parallel.
const seedShards = 4

func runWithFaults(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	daemons := []int{3, 8, 8, 73}[rng.IntN(4)]
	limit := []float64{0, 0.3, 1, 3.6, 7.4, 30}[rng.IntN(6)]
	f := newLimitedFleet(seed, daemons, limit, 3*limit+1, anyClass)
	f.run(4 * time.Second)
	f.stateLimit()
	stated := f.now
	for range 8 {
		f.injectFaults(rng)
		f.run(time.Duration(200+rng.IntN(2500)) * time.Millisecond)
	}
	require.LessOrEqual(t, f.maxExcess(stated.Add(3*time.Second)), 0.0, "seed %d: %d daemons, limit %g", seed, daemons, limit)
}

// injectFaults changes the state of some daemons.
func (f *limitedFleet) injectFaults(rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		d := f.daemons[rng.IntN(len(f.daemons))]
		switch rng.IntN(6) {
		case 0:
			d.isolated = true
		case 1:
			d.paused = true
		case 2:
			d.isolated, d.paused = false, false
		case 3:
			d.removed = true
		case 4:
			n := f.add(fmt.Sprintf("e%03d", len(f.daemons)), d.demand, d.classes)
			n.limitAt = f.now.Add(reportDelay)
			rng.Shuffle(len(f.daemons), func(i, j int) { f.daemons[i], f.daemons[j] = f.daemons[j], f.daemons[i] })
		case 5:
			f.updateFleet() // until then new daemons are unknown to the others
		}
	}
}

// Permits are granted by priority first, then evenly among workspaces.
func TestPermitsAreGrantedByPriorityThenEvenlyToWorkspaces(t *testing.T) {
	classes := []Class{{0, "a"}, {0, "b"}, {0, "b"}, {0, "b"}, {0, "c"}, {0, "c"}, {1, "d"}, {1, "d"}}
	f := newLimitedFleet(1, 8, 6, 40, classes)
	f.stateLimit()
	f.run(60 * time.Second)
	total := 0
	for _, n := range f.granted {
		total += n
	}
	t.Logf("requested %v, granted %v", f.requested, f.granted)
	for _, w := range []string{"a", "b", "c"} {
		require.InDelta(t, float64(total)/3, f.granted[Class{0, w}], 0.05*float64(total), w)
	}
	require.LessOrEqual(t, float64(f.granted[Class{1, "d"}]), 0.05*float64(total))
}

// Calls that the most urgent class does not use are granted to the others.
func TestCallsUnusedByUrgentClassAreGranted(t *testing.T) {
	classes := []Class{{0, "a"}, {1, "b"}, {1, "b"}, {1, "b"}, {1, "b"}, {1, "c"}, {1, "c"}, {1, "c"}, {1, "c"}, {1, "c"}}
	f := newLimitedFleet(2, 8, 6, 30, classes)
	f.stateLimit()
	f.run(60 * time.Second)
	t.Logf("requested %v, granted %v", f.requested, f.granted)
	a, b, c := f.granted[classes[0]], f.granted[classes[1]], f.granted[classes[5]]
	require.GreaterOrEqual(t, float64(a), 0.9*float64(f.requested[classes[0]]))
	require.InDelta(t, b, c, 0.05*float64(a+b+c))
	require.GreaterOrEqual(t, float64(a+b+c)/60/6, 0.9)
}
