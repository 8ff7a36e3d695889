package forward

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
)

// Bounds of docs/design/hard-load.md.
const (
	// minUrgentInTime is the least proportion of requests of priorities 0 and 1 that are
	// served in time, of those sent during the peak.
	minUrgentInTime = 0.95
	// minTotalInTime is the least number of requests served in time, as a fraction of that
	// without load shedding.
	minTotalInTime = 0.95
	// minLeastShare is the least proportion of admitted requests of a class, as a fraction
	// of that of all requests.
	minLeastShare = 0.25
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = classTimeout / 3
)

// Callers of priority 2 that ask for more than the capacity must not cause urgent requests to
// be refused or late, nor begun streams to be cut, and fewer requests must not be served in
// time than without load shedding. Refused callers must learn it at once, and must not be
// told to return together or later than they can.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	for _, daemons := range []int{1, 6, 60, 300} {
		if daemons >= maxRaceFleet && virtual.RaceDetector {
			continue
		}
		t.Run(fmt.Sprint("daemons=", daemons), func(t *testing.T) {
			load := contendedLoad(daemons)
			r := runClasses(t, load)
			r.log(t)
			r.assertUrgentServed(t)
			r.assertRefusals(t)
			assertTotal(t, r, load)
		})
	}
}

// A request of the least urgent class that finds no capacity under contention must learn it at once,
// and must not be told to return sooner than capacity may be free.
func TestLeastUrgentRequestsAreRefusedAtOnce(t *testing.T) {
	for _, daemons := range []int{6, manyDaemons()} {
		t.Run(fmt.Sprint("daemons=", daemons), func(t *testing.T) {
			r := runClasses(t, contendedLoad(daemons))
			r.log(t)
			r.assertRefusals(t)
		})
	}
}

// Urgent requests must be served first also while some daemons do not know the demand of the
// others or are not known to them.
func TestUrgentRequestsAreServedFirstDuringFaults(t *testing.T) {
	for _, fault := range []classFault{lateLoads, restarts, cutLinks} {
		t.Run(fault.String(), func(t *testing.T) {
			load := contendedLoad(60)
			load.fault = fault
			r := runClasses(t, load)
			r.log(t)
			r.assertUrgentServed(t)
		})
	}
}

// assertUrgentServed checks the requests of priorities 0 and 1 during the peak.
func (r *classResult) assertUrgentServed(t *testing.T) {
	t.Helper()
	for p := range classes - 1 {
		assert.GreaterOrEqual(t, r.peak[p].inTimeShare(), minUrgentInTime, "priority %d", p)
	}
	assert.Zero(t, r.total().cut, "streams that had begun")
}

// assertRefusals checks the time that refusals take and that they state.
func (r *classResult) assertRefusals(t *testing.T) {
	t.Helper()
	refused := r.peak[classes-1]
	require.NotEmpty(t, refused.retryAfter)
	assert.Zero(t, refused.slowestRefusal)
	assert.GreaterOrEqual(t, slices.Min(refused.retryAfter), minRetryAfter)
	assert.LessOrEqual(t, slices.Max(refused.retryAfter), maxRetryAfter)
	different := slices.Compact(slices.Sorted(slices.Values(refused.retryAfter)))
	assert.Greater(t, len(different), refused.refused/2, "different times")
}

// While urgent callers alone ask for more than the capacity, the least urgent class must still
// be served.
func TestLeastUrgentClassIsNotStarved(t *testing.T) {
	load := contendedLoad(manyDaemons())
	load.peak = [classes]float64{100, 100, 60}
	r := runClasses(t, load)
	r.log(t)
	var all classCount
	for p := range classes {
		all.add(&r.peak[p])
	}
	least := r.peak[classes-1].admittedShare()
	t.Logf("admitted: %.3f of all, %.3f of priority 2", all.admittedShare(), least)
	assert.GreaterOrEqual(t, least, minLeastShare*all.admittedShare())
}

// Capacity must not be kept for urgent requests that nobody sends.
func TestLeastUrgentClassUsesAllCapacity(t *testing.T) {
	load := contendedLoad(manyDaemons())
	load.base, load.peak = [classes]float64{0, 0, 40}, [classes]float64{0, 0, 240}
	r := runClasses(t, load)
	r.log(t)
	assertTotal(t, r, load)
}

// manyDaemons returns the number of daemons of a large fleet, and fewer under the race detector,
// where a run takes ten times as long.
func manyDaemons() int {
	if virtual.RaceDetector {
		return 6
	}
	return 60
}

// assertTotal compares the requests of a run that were served in time to those of the same load
// without load shedding.
func assertTotal(t *testing.T, r *classResult, load classLoad) {
	t.Helper()
	load.equal = true
	total, without := r.total(), runClasses(t, load).total()
	t.Logf("in time in total: %d, %d without load shedding (%.3f)", total.inTime, without.inTime, float64(total.inTime)/float64(without.inTime))
	assert.GreaterOrEqual(t, float64(total.inTime), minTotalInTime*float64(without.inTime))
}

// Bounds of the returns of refused callers.
const (
	returnWindow = 250 * time.Millisecond
	// maxReturnPeak is the largest number of callers that return within a returnWindow, as a
	// multiple of the mean.
	maxReturnPeak = 3
)

// Refused callers that return when they are told to must not displace urgent requests, nor
// return in a wave.
func TestRefusedCallersReturnSpreadOut(t *testing.T) {
	load := contendedLoad(60)
	load.returns = true
	r := runClasses(t, load)
	r.log(t)
	r.assertUrgentServed(t)
	least := r.peak[classes-1]
	require.NotEmpty(t, least.returned)
	slices.SortFunc(least.returned, time.Time.Compare)
	first, last := least.returned[0], least.returned[len(least.returned)-1]
	byWindow := make([]int, last.Sub(first)/returnWindow+1)
	for _, at := range least.returned {
		byWindow[at.Sub(first)/returnWindow]++
	}
	mean := float64(len(least.returned)) / float64(len(byWindow))
	t.Logf("%d callers returned within %v, %d of them served in time; in one window %.1f on average, at most %d",
		len(least.returned), last.Sub(first), least.returnsServed, mean, slices.Max(byWindow))
	assert.LessOrEqual(t, float64(slices.Max(byWindow)), maxReturnPeak*mean)
}
