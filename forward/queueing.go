package forward

import (
	"maps"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/site"
)

// assumedQueue is the number of requests that a plain backend server is assumed to hold,
// running and queued, as a multiple of its slots.
const assumedQueue = 2

// sheddingTTL is the time from a statement of a pause in which a backend server is assumed
// not to queue requests.
const sheddingTTL = time.Minute

// shedders holds the backend servers that asked for a pause within sheddingTTL. One request
// too many costs a further pause, and all backend servers of a service may then be paused
// again by the requests that waited for the end of the first pause. It is safe for concurrent
// use.
type shedders struct {
	mu      sync.Mutex
	servers map[string]time.Time // end of sheddingTTL by incarnation
}

func newShedders() *shedders { return &shedders{servers: map[string]time.Time{}} }

// add records that a backend server asked for a pause.
func (s *shedders) add(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[id] = now.Add(sheddingTTL)
}

// has reports whether a backend server asked for a pause recently.
func (s *shedders) has(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.servers[id])
}

// prune removes backend servers whose time is over or that are not known.
func (s *shedders) prune(known map[string]*site.BackendServer, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.servers, func(id string, until time.Time) bool { return known[id] == nil || !now.Before(until) })
}

// fullAt returns the number of requests in progress at which a plain backend server is full,
// 0 if there is none.
func (f *Forwarder) fullAt(s *site.BackendServer, now time.Time) float64 {
	if f.shedders.has(s.ID, now) {
		return float64(s.Slots)
	}
	return assumedQueue * float64(s.Slots)
}
