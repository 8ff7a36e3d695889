package health

import (
	"math"
	"time"
)

// LinkConfig holds the limits of the link detector.
type LinkConfig struct {
	Degraded   float64       // ratio to the baseline from which a link is degraded
	Restored   float64       // ratio below which it is restored; lower, against flapping
	Evidence   float64       // sum of the logarithms of slow samples that makes a link degraded
	Samples    int           // fast samples in a row that restore a link
	HoldFor    time.Duration // least time a link stays degraded before it is tried again
	TrialShare float64       // share of its capacity that a tried link gets
}

// DefaultLinkConfig returns limits for links that differ a hundredfold.
func DefaultLinkConfig() LinkConfig {
	return LinkConfig{Degraded: 4, Restored: 2, Evidence: 3, Samples: 3, HoldFor: 5 * time.Second, TrialShare: 0.05}
}

// Link detects that one link between two hops has become slow. It compares the
// time on the link with the link's own baseline, so a slow backend server,
// whose token time is reported apart, does not make its links look slow.
type Link struct {
	baseline float64 // seconds, follows improvements at once and slowness not at all while degraded
	slow     float64 // evidence of slowness
	fast     int
	degraded bool
	ratio    float64
	since    time.Time
	trial    bool
	seeded   bool // the baseline was taken from other links
	failed   int  // trials in a row that found the link still slow
}

// seededTrials is how often a link with a seeded baseline is found slow until
// that is taken for its usual time: it may never have been faster.
const seededTrials = 3

// baselineGain is the weight of a sample in a healthy link's baseline.
const baselineGain = 0.02

// Observe takes the time of one transfer and reports whether the factor changed.
func (l *Link) Observe(cfg LinkConfig, d time.Duration, now time.Time) (changed bool) {
	x := d.Seconds()
	if x <= 0 {
		return false
	}
	if l.baseline == 0 {
		l.baseline = x
		return false
	}
	ratio := x / l.baseline
	if !l.degraded {
		return l.observeHealthy(cfg, x, ratio, now)
	}
	return l.observeDegraded(cfg, x, ratio, now)
}

func (l *Link) observeHealthy(cfg LinkConfig, x, ratio float64, now time.Time) bool {
	if ratio < cfg.Degraded {
		l.slow = 0
		l.baseline = math.Min(x, l.baseline+baselineGain*(x-l.baseline))
		return false
	}
	// A sample at the limit counts for 1, one a hundred times the baseline for
	// more than 5: great slowness is believed at once, slight only when it stays.
	l.slow += 1 + math.Log2(ratio/cfg.Degraded)
	if l.slow < cfg.Evidence {
		return false
	}
	l.degraded = true
	l.trial = false
	l.ratio = ratio
	l.since = now
	l.fast = 0
	return true
}

func (l *Link) observeDegraded(cfg LinkConfig, x, ratio float64, now time.Time) bool {
	if ratio >= cfg.Restored {
		l.fast = 0
		l.ratio = ratio
		if l.trial {
			return l.failTrial(x, now)
		}
		return false
	}
	l.fast++
	if l.fast < cfg.Samples {
		return false
	}
	l.restore()
	l.seeded = false // it has shown the time itself
	return true
}

func (l *Link) restore() {
	l.degraded, l.trial = false, false
	l.slow, l.fast, l.failed = 0, 0, 0
}

// failTrial ends a trial that found the link still slow.
func (l *Link) failTrial(x float64, now time.Time) bool {
	l.failed++
	if l.seeded && l.failed >= seededTrials {
		l.baseline, l.seeded = x, false
		l.restore()
		return true
	}
	l.trial = false
	l.since = now
	return true
}

// Tick begins a trial when the link has been degraded long enough, and reports
// whether the factor changed.
func (l *Link) Tick(cfg LinkConfig, now time.Time) (changed bool) {
	if !l.degraded || l.trial || now.Sub(l.since) < cfg.HoldFor {
		return false
	}
	l.trial = true
	return true
}

// Factor returns the share of its capacity that the link should count for.
func (l *Link) Factor(cfg LinkConfig) float64 {
	if !l.degraded {
		return 1
	}
	f := 1 / math.Max(1, l.ratio)
	if l.trial {
		return math.Max(f, cfg.TrialShare)
	}
	return f
}

// Baseline returns the link's usual time, 0 when nothing is known yet.
func (l *Link) Baseline() time.Duration { return time.Duration(l.baseline * float64(time.Second)) }

// Seed sets the usual time of a link that has carried nothing yet.
func (l *Link) Seed(d time.Duration) {
	if l.baseline == 0 {
		l.baseline, l.seeded = d.Seconds(), true
	}
}

// Ratio returns how slow a transfer is against the baseline.
func (l *Link) Ratio(d time.Duration) float64 {
	if l.baseline == 0 {
		return 1
	}
	return d.Seconds() / l.baseline
}

// GroupLinkConfig returns limits for all links at one end: they count as slow
// together only on much evidence, as one slow link among them must not do it.
func GroupLinkConfig() LinkConfig {
	c := DefaultLinkConfig()
	c.Evidence = 12
	return c
}

// Degraded reports whether the link is degraded.
func (l *Link) Degraded() bool { return l.degraded }
