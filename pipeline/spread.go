package pipeline

import (
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/site"
)

// Rotation selects the paths of a split by weighted round-robin. Known loads correct
// the weights; the correction shrinks with the age of the loads.
type Rotation struct{ entries []*entry }

// entry is a path of the split with its state in the rotation.
type entry struct {
	share  Share
	key    string  // String of the path
	credit float64 // requests by which it is behind its rate
}

// Limits of the rotation.
const (
	// minCorrection and maxCorrection bound the correction of a rate. Reported loads
	// are incomplete while daemons start or links fail, and must not give a path no
	// requests or all of them.
	minCorrection = 0.2
	maxCorrection = 1.5
	// maxCorrectionGain is the highest correction, as a fraction of the relative
	// error of the load. A value below one converges however old the loads are.
	maxCorrectionGain = 0.5
	// halfRateWaitMS is the wait for a first token at a head, as this daemon's own
	// requests observe it, that halves the rate of its paths. It is twice the time to
	// read a prompt at an idle head.
	halfRateWaitMS = 100.0
	// maxCredit bounds the credit of a path, so that one that was unusable for a
	// while does not catch up.
	maxCredit = 1.5
)

// Take replaces the split. Remaining paths keep their credit. New ones start with a
// random credit, so that daemons with the same split do not send in step.
func (s *Rotation) Take(shares []Share, r *rand.Rand) {
	oldCredits := make(map[string]float64, len(s.entries))
	for _, e := range s.entries {
		oldCredits[e.key] = e.credit
	}
	s.entries = make([]*entry, 0, len(shares))
	for _, sh := range shares {
		e := &entry{share: sh, key: sh.Choice.Path.String()}
		credit, known := oldCredits[e.key]
		if !known {
			credit = r.Float64()
		}
		e.credit = credit
		s.entries = append(s.entries, e)
	}
}

// Next returns the next path among those with capacity for the request; ok is false
// if there is none. The loads of the candidates are loadAge old, 0 if they were never
// reported.
func (s *Rotation) Next(q *Query, candidates []Candidate, loadAge time.Duration) (c Choice, ok bool) {
	usable := s.usablePaths(q, candidates, loadAge)
	sum := 0.0
	for _, t := range usable {
		sum += t.rate
	}
	var best *usablePath
	for i := range usable {
		t := &usable[i]
		t.entry.credit = min(maxCredit, t.entry.credit+t.rate/sum)
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

// usablePath is a path with capacity for the request.
type usablePath struct {
	entry  *entry
	choice Choice
	rate   float64
}

// usablePaths returns the paths with capacity for the request.
func (s *Rotation) usablePaths(q *Query, candidates []Candidate, loadAge time.Duration) []usablePath {
	byID := make(map[string]*Candidate, len(candidates))
	for i := range candidates {
		byID[candidates[i].Server.ID] = &candidates[i]
	}
	out := make([]usablePath, 0, len(s.entries))
	for _, e := range s.entries {
		if t, ok := e.evaluate(q, byID, loadAge); ok {
			out = append(out, t)
		}
	}
	return out
}

func (e *entry) evaluate(q *Query, byID map[string]*Candidate, loadAge time.Duration) (p usablePath, ok bool) {
	path := e.share.Choice.Path
	steps := make([]step, len(path))
	for i, h := range path {
		c := byID[h.Server.ID]
		if c == nil || !holds(c, h.Layers) {
			return usablePath{}, false
		}
		steps[i] = step{cand: c, run: h.Layers}
	}
	head := steps[0].cand
	if head.Server.Slots > 0 && head.Load.Heads >= float64(head.Server.Slots) {
		return usablePath{}, false
	}
	c := predict(q, steps)
	if c.Fullest > 1 {
		return usablePath{}, false
	}
	rate := e.share.Rate * correction(head.Load.Heads/max(1, e.share.Heads), e.share.DurationMS, loadAge)
	return usablePath{entry: e, choice: c, rate: rate / (1 + head.Load.WaitMS/halfRateWaitMS)}, true
}

func holds(c *Candidate, layers site.Range) bool {
	return c.Server.Held.From <= layers.From && layers.To <= c.Server.Held.To
}

// correction returns the factor on the rate of a path whose head has loadRatio times
// its planned requests. The older the loads are relative to the duration of a
// request, the less they predict the load that a new request meets.
func correction(loadRatio, lastsMS float64, loadAge time.Duration) float64 {
	if loadAge <= 0 {
		return 1
	}
	age := float64(loadAge) / float64(time.Millisecond)
	gain := min(maxCorrectionGain, lastsMS/(4*age))
	return min(maxCorrection, max(minCorrection, 1+gain*(1-loadRatio)))
}
