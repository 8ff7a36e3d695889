package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/dispatch"
	"github.com/snowspoke/snowspoke/internal/baseline"
	"github.com/snowspoke/snowspoke/topology"
)

// policies are the policy of this project and what it is measured against.
var policies = []struct {
	name string
	make func() dispatch.Policy
}{
	{"snowspoke", nil},
	{"first_version", func() dispatch.Policy { return baseline.First }},
	{"least_in_flight", func() dispatch.Policy { return baseline.LeastInFlight }},
	{"round_robin", func() dispatch.Policy { return baseline.NewRoundRobin() }},
	{"random", func() dispatch.Policy { return baseline.Random }},
}

const seeds = 3

// saturate loads a lab beyond its bound and returns the share of the bound that
// is delivered once it runs full.
func saturate(s labSpec) float64 {
	l := newLab(s)
	bound := l.bound()
	began := time.Now()
	rs := l.run(load{rate: 1.3 * bound / labTokens, length: 20 * time.Second})
	l.stop()
	time.Sleep(10 * time.Second)
	return rate(rs, began.Add(8*time.Second), began.Add(20*time.Second)) / bound
}

func benchSaturation(b *testing.B, s labSpec) {
	for _, p := range policies {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				least, sum := 1e9, 0.0
				for seed := range uint64(seeds) {
					s.seed, s.policy = seed+1, p.make
					var got float64
					virtual(b, func() { got = saturate(s) })
					least = min(least, got)
					sum += got
				}
				b.ReportMetric(sum/seeds, "bound_ratio")
				b.ReportMetric(least, "bound_ratio_min")
			}
		})
	}
}

// Four accelerator kinds, links that differ a hundredfold, one daemon.
func BenchmarkPolicySaturation(b *testing.B) {
	benchSaturation(b, labSpec{daemons: 1, stages: 4, width: 8, slow: true})
}

// The same with load reports 2 s late and 8 daemons that decide on their own.
func BenchmarkPolicyLateReports(b *testing.B) {
	benchSaturation(b, labSpec{daemons: 8, stages: 4, width: 8, slow: true, lag: 2 * time.Second})
}

// overloadResult sums up a run beyond the bound.
type overloadResult struct {
	goodput   float64 // tokens a second of whole answers in time
	refusal   time.Duration
	late      float64 // share of refusals after the first 10 ms
	alerts    float64 // share of the high-priority tenth that is whole and in time
	fairShare float64 // least share of its due that a workspace other than the greedy one got
}

const (
	overloadDeadline = 4 * time.Second
	overloadLength   = 30 * time.Second
	overloadWarmUp   = 10 * time.Second
	modestOnes       = 5
)

// overload sends factor times the bound: half of it from one greedy workspace,
// the rest from five modest ones, a tenth of all with high priority.
func overload(s labSpec, factor float64) overloadResult {
	l := newLab(s)
	bound := l.bound()
	ws := []*topology.Workspace{{Name: "greedy"}}
	for i := range modestOnes {
		ws = append(ws, &topology.Workspace{Name: fmt.Sprint("modest", i)})
	}
	began := time.Now()
	rs := l.run(load{
		rate: factor * bound / labTokens, length: overloadLength, deadline: overloadDeadline,
		workspace: func(r *rand.Rand) *topology.Workspace {
			if r.IntN(2) == 0 {
				return ws[0]
			}
			return ws[1+r.IntN(modestOnes)]
		},
		priority: func(r *rand.Rand) int { return max(0, r.IntN(10)-8) },
	})
	l.stop()
	time.Sleep(10 * time.Second)
	return judgeOverload(rs, began.Add(overloadWarmUp), began.Add(overloadLength))
}

func judgeOverload(rs []*result, from, to time.Time) overloadResult {
	var out overloadResult
	var refusals []time.Duration
	alerts, alertsOK, late := 0, 0, 0
	served, asked := map[string]float64{}, map[string]float64{}
	total := 0.0
	for _, r := range rs {
		if r.began.Before(from) {
			continue
		}
		ok := r.err == nil && r.took <= overloadDeadline
		if r.priority > 0 {
			alerts++
			if ok {
				alertsOK++
			}
		}
		if r.priority == 0 {
			asked[r.workspace]++
		}
		if ok {
			total += float64(r.tokens)
			if r.priority == 0 {
				served[r.workspace]++
			}
		}
		if r.err != nil && apierror.Lookup(r.err.Kind).Ran == apierror.RanNo {
			refusals = append(refusals, r.took)
			if r.took > 10*time.Millisecond {
				late++
			}
		}
	}
	slices.Sort(refusals)
	out.goodput = total / to.Sub(from).Seconds()
	out.alerts = float64(alertsOK) / float64(max(1, alerts))
	if n := len(refusals); n > 0 {
		out.refusal, out.late = refusals[n*99/100], float64(late)/float64(n)
	}
	out.fairShare = leastShare(served, asked)
	return out
}

// leastShare compares what modest workspaces got with their due: an equal share
// of all that was served, or what they asked for if that is less.
func leastShare(served, asked map[string]float64) float64 {
	sum := 0.0
	for _, n := range served {
		sum += n
	}
	least := 1e9
	for name, n := range asked {
		if name != "greedy" {
			least = min(least, served[name]/min(n, sum/(modestOnes+1)))
		}
	}
	return least
}

// Three times the bound, with deadlines.
func BenchmarkPolicyOverload(b *testing.B) {
	s := labSpec{daemons: 2, stages: 3, width: 6, limit: 32}
	for b.Loop() {
		worst := overloadResult{goodput: 1e9, alerts: 1, fairShare: 1e9}
		ratio := 1e9
		for seed := range uint64(seeds) {
			s.seed = seed + 1
			var peak, got overloadResult
			virtual(b, func() { peak = overload(s, 0.9) })
			virtual(b, func() { got = overload(s, 3) })
			ratio = min(ratio, got.goodput/peak.goodput)
			worst.alerts = min(worst.alerts, got.alerts)
			worst.fairShare = min(worst.fairShare, got.fairShare)
			worst.refusal = max(worst.refusal, got.refusal)
			worst.late = max(worst.late, got.late)
		}
		b.ReportMetric(ratio, "goodput_ratio")
		b.ReportMetric(worst.alerts, "alerts_in_time")
		b.ReportMetric(worst.fairShare, "fair_share")
		b.ReportMetric(float64(worst.refusal.Milliseconds()), "refusal_p99_ms")
		b.ReportMetric(worst.late, "late_refusals")
	}
}
