package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
)

// labSeeds is the number of seeds that each benchmark runs.
const labSeeds = 3

// labRate is the peak rate of streams per second of a typical site.
const labRate = 64

func percentile(of []time.Duration, p float64) time.Duration {
	if len(of) == 0 {
		return 0
	}
	slices.Sort(of)
	return of[min(len(of)-1, int(p*float64(len(of))))]
}

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// BenchmarkSaturation runs four times the typical rate. It reports the used fraction of the
// layout's capacity, and the number of streams in time as a fraction of the number at the
// typical rate.
func BenchmarkSaturation(b *testing.B) {
	for b.Loop() {
		bound, goodput := 1e9, 1e9
		for seed := range uint64(labSeeds) {
			virtual.Run(b, func() {
				typical, over := newLab(seed), newLab(seed)
				typical.run(labRate, 20*time.Second)
				over.run(4*labRate, 20*time.Second)
				bound = min(bound, float64(over.maxInFlight)/float64(over.capacity()))
				goodput = min(goodput, float64(over.inTime)/float64(typical.inTime))
			})
		}
		b.ReportMetric(bound, "bound_ratio")
		b.ReportMetric(goodput, "goodput_ratio")
	}
}

// BenchmarkGaps measures the pauses between events at the typical rate without failures.
func BenchmarkGaps(b *testing.B) {
	for b.Loop() {
		worst := time.Duration(0)
		for seed := range uint64(labSeeds) {
			virtual.Run(b, func() {
				l := newLab(seed)
				l.run(labRate, 20*time.Second)
				worst = max(worst, percentile(l.gaps, 0.99))
			})
		}
		b.ReportMetric(inMS(worst), "gap_p99_ms")
	}
}

// Daemons that have just started do not know each other's loads. They must not all use the
// cheapest path, whose head would run out of slots.
func TestStartingFleetServesRequests(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newFleetLab(1, 60)
		capacity := float64(l.capacity())
		l.run(0.6*capacity/3, 3*time.Second)
		require.Zero(t, l.refused)
		require.Zero(t, l.cut)
		require.Greater(t, float64(l.inTime), 0.95*float64(l.completed))
	})
}

// losses are the ways in which a server is lost.
var losses = []struct {
	name   string
	layer  int
	silent bool
}{
	{"head_killed", 0, false},
	{"head_silent", 0, true},
	{"middle_killed", 40, false},
	{"middle_silent", 40, true},
}

// lossTimes returns the time of a loss, from the start of a run, and the length of the run. Both
// are shorter under the race detector, where a run takes ten times as long.
func lossTimes() (at, length time.Duration) {
	if virtual.RaceDetector {
		return 3 * time.Second, 5 * time.Second
	}
	return 6 * time.Second, 10 * time.Second
}

// runWithLoss runs the typical rate and kills a server during the run.
func runWithLoss(seed uint64, layer int, silent bool) *lab {
	l := newLab(seed)
	at, length := lossTimes()
	time.AfterFunc(at, func() { l.kill(layer, silent) })
	l.run(labRate, length)
	time.Sleep(maxWatch)
	return l
}

// maxWatch exceeds the time for which a lost server is watched.
const maxWatch = 12 * time.Second

// BenchmarkRecovery measures the time from the loss of a server to the next event at the
// caller.
func BenchmarkRecovery(b *testing.B) {
	for _, c := range losses {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				var gaps []time.Duration
				cut := 0
				for seed := range uint64(labSeeds) {
					virtual.Run(b, func() {
						l := runWithLoss(seed, c.layer, c.silent)
						gaps = append(gaps, l.recovered...)
						cut += l.cut
					})
				}
				b.ReportMetric(inMS(percentile(gaps, 0.5)), "recovery_p50_ms")
				b.ReportMetric(inMS(percentile(gaps, 0.99)), "recovery_p99_ms")
				b.ReportMetric(float64(len(gaps))/labSeeds, "interrupted")
				b.ReportMetric(float64(cut), "cut")
			}
		})
	}
}

// Streams that lose a hop are resumed before their callers give up. No stream is cut.
func TestStreamsSurviveServerLoss(t *testing.T) {
	for _, c := range losses {
		t.Run(c.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				l := runWithLoss(1, c.layer, c.silent)
				require.Zero(t, l.cut)
				require.NotEmpty(t, l.recovered, "the busiest server was lost")
				require.Less(t, percentile(l.recovered, 0.99), 2*time.Second)
				_, length := lossTimes()
				require.Greater(t, float64(l.completed), 0.9*labRate*length.Seconds())
			})
		})
	}
}
