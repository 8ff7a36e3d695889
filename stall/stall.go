// Package stall detects when this process was kept from running: stopped, without
// processor time, or with its VM suspended. Time-outs for other processes must exclude
// that time, since their messages wait unread in the sockets. Otherwise a short stall
// makes healthy backend servers look dead.
//
// A Monitor detects stalls by its own heartbeat. Timers and time-outs made from it expire
// after the given time of running.
package stall

import (
	"context"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
)

// Parameters of the heartbeat.
const (
	// heartbeatInterval is the period of the heartbeat.
	heartbeatInterval = 25 * time.Millisecond
	// minStall is the delay of a heartbeat from which it counts as a stall. Shorter delays
	// are normal on a busy processor.
	minStall = 10 * time.Millisecond
	// settleTime is the least time for which the process must run after a stall before a
	// timer expires, so that messages in the sockets are read first.
	settleTime = 20 * time.Millisecond
	// MinLag is the time for which events waited for this process from which it counts as a
	// stall. Time-outs are longer.
	MinLag = 25 * time.Millisecond
	// maxStalls is the number of stalls that are stored. It covers more than six seconds
	// with a stall every tenth of a second, as under a CPU quota.
	maxStalls = 64
)

// Monitor detects stalls of this process. A nil Monitor detects none. It is safe for
// concurrent use.
type Monitor struct {
	suspended func() time.Duration

	mu            sync.Mutex
	lastBeat      time.Time       // of the last heartbeat, the zero time while not running
	lastSuspended time.Duration   // value of suspended at the last heartbeat
	stalls        [maxStalls]span // a ring buffer
	next          int             // index of the next one
	end           time.Time       // of the last stall
	waitingSince  func() time.Time
	observer      func(time.Duration)
	onWake        []func(suspended time.Duration)
}

// OnWake registers f to be called after each suspension of the VM with its length. It must
// be called before Run.
func (m *Monitor) OnWake(f func(suspended time.Duration)) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onWake = append(m.onWake, f)
}

// span is a period in which the process did not run. The steady clock does not advance
// while a VM is suspended, so that time is stored separately.
type span struct {
	from, to   time.Time
	suspension time.Duration // in addition to to - from
}

// New returns a monitor; Start and Run must be called. observe is called with the length of each
// stall and may be nil.
func New(observe func(time.Duration)) *Monitor {
	if observe == nil {
		observe = func(time.Duration) {}
	}
	return &Monitor{suspended: boottime.Suspended, observer: observe, waitingSince: func() time.Time { return time.Time{} }}
}

// SetLag sets the function that returns since when an event has waited for this process, the zero
// time if none does. It must be called before Run.
func (m *Monitor) SetLag(waitingSince func() time.Time) { m.waitingSince = waitingSince }

// NoteLag records that an event waited for this process. On a busy processor messages wait unread
// although the heartbeat is in time, since timers go before sockets.
func (m *Monitor) NoteLag(from, to time.Time) {
	if to.Sub(from) < MinLag {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(span{from: from, to: to})
}

// add records a stall without the part that earlier ones cover; m.mu must be held.
func (m *Monitor) add(s span) {
	if s.from.Before(m.end) {
		s.from = m.end
	}
	if s.suspension == 0 && !s.from.Before(s.to) {
		return
	}
	m.stalls[m.next] = s
	m.next = (m.next + 1) % maxStalls
	m.end = s.to
}

// Run sends the heartbeat until ctx ends, usually in a goroutine of its own. Stalls are
// detected from Start, or else from when that goroutine first runs.
func (m *Monitor) Run(ctx context.Context) {
	t := time.NewTimer(heartbeatInterval)
	defer t.Stop()
	m.Start()
	for {
		select {
		case <-ctx.Done():
			m.stop()
			return
		case <-t.C:
			m.tick(time.Now())
			t.Reset(heartbeatInterval)
		}
	}
}

// Start begins the detection of stalls. Run must follow at once. On a busy processor its
// goroutine may run so late that the delay is a stall itself.
func (m *Monitor) Start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lastBeat.IsZero() {
		return
	}
	m.lastBeat, m.lastSuspended = time.Now(), m.suspended()
}

func (m *Monitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastBeat = time.Time{}
}

func (m *Monitor) tick(now time.Time) {
	m.mu.Lock()
	late := m.late(now)
	suspended := m.suspended()
	suspension := suspended - m.lastSuspended
	if suspension < minStall {
		suspension = 0
	}
	if late > 0 || suspension > 0 {
		m.add(span{from: now.Add(-late), to: now, suspension: suspension})
	}
	m.lastBeat, m.lastSuspended = now, suspended
	callbacks := m.onWake
	m.mu.Unlock()
	if late+suspension > 0 {
		m.observer(late + suspension)
	}
	if suspension > 0 {
		for _, f := range callbacks {
			f(suspension)
		}
	}
}

// late returns the delay of the next heartbeat, 0 if it is below minStall.
func (m *Monitor) late(now time.Time) time.Duration {
	late := now.Sub(m.lastBeat) - heartbeatInterval
	if m.lastBeat.IsZero() || late < minStall {
		return 0
	}
	return late
}

// StallTime returns for how long the process was kept from running between since and now.
// It excludes suspensions of the VM, which the steady clock does not count.
func (m *Monitor) StallTime(since, now time.Time) time.Duration {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	stalled := time.Duration(0)
	for _, s := range m.stalls {
		stalled += s.within(since, now)
	}
	return stalled + m.current(now).within(since, now)
}

// current returns the stall that has not ended, the zero span if there is none; m.mu must be held.
func (m *Monitor) current(now time.Time) span {
	from := now.Add(-m.late(now)) // the heartbeat may still be due
	if waiting := m.waitingSince(); !waiting.IsZero() && now.Sub(waiting) >= MinLag && waiting.Before(from) {
		from = waiting
	}
	if from.Before(m.end) {
		from = m.end
	}
	return span{from: from, to: now}
}

// Stalled reports whether the process was kept from running, or its VM was suspended, at
// some time between since and now.
func (m *Monitor) Stalled(since, now time.Time) bool {
	if m.StallTime(since, now) > 0 {
		return true
	}
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.stalls {
		if s.suspension > 0 && !s.to.Before(since) {
			return true
		}
	}
	return m.suspended()-m.lastSuspended >= minStall
}

// within returns the part of the span between since and now.
func (s span) within(since, now time.Time) time.Duration {
	from, to := s.from, s.to
	if from.Before(since) {
		from = since
	}
	if to.After(now) {
		to = now
	}
	return max(0, to.Sub(from))
}

// LongestStall returns the longest stall between two times, 0 for a nil Monitor.
func (m *Monitor) LongestStall(since, now time.Time) (longest time.Duration) {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.stalls {
		longest = max(longest, s.within(since, now))
	}
	return max(longest, m.current(now).within(since, now))
}
