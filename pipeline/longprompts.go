package pipeline

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/snowspoke/snowspoke/site"
)

// Long prompts delay the short ones that follow them through the same backend servers. While a
// daemon receives long prompts, it sends them over few paths and the other requests over the
// rest. The paths depend on the layout, and only their number on the measured demand, so that
// daemons that exchange nothing select the same paths.

// longPromptFactor is the number of typical prompts that a long prompt exceeds in length.
const longPromptFactor = 3

// IsLongPrompt reports whether a prompt of a number of tokens is long.
func IsLongPrompt(e *site.Engine, tokens float64) bool {
	return e.Prompt > 0 && tokens > longPromptFactor*float64(e.Prompt)
}

// Parameters of the measured mix of prompts.
const (
	// LongPromptMemory is the time after the last long prompt for which the paths of long
	// prompts are kept. A daemon of 300 that serve 64 requests per second, of which 1 in 12 is
	// long, receives a long prompt every 56 s, and none within this time with a probability of
	// 0.5%.
	LongPromptMemory = 5 * time.Minute
	// recentMix and lastingMix are the time constants of the means of the demand. The first one
	// applies once it contains minRecentPrompts, which give it a standard error of about an
	// eighth.
	recentMix        = 30 * time.Second
	lastingMix       = 5 * time.Minute
	minRecentPrompts = 30
	// minMixTime is the least time over which prompts are counted, so that the first ones after
	// a start do not appear to be a high rate.
	minMixTime = 10 * time.Second
)

// LongDemand is the demand of a fleet for long prompts.
type LongDemand struct {
	PerSecond float64
	// Error is the relative standard error of PerSecond, which is high for a daemon that has
	// received few long prompts.
	Error  float64
	Tokens float64 // root mean square of the lengths, as long prompts take quadratic time
	// Objective is the least objective of the first event of a long prompt, 0 for none.
	Objective time.Duration
}

// atLeast returns the demand less a number of standard errors. Of 300 daemons with few long
// prompts each, some measure several times the demand by chance. Without this correction a tenth
// of them found too many long prompts for paths of their own, and sent them among the short ones.
func (d LongDemand) atLeast(errors float64) float64 {
	return d.PerSecond * max(minDemandShare, 1-errors*d.Error)
}

// PromptMix measures the long prompts among the requests of one daemon.
type PromptMix struct {
	since     time.Time // first request
	lastLong  time.Time
	objective time.Duration // least one since there were no long prompts
	recent    decayingSum   // of long prompts
	lasting   decayingSum
	seen      inFlightMean // of all requests
}

// Add counts a request that arrives while a number of others is in flight at this daemon.
// objective is that of its first event, 0 for none.
func (m *PromptMix) Add(e *site.Engine, tokens float64, objective time.Duration, inFlight int, now time.Time) {
	if !m.Active(now) {
		*m = PromptMix{since: m.since, seen: m.seen}
	}
	if m.since.IsZero() {
		m.since = now
	}
	m.seen.add(float64(inFlight), now)
	if !IsLongPrompt(e, tokens) {
		return
	}
	if objective > 0 && (m.objective == 0 || objective < m.objective) {
		m.objective = objective
	}
	m.lastLong = now
	m.recent.add(tokens*tokens, recentMix, now)
	m.lasting.add(tokens*tokens, lastingMix, now)
}

// Active reports whether a long prompt was seen within LongPromptMemory.
func (m *PromptMix) Active(now time.Time) bool {
	return !m.lastLong.IsZero() && now.Sub(m.lastLong) <= LongPromptMemory
}

// Demand returns the demand of a fleet in which each daemon receives the same mix as this one.
func (m *PromptMix) Demand(daemons int, now time.Time) LongDemand {
	sum, constant := m.recent.at(recentMix, now), recentMix
	if sum.count < minRecentPrompts {
		sum, constant = m.lasting.at(lastingMix, now), lastingMix
	}
	if sum.count <= 0 {
		return LongDemand{Objective: m.objective}
	}
	counted := max(minMixTime, now.Sub(m.since)).Seconds()
	weight := constant.Seconds() * -math.Expm1(-counted/constant.Seconds())
	return LongDemand{
		PerSecond: sum.count / weight * float64(max(1, daemons)),
		Error:     1 / math.Sqrt(sum.count),
		Tokens:    math.Sqrt(sum.weight / sum.count),
		Objective: m.objective,
	}
}

// InFlight returns the mean number of requests in flight of a fleet in which each daemon is as busy
// as this one, less a standard error.
func (m *PromptMix) InFlight(daemons int, now time.Time) float64 {
	return m.seen.atLeast(now) * float64(max(1, daemons))
}

// inFlightMean is the mean number of requests in flight that arriving requests find. If they
// arrive at random times it is the mean over time.
type inFlightMean struct{ recent, lasting decayingSum }

func (i *inFlightMean) add(inFlight float64, now time.Time) {
	i.recent.add(inFlight, recentMix, now)
	i.lasting.add(inFlight, lastingMix, now)
}

func (i *inFlightMean) atLeast(now time.Time) float64 {
	sum := i.recent.at(recentMix, now)
	if sum.count < minRecentPrompts {
		sum = i.lasting.at(lastingMix, now)
	}
	if sum.count <= 0 || sum.weight <= 0 {
		return 0
	}
	return sum.weight / sum.count * max(0, 1-1/math.Sqrt(sum.weight))
}

// decayingSum counts items and sums their weights, both decaying exponentially.
type decayingSum struct {
	updated       time.Time
	count, weight float64
}

// at returns the sum at a time.
func (s decayingSum) at(constant time.Duration, now time.Time) decayingSum {
	left := math.Exp(-max(0, now.Sub(s.updated).Seconds()) / constant.Seconds())
	return decayingSum{updated: now, count: s.count * left, weight: s.weight * left}
}

// add counts an item with a weight.
func (s *decayingSum) add(weight float64, constant time.Duration, now time.Time) {
	*s = s.at(constant, now)
	s.count++
	s.weight += weight
}

// Bounds of the paths of long prompts.
const (
	// targetPrefillLoad and targetLongKV are the planned fractions of a path's time and memory
	// that long prompts use. Demand measured from few prompts may be too low by half.
	targetPrefillLoad = 0.5
	targetLongKV      = 0.6
	// maxLongLoad is the load of the paths, relative to what they can sustain, above which long
	// prompts get no paths of their own: they would queue there without bound. It is higher for
	// paths already in use, so that a demand near the bound does not switch them off and on.
	maxLongLoad     = 0.8
	maxUsedLongLoad = 0.9
	// keepPathDemand is the factor of the demand by which paths in use are kept.
	keepPathDemand = 1.3
	// minDemandShare is the least fraction of a measured demand that is certain.
	minDemandShare = 0.1
	// maxLongCapacity is the largest fraction of the capacity for requests that the paths of
	// long prompts may hold, so that a site with two similar paths can have one of them.
	// maxRestLoad is the largest fraction of the remaining capacity that the requests in flight
	// may need, more for paths already in use. The number in flight is inexact after a start, so
	// this bound alone is not enough: daemons that exchange no loads estimate it by their own
	// requests, and with bounds near the whole capacity the paths of the short prompts fill up.
	maxLongCapacity = 0.55
	maxRestLoad     = 0.7
	maxUsedRestLoad = 0.8
	// maxLongSlowdown is the slowdown above which a backend server takes no part in the paths
	// of long prompts, as the whole path processes prompts at its speed.
	maxLongSlowdown = 1.5
	// longFirstShare is the fraction of the objective within which a path without load should
	// process a long prompt, and maxLongFirstMS a bound that holds for any objective. The rest is
	// for prompts before it. Package forward ends a send after a silence of 1.1 s.
	longFirstShare = 0.5
	maxLongFirstMS = 550.0
)

// LongPlan holds the paths of long prompts. The zero value has none: all requests share all
// paths.
type LongPlan struct {
	Paths   []site.Path
	servers map[string]bool // on these paths, by ID
	// Load is the planned load of the paths, relative to what they can sustain.
	Load float64
	// Reason states why there are no paths, "" if there are.
	Reason string
}

// Reasons for which a plan has no paths.
const (
	ReasonNoDemand = "no long prompts"
	ReasonNoRest   = "no capacity for the others"
	ReasonTooMany  = "too many long prompts"
	ReasonNoPath   = "no path"
)

// Active reports whether long prompts have paths of their own.
func (p *LongPlan) Active() bool { return len(p.Paths) > 0 }

// Equal reports whether two plans have the same paths.
func (p *LongPlan) Equal(o *LongPlan) bool {
	return slices.EqualFunc(p.Paths, o.Paths, func(a, b site.Path) bool { return a.String() == b.String() })
}

// Partition moves the candidates for a request to the front, those on the paths of long prompts
// for a long one and the others for a short one, and returns their number.
func (p *LongPlan) Partition(cs []Candidate, long bool) int {
	n := len(cs)
	for i := 0; i < n; {
		if p.servers[cs[i].Server.ID] == long {
			i++
			continue
		}
		n--
		cs[i], cs[n] = cs[n], cs[i]
	}
	return n
}

// PlanLongPrompts returns the paths for the long prompts of a fleet: as few as their prefill and
// memory need, beginning with the slowest for typical requests that processes a long prompt well
// within its objective, or the fastest if none does. requests is the number of requests in flight of all daemons, 0 if
// unknown, and used the previous plan. Of the candidates' loads only the Slowdown is used.
func PlanLongPrompts(e *site.Engine, candidates []Candidate, d LongDemand, requests float64, used *LongPlan) LongPlan {
	if d.PerSecond <= 0 {
		return LongPlan{Reason: ReasonNoDemand}
	}
	p := newLongPlanner(e, candidates, d)
	restLoad, longLoad := maxRestLoad, maxLongLoad
	if used.Active() {
		restLoad, longLoad = maxUsedRestLoad, maxUsedLongLoad
	}
	total := totalCapacity(e, candidates)
	minRest := max((1-maxLongCapacity)*total, requests/restLoad)
	plan := LongPlan{servers: map[string]bool{}, Reason: ReasonNoPath}
	sustained, target := 0.0, 0.0
	for target < d.neededRate(len(plan.Paths), len(used.Paths)) {
		c, ds := p.next()
		if ds == nil {
			break
		}
		if rest := totalCapacity(e, p.without(c.Path)); rest < minRest || rest <= 0 {
			plan.Reason = ReasonNoRest
			break
		}
		p.take(c.Path, ds)
		plan.Paths = append(plan.Paths, c.Path)
		for _, h := range c.Path {
			plan.servers[h.Server.ID] = true
		}
		s, t := p.rates(c.Path)
		sustained, target = sustained+s, target+t
	}
	if !plan.Active() {
		return LongPlan{Reason: plan.Reason}
	}
	plan.Load, plan.Reason = d.atLeast(2)/sustained, ""
	if plan.Load > longLoad {
		return LongPlan{Reason: ReasonTooMany, Load: plan.Load}
	}
	return plan
}

// neededRate returns the rate for which paths are needed. n of them are selected, and used ones
// are in use.
func (d LongDemand) neededRate(n, used int) float64 {
	if n < used {
		return keepPathDemand * d.atLeast(1)
	}
	return d.atLeast(1)
}

// longPlanner selects the paths of long prompts one by one.
type longPlanner struct {
	engine  *site.Engine
	demand  LongDemand
	rest    []Candidate // not on a selected path
	domains []*domainState
}

func newLongPlanner(e *site.Engine, candidates []Candidate, d LongDemand) *longPlanner {
	p := &longPlanner{engine: e, demand: d, rest: slices.Clone(candidates)}
	fast := make([]Candidate, 0, len(candidates))
	for i := range p.rest {
		c := &p.rest[i]
		if c.Load.Slowdown <= maxLongSlowdown {
			fast = append(fast, Candidate{Server: c.Server})
		}
	}
	p.domains = newSplitter(e, fast).domains
	return p
}

// next returns the next path and its failure domain, nil if there is none.
func (p *longPlanner) next() (best Choice, in *domainState) {
	bestDuration, bestInTime := 0.0, false
	for _, ds := range p.domains {
		if !ds.bestValid {
			p.update(ds)
		}
		if ds.noPath {
			continue
		}
		duration := ds.best.FirstMS + ds.best.StepMS*float64(p.engine.Answer)
		inTime := p.predict(ds.best.Path).FirstMS <= p.maxFirstMS()
		better := inTime && !bestInTime
		if inTime == bestInTime {
			better = inTime && duration > bestDuration || !inTime && duration < bestDuration
		}
		if in == nil || better {
			best, in, bestDuration, bestInTime = ds.best, ds, duration, inTime
		}
	}
	return best, in
}

func (p *longPlanner) update(ds *domainState) {
	c, err := Choose(&Query{Engine: p.engine, Tokens: TypicalRequest(p.engine)}, ds.cs, nil)
	ds.best, ds.bestValid, ds.noPath = c, true, errors.Is(err, ErrNoPath)
}

// maxFirstMS returns the time within which a path without load should process a long prompt.
func (p *longPlanner) maxFirstMS() float64 {
	if p.demand.Objective <= 0 {
		return maxLongFirstMS
	}
	return min(maxLongFirstMS, longFirstShare*float64(p.demand.Objective)/float64(time.Millisecond))
}

// predict returns the times of a long prompt on a path without load.
func (p *longPlanner) predict(path site.Path) Choice {
	steps := make([]step, len(path))
	for i, h := range path {
		steps[i] = step{cand: &Candidate{Server: h.Server}, run: h.Layers}
	}
	return predict(&Query{Engine: p.engine, Tokens: p.tokens()}, steps)
}

func (p *longPlanner) tokens() Tokens {
	return Tokens{Prompt: p.demand.Tokens, Answer: float64(p.engine.Answer)}
}

// without returns the remaining candidates that are not on a path.
func (p *longPlanner) without(path site.Path) []Candidate {
	return slices.DeleteFunc(slices.Clone(p.rest), func(c Candidate) bool { return path.Uses(c.Server.ID) })
}

// take removes the backend servers of a path.
func (p *longPlanner) take(path site.Path, ds *domainState) {
	p.rest = p.without(path)
	ds.cs = slices.DeleteFunc(ds.cs, func(c Candidate) bool { return path.Uses(c.Server.ID) })
	ds.bestValid = false
}

// rates returns how many long prompts per second a path can sustain, and how many are planned.
// All hops of a path process prompts at once, so the slowest hop determines the rate.
func (p *longPlanner) rates(path site.Path) (sustained, target float64) {
	c := p.predict(path)
	tokens := p.tokens()
	durationMS := c.FirstMS + c.StepMS*tokens.Answer
	byPrefill, byKV := math.Inf(1), math.Inf(1)
	for _, h := range path {
		byPrefill = min(byPrefill, 1000/HopPrefillMS(p.engine, h.Server.Kind, h.Layers.Len(), tokens.Prompt))
		held := p.engine.KVCapacity(h.Server.Kind, h.Server.Held.Len()) / (tokens.Mean() * float64(h.Layers.Len()))
		byKV = min(byKV, held*1000/durationMS)
	}
	return min(byPrefill, byKV), min(targetPrefillLoad*byPrefill, targetLongKV*byKV)
}
