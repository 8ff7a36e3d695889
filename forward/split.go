package forward

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// splits holds the split of each service. See pipeline.Split. It is safe for concurrent
// use.
type splits struct {
	mu        sync.Mutex
	byService map[string]*split
}

// split is the split of one service and the state for which it was computed.
type split struct {
	parts    [partCount]pipeline.Rotation
	plan     *pipeline.LongPlan // for which the rotations of shortPart and longPart were computed, nil for none
	view     *inventory.View
	usable   int       // number of usable backend servers
	slow     int       // version of the slowdowns, see conditions.slowVersion
	needed   bool      // requests follow the split
	requests float64   // in flight
	at       time.Time // when the split was computed
}

// part is the part of the backend servers over which requests are split.
type part int

const (
	allParts  part = iota // all backend servers
	shortPart             // those that are on no path of long prompts
	longPart              // those on the paths of long prompts
	partCount
)

// Intervals of a split.
const (
	// splitInterval is the time after which a split is recomputed if the number of
	// requests has changed by more than the fraction splitLoadThreshold. A computation
	// takes about 1.2 ms of processor time with 165 backend servers.
	splitInterval      = 2 * time.Second
	splitLoadThreshold = 0.15
	// minSplitInterval is the minimum time between two computations for any reason.
	minSplitInterval = 250 * time.Millisecond
)

func newSplits() *splits { return &splits{byService: map[string]*split{}} }

// nextBySplit returns the next path of the split over a part that has capacity, if any. plan
// holds the paths of long prompts, nil for allParts.
func (f *Forwarder) nextBySplit(
	q *pipeline.Query, service string, view *inventory.View, cs []pipeline.Candidate, now time.Time, plan *pipeline.LongPlan, p part,
) (pipeline.Choice, bool) {
	f.splits.mu.Lock()
	defer f.splits.mu.Unlock()
	s := f.splits.byService[service]
	if s == nil {
		s = &split{}
		f.splits.byService[service] = s
	}
	if shares := f.renewSplit(s, q.Engine, service, view, now, f.splitDraws.next); shares != nil {
		f.logSplit(service, s, shares)
	}
	if !s.needed {
		return pipeline.Choice{}, false
	}
	if plan != nil && s.plan != plan {
		f.splitByLength(s, q.Engine, service, view, plan, now)
	}
	return s.parts[p].Next(q, cs, f.loads.othersLoadAge(now))
}

// peekSplit returns the paths of the split as nextBySplit would find them, the next one first. It
// changes neither the split nor its rotations. There are none if requests do not follow a split.
func (f *Forwarder) peekSplit(
	q *pipeline.Query, service string, view *inventory.View, cs []pipeline.Candidate, now time.Time, plan *pipeline.LongPlan, p part,
) []pipeline.Turn {
	var s split
	f.splits.mu.Lock()
	if current := f.splits.byService[service]; current != nil {
		s = *current
		for i := range s.parts {
			s.parts[i] = current.parts[i].Clone()
		}
	}
	f.splits.mu.Unlock()
	f.renewSplit(&s, q.Engine, service, view, now, f.splitDraws.peek)
	if !s.needed {
		return nil
	}
	if plan != nil && s.plan != plan {
		f.splitByLength(&s, q.Engine, service, view, plan, now)
	}
	return s.parts[p].Turns(q, cs, f.loads.othersLoadAge(now))
}

// needed reports whether the requests of a service follow a split.
func (s *splits) needed(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := s.byService[service]
	return sp != nil && sp.needed
}

// renewSplit recomputes a split if it is outdated. It returns the new shares, nil if there are
// none. draw returns the source of the first credits of new paths.
func (f *Forwarder) renewSplit(s *split, e *site.Engine, service string, view *inventory.View, now time.Time, draw func() *rand.Rand) []pipeline.Share {
	since := now.Sub(s.at)
	if since < minSplitInterval {
		return nil
	}
	all := f.usableServers(view, service, e, now)
	requests := f.requestsInFlight(all, now)
	slow := f.loads.conditions.slowVersion()
	same := s.view == view && s.usable == len(all) && s.slow == slow
	if same && (since < splitInterval || math.Abs(requests-s.requests) <= splitLoadThreshold*s.requests) {
		return nil
	}
	s.view, s.usable, s.slow, s.requests, s.at = view, len(all), slow, requests, now
	s.needed = pipeline.NeedsSplit(e, all, f.fleet.Daemons())
	if !s.needed {
		return nil
	}
	shares := pipeline.Split(e, all, pipeline.Demand{Requests: requests, Domains: f.fleet.Shares()}, f.opts.FailureDomain)
	s.parts[allParts].SetShares(shares, draw())
	s.plan = nil
	return shares
}

// splitByLength splits the requests over the paths of long prompts and over the others.
func (f *Forwarder) splitByLength(s *split, e *site.Engine, service string, view *inventory.View, plan *pipeline.LongPlan, now time.Time) {
	all := f.usableServers(view, service, e, now)
	d := pipeline.Demand{Requests: s.requests, Domains: f.fleet.Shares()}
	for _, p := range []part{shortPart, longPart} {
		own := all[:plan.Partition(all, p == longPart)]
		s.parts[p].SetShares(pipeline.Split(e, own, d, f.opts.FailureDomain), newRand())
	}
	s.plan = plan
}

// requestsInFlight returns the number of requests in flight of all daemons at some backend
// servers, 0 while the other daemons' loads are unknown.
func (f *Forwarder) requestsInFlight(cs []pipeline.Candidate, now time.Time) float64 {
	if f.loads.othersLoadAge(now) == 0 {
		return 0
	}
	daemons := float64(max(1, f.fleet.Daemons()))
	sum := 0.0
	for i := range cs {
		sum += f.loads.Of(cs[i].Server.ID, daemons, now).Heads
	}
	return sum
}

// usableServers returns the backend servers of a service that may be part of a path,
// including those that refused work recently without a pause.
func (f *Forwarder) usableServers(view *inventory.View, service string, e *site.Engine, now time.Time) []pipeline.Candidate {
	var out []pipeline.Candidate
	for _, s := range view.OfService(service) {
		if f.isUsable(s, e, now) && !f.isPaused(s.ID, now) {
			out = append(out, pipeline.Candidate{Server: s, Load: pipeline.Load{Slowdown: f.loads.conditions.of(s.ID).Slowdown}})
		}
	}
	return out
}

// logSplit logs a summary of a split. Each path is logged with the requests that take it.
func (f *Forwarder) logSplit(service string, s *split, shares []pipeline.Share) {
	heads := map[string]bool{}
	widest := pipeline.Share{}
	for _, sh := range shares {
		heads[sh.Choice.Path[0].Server.ID] = true
		if sh.Rate > widest.Rate {
			widest = sh
		}
	}
	f.log.Add("split", "service", service, "requests", int(s.requests), "backends", s.usable, "paths", len(shares), "heads", len(heads),
		"widest", math.Round(100*widest.Rate)/100, "widest_path", widest.Choice.Path.String(), "lasts_ms", int(widest.DurationMS))
}
