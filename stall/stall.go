// Package stall tells when this process was kept from running: stopped, without its
// share of the processor, or its VM suspended. Whoever judges others by how long they
// said nothing must not count that time, since what they said lies unread in the
// sockets. Where applying a configuration kept a daemon from running for 50 ms, it took
// a dozen sound backend servers for dead within 11 ms and threw away the streams there.
//
// A Monitor notices stalls by a heartbeat of its own; timers and time-outs made from it
// run out after so much time in which the process ran.
package stall

import (
	"context"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
)

// Times of the heartbeat.
const (
	// beat is the period of the heartbeat: forty times a second take 0.03% of a core.
	beat = 25 * time.Millisecond
	// lateFrom is how late a beat must be to show a stall: less is usual where others
	// use the processor.
	lateFrom = 10 * time.Millisecond
	// settle is the least time for which the process must run behind a stall before it
	// judges anybody: what lies in the sockets is read first.
	settle = 20 * time.Millisecond
	// kept is the number of stalls that are remembered: at the share of a core that ends
	// every tenth of a second, more than six seconds.
	kept = 64
)

// Monitor notices stalls of this process. A nil Monitor never does. It is safe for
// concurrent use.
type Monitor struct {
	suspended func() time.Duration

	mu       sync.Mutex
	beatAt   time.Time // of the last beat, the zero time while not running
	asleep   time.Duration
	stalls   [kept]span
	next     int // where the next one goes
	observer func(time.Duration)
	woken    []func(suspended time.Duration)
}

// OnWake has f called after each suspension of the VM with its length. It is called
// before Run.
func (m *Monitor) OnWake(f func(suspended time.Duration)) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.woken = append(m.woken, f)
}

// span is a time in which the process did not run. A VM that is suspended lengthens
// none of the spans of the steady clock: lost is that time.
type span struct {
	from, to time.Time
	lost     time.Duration // beyond to less from
}

// New returns a monitor; Run must be called. observe is told each stall, nil for nobody.
func New(observe func(time.Duration)) *Monitor {
	if observe == nil {
		observe = func(time.Duration) {}
	}
	return &Monitor{suspended: boottime.Suspended, observer: observe}
}

// Run beats until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	t := time.NewTimer(beat)
	defer t.Stop()
	m.start()
	for {
		select {
		case <-ctx.Done():
			m.stop()
			return
		case <-t.C:
			m.tick(time.Now())
			t.Reset(beat)
		}
	}
}

func (m *Monitor) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beatAt, m.asleep = time.Now(), m.suspended()
}

func (m *Monitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beatAt = time.Time{}
}

func (m *Monitor) tick(now time.Time) {
	m.mu.Lock()
	late := m.late(now)
	asleep := m.suspended()
	lost := asleep - m.asleep
	if lost < lateFrom {
		lost = 0
	}
	if late > 0 || lost > 0 {
		m.stalls[m.next] = span{from: now.Add(-late), to: now, lost: lost}
		m.next = (m.next + 1) % kept
	}
	m.beatAt, m.asleep = now, asleep
	woken := m.woken
	m.mu.Unlock()
	if late+lost > 0 {
		m.observer(late + lost)
	}
	if lost > 0 {
		for _, f := range woken {
			f(lost)
		}
	}
}

// late returns by how much the next beat is late, 0 if that is within what is usual.
func (m *Monitor) late(now time.Time) time.Duration {
	late := now.Sub(m.beatAt) - beat
	if m.beatAt.IsZero() || late < lateFrom {
		return 0
	}
	return late
}

// Held returns for how much of the time from since to now the process was kept from
// running. The part of it in which a VM was suspended is not among that time by the
// steady clock.
func (m *Monitor) Held(since, now time.Time) time.Duration {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	held := time.Duration(0)
	for _, s := range m.stalls {
		held += s.within(since, now)
	}
	if late := m.late(now); late > 0 { // the beat has not come yet
		held += span{from: now.Add(-late), to: now}.within(since, now)
	}
	return held
}

// Stalled reports whether the process was kept from running at some time from since to
// now, or its VM was suspended.
func (m *Monitor) Stalled(since, now time.Time) bool {
	if m.Held(since, now) > 0 {
		return true
	}
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.stalls {
		if s.lost > 0 && !s.to.Before(since) {
			return true
		}
	}
	return m.suspended()-m.asleep >= lateFrom
}

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
