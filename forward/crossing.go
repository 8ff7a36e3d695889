package forward

import (
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// Utilization of the cross-domain links. All daemons share the links. A link transfers one
// prompt at a time and queues the rest.
const (
	// linkUtilization is the fraction of the links' capacity that new requests may use.
	// It exceeds 1 so that short queues form before requests are refused.
	linkUtilization = 1.3
	// crossBurst is the number of prompts that a daemon may send over the links at once.
	crossBurst = 6
)

// crossings limits the prompts that this daemon sends over cross-domain links. It is safe
// for concurrent use.
type crossings struct {
	mu     sync.Mutex
	bucket admission.Bucket
}

// stuckThreshold is the wait of a stream for its first event from which the links on its
// path count as stuck. It detects links that have become slow: further prompts would queue
// behind the stuck ones until the callers leave after two seconds. Over sound links nine of
// ten first events arrive within 0.5 s.
const stuckThreshold = 700 * time.Millisecond

// domainPair identifies the link between two failure domains.
type domainPair struct{ a, b string }

func newDomainPair(x, y string) domainPair { return domainPair{min(x, y), max(x, y)} }

// linksOf returns the cross-domain links of a path, one for each crossing.
func linksOf(p site.Path) []domainPair {
	var out []domainPair
	for i := 1; i < len(p); i++ {
		x, y := p[i-1].Server.FailureDomain, p[i].Server.FailureDomain
		if x != y {
			out = append(out, newDomainPair(x, y))
		}
	}
	return out
}

// maxStuck is how long after the start of a waiting stream its links are expected to be
// free again. Callers give up two seconds after they have sent a request.
const maxStuck = 2 * time.Second

// linksFreeIn returns the expected maximum time until no link of a path is stuck, 0 if none
// is stuck.
func (f *Forwarder) linksFreeIn(path site.Path, now time.Time) time.Duration {
	since := f.live.stuckSince(linksOf(path), now)
	if since.IsZero() {
		return 0
	}
	return max(defaultRetryAfter, since.Add(maxStuck).Sub(now))
}

// mayCross takes the crossings of a path from this daemon's share of the links. It
// returns false if the share is used up or one of the links is stuck.
func (f *Forwarder) mayCross(e *site.Engine, prompt float64, path site.Path, now time.Time) bool {
	return f.cross(e, prompt, path, now, true)
}

// cross implements mayCross. It takes nothing unless take is set.
func (f *Forwarder) cross(e *site.Engine, prompt float64, path site.Path, now time.Time, take bool) bool {
	n := len(linksOf(path))
	if n == 0 {
		return true
	}
	if f.linksFreeIn(path, now) > 0 {
		return false
	}
	each := pipeline.CrossDomainPrefillMS(e, prompt)
	if each <= 0 {
		return true
	}
	rate := linkUtilization * linkCount(e) * 1000 / each / float64(max(1, f.fleet.Daemons()))
	f.crossings.mu.Lock()
	defer f.crossings.mu.Unlock()
	bucket := f.crossings.bucket
	ok, _ := bucket.Take(rate/float64(n), crossBurst, now)
	if take {
		f.crossings.bucket = bucket
	}
	return ok
}

// linkCount returns the number of cross-domain links, one for each pair.
func linkCount(e *site.Engine) float64 { return float64(max(1, len(e.Delays))) }
