package pipeline

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/snowspoke/snowspoke/site"
)

// A split assigns the requests of a fleet to paths in fixed proportions. It is used if
// many daemons handle few requests each. A daemon receives the loads of the others
// with a delay of seconds. If each daemon took the cheapest path, all would take the
// same one and later leave it together. A split depends only on the layout and the
// total load, so all daemons compute nearly the same split, and it does not oscillate
// with old loads.

// Parameters of a split.
const (
	// splitSlices is the number of slices into which the load is divided. Each slice
	// takes the path that is cheapest under the load of the previous slices. The
	// number exceeds that of a site's heads, at most a few dozen.
	splitSlices = 64
	// splitFullThreshold is the planned usage of a backend server's memory, or of a
	// head's slots, as a fraction, from which a split prefers other paths. The size
	// and the number of requests vary, so a backend server with a higher planned
	// usage would be full at times.
	splitFullThreshold = 0.6
	// minLoadShare is the minimum load for which a split is computed, as a fraction
	// of the total capacity. Reported loads are incomplete after a start. A split for
	// too low a load uses too few heads, while a split for too high a load only uses
	// more paths than needed.
	minLoadShare = 0.6
	// ownRequestsThreshold is the mean number of a daemon's own requests per head
	// from which the daemon spreads them by their load rather than by a split.
	ownRequestsThreshold = 4
)

// NeedsSplit reports whether each daemon of a fleet handles too few requests to spread
// them by their load.
func NeedsSplit(e *site.Engine, candidates []Candidate, daemons int) bool {
	heads := 0
	for _, c := range candidates {
		if c.Server.Held.Has(0) {
			heads++
		}
	}
	return minLoadShare*totalCapacity(e, candidates) < ownRequestsThreshold*float64(heads*daemons)
}

// totalCapacity returns how many typical requests the candidates can hold at once.
func totalCapacity(e *site.Engine, candidates []Candidate) float64 {
	servers := make([]ServerState, len(candidates))
	for i, c := range candidates {
		servers[i] = ServerState{Server: c.Server, Assigned: c.Server.Held}
	}
	return float64(BoundOf(e, servers).Requests)
}

// Demand is the load for which a split is computed.
type Demand struct {
	// Requests is the number of requests in flight of all daemons, 0 if unknown.
	Requests float64
	// Domains maps each failure domain to the fraction of the requests that its
	// daemons handle.
	Domains map[string]float64
}

// Share is a path of a split with its planned load.
type Share struct {
	Choice Choice
	// Rate is the fraction of the failure domain's requests that take the path.
	Rate float64
	// Heads is the planned number of requests of the fleet that begin at the first
	// hop of the path.
	Heads float64
	// DurationMS is the predicted duration of a request, in milliseconds.
	DurationMS float64
}

// Split returns the paths for the requests of daemons in failure domain near, sorted by
// name. candidates are all backend servers that may take work; only the Slowdown of
// their loads is used.
func Split(e *site.Engine, candidates []Candidate, d Demand, near string) []Share {
	s := newSplitter(e, candidates)
	slice := max(d.Requests, minLoadShare*totalCapacity(e, candidates)) / splitSlices
	for _, domain := range sliceDomains(d) {
		s.place(domain, slice)
	}
	return s.sharesOf(near)
}

// sliceDomains returns the failure domain of each slice, by weighted round-robin over
// the shares of the domains.
func sliceDomains(d Demand) []string {
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

// splitter assigns slices of the load to paths one by one.
type splitter struct {
	engine    *site.Engine
	tokens    Tokens
	domains   []*domainState
	pathLoads map[string]map[string]*pathLoad // by failure domain of the requests and path
}

// domainState holds the backend servers of one failure domain and the load assigned
// to them. Paths stay within a domainState. A slice therefore invalidates the cheapest
// path of only one of them, and Split need not search all candidates again.
type domainState struct {
	domain    string // "" for all failure domains
	cs        []Candidate
	index     map[string]int // of cs, by ID
	best      Choice
	bestValid bool // best accounts for the load assigned so far
	noPath    bool // Choose finds no path
}

// pathLoad is the load of one failure domain on a path.
type pathLoad struct {
	state    *domainState
	path     site.Path
	requests float64
}

func newSplitter(e *site.Engine, candidates []Candidate) *splitter {
	s := &splitter{engine: e, tokens: TypicalRequest(e), pathLoads: map[string]map[string]*pathLoad{}}
	cs := slices.Clone(candidates)
	slices.SortFunc(cs, func(a, b Candidate) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	byDomain := map[string][]Candidate{}
	for _, c := range cs {
		byDomain[c.Server.FailureDomain] = append(byDomain[c.Server.FailureDomain], c)
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		s.addDomain(domain, byDomain[domain])
	}
	if len(s.domains) == 0 {
		s.addDomain("", cs) // no failure domain has a path
	}
	return s
}

// addDomain adds a failure domain if it has a path.
func (s *splitter) addDomain(domain string, cs []Candidate) {
	ds := &domainState{domain: domain, cs: cs, index: map[string]int{}}
	for i := range cs {
		cs[i].Load = Load{Slowdown: cs[i].Load.Slowdown}
		ds.index[cs[i].Server.ID] = i
	}
	s.updateBest(ds)
	if !ds.noPath {
		s.domains = append(s.domains, ds)
	}
}

// updateBest finds the cheapest path of a failure domain under the assigned load.
func (s *splitter) updateBest(ds *domainState) {
	q := &Query{Engine: s.engine, Tokens: s.tokens, FullThreshold: splitFullThreshold}
	c, err := Choose(q, ds.cs, nil)
	ds.best, ds.bestValid, ds.noPath = c, true, errors.Is(err, ErrNoPath)
}

// place assigns a slice of a failure domain's requests to the path that is now the
// cheapest for them. It does nothing if there is no path, which is the case once the
// slots of all heads are assigned.
func (s *splitter) place(domain string, requests float64) {
	var best *domainState
	least := 0.0
	for _, ds := range s.domains {
		if !ds.bestValid {
			s.updateBest(ds)
		}
		if ds.noPath {
			continue
		}
		cost := ds.best.Cost
		if ds.domain != domain {
			cost += remoteHeadCostMS
		}
		if best == nil || cost < least {
			best, least = ds, cost
		}
	}
	if best == nil {
		return
	}
	s.assign(best, requests)
	s.addLoad(domain, best, requests)
	best.bestValid = false
}

// assign adds requests to the loads on the cheapest path of a domainState.
func (s *splitter) assign(ds *domainState, requests float64) {
	for i, h := range ds.best.Path {
		load := &ds.cs[ds.index[h.Server.ID]].Load
		load.Running += requests
		if i == 0 {
			load.Heads += requests
		}
		load.KVUsed += requests * s.tokens.Mean() * float64(h.Layers.Len())
	}
}

func (s *splitter) addLoad(domain string, ds *domainState, requests float64) {
	loads := s.pathLoads[domain]
	if loads == nil {
		loads = map[string]*pathLoad{}
		s.pathLoads[domain] = loads
	}
	key := ds.best.Path.String()
	if loads[key] == nil {
		loads[key] = &pathLoad{state: ds, path: ds.best.Path}
	}
	loads[key].requests += requests
}

// sharesOf returns the shares of a failure domain, sorted by path name. The rate of a
// path is proportional to its planned requests divided by their duration.
func (s *splitter) sharesOf(domain string) []Share {
	pathLoads := s.pathLoads[domain]
	out := make([]Share, 0, len(pathLoads))
	sum := 0.0
	for _, key := range slices.Sorted(maps.Keys(pathLoads)) {
		sh := s.shareOfPath(pathLoads[key])
		sum += sh.Rate
		out = append(out, sh)
	}
	for i := range out {
		out[i].Rate /= sum
	}
	return out
}

func (s *splitter) shareOfPath(p *pathLoad) Share {
	steps := make([]step, len(p.path))
	for i, h := range p.path {
		steps[i] = step{cand: &p.state.cs[p.state.index[h.Server.ID]], run: h.Layers}
	}
	c := predict(&Query{Engine: s.engine, Tokens: s.tokens}, steps)
	durationMS := c.FirstMS + c.StepMS*s.tokens.Answer
	return Share{Choice: c, Rate: p.requests / durationMS, DurationMS: durationMS, Heads: steps[0].cand.Load.Heads}
}
