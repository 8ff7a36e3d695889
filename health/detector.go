// Package health decides which backend servers and links are fit for new work. It does no
// I/O: callers pass in observations and times and receive transitions and reasons.
package health

import (
	"time"
)

// State is the health of one backend server.
type State uint8

// The states.
const (
	Healthy State = iota // full weight
	Suspect              // a failure other than a stall; no new work until a probe succeeds
	Ejected              // no new work until EjectFor has passed and a probe succeeds
	Ramping              // in service again, with a growing weight
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"healthy", "suspect", "ejected", "ramping"}[s]
}

// legal lists the permitted transitions; any other is a bug in the detector.
var legal = map[State][]State{
	Healthy: {Suspect, Ejected},
	Suspect: {Healthy, Ramping, Ejected},
	Ejected: {Ramping},
	Ramping: {Healthy, Suspect, Ejected},
}

// Legal reports whether a backend server may go from one state to another.
func Legal(from, to State) bool {
	for _, s := range legal[from] {
		if s == to {
			return true
		}
	}
	return false
}

// Signal is one observation of a backend server.
type Signal uint8

// The signals.
const (
	Success     Signal = iota // a request was served
	Unreachable               // a connection could not be made
	Lost                      // a connection broke while a request was running
	Failed                    // the engine reported that the backend server failed
	Stalled                   // no token arrived within the adaptive bound
	Refused                   // the engine refused without running: busy, not faulty
	ProbeOK
	ProbeFailed
)

// String returns the signal's name.
func (s Signal) String() string {
	return [...]string{"success", "unreachable", "lost", "failed", "stalled", "refused", "probe_ok", "probe_failed"}[s]
}

func (s Signal) bad() bool {
	return s == Unreachable || s == Lost || s == Failed || s == Stalled || s == ProbeFailed
}

// Config holds the thresholds of the detector.
type Config struct {
	FailuresToEject int           // consecutive failures, except probes, that eject
	EjectFor        time.Duration // duration of the first ejection; doubles with each further one
	MaxEjectFor     time.Duration // maximum duration of an ejection
	ProbeInterval   time.Duration // interval of probes of a suspect or ejected backend server
	RampFor         time.Duration // duration of the ramp from MinWeight to full weight
	MinWeight       float64       // weight at the start of the ramp
}

// DefaultConfig returns thresholds for engines that answer within milliseconds.
func DefaultConfig() Config {
	return Config{
		FailuresToEject: 3, EjectFor: 2 * time.Second, MaxEjectFor: time.Minute,
		ProbeInterval: 250 * time.Millisecond, RampFor: 3 * time.Second, MinWeight: 0.2,
	}
}

// Transition is a change of a backend server's state, with its reason.
type Transition struct {
	BackendServer string
	From, To      State
	Signal        Signal
	KeptInService bool // not fit for work, but the last capacity for some layers
}

// record is the state of one backend server.
type record struct {
	state     State
	failures  int // consecutive
	ejections int
	until     time.Time // end of the ejection
	since     time.Time // start of the ramp
	probed    time.Time // last probe
	kept      bool      // see Transition.KeptInService
}

// Detector tracks the health of all backend servers. It is not safe for concurrent use.
type Detector struct {
	cfg Config
	// last reports whether a backend server is the last capacity for some layers. Such a
	// server stays in service regardless of its health.
	last    func(server string) bool
	records map[string]*record
}

// NewDetector returns a detector in which all backend servers are healthy.
func NewDetector(cfg Config, last func(server string) bool) *Detector {
	return &Detector{cfg: cfg, last: last, records: map[string]*record{}}
}

func (d *Detector) record(server string) *record {
	r := d.records[server]
	if r == nil {
		r = &record{}
		d.records[server] = r
	}
	return r
}

// Forget removes a backend server that has left the configuration.
func (d *Detector) Forget(server string) { delete(d.records, server) }

// State returns the backend server's state.
func (d *Detector) State(server string) State {
	if r := d.records[server]; r != nil {
		return r.state
	}
	return Healthy
}

// InService reports whether new work may go to the backend server.
func (d *Detector) InService(server string) bool {
	r := d.records[server]
	if r == nil || r.state == Healthy || r.state == Ramping {
		return true
	}
	return r.kept
}

// Weight returns the share of its capacity that the backend server should get.
func (d *Detector) Weight(server string, now time.Time) float64 {
	r := d.records[server]
	if r == nil || r.state != Ramping {
		return 1
	}
	done := float64(now.Sub(r.since)) / float64(d.cfg.RampFor)
	return min(1, d.cfg.MinWeight+(1-d.cfg.MinWeight)*done)
}

// Observe processes a signal and returns the transition that it causes, if any.
func (d *Detector) Observe(server string, s Signal, now time.Time) (Transition, bool) {
	r := d.record(server)
	from := r.state
	to := d.next(r, s, now)
	if s.bad() && to != Healthy && to != Ramping {
		r.kept = d.last(server)
	}
	if to == from {
		return Transition{}, false
	}
	d.enter(r, to, now)
	return Transition{BackendServer: server, From: from, To: to, Signal: s, KeptInService: r.kept}, true
}

// next returns the state that follows from a signal.
func (d *Detector) next(r *record, s Signal, now time.Time) State {
	switch s {
	case Success:
		return d.afterSuccess(r, now)
	case ProbeOK:
		return d.afterProbe(r, now)
	case Refused:
		return r.state
	case ProbeFailed:
		return d.afterProbeFailure(r)
	}
	r.failures++
	if r.state == Ejected || r.failures >= d.cfg.FailuresToEject {
		return Ejected
	}
	if s == Stalled {
		// All hops of the path respond. Any of them may be slow, or all may be
		// overloaded, in which case an ejection would remove needed capacity.
		// Therefore only consecutive stalls without a served request eject.
		return r.state
	}
	return Suspect
}

func (d *Detector) afterSuccess(r *record, now time.Time) State {
	r.failures = 0
	if r.state == Ramping && now.Sub(r.since) >= d.cfg.RampFor {
		return Healthy
	}
	return r.state
}

// afterProbe returns the state after a successful probe: a suspect backend server is in
// service again at once, an ejected one after its ejection. The count of failures is kept
// until a request succeeds, since a probe shows only that the process is alive.
func (d *Detector) afterProbe(r *record, now time.Time) State {
	switch r.state {
	case Suspect:
		return Ramping
	case Ejected:
		if now.Before(r.until) {
			return Ejected
		}
		return Ramping
	}
	return r.state
}

func (d *Detector) afterProbeFailure(r *record) State {
	if r.state == Suspect || r.state == Ejected {
		return Ejected
	}
	return Suspect
}

func (d *Detector) enter(r *record, to State, now time.Time) {
	r.state = to
	switch to {
	case Ejected:
		r.until = now.Add(d.ejection(r.ejections))
		r.ejections++
	case Ramping:
		r.since = now
		r.kept = false
	case Healthy:
		r.ejections = 0
		r.kept = false
	}
}

func (d *Detector) ejection(n int) time.Duration {
	e := d.cfg.EjectFor
	for range n {
		e *= 2
		if e >= d.cfg.MaxEjectFor {
			return d.cfg.MaxEjectFor
		}
	}
	return e
}

// DueProbes returns the backend servers that are due for a probe and marks them as probed.
func (d *Detector) DueProbes(now time.Time) []string {
	var due []string
	for name, r := range d.records {
		if r.state != Suspect && r.state != Ejected {
			continue
		}
		if now.Sub(r.probed) >= d.cfg.ProbeInterval {
			r.probed = now
			due = append(due, name)
		}
	}
	return due
}

// Ramping returns the backend servers whose weight is growing and moves those that have
// completed the ramp to Healthy.
func (d *Detector) Ramping(now time.Time) []string {
	var out []string
	for name, r := range d.records {
		if r.state != Ramping {
			continue
		}
		out = append(out, name)
		if now.Sub(r.since) >= d.cfg.RampFor {
			d.enter(r, Healthy, now)
		}
	}
	return out
}
