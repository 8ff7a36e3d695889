package quota

import (
	"maps"
	"sync"
	"time"
)

// Window is the period over which calls to a backend server are counted.
const Window = 4 * time.Second

// The window is divided into slots. One extra slot is kept because the current slot is
// incomplete.
const (
	slot      = 250 * time.Millisecond
	slotsKept = int(Window/slot) + 1
)

// slidingCount counts events within the window and up to one slot more.
type slidingCount struct {
	counts [slotsKept]uint32
	slot   int64 // number of the newest slot since the Unix epoch
}

// advance clears the slots that have left the window.
func (r *slidingCount) advance(now time.Time) {
	at := now.UnixNano() / int64(slot)
	for n := max(r.slot+1, at-int64(slotsKept)+1); n <= at; n++ {
		r.counts[n%int64(slotsKept)] = 0
	}
	r.slot = max(r.slot, at)
}

func (r *slidingCount) add(now time.Time) {
	r.advance(now)
	r.counts[r.slot%int64(slotsKept)]++
}

func (r *slidingCount) sum(now time.Time) int {
	r.advance(now)
	n := 0
	for _, c := range r.counts {
		n += int(c)
	}
	return n
}

// Sends counts the calls of any kind that this daemon has sent to each backend server. It
// is safe for concurrent use.
type Sends struct {
	mu  sync.Mutex
	all map[string]*slidingCount // by incarnation
}

// NewSends returns an empty table.
func NewSends() *Sends { return &Sends{all: map[string]*slidingCount{}} }

// Add counts one call.
func (s *Sends) Add(server string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.all[server]
	if r == nil {
		r = &slidingCount{}
		s.all[server] = r
	}
	r.add(now)
}

// Recent returns the number of calls within the window.
func (s *Sends) Recent(server string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.all[server]; r != nil {
		return r.sum(now)
	}
	return 0
}

// Forget removes the counts of unknown backend servers.
func (s *Sends) Forget(known func(server string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.all, func(server string, _ *slidingCount) bool { return !known(server) })
}
