package forward

import (
	"maps"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/health"
	"github.com/snowspoke/snowspoke/site"
)

// Bounds of the silence after which the hops of a stream are probed.
const (
	// defaultFirstProbe and defaultNextProbe apply before the first event and between
	// events, while the head has no history.
	defaultFirstProbe = 250 * time.Millisecond
	defaultNextProbe  = 200 * time.Millisecond
	// minProbeSilence is the shortest silence that triggers a probe. A probe of a path
	// opens a connection to each hop.
	minProbeSilence = 60 * time.Millisecond
	// maxProbeSilence bounds the learned value, so that dead hops are also detected on
	// paths of a slow head.
	maxProbeSilence = 900 * time.Millisecond
)

// silences learns for each head how long its streams are typically silent before the
// first event and between events. A fixed threshold would be too short if events have many
// tokens, so that each event triggers probes of all hops, and too long if they have few. It
// is safe for concurrent use.
type silences struct {
	mu    sync.Mutex
	heads map[string]*silence
}

// silence holds the estimates for one head, before the first event and between events.
type silence struct{ first, next health.Gap }

func newSilences() *silences { return &silences{heads: map[string]*silence{}} }

func (s *silences) of(head string) *silence {
	h := s.heads[head]
	if h == nil {
		h = &silence{}
		s.heads[head] = h
	}
	return h
}

// observe records a pause that ended with an event; first is set for the first event of the
// stream.
func (s *silences) observe(head string, first bool, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.of(head)
	if first {
		h.first.Observe(d)
		return
	}
	h.next.Observe(d)
}

// probeAfter returns the silence after which the hops of a stream are probed; first is set
// before its first event.
func (s *silences) probeAfter(head string, first bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.of(head)
	if first {
		return h.first.Unusual(minProbeSilence, maxProbeSilence, defaultFirstProbe)
	}
	return h.next.Unusual(minProbeSilence, maxProbeSilence, defaultNextProbe)
}

// prune removes backend servers that are gone.
func (s *silences) prune(known map[string]*site.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.heads, func(id string, _ *silence) bool { return known[id] == nil })
}
