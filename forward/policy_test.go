package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
)

// labSeeds are the seeds of each benchmark, of which the worst is reported.
const labSeeds = 3

// labRate is the streams a second of the users' sites at their busiest.
const labRate = 64

func percentile(of []time.Duration, p float64) time.Duration {
	if len(of) == 0 {
		return 0
	}
	slices.Sort(of)
	return of[min(len(of)-1, int(p*float64(len(of))))]
}

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// BenchmarkSaturation offers four times the usual rate: how much of what the
// layout holds is in use, and how many streams are whole, and in time, of those at
// the usual rate.
func BenchmarkSaturation(b *testing.B) {
	for b.Loop() {
		bound, goodput := 1e9, 1e9
		for seed := range uint64(labSeeds) {
			virtual.Run(b, func() {
				usual, over := newLab(seed), newLab(seed)
				usual.run(labRate, 20*time.Second)
				over.run(4*labRate, 20*time.Second)
				bound = min(bound, float64(over.mostIn)/float64(over.bound()))
				goodput = min(goodput, float64(over.inTime)/float64(usual.inTime))
			})
		}
		b.ReportMetric(bound, "bound_ratio")
		b.ReportMetric(goodput, "goodput_ratio")
	}
}

// BenchmarkGaps runs the usual rate with nothing wrong.
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

// Sixty daemons that have just started know nothing of each other's loads, and their
// callers come within seconds. When each took the path that looked cheapest, the
// heads of the fastest paths ran out of slots and 31 of 344 requests were refused.
func TestFleetThatStartsServesItsCallers(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		l := newFleetLab(1, 60)
		room := float64(l.bound())
		l.run(0.6*room/3, 3*time.Second)
		require.Zero(t, l.refused)
		require.Zero(t, l.cut)
		require.Greater(t, float64(l.inTime), 0.95*float64(l.whole))
	})
}

// losses are the ways in which a card is lost.
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

// lose runs the usual rate and loses a card in the middle.
func lose(seed uint64, layer int, silent bool) *lab {
	l := newLab(seed)
	time.AfterFunc(6*time.Second, func() { l.kill(layer, silent) })
	l.run(labRate, 10*time.Second)
	return l
}

// BenchmarkRecovery reports the time from a lost card to the next event at the
// caller, by how it was lost.
func BenchmarkRecovery(b *testing.B) {
	for _, c := range losses {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				var gaps []time.Duration
				cut := 0
				for seed := range uint64(labSeeds) {
					virtual.Run(b, func() {
						l := lose(seed, c.layer, c.silent)
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

// However a card is lost, no stream is cut off, and each goes on within a time at
// which its caller is still there.
func TestStreamsOutliveALostCard(t *testing.T) {
	for _, c := range losses {
		t.Run(c.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				l := lose(1, c.layer, c.silent)
				require.Zero(t, l.cut)
				require.NotEmpty(t, l.recovered, "the busiest card was lost")
				require.Less(t, percentile(l.recovered, 0.99), 2*time.Second)
				require.Greater(t, l.whole, 9*labRate)
			})
		})
	}
}
