package dispatch

import (
	"math"
	"time"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/apierror"
)

// line is the queue of one routing plan with its measured service.
type line struct {
	queue    *admission.Queue
	rate     float64 // requests that leave the plan's servers, per second, smoothed
	last     time.Time
	perToken float64   // seconds that a token takes once admitted, smoothed
	used     float64   // tokens of an answer as a share of those asked for, smoothed
	routed   time.Time // last time a route was found
}

// Gains of the service estimates.
const (
	rateGain    = 0.05
	serviceGain = 0.1
)

// Margins of the estimates by which a request is refused early. Work on a
// request that then misses its deadline is lost to all others.
const (
	waitMargin    = 4.0
	modestMargin  = 2.0 // for a workspace that waits for no more than its share
	serviceMargin = 1.3
)

// service returns how long a request will probably take once admitted.
func (l *line) service(r *Request) time.Duration {
	return seconds(serviceMargin * l.perToken * max(1, l.used*float64(r.MaxTokens)))
}

// tooLate returns the refusal of a request whose deadline can no longer be met.
func (l *line) tooLate(r *Request, now time.Time) *apierror.Error {
	if r.Deadline.IsZero() || now.Add(l.service(r)).Before(r.Deadline) {
		return nil
	}
	return apierror.New(apierror.DeadlineUnlikely, "%s are left, %s are needed",
		r.Deadline.Sub(now).Round(time.Millisecond), l.service(r).Round(time.Millisecond)).WithRetryAfter(l.drain())
}

// drain returns how long the queue needs at its present pace.
func (l *line) drain() time.Duration {
	if l.rate <= 0 {
		return time.Second
	}
	return max(time.Second, seconds(float64(l.queue.Len())/l.rate))
}

// bufferFor is how long requests wait when a model that had a route has none,
// as in the moment of a restart or a move. A model that stays without a route
// refuses at once.
const bufferFor = 2 * time.Second

// bufferSlack makes sure that a recheck comes after the end of bufferFor.
const bufferSlack = 10 * time.Millisecond

func (l *line) buffers(now time.Time) bool { return now.Sub(l.routed) < bufferFor }

// observe updates the service time, and the rate while requests wait.
func (l *line) observe(d time.Duration, tokens, asked int, now time.Time) {
	if tokens > 0 {
		smooth(&l.perToken, d.Seconds()/float64(tokens))
		smooth(&l.used, float64(tokens)/float64(max(1, asked)))
	}
	if l.queue.Len() > 0 && !l.last.IsZero() {
		l.observeRate(now.Sub(l.last).Seconds())
	}
	l.last = now
}

func smooth(v *float64, x float64) {
	if *v == 0 {
		*v = x
	}
	*v += serviceGain * (x - *v)
}

func (l *line) observeRate(gap float64) {
	x := 1 / math.Max(gap, 1e-6)
	if l.rate == 0 {
		l.rate = x
		return
	}
	// Smooth the gaps, not the rates: the mean of rates is biased by bursts.
	l.rate = 1 / (1/l.rate + rateGain*(gap-1/l.rate))
}
