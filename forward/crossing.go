package forward

import (
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/pipeline"
	"github.com/snowspoke/snowspoke/site"
)

// Use of the pipes between failure domains. All daemons share them, one prompt at
// a time; beyond their rate everything that crosses waits behind it.
const (
	// pipeUse is the part of the pipes' time that new requests take. Above one they
	// queue for a while; a bound of 0.6 refused what would have been served late.
	pipeUse = 1.3
	// crossBurst is how many prompts a daemon sends across at once.
	crossBurst = 6
)

// crossings bounds the prompts that this daemon sends across failure domains. It
// is safe for concurrent use.
type crossings struct {
	mu     sync.Mutex
	bucket admission.Bucket
}

// crossStuck is how long a stream may wait for its first event until the pipes that its
// prompt goes through count as stuck. This answers pipes that have become slow: with one
// eight times slower, 218 of 290 requests that were sent through one within four seconds
// were left by their callers after two seconds without an event, and each had been sent
// behind the others. Where pipes carry what they should, nine in ten have their first
// event within half a second.
const crossStuck = 700 * time.Millisecond

// domainPair names the pipe between two failure domains.
type domainPair struct{ a, b string }

func pairOf(x, y string) domainPair { return domainPair{min(x, y), max(x, y)} }

// pipesOf returns the pipes that a prompt goes through on a path, one for each crossing.
func pipesOf(p site.Path) []domainPair {
	var out []domainPair
	for i := 1; i < len(p); i++ {
		x, y := p[i-1].Server.FailureDomain, p[i].Server.FailureDomain
		if x != y {
			out = append(out, pairOf(x, y))
		}
	}
	return out
}

// stuckMost is how long a stream stays stuck at most: callers give up two seconds after
// they have sent it.
const stuckMost = 2 * time.Second

// pipeFree returns how long the pipes of a path stay stuck at most, 0 if none is.
func (f *Forwarder) pipeFree(path site.Path, now time.Time) time.Duration {
	since := f.live.stuckSince(pipesOf(path), now)
	if since.IsZero() {
		return 0
	}
	return max(retryAfter, since.Add(stuckMost).Sub(now))
}

// mayCross takes the crossings of a path out of this daemon's share of the pipes. It
// returns false while one of them is stuck.
func (f *Forwarder) mayCross(e *site.Engine, prompt float64, path site.Path, now time.Time) bool {
	n := len(pipesOf(path))
	if n == 0 {
		return true
	}
	if f.pipeFree(path, now) > 0 {
		return false
	}
	each := pipeline.PipeReadMS(e, prompt)
	if each <= 0 {
		return true
	}
	rate := pipeUse * pipes(e) * 1000 / each / float64(max(1, f.fleet.Daemons()))
	f.crossings.mu.Lock()
	defer f.crossings.mu.Unlock()
	ok, _ := f.crossings.bucket.Take(rate/float64(n), crossBurst, now)
	return ok
}

// pipes returns the number of pipes between failure domains: one a pair.
func pipes(e *site.Engine) float64 { return float64(max(1, len(e.Delays))) }
