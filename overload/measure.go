package overload

import (
	"math"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Load is what a process measures of itself and knows of the others.
type Load struct {
	InFlight int     // requests in progress, including those that are still to be read
	Usage    float64 // processor time used, as a fraction of what the process may use
	Lag      time.Duration
	// Others is the mean usage of the other processes to which callers can go, 1 if unknown.
	Others float64
}

// ProcessTime returns the processor time that this process has used, 0 if it is unknown.
func ProcessTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// usageTime is the time constant of the mean of the usage.
const usageTime = 400 * time.Millisecond

// usageMeter measures the processor time used, as a fraction of the processors.
type usageMeter struct {
	processors  float64
	processTime func() time.Duration

	at   time.Time     // of the last sample, zero if there is none
	used time.Duration // at the last sample
	mean float64
}

// newUsageMeter returns a meter. processors is the number of processors that the process may use,
// in fractions, 0 for those that the operating system offers.
func newUsageMeter(processors float64, processTime func() time.Duration) *usageMeter {
	if processors <= 0 {
		processors = float64(runtime.GOMAXPROCS(0))
	}
	return &usageMeter{processors: processors, processTime: processTime}
}

// sample returns the usage in the recent past.
func (m *usageMeter) sample(now time.Time) float64 {
	used := m.processTime()
	elapsed := now.Sub(m.at)
	if first := m.at.IsZero(); first || elapsed <= 0 {
		if first {
			m.at, m.used = now, used
		}
		return m.mean
	}
	usage := float64(used-m.used) / float64(elapsed) / m.processors
	m.mean += (1 - math.Exp(-float64(elapsed)/float64(usageTime))) * (usage - m.mean)
	m.at, m.used = now, used
	return m.mean
}

const (
	// lagWindow is the time over which samples of the lag are averaged.
	lagWindow = 300 * time.Millisecond
	// maxLagSample bounds one sample, since a single long stop of the process is no lack of
	// processor time.
	maxLagSample = 250 * time.Millisecond
)

// lagMeter collects samples of the lag. It is safe for concurrent use.
type lagMeter struct {
	mu      sync.Mutex
	samples []lagSample
	due     time.Time // when the pending sample was due, zero if there is none
}

type lagSample struct {
	at  time.Time
	lag time.Duration
}

// begin records that a sample is taken now that was due earlier. It returns false if one is
// pending.
func (m *lagMeter) begin(due time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.due.IsZero() {
		return false
	}
	m.due = due
	return true
}

// end records the end of the pending sample and returns when it was due.
func (m *lagMeter) end(now time.Time) (due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	due, m.due = m.due, time.Time{}
	m.samples = append(m.samples, lagSample{at: now, lag: now.Sub(due)})
	return due
}

// pendingSince returns when the pending sample was due, the zero time if none is pending.
func (m *lagMeter) pendingSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.due
}

// mean returns the mean of the recent samples, including the pending one as far as it exceeds
// that mean.
func (m *lagMeter) mean(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.samples) > 0 && now.Sub(m.samples[0].at) > lagWindow {
		m.samples = m.samples[1:]
	}
	sum, n := time.Duration(0), time.Duration(len(m.samples))
	for _, s := range m.samples {
		sum += min(maxLagSample, s.lag)
	}
	if !m.due.IsZero() {
		if pending := min(maxLagSample, now.Sub(m.due)); n == 0 || pending*n > sum {
			sum, n = sum+pending, n+1
		}
	}
	return sum / max(1, n)
}
