package dispatch

import (
	"math"
	"time"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/apierror"
)

// planQueue is the queue of one routing plan with estimates of its service time.
type planQueue struct {
	queue      *admission.Queue
	rate       float64   // requests completed per second while others wait, smoothed
	lastEnd    time.Time // end of the last request
	perToken   float64   // seconds per token once admitted, smoothed
	usedRatio  float64   // tokens of an answer divided by the requested maximum, smoothed
	lastRouted time.Time // when a route was last found
}

// Smoothing gains of the estimates.
const (
	rateGain    = 0.05
	serviceGain = 0.1
)

// Safety factors of the estimates used to refuse a request early. Work on a
// request that misses its deadline is wasted.
const (
	waitMargin        = 4.0
	withinShareMargin = 2.0 // replaces waitMargin for a workspace within its fair share of the queue
	serviceMargin     = 1.3
)

// serviceTime returns the expected duration of a request once admitted.
func (q *planQueue) serviceTime(r *Request) time.Duration {
	return seconds(serviceMargin * q.perToken * max(1, q.usedRatio*float64(r.MaxTokens)))
}

// checkDeadline returns an error if the request's deadline can no longer be met.
func (q *planQueue) checkDeadline(r *Request, now time.Time) *apierror.Error {
	if r.Deadline.IsZero() || now.Add(q.serviceTime(r)).Before(r.Deadline) {
		return nil
	}
	return apierror.New(apierror.DeadlineUnlikely, "%s are left, %s are needed",
		r.Deadline.Sub(now).Round(time.Millisecond), q.serviceTime(r).Round(time.Millisecond)).WithRetryAfter(q.drainTime())
}

// drainTime returns the time to empty the queue at its current rate, at least one
// second.
func (q *planQueue) drainTime() time.Duration {
	if q.rate <= 0 {
		return time.Second
	}
	return max(time.Second, seconds(float64(q.queue.Len())/q.rate))
}

// bufferTimeout is how long requests wait for a route after the last one was found,
// so that a restart or a move fails no requests. After that, requests without a
// route are refused at once.
const bufferTimeout = 2 * time.Second

// bufferSlack makes the recheck run after bufferTimeout has ended.
const bufferSlack = 10 * time.Millisecond

// buffering reports whether requests without a route still wait for one.
func (q *planQueue) buffering(now time.Time) bool { return now.Sub(q.lastRouted) < bufferTimeout }

// observe updates the service time and, while requests wait, the rate.
func (q *planQueue) observe(d time.Duration, tokens, requested int, now time.Time) {
	if tokens > 0 {
		smooth(&q.perToken, d.Seconds()/float64(tokens))
		smooth(&q.usedRatio, float64(tokens)/float64(max(1, requested)))
	}
	if q.queue.Len() > 0 && !q.lastEnd.IsZero() {
		q.observeRate(now.Sub(q.lastEnd).Seconds())
	}
	q.lastEnd = now
}

func smooth(v *float64, x float64) {
	if *v == 0 {
		*v = x
	}
	*v += serviceGain * (x - *v)
}

func (q *planQueue) observeRate(gap float64) {
	x := 1 / math.Max(gap, 1e-6)
	if q.rate == 0 {
		q.rate = x
		return
	}
	// Gaps are smoothed rather than rates, since bursts bias the mean of rates.
	q.rate = 1 / (1/q.rate + rateGain*(gap-1/q.rate))
}
