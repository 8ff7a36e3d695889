package pipeline

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/site"
)

// Rotation selects the paths of a split by weighted round-robin. The weights are the rates
// of the paths, corrected by the known loads; the correction shrinks with the age of the
// loads.
type Rotation struct{ entries []*entry }

// entry is a path of the split and its state in the rotation.
type entry struct {
	share  Share
	key    string  // String of the path
	credit float64 // number of requests due to the path
}

// Limits of the rotation.
const (
	// minCorrection and maxCorrection bound the correction of a rate. Reported loads
	// are incomplete while daemons start or links fail. They must not cause a path to
	// get no requests or all requests.
	minCorrection = 0.2
	maxCorrection = 1.5
	// maxCorrectionGain is the maximum correction, as a fraction of the relative
	// deviation of the load from the plan. With a value below one the loads converge
	// regardless of the age of the reports.
	maxCorrectionGain = 0.5
	// halfRateWaitMS is the wait of this daemon's own requests for a first token at a
	// head that halves the rate of the head's paths. It is twice the time that an idle
	// head takes to process a prompt.
	halfRateWaitMS = 100.0
	// maxCredit bounds the credit of a path, and with it the number of consecutive
	// requests that a path gets.
	maxCredit = 1.5
)

// SetShares replaces the split. Paths that are also in the new split keep their credit. New
// paths start with a random credit, so that daemons with the same split do not take
// the paths in the same order.
func (rot *Rotation) SetShares(shares []Share, r *rand.Rand) {
	oldCredits := make(map[string]float64, len(rot.entries))
	for _, e := range rot.entries {
		oldCredits[e.key] = e.credit
	}
	rot.entries = make([]*entry, 0, len(shares))
	for _, sh := range shares {
		e := &entry{share: sh, key: sh.Choice.Path.String()}
		credit, known := oldCredits[e.key]
		if !known {
			credit = r.Float64()
		}
		e.credit = credit
		rot.entries = append(rot.entries, e)
	}
}

// Next returns the next path that has capacity for the request; ok is false if there is
// none. loadAge is the age of the candidates' loads, 0 if they are unknown.
func (rot *Rotation) Next(q *Query, candidates []Candidate, loadAge time.Duration) (c Choice, ok bool) {
	usable := rot.usablePaths(q, candidates, loadAge)
	sum := sumOfRates(usable)
	var best *usablePath
	for i := range usable {
		t := &usable[i]
		t.entry.credit = t.nextCredit(sum)
		if best == nil || t.entry.credit > best.entry.credit {
			best = t
		}
	}
	if best == nil {
		return Choice{}, false
	}
	best.entry.credit--
	return best.choice, true
}

// usablePath is a path with capacity for the request and its corrected rate.
type usablePath struct {
	entry  *entry
	choice Choice
	rate   float64
}

// nextCredit returns the credit of the path at the next request. sum is the sum of the rates of
// all usable paths.
func (t *usablePath) nextCredit(sum float64) float64 {
	return min(maxCredit, t.entry.credit+t.rate/sum)
}

func sumOfRates(usable []usablePath) float64 {
	sum := 0.0
	for i := range usable {
		sum += usable[i].rate
	}
	return sum
}

// Obstacle is the reason why a path of the split cannot take a request.
type Obstacle uint8

// The obstacles.
const (
	NoObstacle Obstacle = iota
	HopMissing          // a hop is no candidate, or holds other layers now
	NoSlot              // the head has no free slot
	NoMemory            // a hop lacks memory for the request
)

// String describes the obstacle.
func (o Obstacle) String() string {
	return [...]string{"none", "a hop takes no requests or holds other layers", "the head has no free slot", "a hop lacks memory"}[o]
}

// Turn is a path of the split as the next request finds it.
type Turn struct {
	Choice   Choice   // only the path if Obstacle is HopMissing or NoSlot
	Credit   float64  // number of requests due to the path, including its share of the next one
	Obstacle Obstacle // NoObstacle for a path with capacity
}

// Turns returns all paths of the split without changing the rotation. Those with capacity come
// first, by credit: for the same arguments, Next returns the first of them.
func (rot *Rotation) Turns(q *Query, candidates []Candidate, loadAge time.Duration) []Turn {
	sum := sumOfRates(rot.usablePaths(q, candidates, loadAge))
	byID := indexByID(candidates)
	out := make([]Turn, 0, len(rot.entries))
	for _, e := range rot.entries {
		t, obstacle := e.evaluate(q, byID, loadAge)
		turn := Turn{Choice: t.choice, Credit: e.credit, Obstacle: obstacle}
		if obstacle == NoObstacle {
			turn.Credit = t.nextCredit(sum)
		}
		out = append(out, turn)
	}
	slices.SortStableFunc(out, func(a, b Turn) int {
		if x, y := a.Obstacle != NoObstacle, b.Obstacle != NoObstacle; x != y {
			if x {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.Credit, a.Credit)
	})
	return out
}

// Clone returns a copy that changes independently.
func (rot *Rotation) Clone() Rotation {
	c := Rotation{entries: make([]*entry, len(rot.entries))}
	for i, e := range rot.entries {
		copied := *e
		c.entries[i] = &copied
	}
	return c
}

// usablePaths returns the paths with capacity for the request.
func (rot *Rotation) usablePaths(q *Query, candidates []Candidate, loadAge time.Duration) []usablePath {
	byID := indexByID(candidates)
	out := make([]usablePath, 0, len(rot.entries))
	for _, e := range rot.entries {
		if t, obstacle := e.evaluate(q, byID, loadAge); obstacle == NoObstacle {
			out = append(out, t)
		}
	}
	return out
}

func indexByID(candidates []Candidate) map[string]*Candidate {
	byID := make(map[string]*Candidate, len(candidates))
	for i := range candidates {
		byID[candidates[i].Server.ID] = &candidates[i]
	}
	return byID
}

// steps returns the hops of the path with their candidates, nil if one of them is missing or
// does not hold its layers any more.
func (e *entry) steps(byID map[string]*Candidate) []step {
	path := e.share.Choice.Path
	steps := make([]step, len(path))
	for i, h := range path {
		c := byID[h.Server.ID]
		if c == nil || !holds(c, h.Layers) {
			return nil
		}
		steps[i] = step{cand: c, run: h.Layers}
	}
	return steps
}

// evaluate returns the path with its current rate, or an obstacle and what is known of the path.
func (e *entry) evaluate(q *Query, byID map[string]*Candidate, loadAge time.Duration) (usablePath, Obstacle) {
	path := e.share.Choice.Path
	steps := e.steps(byID)
	if steps == nil {
		return usablePath{entry: e, choice: Choice{Path: path}}, HopMissing
	}
	head := steps[0].cand
	if head.Server.Slots > 0 && head.Load.Heads >= q.maxFullness()*float64(head.Server.Slots) {
		return usablePath{entry: e, choice: Choice{Path: path}}, NoSlot
	}
	c := predict(q, steps)
	if c.Fullest > q.maxFullness() {
		return usablePath{entry: e, choice: c}, NoMemory
	}
	rate := e.share.Rate * correction(head.Load.Heads/max(1, e.share.Heads), e.share.DurationMS, loadAge)
	return usablePath{entry: e, choice: c, rate: rate / (1 + head.Load.WaitMS/halfRateWaitMS)}, NoObstacle
}

func holds(c *Candidate, layers site.Range) bool {
	return c.Server.Held.From <= layers.From && layers.To <= c.Server.Held.To
}

// correction returns the factor on the rate of a path whose head has loadRatio times
// its planned requests. Loads that are old relative to the duration of a request say
// little about the load that a new request meets, so their correction is smaller.
func correction(loadRatio, durationMS float64, loadAge time.Duration) float64 {
	if loadAge <= 0 {
		return 1
	}
	age := float64(loadAge) / float64(time.Millisecond)
	gain := min(maxCorrectionGain, durationMS/(4*age))
	return min(maxCorrection, max(minCorrection, 1+gain*(1-loadRatio)))
}
