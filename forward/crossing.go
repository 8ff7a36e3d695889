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

// mayCross takes the crossings of a path out of this daemon's share of the pipes.
func (f *Forwarder) mayCross(e *site.Engine, prompt float64, n int, now time.Time) bool {
	if n == 0 {
		return true
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
