package forward

import (
	"context"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/site"
)

// slowServers keeps which backend servers have become slow, as the daemons of the
// fleet tell each other, and which this daemon suspects of it. A card that takes
// twelve times as long holds up all streams that pass it, and a daemon that sees two
// requests a second does not find out by them which of eleven hops it is: the hops of
// a stream whose events come late again and again are suspects, one daemon of the fleet
// asks them, and all take the answer. With 28 of 222 cards slowed so for nine seconds,
// 415 requests were late in eight of them instead of 1,246. It is safe for concurrent
// use.
type slowServers struct {
	mu        sync.Mutex
	known     map[string]float64 // how many times longer they take
	version   int                // of known
	suspects  map[string]bool    // not told yet
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

func newSlowServers() *slowServers {
	return &slowServers{known: map[string]float64{}, suspects: map[string]bool{}, suspected: map[string]time.Time{}}
}

// of returns how many times longer a backend server takes, 0 if it is not known to be
// slow.
func (s *slowServers) of(id string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[id]
}

// changes returns a number that grows when the slow ones change.
func (s *slowServers) changes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// late learns from a pause between two events of a stream, over the predicted step of
// its path, and reports whether it was late.
func (s *slowServers) late(pause time.Duration, stepMS float64) bool {
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
func (s *slowServers) suspect(path site.Path, now time.Time) {
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

func (s *slowServers) prune(known map[string]*site.BackendServer) {
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
	s := l.slow
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.suspects))
	for id := range s.suspects {
		out = append(out, id)
	}
	clear(s.suspects)
	return out
}

// TakeSlow implements relay.LoadBook.
func (l *Loads) TakeSlow(slow map[string]float64) {
	s := l.slow
	s.mu.Lock()
	s.known = slow
	s.version++
	s.mu.Unlock()
	l.noteSlow(slow)
}

// noteSlowServers writes what this daemon believes now of slow backend servers.
func (f *Forwarder) noteSlowServers(slow map[string]float64) {
	worst := ""
	for id, s := range slow {
		if worst == "" || s > slow[worst] {
			worst = id
		}
	}
	f.log.Add("slow", "backends", len(slow), "worst", worst, "slowdown", slow[worst])
}

// Slowdown implements relay.Asker: it asks a backend server how many times longer it
// takes than usual.
func (f *Forwarder) Slowdown(ctx context.Context, id string) (float64, error) {
	s := f.inv.View().Servers[id]
	if s == nil {
		return 0, errUnknownServer
	}
	r, err := f.ask(ctx, s)
	return r.Pace, err
}

// DomainOf implements relay.Asker.
func (f *Forwarder) DomainOf(id string) string {
	if s := f.inv.View().Servers[id]; s != nil {
		return s.FailureDomain
	}
	return ""
}
