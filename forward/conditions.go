package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/site"
)

// conditions keeps which backend servers are slow or crowded by their own word, as the
// daemons of the fleet tell each other, and which this daemon suspects of it.
//
// A card that takes twelve times as long holds up all streams that pass it, and a daemon
// that sees two requests a second does not find out by them which of eleven hops it is: the
// hops of a stream whose events come late again and again are suspects, one daemon of the
// fleet asks them, and all take the answer. With 28 of 222 cards slowed so for nine seconds,
// 415 requests were late in eight of them instead of 1,246.
//
// A first hop fills up within a second, while what the daemons know of each other's loads
// is several seconds old and leaves out requests of daemons that have ended: after a start
// of 73 daemons some heads had 30 to 90 requests waiting and others room, by turns, for
// twenty seconds. With the cards' own word 0.84 to 0.98 of the worth of these seconds was
// served instead of 0.66 to 0.92 (worth +0.021 +- 0.008 over five days).
//
// It is safe for concurrent use.
type conditions struct {
	mu        sync.Mutex
	known     map[string]relay.Condition // slow and crowded ones, by their own word
	version   int                        // grows when the slow ones change
	suspects  map[string]bool            // not told yet
	suspected map[string]time.Time
	usual     float64 // pause between two events over the predicted step, on average
	pauses    int     // of which usual was learnt
}

// Bounds of suspicion.
const (
	// lateFactor is how many times the usual pause, for the predicted step, makes a pause
	// late, and lateInRow how many such make a stream's hops suspects. One alone is often
	// late, since prompts are read between events: suspected at each, the cards of a
	// site of 41 were asked 2,000 times a day, which cost more than it gained.
	lateFactor = 1.6
	lateInRow  = 3
	// usualGain is the weight of a new pause in what is usual, once usualFrom have been
	// seen: at a hundred events a second it takes five seconds to get used to others.
	usualGain = 0.002
	usualFrom = 50
	// suspectAgain is the time after which a backend server is suspected again: the
	// daemon that asks looks after slow ones by itself.
	suspectAgain = time.Second
	// suspectsMost bounds the suspects that wait to be told.
	suspectsMost = 64
)

func newConditions() *conditions {
	return &conditions{known: map[string]relay.Condition{}, suspects: map[string]bool{}, suspected: map[string]time.Time{}}
}

// of returns the condition of a backend server, the zero Condition if it is not known to
// be slow or crowded.
func (s *conditions) of(id string) relay.Condition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[id]
}

// changes returns a number that grows when the slow ones change.
func (s *conditions) changes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// late learns from a pause between two events of a stream, over the predicted step of
// its path, and reports whether it was late.
func (s *conditions) late(pause time.Duration, stepMS float64) bool {
	if stepMS <= 0 {
		return false
	}
	ratio := float64(pause) / float64(time.Millisecond) / stepMS
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauses++
	if s.pauses <= usualFrom {
		s.usual += (ratio - s.usual) / float64(s.pauses)
		return false
	}
	most := lateFactor * s.usual
	s.usual += usualGain * (min(most, ratio) - s.usual)
	return ratio > most
}

// suspect notes the hops of a stream whose events come late.
func (s *conditions) suspect(path site.Path, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range path {
		id := h.Server.ID
		if now.Sub(s.suspected[id]) < suspectAgain || len(s.suspects) >= suspectsMost {
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

// TakeConditions implements relay.LoadBook.
func (l *Loads) TakeConditions(known map[string]relay.Condition) {
	s := l.conditions
	s.mu.Lock()
	before := s.known
	s.known = known
	changed := !maps.Equal(slowdowns(before), slowdowns(known))
	if changed {
		s.version++
	}
	s.mu.Unlock()
	l.noteConditions(known, changed)
}

// slowdowns returns how many times longer the slow ones take.
func slowdowns(known map[string]relay.Condition) map[string]float64 {
	out := map[string]float64{}
	for id, c := range known {
		if c.Slowdown > 0 {
			out[id] = c.Slowdown
		}
	}
	return out
}

// noteConditions writes what this daemon believes now of slow backend servers, if that
// has changed, and how many are crowded.
func (f *Forwarder) noteConditions(known map[string]relay.Condition, slowChanged bool) {
	crowded := 0
	for _, c := range known {
		if c.Waiting > 0 || c.Full > 0 {
			crowded++
		}
	}
	if n := int64(crowded); f.crowded.Swap(n) != n {
		f.log.Add("crowded", "backends", crowded)
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

// Condition implements relay.Asker: it asks a backend server how it is.
func (f *Forwarder) Condition(ctx context.Context, id string) (relay.Condition, error) {
	s := f.inv.View().Servers[id]
	if s == nil {
		return relay.Condition{}, errUnknownServer
	}
	if _, limited := f.limits.Of(id); limited {
		return relay.Condition{}, ErrNoPermit // its limit bounds what it gets
	}
	r, err := f.ask(ctx, s)
	c := relay.Condition{Slowdown: r.Pace, Waiting: r.Waiting}
	if r.KVTotal > 0 {
		c.Full = r.KVUsed / r.KVTotal
	}
	return c, err
}

// crowdedAbove is the share of a backend server's memory, or of a first hop's slots, as
// far as the daemons know what they have sent there, from which it is asked how it is.
// What they know is seconds old, and leaves out requests of daemons that have ended.
const crowdedAbove = 0.7

// startUnknown is how long after a start of a daemon that ran before any backend server
// may be crowded: those that a daemon ended under go on with its requests, which nobody
// counts, for as long as these last.
const startUnknown = 8 * time.Second

// MaybeCrowded implements relay.Asker. Where nothing was told of the others' loads, as
// after a start of all daemons, any may be. Later only those of services whose requests
// are too few for each daemon to know by them: on sites of eight daemons asking gained
// nothing (-0.004 +- 0.003 of worth over 25 days and seeds).
func (f *Forwarder) MaybeCrowded() []string {
	now, daemons := time.Now(), float64(max(1, f.fleet.Daemons()))
	unknown, view := f.loadsUnknown(now), f.inv.View()
	if view.Config == nil {
		return nil
	}
	var out []string
	for name, svc := range view.Config.Services {
		if svc.Engine == nil || !f.wordCounts(name, now) {
			continue
		}
		for _, s := range view.OfService(name) {
			if s.FailureDomain != f.opts.FailureDomain || s.Held.Len() == 0 {
				continue
			}
			load := f.loads.Of(s.ID, daemons, now)
			most := max(load.KVUsed/max(1, svc.Engine.KVRoom(s.Kind, s.Held.Len())), load.Heads/float64(max(1, s.Slots)))
			if unknown || most >= crowdedAbove {
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
