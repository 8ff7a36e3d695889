package forward

import (
	"math"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// splits keeps for each service how its requests are spread over paths. It is safe
// for concurrent use.
type splits struct {
	mu        sync.Mutex
	byService map[string]*split
}

type split struct {
	spread   pipeline.Spread
	view     *inventory.View
	usable   int  // backend servers of which it was made
	slow     int  // the version of those known to be slow
	needed   bool // requests follow it
	requests float64
	at       time.Time
}

// Times of a split.
const (
	// splitEvery is the time after which a split is made anew if the load has changed
	// by splitChange: it costs 1.2 ms of processor time at 165 backend servers.
	splitEvery  = 2 * time.Second
	splitChange = 0.15
	// splitSoonest is the least time between two splits, whatever changes.
	splitSoonest = 250 * time.Millisecond
)

func newSplits() *splits { return &splits{byService: map[string]*split{}} }

// next returns the path whose turn it is, if any of the split has room.
func (f *Forwarder) next(q *pipeline.Query, service string, view *inventory.View, cs []pipeline.Candidate, now time.Time) (pipeline.Choice, bool) {
	f.splits.mu.Lock()
	defer f.splits.mu.Unlock()
	s := f.splits.byService[service]
	if s == nil {
		s = &split{}
		f.splits.byService[service] = s
	}
	f.renew(s, q.Engine, service, view, now)
	if !s.needed {
		return pipeline.Choice{}, false
	}
	return s.spread.Next(q, cs, f.loads.newsAge(now))
}

// needed reports whether the requests of a service follow a split.
func (s *splits) needed(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := s.byService[service]
	return of != nil && of.needed
}

// renew makes a split anew where it is due.
func (f *Forwarder) renew(s *split, e *site.Engine, service string, view *inventory.View, now time.Time) {
	since := now.Sub(s.at)
	if since < splitSoonest {
		return
	}
	all := f.alive(view, service, e, now)
	requests := f.inFlight(all, now)
	slow := f.loads.conditions.changes()
	same := s.view == view && s.usable == len(all) && s.slow == slow
	if same && (since < splitEvery || math.Abs(requests-s.requests) <= splitChange*s.requests) {
		return
	}
	s.view, s.usable, s.slow, s.requests, s.at = view, len(all), slow, requests, now
	s.needed = pipeline.NeedsSplit(e, all, f.fleet.Daemons())
	if !s.needed {
		return
	}
	shares := pipeline.Split(e, all, pipeline.Demand{Requests: requests, Domains: f.fleet.Shares()}, f.opts.FailureDomain)
	s.spread.Take(shares, newRand())
	f.logSplit(service, s, shares)
}

// inFlight returns how many requests of all daemons the backend servers run, 0 while
// the others have told nothing.
func (f *Forwarder) inFlight(of []pipeline.Candidate, now time.Time) float64 {
	if f.loads.newsAge(now) == 0 {
		return 0
	}
	daemons := float64(max(1, f.fleet.Daemons()))
	sum := 0.0
	for i := range of {
		sum += f.loads.Of(of[i].Server.ID, daemons, now).Heads
	}
	return sum
}

// alive returns the backend servers of a service that may be on a path, also those
// that refused work a moment ago.
func (f *Forwarder) alive(view *inventory.View, service string, e *site.Engine, now time.Time) []pipeline.Candidate {
	var out []pipeline.Candidate
	for _, s := range view.OfService(service) {
		if f.takesWork(s, e, now) {
			out = append(out, pipeline.Candidate{Server: s, Load: pipeline.Load{Slowdown: f.loads.conditions.of(s.ID).Slowdown}})
		}
	}
	return out
}

// logSplit writes one line: the paths themselves stand in the lines of the requests
// that take them.
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
		"widest", math.Round(100*widest.Rate)/100, "widest_path", widest.Choice.Path.String(), "lasts_ms", int(widest.LastsMS))
}
