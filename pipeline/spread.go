package pipeline

import (
	"math/rand/v2"
	"time"

	"github.com/snowspoke/snowspoke/site"
)

// Spread takes the paths of a split in turn, each as often as its rate wants. What
// is known of the load corrects the rates a little, the less the older it is.
type Spread struct{ lines []*line }

// line is a path of the split that waits for its turn.
type line struct {
	share  Share
	key    string  // the path's name
	credit float64 // how many requests it is behind its rate
}

// Bounds of the turns.
const (
	// correctLeast and correctMost bound the correction of a rate: loads that were told
	// are incomplete while daemons start or links fail, and no path is to get nothing or
	// all for that.
	correctLeast = 0.2
	correctMost  = 1.5
	// correctGain is the strongest correction, as a share of how much the load is off.
	// Below one it comes to rest however old the news are.
	correctGain = 0.5
	// waitHalvesMS is the wait for a first token at a head, as this daemon's own
	// requests have it now, that halves the rate of its paths: twice what reading a
	// prompt takes where nothing waits.
	waitHalvesMS = 100.0
	// creditMost bounds what a path can be behind: one that was not usable for a while
	// does not catch up.
	creditMost = 1.5
)

// Take replaces the split. Paths that stay keep their turn; new ones begin anywhere
// in it, so that daemons which make the same split do not send in step.
func (s *Spread) Take(shares []Share, r *rand.Rand) {
	before := make(map[string]float64, len(s.lines))
	for _, l := range s.lines {
		before[l.key] = l.credit
	}
	s.lines = make([]*line, 0, len(shares))
	for _, sh := range shares {
		l := &line{share: sh, key: sh.Choice.Path.String()}
		credit, known := before[l.key]
		if !known {
			credit = r.Float64()
		}
		l.credit = credit
		s.lines = append(s.lines, l)
	}
}

// Next returns the path whose turn it is among those that have room for the request;
// ok is false if there is none. The loads of the candidates were told newsAge ago,
// 0 for never.
func (s *Spread) Next(q *Query, candidates []Candidate, newsAge time.Duration) (c Choice, ok bool) {
	open := s.open(q, candidates, newsAge)
	sum := 0.0
	for _, t := range open {
		sum += t.rate
	}
	var best *turn
	for i := range open {
		t := &open[i]
		t.line.credit = min(creditMost, t.line.credit+t.rate/sum)
		if best == nil || t.line.credit > best.line.credit {
			best = t
		}
	}
	if best == nil {
		return Choice{}, false
	}
	best.line.credit--
	return best.choice, true
}

// turn is a path that may be taken now.
type turn struct {
	line   *line
	choice Choice
	rate   float64
}

// open returns the paths that have room for the request.
func (s *Spread) open(q *Query, candidates []Candidate, newsAge time.Duration) []turn {
	byID := make(map[string]*Candidate, len(candidates))
	for i := range candidates {
		byID[candidates[i].Server.ID] = &candidates[i]
	}
	out := make([]turn, 0, len(s.lines))
	for _, l := range s.lines {
		if t, usable := l.turn(q, byID, newsAge); usable {
			out = append(out, t)
		}
	}
	return out
}

func (l *line) turn(q *Query, byID map[string]*Candidate, newsAge time.Duration) (t turn, usable bool) {
	path := l.share.Choice.Path
	steps := make([]step, len(path))
	for i, h := range path {
		c := byID[h.Server.ID]
		if c == nil || !holds(c, h.Layers) {
			return turn{}, false
		}
		steps[i] = step{cand: c, run: h.Layers}
	}
	head := steps[0].cand
	if head.Server.Slots > 0 && head.Load.Heads >= float64(head.Server.Slots) {
		return turn{}, false
	}
	c := describe(q, steps)
	if c.Fullest > 1 {
		return turn{}, false
	}
	rate := l.share.Rate * correction(head.Load.Heads/max(1, l.share.Heads), l.share.LastsMS, newsAge)
	return turn{line: l, choice: c, rate: rate / (1 + head.Load.WaitMS/waitHalvesMS)}, true
}

func holds(c *Candidate, layers site.Range) bool {
	return c.Server.Held.From <= layers.From && layers.To <= c.Server.Held.To
}

// correction returns the factor on the rate of a path whose head has busy times the
// requests that it is meant to have. The older the news are beside the time that a
// request lasts, the less they say of the load that a new one meets.
func correction(busy, lastsMS float64, newsAge time.Duration) float64 {
	if newsAge <= 0 {
		return 1
	}
	age := float64(newsAge) / float64(time.Millisecond)
	gain := min(correctGain, lastsMS/(4*age))
	return min(correctMost, max(correctLeast, 1+gain*(1-busy)))
}
