package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/site"
)

// conditions holds the slow and saturated backend servers, as they report and as daemons
// send each other, and those that this daemon suspects of being slow.
//
// A daemon that sees few requests cannot tell which hop of a stream is slow. If events of
// a stream are repeatedly late, all its hops become suspects, one daemon of the fleet
// asks them for reports, and all daemons use the result.
//
// A first hop may fill up within a second, while the loads that daemons send each other
// are several seconds old and omit requests of daemons that have ended. Reports of the
// backend servers correct them.
//
// It is safe for concurrent use.
type conditions struct {
	mu        sync.Mutex
	known     map[string]relay.Condition // slow and saturated ones, as they report
	version   int                        // incremented when a slowdown changes
	suspects  map[string]bool            // not sent yet
	suspected map[string]time.Time
	baseline  float64 // average ratio of the pause between two events to the predicted step
	samples   int     // number of pauses observed
}

// Bounds of suspicion.
const (
	// lateFactor is the multiple of the average ratio above which a pause is late, and
	// lateThreshold the number of consecutive late pauses that make a stream's hops
	// suspects. A single pause is often late, because prompts are read between events.
	lateFactor    = 1.6
	lateThreshold = 3
	// baselineGain is the weight of a new pause in the average after the first
	// minSamples.
	baselineGain = 0.002
	minSamples   = 50
	// resuspectInterval is the minimum time between two suspicions of one backend server.
	// Slow ones are checked by the daemon that asks.
	resuspectInterval = time.Second
	// maxSuspects bounds the suspects that are not sent yet.
	maxSuspects = 64
)

func newConditions() *conditions {
	return &conditions{known: map[string]relay.Condition{}, suspects: map[string]bool{}, suspected: map[string]time.Time{}}
}

// of returns the condition of a backend server, the zero Condition if it is not known to
// be slow or saturated.
func (s *conditions) of(id string) relay.Condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[id]
}

// slowVersion returns a number that grows whenever a slowdown changes.
func (s *conditions) slowVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// late updates the average with a pause between two events and reports whether the pause
// was late. stepMS is the predicted step of the path, 0 if unknown.
func (s *conditions) late(pause time.Duration, stepMS float64) bool {
	if stepMS <= 0 {
		return false
	}
	ratio := float64(pause) / float64(time.Millisecond) / stepMS
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples++
	if s.samples <= minSamples {
		s.baseline += (ratio - s.baseline) / float64(s.samples)
		return false
	}
	threshold := lateFactor * s.baseline
	s.baseline += baselineGain * (min(threshold, ratio) - s.baseline)
	return ratio > threshold
}

// suspect adds the hops of a stream whose events are late to the suspects.
func (s *conditions) suspect(path site.Path, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range path {
		id := h.Server.ID
		if now.Sub(s.suspected[id]) < resuspectInterval || len(s.suspects) >= maxSuspects {
			continue
		}
		s.suspected[id] = now
		s.suspects[id] = true
	}
}

func (s *conditions) prune(known map[string]*site.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.suspected {
		if known[id] == nil {
			delete(s.suspected, id)
		}
	}
}

// TakeSuspects implements relay.LoadBook.
func (l *Loads) TakeSuspects() []string {
	s := l.conditions
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.suspects))
	for id := range s.suspects {
		out = append(out, id)
	}
	clear(s.suspects)
	return out
}

// SetConditions implements relay.LoadBook.
func (l *Loads) SetConditions(known map[string]relay.Condition) {
	s := l.conditions
	s.mu.Lock()
	before := s.known
	s.known = known
	changed := !maps.Equal(slowdowns(before), slowdowns(known))
	if changed {
		s.version++
	}
	s.mu.Unlock()
	l.onConditions(known, changed)
}

// slowdowns returns the slowdown factors of the slow backend servers.
func slowdowns(known map[string]relay.Condition) map[string]float64 {
	out := map[string]float64{}
	for id, c := range known {
		if c.Slowdown > 0 {
			out[id] = c.Slowdown
		}
	}
	return out
}

// noteConditions logs the slow backend servers if they have changed, and the number of
// saturated ones if that has.
func (f *Forwarder) noteConditions(known map[string]relay.Condition, slowChanged bool) {
	saturated := 0
	for _, c := range known {
		if c.Waiting > 0 || c.MemoryUsed > 0 {
			saturated++
		}
	}
	if n := int64(saturated); f.saturated.Swap(n) != n {
		f.log.Add("crowded", "backends", saturated)
	}
	if !slowChanged {
		return
	}
	slow, worst := slowdowns(known), ""
	for id, s := range slow {
		if worst == "" || s > slow[worst] {
			worst = id
		}
	}
	f.log.Add("slow", "backends", len(slow), "worst", worst, "slowdown", slow[worst])
}

// Condition implements relay.Asker: it asks a backend server for a report.
func (f *Forwarder) Condition(ctx context.Context, id string) (relay.Condition, error) {
	s := f.inv.View().Servers[id]
	if s == nil {
		return relay.Condition{}, errUnknownServer
	}
	if _, limited := f.limits.Of(id); limited {
		return relay.Condition{}, ErrNoPermit // reports would use up its limit
	}
	r, err := f.ask(ctx, s)
	c := relay.Condition{Slowdown: r.Pace, Waiting: r.Waiting}
	if r.KVTotal > 0 {
		c.MemoryUsed = r.KVUsed / r.KVTotal
	}
	return c, err
}

// saturationThreshold is the known use of a backend server's memory, or of a first hop's
// slots, as a fraction, from which the server is asked for a report. Known loads are
// seconds old and omit requests of daemons that have ended.
const saturationThreshold = 0.7

// startupGrace is the time after the start of a daemon during which any backend server
// may be saturated: those that ran requests of a previous process still run them, and no
// daemon counts these.
const startupGrace = 8 * time.Second

// MaybeSaturated implements relay.Asker. While the loads of other daemons are unknown, as
// after a restart of the fleet, it returns all backend servers of the own failure domain.
// Later it returns the nearly full ones of services that have too few requests for each
// daemon to know their load.
func (f *Forwarder) MaybeSaturated() []string {
	now, daemons := time.Now(), float64(max(1, f.fleet.Daemons()))
	unknown, view := f.loadsUnknown(now), f.inv.View()
	if view.Config == nil {
		return nil
	}
	var out []string
	for name, svc := range view.Config.Services {
		if svc.Engine == nil || !f.useReportedMemory(name, now) {
			continue
		}
		for _, s := range view.OfService(name) {
			if s.FailureDomain != f.opts.FailureDomain || s.Held.Len() == 0 {
				continue
			}
			load := f.loads.Of(s.ID, daemons, now)
			usage := max(load.KVUsed/max(1, svc.Engine.KVCapacity(s.Kind, s.Held.Len())), load.Heads/float64(max(1, s.Slots)))
			if unknown || usage >= saturationThreshold {
				out = append(out, s.ID)
			}
		}
	}
	return out
}

// DomainOf implements relay.Asker.
func (f *Forwarder) DomainOf(id string) string {
	if s := f.inv.View().Servers[id]; s != nil {
		return s.FailureDomain
	}
	return ""
}
