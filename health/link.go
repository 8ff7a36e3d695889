package health

import (
	"math"
	"time"
)

// LinkConfig holds the thresholds of the link detector.
type LinkConfig struct {
	Degraded   float64       // ratio to the baseline from which a link is degraded
	Restored   float64       // ratio below which it is restored; lower than Degraded, against flapping
	Evidence   float64       // evidence of consecutive slow samples from which a link is degraded
	Samples    int           // consecutive fast samples that restore a link
	HoldFor    time.Duration // time for which a link stays degraded before a trial
	TrialShare float64       // minimum fraction of its capacity that a link gets during a trial
}

// DefaultLinkConfig returns thresholds for links whose speeds differ by a factor of up to a
// hundred.
func DefaultLinkConfig() LinkConfig {
	return LinkConfig{Degraded: 4, Restored: 2, Evidence: 3, Samples: 3, HoldFor: 5 * time.Second, TrialShare: 0.05}
}

// Link detects that a link between two hops has become slow. It compares transfer times
// with the link's own baseline. Transfer times exclude the time that backend servers take for
// a token, which is reported separately.
type Link struct {
	baseline float64 // seconds; follows faster samples at once, slightly slower ones gradually
	slow     float64 // evidence of consecutive slow samples
	fast     int     // consecutive fast samples while degraded
	degraded bool
	ratio    float64   // of the last slow sample to the baseline
	since    time.Time // when it was degraded or its last trial failed
	trial    bool      // a trial is in progress
	seeded   bool      // the baseline was taken from other links
	failed   int       // consecutive failed trials
}

// maxSeededTrials is the number of failed trials after which a link with a seeded baseline
// takes its current time as the baseline, since it may never have been faster.
const maxSeededTrials = 3

// baselineGain is the weight of a sample in a healthy link's baseline.
const baselineGain = 0.02

// Observe adds the time of one transfer and reports whether the factor changed.
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
	// Evidence grows with the logarithm of the ratio: a large slowdown degrades the
	// link at once, a small one only if it persists.
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
	l.seeded = false // the link has reached this baseline itself
	return true
}

func (l *Link) restore() {
	l.degraded, l.trial = false, false
	l.slow, l.fast, l.failed = 0, 0, 0
}

// failTrial ends a trial during which the link was still slow.
func (l *Link) failTrial(x float64, now time.Time) bool {
	l.failed++
	if l.seeded && l.failed >= maxSeededTrials {
		l.baseline, l.seeded = x, false
		l.restore()
		return true
	}
	l.trial = false
	l.since = now
	return true
}

// Tick starts a trial when the link has been degraded for HoldFor, and reports whether the
// factor changed.
func (l *Link) Tick(cfg LinkConfig, now time.Time) (changed bool) {
	if !l.degraded || l.trial || now.Sub(l.since) < cfg.HoldFor {
		return false
	}
	l.trial = true
	return true
}

// Factor returns the fraction of its capacity that the link counts for.
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

// Baseline returns the link's baseline time, 0 while unknown.
func (l *Link) Baseline() time.Duration { return time.Duration(l.baseline * float64(time.Second)) }

// Seed sets the baseline of a link that has none yet.
func (l *Link) Seed(d time.Duration) {
	if l.baseline == 0 {
		l.baseline, l.seeded = d.Seconds(), true
	}
}

// Ratio returns the ratio of a transfer time to the baseline.
func (l *Link) Ratio(d time.Duration) float64 {
	if l.baseline == 0 {
		return 1
	}
	return d.Seconds() / l.baseline
}

// GroupLinkConfig returns thresholds for all links at one end taken together. They need more
// evidence, so that a single slow link among them does not degrade the group.
func GroupLinkConfig() LinkConfig {
	c := DefaultLinkConfig()
	c.Evidence = 12
	return c
}

// Degraded reports whether the link is degraded.
func (l *Link) Degraded() bool { return l.degraded }
