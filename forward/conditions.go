package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/site"
)

// conditions holds the reported conditions of slow and saturated backend servers, which
// daemons exchange, and the backend servers that this daemon suspects of being slow.
//
// A daemon with few requests cannot determine which hop of a stream is slow. If events of
// a stream are repeatedly late, all its hops become suspects. One daemon of the fleet asks
// the suspects for reports, and all daemons use the result.
//
// A first hop may fill up within a second, while the loads that daemons exchange are
// several seconds old and omit requests of daemons that have ended. Reports of the backend
// servers compensate for this.
//
// It is safe for concurrent use.
type conditions struct {
	mu        sync.Mutex
	known     map[string]relay.Condition // by ID, the reported conditions of slow and saturated backend servers
	version   int                        // incremented when a slowdown changes
	suspects  map[string]bool            // IDs of suspects that TakeSuspects has not returned yet
	suspected map[string]time.Time       // by ID, when a backend server was last suspected
	baseline  float64                    // average ratio of the pause between two events to the predicted step
	samples   int                        // number of pauses observed
}

// Bounds of suspicion.
const (
	// lateFactor is the multiple of the average ratio above which a pause is late.
	// lateThreshold is the number of consecutive late pauses from which a stream's hops
	// are suspects. A single pause is often late, because prompts are processed between
	// events, and a report at each late pause would cost more than it gains.
	lateFactor    = 1.6
	lateThreshold = 3
	// baselineGain is the weight of a new pause in the average after the first
	// minSamples.
	baselineGain = 0.002
	minSamples   = 50
	// resuspectInterval is the minimum time between two suspicions of one backend server.
	resuspectInterval = time.Second
	// maxSuspects is the maximum number of suspects that TakeSuspects has not returned
	// yet.
	maxSuspects = 64
)

func newConditions() *conditions {
	return &conditions{known: map[string]relay.Condition{}, suspects: map[string]bool{}, suspected: map[string]time.Time{}}
}

// of returns the condition of a backend server, the zero Condition if it is not known to
// be slow or saturated.
func (c *conditions) of(id string) relay.Condition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known[id]
}

// slowVersion returns a number that grows whenever a slowdown changes.
func (c *conditions) slowVersion() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// late updates the average with a pause between two events and reports whether the pause
// was late. stepMS is the predicted step of the path, 0 if unknown.
func (c *conditions) late(pause time.Duration, stepMS float64) bool {
	if stepMS <= 0 {
		return false
	}
	ratio := float64(pause) / float64(time.Millisecond) / stepMS
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples++
	if c.samples <= minSamples {
		c.baseline += (ratio - c.baseline) / float64(c.samples)
		return false
	}
	threshold := lateFactor * c.baseline
	c.baseline += baselineGain * (min(threshold, ratio) - c.baseline)
	return ratio > threshold
}

// suspect adds the hops of a path to the suspects.
func (c *conditions) suspect(path site.Path, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range path {
		id := h.Server.ID
		if now.Sub(c.suspected[id]) < resuspectInterval || len(c.suspects) >= maxSuspects {
			continue
		}
		c.suspected[id] = now
		c.suspects[id] = true
	}
}

// prune removes backend servers that are gone.
func (c *conditions) prune(known map[string]*site.BackendServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.suspected {
		if known[id] == nil {
			delete(c.suspected, id)
		}
	}
}

// TakeSuspects implements relay.LoadExchange: it returns and removes the suspects.
func (l *Loads) TakeSuspects() []string {
	c := l.conditions
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]string, 0, len(c.suspects))
	for id := range c.suspects {
		out = append(out, id)
	}
	clear(c.suspects)
	return out
}

// SetConditions implements relay.LoadExchange: it replaces the known conditions.
func (l *Loads) SetConditions(known map[string]relay.Condition) {
	c := l.conditions
	c.mu.Lock()
	before := c.known
	c.known = known
	changed := !maps.Equal(slowdowns(before), slowdowns(known))
	if changed {
		c.version++
	}
	c.mu.Unlock()
	l.onConditions(known, changed)
}

// slowdowns returns the slowdowns of the slow backend servers by ID.
func slowdowns(known map[string]relay.Condition) map[string]float64 {
	out := map[string]float64{}
	for id, c := range known {
		if c.Slowdown > 0 {
			out[id] = c.Slowdown
		}
	}
	return out
}

// noteConditions logs the number of saturated backend servers if it has changed, and the
// slow backend servers if a slowdown has changed.
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

// Condition implements relay.ConditionReader: it asks a backend server for a report.
func (f *Forwarder) Condition(ctx context.Context, id string) (relay.Condition, error) {
	s := f.inv.View().Servers[id]
	if s == nil {
		return relay.Condition{}, errUnknownServer
	}
	if _, limited := f.limits.Of(id); limited {
		return relay.Condition{}, ErrNoPermit // reports would use up its limit
	}
	if f.isPaused(id, time.Now()) {
		return relay.Condition{}, ErrNotAccepting
	}
	r, err := f.ask(ctx, s)
	c := relay.Condition{Slowdown: r.Slowdown, Waiting: r.Waiting}
	if r.KVTotal > 0 {
		c.MemoryUsed = r.KVUsed / r.KVTotal
	}
	return c, err
}

// saturationThreshold is the fraction of a backend server's memory, or of a first hop's
// slots, that is used by the known loads from which the server is asked for a report. Known
// loads are seconds old and omit requests of daemons that have ended.
const saturationThreshold = 0.7

// startupGrace is the time after the start of a daemon during which any backend server
// may be saturated: it may still be running requests of previous processes, which no
// daemon counts.
const startupGrace = 8 * time.Second

// MaybeSaturated implements relay.ConditionReader. While the loads of other daemons are
// unknown, as after a restart of the fleet, it returns all backend servers of this
// daemon's failure domain that hold layers. Later it returns only the nearly full ones of
// services with too few requests per daemon to spread them without reports.
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

// DomainOf implements relay.ConditionReader.
func (f *Forwarder) DomainOf(id string) string {
	if s := f.inv.View().Servers[id]; s != nil {
		return s.FailureDomain
	}
	return ""
}
