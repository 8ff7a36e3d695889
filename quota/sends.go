package quota

import (
	"maps"
	"sync"
	"time"
)

// Window is the time over which what a backend server gets is added up.
const Window = 4 * time.Second

// The window is counted in slots. One more is kept: the present slot has only begun, and
// a window that ends now reaches into the oldest.
const (
	slot      = 250 * time.Millisecond
	slotsKept = int(Window/slot) + 1
)

// recent counts what happened within the window, and a slot more at most.
type recent struct {
	counts [slotsKept]uint32
	slot   int64 // of the last count, since the Unix epoch
}

// advance clears the slots that have left the window.
func (r *recent) advance(now time.Time) {
	at := now.UnixNano() / int64(slot)
	for n := max(r.slot+1, at-int64(slotsKept)+1); n <= at; n++ {
		r.counts[n%int64(slotsKept)] = 0
	}
	r.slot = max(r.slot, at)
}

func (r *recent) add(now time.Time) {
	r.advance(now)
	r.counts[r.slot%int64(slotsKept)]++
}

func (r *recent) sum(now time.Time) int {
	r.advance(now)
	n := 0
	for _, c := range r.counts {
		n += int(c)
	}
	return n
}

// Sends counts what this daemon has sent to each backend server, of any kind. It is safe
// for concurrent use.
type Sends struct {
	mu  sync.Mutex
	all map[string]*recent // by incarnation
}

// NewSends returns a table without any.
func NewSends() *Sends { return &Sends{all: map[string]*recent{}} }

// Add counts one.
func (s *Sends) Add(server string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.all[server]
	if r == nil {
		r = &recent{}
		s.all[server] = r
	}
	r.add(now)
}

// Recent returns how many there were within the window.
func (s *Sends) Recent(server string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.all[server]; r != nil {
		return r.sum(now)
	}
	return 0
}

// Forget drops the counts of backend servers that are gone.
func (s *Sends) Forget(known func(server string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.all, func(server string, _ *recent) bool { return !known(server) })
}
