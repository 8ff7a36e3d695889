package shedding

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// FairShares divides the admitted memory of each class among workspaces by max-min fairness,
// from the requests that one daemon receives. It is not safe for concurrent use.
//
// A daemon of a large fleet receives a few requests per second, so the demand that it counts
// for a workspace is mostly chance. Workspaces whose demand is not significantly above the
// mean of the others are therefore treated alike, and only the significant excess of a large
// workspace is held against it.
type FairShares struct {
	classes [MaxClass + 1]*classShares
}

// Limits of the division among workspaces.
const (
	// shareWindow is the time constant of the counted memory.
	shareWindow = 10 * time.Second
	// maxWorkspaces bounds the workspaces of a class that are counted separately.
	maxWorkspaces = 64
	// minWorkspaceShare is the least fraction of a workspace, as a multiple of the fraction
	// of its class.
	minWorkspaceShare = 0.4
	// minCount is the decayed number of requests below which a workspace is forgotten, which
	// is 30 s after a single request.
	minCount = 0.05
	// significance is the number of standard deviations by which a workspace must exceed the
	// mean of the others to count as larger. With 2 instead of 3, four to five times as many
	// decisions gave a workspace of mean demand less than 0.7 of its fair share by chance.
	significance = 3
	// shareInterval is the time for which a division is used, and the granularity of the
	// decay.
	shareInterval = 100 * time.Millisecond
	// maxFractionChange is the change of the class's fraction that invalidates a division.
	maxFractionChange = 0.01
	// maxRequestKV bounds the counted memory of a request; a larger one is invalid input.
	maxRequestKV = 1e12
)

// classShares counts the memory of a class by workspace.
type classShares struct {
	at         time.Time // to which the sums are decayed
	workspaces []workspaceDemand
	index      map[string]int // in workspaces
	rest       float64        // KV cache of workspaces that are no longer counted separately

	division division
	order    []int // indices of workspaces by demand, reused
}

// workspaceDemand holds sums that decay with the time constant shareWindow.
type workspaceDemand struct {
	name  string
	count float64 // requests
	kv    float64 // KV cache of the requests
	kvSq  float64 // squared KV cache of the requests
}

// division is the result of dividing a class's admitted memory.
type division struct {
	at       time.Time
	fraction float64            // of the class
	ordinary float64            // multiple of all workspaces that are not in large
	large    map[string]float64 // multiples of the significantly larger workspaces
}

// NewFairShares returns fair shares without requests.
func NewFairShares() *FairShares { return &FairShares{} }

// Add counts a request of kv tokens x layers, whether it is admitted or not.
func (f *FairShares) Add(class Class, workspace string, kv float64, now time.Time) {
	if !(kv > 0) || class > MaxClass {
		return
	}
	c := f.classes[class]
	if c == nil {
		c = &classShares{at: now, index: map[string]int{}}
		f.classes[class] = c
	}
	c.decay(now)
	kv = min(kv, maxRequestKV)
	w := c.of(workspace)
	w.count++
	w.kv += kv
	w.kvSq += kv * kv
}

// Multiple returns the fraction of a workspace as a multiple of the fraction of its class. It
// is 1 if nothing is known about the class.
func (f *FairShares) Multiple(class Class, workspace string, fraction float64, now time.Time) float64 {
	if class > MaxClass || f.classes[class] == nil || !(fraction > 0 && fraction < 1) {
		return 1
	}
	c := f.classes[class]
	age := now.Sub(c.division.at)
	if age < 0 || age >= shareInterval || math.Abs(fraction-c.division.fraction) > maxFractionChange {
		c.decay(now)
		c.divide(fraction, now)
	}
	multiple, ok := c.division.large[workspace]
	if !ok {
		multiple = c.division.ordinary
	}
	return min(multiple, 1/fraction)
}

// decay reduces the sums by the time that has passed and forgets idle workspaces.
func (c *classShares) decay(now time.Time) {
	elapsed := now.Sub(c.at)
	if elapsed < shareInterval {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(shareWindow))
	c.at = now
	c.rest *= factor
	for i := 0; i < len(c.workspaces); {
		w := &c.workspaces[i]
		w.count, w.kv, w.kvSq = w.count*factor, w.kv*factor, w.kvSq*factor
		if w.count < minCount {
			c.remove(i)
			continue
		}
		i++
	}
}

// of returns the sums of a workspace. The smallest one gives way if too many are counted, and
// its memory stays in the rest.
func (c *classShares) of(workspace string) *workspaceDemand {
	if i, ok := c.index[workspace]; ok {
		return &c.workspaces[i]
	}
	if len(c.workspaces) >= maxWorkspaces {
		smallest := 0
		for i := range c.workspaces {
			if c.workspaces[i].kv < c.workspaces[smallest].kv {
				smallest = i
			}
		}
		c.rest += c.workspaces[smallest].kv
		c.remove(smallest)
	}
	c.index[workspace] = len(c.workspaces)
	c.workspaces = append(c.workspaces, workspaceDemand{name: workspace})
	return &c.workspaces[len(c.workspaces)-1]
}

func (c *classShares) remove(i int) {
	delete(c.index, c.workspaces[i].name)
	last := len(c.workspaces) - 1
	if i != last {
		c.workspaces[i] = c.workspaces[last]
		c.index[c.workspaces[i].name] = i
	}
	c.workspaces[last] = workspaceDemand{}
	c.workspaces = c.workspaces[:last]
}

// share is a workspace, or several of the same demand, in the division.
type share struct {
	name   string
	kv     float64 // counted memory of all
	demand float64 // of each workspace, for comparison with the others
}

// divide computes the multiples of all workspaces.
func (c *classShares) divide(fraction float64, now time.Time) {
	shares := make([]share, 1, maxWorkspaces+1) // the first stands for the ordinary workspaces
	ordinary, n := 0.0, float64(len(c.workspaces))
	c.order = c.order[:0]
	for i := range c.workspaces {
		ordinary += c.workspaces[i].kv
		c.order = append(c.order, i)
	}
	slices.SortFunc(c.order, func(a, b int) int { return cmp.Compare(c.workspaces[b].kv, c.workspaces[a].kv) })
	for _, i := range c.order {
		if n < 2 {
			break
		}
		w := &c.workspaces[i]
		if demand, ok := w.exceeds((ordinary - w.kv) / (n - 1)); ok {
			shares = append(shares, share{name: w.name, kv: w.kv, demand: demand})
			ordinary, n = ordinary-w.kv, n-1
		}
	}
	shares[0] = share{kv: max(0, ordinary) + c.rest, demand: max(0, ordinary) / max(1, n)}

	level := fairLevel(shares, fraction)
	c.division = division{
		at:       now,
		fraction: fraction,
		ordinary: shares[0].fraction(level, fraction) / fraction,
		large:    make(map[string]float64, len(shares)-1),
	}
	for _, s := range shares[1:] {
		c.division.large[s.name] = s.fraction(level, fraction) / fraction
	}
}

// exceeds reports whether the demand of a workspace is significantly above the mean of the
// others, and its demand less what chance may have added. For a workspace of mean demand, the
// sum over Poisson arrivals with the time constant shareWindow has the variance mean x size /
// 2. One request is allowed for in addition, since a workspace is looked up when it has just
// sent one. The deduction decreases from all of the excess at the threshold to nothing for a
// far larger workspace, so that fractions do not jump.
func (w *workspaceDemand) exceeds(mean float64) (float64, bool) {
	size := w.kvSq / w.kv
	chance := size + significance*math.Sqrt(mean*size/2)
	threshold := mean + chance
	if w.kv <= threshold {
		return 0, false
	}
	return w.kv - chance*threshold/w.kv, true
}

// fraction returns the fraction of the share if each workspace is admitted the memory level.
func (s share) fraction(level, classFraction float64) float64 {
	if s.demand <= 0 {
		return 1
	}
	return max(minWorkspaceShare*classFraction, min(1, level/s.demand))
}

// fairLevel returns the memory for each workspace at which the admitted memory of all shares
// is that of the class.
func fairLevel(shares []share, classFraction float64) float64 {
	target, high := 0.0, 0.0
	for _, s := range shares {
		target += classFraction * s.kv
		high = max(high, s.demand)
	}
	low := 0.0
	// 40 halvings give the level to 1e-12 of the largest demand.
	for range 40 {
		level := (low + high) / 2
		admitted := 0.0
		for _, s := range shares {
			admitted += s.kv * s.fraction(level, classFraction)
		}
		if admitted < target {
			low = level
		} else {
			high = level
		}
	}
	return high
}
