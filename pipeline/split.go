package pipeline

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/snowspoke/snowspoke/site"
)

// A split says over which paths the requests of a whole fleet are to be spread, and
// in which proportions. It answers the load of many daemons that see few requests
// each: what a daemon knows of the others is seconds old, and if each took the path
// that looks cheapest, all would take the same one, leave it together when the news
// of it came and return together (one head got 173, 113, 0, 0, 142 and 219 requests
// in successive seconds). A split follows from what lies where and from the size of
// the load alone, so all daemons compute nearly the same one, and it does not swing
// however old the news are.

// Bounds of a split.
const (
	// splitSlices is into how many parts the load is cut, each of which takes the
	// path that is cheapest when the parts before it are there. A site has at most a
	// few dozen heads.
	splitSlices = 64
	// splitFullFrom is the share of a card's memory, or of a head's slots, from which
	// a split prefers other paths: the sizes of requests vary by half and their number
	// by its root, so a card that is meant to be fuller is full at times.
	splitFullFrom = 0.6
	// leastLoad is the share of the room for which a split is made at least: what is
	// told of the load is seconds old, and a split for more than there is only spreads
	// wider than it must. Made for the load as told, splits used two heads of 19 for
	// the first twelve seconds of a day, and a quarter of the requests was late.
	leastLoad = 0.6
	// enoughAtHead is how many requests of its own a daemon has at a head, on average,
	// where it spreads them better by what it sees of them than by a split. With six
	// daemons and seven at a head a split lost 0.04 of worth over five days of trouble;
	// with 59 daemons and one at a head it gained 0.07 over two days, with 295 and a
	// third of one 0.18 over four.
	enoughAtHead = 4
)

// NeedsSplit reports whether the daemons of a fleet see too few requests each to
// spread them by what they see.
func NeedsSplit(e *site.Engine, candidates []Candidate, daemons int) bool {
	heads := 0
	for _, c := range candidates {
		if c.Server.Held.Has(0) {
			heads++
		}
	}
	return leastLoad*room(e, candidates) < enoughAtHead*float64(heads*daemons)
}

// room returns how many usual requests candidates hold at once.
func room(e *site.Engine, candidates []Candidate) float64 {
	cards := make([]Card, len(candidates))
	for i, c := range candidates {
		cards[i] = Card{Server: c.Server, Ordered: c.Server.Held}
	}
	return float64(BoundOf(e, cards).Requests)
}

// Demand is the load of which a split is made.
type Demand struct {
	// Requests are those in flight at once, of all daemons, 0 while not known.
	Requests float64
	// Domains are the shares of the failure domains of the daemons that carry them.
	Domains map[string]float64
}

// Share is a path of a split.
type Share struct {
	Choice Choice
	// Rate is the share's part of the requests that begin in the failure domain.
	Rate float64
	// Heads are the requests that the whole fleet is meant to have in flight at the
	// path's first hop.
	Heads float64
	// LastsMS is how long a request is predicted to take.
	LastsMS float64
}

// Split returns the paths for requests of a failure domain, in the order of their
// names. Candidates are all backend servers that may take work; of their loads only how
// slow they are is looked at.
func Split(e *site.Engine, candidates []Candidate, d Demand, near string) []Share {
	s := newSplitter(e, candidates)
	slice := max(d.Requests, leastLoad*room(e, candidates)) / splitSlices
	for _, domain := range turns(d) {
		s.place(domain, slice)
	}
	return s.sharesOf(near)
}

// turns returns the failure domain of each slice; the domains take turns, each as
// often as its share wants.
func turns(d Demand) []string {
	names := slices.Sorted(maps.Keys(d.Domains))
	credit := map[string]float64{}
	out := make([]string, 0, splitSlices)
	for range splitSlices {
		best := ""
		for _, name := range names {
			credit[name] += d.Domains[name]
			if best == "" || credit[name] > credit[best] {
				best = name
			}
		}
		if best == "" {
			return out
		}
		credit[best]--
		out = append(out, best)
	}
	return out
}

// splitter lays slices of the load on paths, one after the other.
type splitter struct {
	engine *site.Engine
	tokens Tokens
	lanes  []*lane
	parts  map[string]map[string]*part // by failure domain of the requests and path
}

// lane holds the backend servers of one failure domain with what was laid on them. A
// path stays within a lane, so that a slice changes the cheapest path of its own lane
// alone: looking for it among all candidates took eight times as long.
type lane struct {
	domain string // "" for all of them
	cs     []Candidate
	index  map[string]int // of cs, by ID
	best   Choice
	known  bool // best is the cheapest path
	closed bool // there is no path
}

// part is what one failure domain has on a path.
type part struct {
	lane     *lane
	path     site.Path
	requests float64
}

func newSplitter(e *site.Engine, candidates []Candidate) *splitter {
	s := &splitter{engine: e, tokens: Usual(e), parts: map[string]map[string]*part{}}
	cs := slices.Clone(candidates)
	slices.SortFunc(cs, func(a, b Candidate) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	byDomain := map[string][]Candidate{}
	for _, c := range cs {
		byDomain[c.Server.FailureDomain] = append(byDomain[c.Server.FailureDomain], c)
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		s.addLane(domain, byDomain[domain])
	}
	if len(s.lanes) == 0 {
		s.addLane("", cs) // no failure domain holds all layers
	}
	return s
}

// addLane adds a lane if there is a path in it.
func (s *splitter) addLane(domain string, cs []Candidate) {
	l := &lane{domain: domain, cs: cs, index: map[string]int{}}
	for i := range cs {
		cs[i].Load = Load{Slowdown: cs[i].Load.Slowdown}
		l.index[cs[i].Server.ID] = i
	}
	s.renew(l)
	if !l.closed {
		s.lanes = append(s.lanes, l)
	}
}

// renew looks for the cheapest path of a lane.
func (s *splitter) renew(l *lane) {
	q := &Query{Engine: s.engine, Tokens: s.tokens, FullFrom: splitFullFrom}
	c, err := Choose(q, l.cs, nil)
	l.best, l.known, l.closed = c, true, errors.Is(err, ErrNoPath)
}

// place lays a slice of a failure domain's requests on the path that is cheapest for
// them now. Where there is no path nothing is placed: once all heads of a lane have
// requests for all their slots it has none any more.
func (s *splitter) place(domain string, requests float64) {
	var best *lane
	least := 0.0
	for _, l := range s.lanes {
		if !l.known {
			s.renew(l)
		}
		if l.closed {
			continue
		}
		cost := l.best.Cost
		if l.domain != domain {
			cost += nearCostMS
		}
		if best == nil || cost < least {
			best, least = l, cost
		}
	}
	if best == nil {
		return
	}
	s.lay(best, requests)
	s.add(domain, best, requests)
	best.known = false
}

// lay counts requests in on the cheapest path of a lane.
func (s *splitter) lay(l *lane, requests float64) {
	for i, h := range l.best.Path {
		load := &l.cs[l.index[h.Server.ID]].Load
		load.Running += requests
		if i == 0 {
			load.Heads += requests
		}
		load.KVUsed += requests * s.tokens.Mean() * float64(h.Layers.Len())
	}
}

func (s *splitter) add(domain string, l *lane, requests float64) {
	of := s.parts[domain]
	if of == nil {
		of = map[string]*part{}
		s.parts[domain] = of
	}
	key := l.best.Path.String()
	if of[key] == nil {
		of[key] = &part{lane: l, path: l.best.Path}
	}
	of[key].requests += requests
}

// sharesOf returns what a failure domain has on its paths, in the order of their
// names. A path gets requests at the rate at which those that it is meant to hold end.
func (s *splitter) sharesOf(domain string) []Share {
	parts := s.parts[domain]
	out := make([]Share, 0, len(parts))
	sum := 0.0
	for _, key := range slices.Sorted(maps.Keys(parts)) {
		sh := s.shareOf(parts[key])
		sum += sh.Rate
		out = append(out, sh)
	}
	for i := range out {
		out[i].Rate /= sum
	}
	return out
}

func (s *splitter) shareOf(p *part) Share {
	steps := make([]step, len(p.path))
	for i, h := range p.path {
		steps[i] = step{cand: &p.lane.cs[p.lane.index[h.Server.ID]], run: h.Layers}
	}
	c := describe(&Query{Engine: s.engine, Tokens: s.tokens}, steps)
	lasts := c.FirstMS + c.StepMS*s.tokens.Answer
	return Share{Choice: c, Rate: p.requests / lasts, LastsMS: lasts, Heads: steps[0].cand.Load.Heads}
}
