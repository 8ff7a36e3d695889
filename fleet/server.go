package fleet

import (
	"math"
	"sync/atomic"
	"time"
)

// loadHalfLife is the age at which a load report counts for half.
const loadHalfLife = 2 * time.Second

// Server is the live state of one backend server.
type Server struct {
	name     string
	inFlight atomic.Int64 // requests of this daemon
	report   atomic.Pointer[loadReport]
	usable   atomic.Bool
	weight   atomic.Uint64 // health weight, float64 bits in [0,1]
	limit    atomic.Int64  // concurrency limit of this daemon, set by admission
	measured atomic.Uint64 // capacity as float64 bits, tokens per second, 0 when unknown
}

// Link is the live state of one link of limited capacity.
type Link struct {
	inFlight atomic.Int64 // requests of this daemon
}

// InFlight returns the requests that this daemon has on the link.
func (l *Link) InFlight() int64 { return l.inFlight.Load() }

// Acquire adds a request of this daemon to the requests in flight.
func (l *Link) Acquire() { l.inFlight.Add(1) }

// Release removes a request that Acquire added.
func (l *Link) Release() { l.inFlight.Add(-1) }

// loadReport is the part of a load report that routing uses.
type loadReport struct {
	others float64 // requests in flight of the other daemons at time at
	at     time.Time
}

// Name returns the backend server's name.
func (s *Server) Name() string { return s.name }

// InFlight returns the requests that this daemon has on the backend server.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Acquire adds a request of this daemon to the requests in flight.
func (s *Server) Acquire() { s.inFlight.Add(1) }

// Release removes a request that Acquire added.
func (s *Server) Release() { s.inFlight.Add(-1) }

// Usable reports whether new work may go to the backend server.
func (s *Server) Usable() bool { return s.usable.Load() }

// SetLimit sets this daemon's limit of requests in flight on the backend server.
func (s *Server) SetLimit(n int64) { s.limit.Store(n) }

// Limit returns the limit that SetLimit set, 0 if none is set.
func (s *Server) Limit() int64 { return s.limit.Load() }

// Full reports whether this daemon's limit for the backend server is reached.
func (s *Server) Full() bool {
	l := s.limit.Load()
	return l > 0 && s.inFlight.Load() >= l
}

// Weight returns the health weight in [0,1]; it is below 1 while traffic ramps
// up.
func (s *Server) Weight() float64 { return math.Float64frombits(s.weight.Load()) }

// ApplyLoad stores a load report unless a newer one is known. inFlight counts the
// requests of all daemons at the given time.
func (s *Server) ApplyLoad(inFlight int, at time.Time) {
	if old := s.report.Load(); old != nil && !at.After(old.at) {
		return
	}
	others := math.Max(0, float64(inFlight)-float64(s.inFlight.Load()))
	s.report.Store(&loadReport{others: others, at: at})
}

// Load returns the expected number of requests in flight: the exact count of this
// daemon, plus the last reported count of the other daemons, discounted by its age.
func (s *Server) Load(now time.Time) float64 {
	own := float64(s.inFlight.Load())
	r := s.report.Load()
	if r == nil {
		return own
	}
	age := now.Sub(r.at).Seconds()
	return own + r.others*math.Exp2(-age/loadHalfLife.Seconds())
}
