package overload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A model of a process with one processor: work is done in the order of its arrival. A request
// costs beginCost when it is read and eventCost for each of its events.
const (
	beginCost    = 5 * time.Millisecond
	eventCost    = 200 * time.Microsecond
	events       = 50
	eventGap     = 40 * time.Millisecond
	closeCost    = 100 * time.Microsecond // of a connection that is closed unread
	giveUpAfter  = 2 * time.Second        // without an event
	passEvent    = 120 * time.Millisecond // within which an event must be passed on
	modelTime    = 30 * time.Second
	modelSettled = 3 * time.Second // after which a process must have adapted to its load
)

// capacity is the number of requests a second that use the processor fully.
const capacity = float64(time.Second) / float64(beginCost+events*eventCost)

// job is work that arrives at a time. It is done by the processor in order.
type job struct {
	at      time.Duration
	request *request // nil for an update of the limit
	event   int      // 0 for the connection
}

type request struct {
	lastDone time.Duration
	counted  bool // read after modelSettled
	late     bool // an event was passed on late
}

type jobs []job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].at < j[b].at }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)        { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}

// modelResult is what callers of the model got after modelSettled.
type modelResult struct {
	read, whole, late, refused int
	inFlight                   []int // at each update
}

func (r modelResult) perSecond() float64 {
	return float64(r.whole) / (modelTime - modelSettled).Seconds()
}

// runModel offers connections at a rate to a process. others is the usage of the other processes.
// A limiter of nil admits all.
func runModel(rate float64, others float64, l *Limiter, quota time.Duration, seed uint64) (out modelResult) {
	rng := rand.New(rand.NewPCG(seed, 1))
	queue := &jobs{}
	for at := time.Duration(0); at < modelTime; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		heap.Push(queue, job{at: at, request: &request{}})
	}
	for at := time.Duration(0); at < modelTime; at += UpdateInterval {
		heap.Push(queue, job{at: at})
	}
	epoch := time.Unix(1e9, 0)
	var now, used time.Duration
	usage := newUsageMeter(1, func() time.Duration { return used })
	lag := &lagMeter{}
	inFlight := 0
	for queue.Len() > 0 {
		j := heap.Pop(queue).(job)
		now = max(now, j.at)
		work := func(d time.Duration) {
			used += d
			now += d
			if quota > 0 && now%quota > quota/2 {
				now += quota - now%quota // half of each period is the process's
			}
		}
		switch {
		case j.request == nil:
			lag.begin(epoch.Add(j.at))
			lag.end(epoch.Add(now))
			if l != nil {
				scale := 1.0
				if quota > 0 {
					scale = 2
				}
				l.Update(Load{InFlight: inFlight, Usage: scale * usage.sample(epoch.Add(now)), Lag: lag.mean(epoch.Add(now)), Others: others}, epoch.Add(now))
			}
			out.inFlight = append(out.inFlight, inFlight)
		case j.event == 0:
			counted := j.at >= modelSettled
			if l != nil && !l.Admit(inFlight, epoch.Add(now)) {
				work(closeCost)
				if counted {
					out.refused++
				}
				continue
			}
			inFlight++
			work(beginCost)
			j.request.lastDone, j.request.counted = j.at, counted
			if counted {
				out.read++
			}
			heap.Push(queue, job{at: now + eventGap, request: j.request, event: 1})
		default:
			r := j.request
			work(eventCost)
			r.late = r.late || now-j.at > passEvent
			if now-r.lastDone > giveUpAfter {
				inFlight--
				continue
			}
			r.lastDone = now
			if j.event < events {
				heap.Push(queue, job{at: max(now, j.at+eventGap), request: r, event: j.event + 1})
				continue
			}
			inFlight--
			if now < modelSettled || now > modelTime {
				continue
			}
			out.whole++
			if r.counted && r.late {
				out.late++
			}
		}
	}
	return out
}

// Beyond its capacity, a process goes on to serve as much as at its capacity and passes events on
// in time. Without a limit it serves less than half of that.
func TestGoodputIsFlatBeyondTheCapacity(t *testing.T) {
	unlimited := runModel(2*capacity, 0, nil, 0, 1)
	require.Less(t, unlimited.perSecond(), runModel(capacity, 0, &Limiter{}, 0, 1).perSecond()/2, "the model is overloaded")
	for _, quota := range []time.Duration{0, 100 * time.Millisecond} {
		full := capacity
		if quota > 0 {
			full /= 2
		}
		base := runModel(full, 0, &Limiter{}, quota, 1)
		for _, factor := range []float64{2, 4, 8} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("quota=%s/factor=%g/seed=%d", quota, factor, seed), func(t *testing.T) {
					got := runModel(factor*full, 0, &Limiter{}, quota, seed)
					t.Logf("%.1f a second whole, %d of %d late, %d refused; %.1f and %d late of %d at the capacity %.1f",
						got.perSecond(), got.late, got.whole, got.refused, base.perSecond(), base.late, base.whole, full)
					require.GreaterOrEqual(t, got.perSecond(), 0.9*base.perSecond())
					require.LessOrEqual(t, got.late, got.whole/50)
					settled := got.inFlight[int(modelSettled/UpdateInterval):int(modelTime/UpdateInterval)]
					mean := 0
					for _, n := range settled {
						mean += n
					}
					mean /= len(settled)
					require.Greater(t, slices.Min(settled), mean/2, "the process is never nearly empty")
					require.Less(t, slices.Max(settled), 2*mean)
				})
			}
		}
	}
}

// Below its capacity a process refuses nothing, and while the others are full as well it refuses
// only what would be late.
func TestNothingIsRefusedWithoutNeed(t *testing.T) {
	require.Zero(t, runModel(0.6*capacity, 0, &Limiter{}, 0, 1).refused)
	require.Zero(t, runModel(0.9*capacity, 1, &Limiter{}, 0, 1).refused, "the others are full")
}

// A process that is ready admits connections also while it is overloaded.
func TestSomeConnectionsAreAlwaysAdmitted(t *testing.T) {
	l := &Limiter{}
	now := time.Unix(1e9, 0)
	admitted := 0
	for range 100 {
		now = now.Add(UpdateInterval)
		l.Update(Load{InFlight: 50, Usage: 1, Lag: time.Second}, now)
		if l.Admit(50, now) {
			admitted++
		}
	}
	require.InDelta(t, 10, admitted, 1)
}

// The limit is lifted once the load has fallen.
func TestLimitIsLifted(t *testing.T) {
	l := &Limiter{}
	now := time.Unix(1e9, 0)
	l.Update(Load{InFlight: 50, Usage: 1}, now)
	require.Equal(t, 40, l.Limit())
	require.Equal(t, 1, admittedOf(2, l, 50, now), "one a second")
	for range 12 {
		now = now.Add(UpdateInterval)
		l.Update(Load{InFlight: 5, Usage: 0.2}, now)
	}
	require.Zero(t, l.Limit())
	require.Equal(t, 9, admittedOf(9, l, 1000, now))
}

// A limit that is still reached grows while there is no load to measure, as after the other
// processes have become full.
func TestLimitGrowsWithoutPressure(t *testing.T) {
	l := &Limiter{}
	now := time.Unix(1e9, 0)
	l.Update(Load{InFlight: 0, Usage: 1}, now)
	require.Equal(t, minLimit, l.Limit())
	for range 50 {
		now = now.Add(UpdateInterval)
		admittedOf(20, l, 20, now)
		l.Update(Load{InFlight: 20, Others: 1}, now)
	}
	require.Greater(t, l.Limit(), 20)
}

// admittedOf returns how many of n connections are admitted.
func admittedOf(n int, l *Limiter, inFlight int, now time.Time) (admitted int) {
	for range n {
		if l.Admit(inFlight, now) {
			admitted++
		}
	}
	return admitted
}
