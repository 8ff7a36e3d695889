package pipeline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// placedSite returns the placed servers of siteServers, each domain of which holds one path.
func placedSite(t testing.TB, e *site.Engine) []Candidate {
	t.Helper()
	servers := siteServers()
	placeUntilStable(t, e, servers)
	return candidates(servers)
}

// longDemand returns an exact demand for long prompts.
func longDemand(perSecond float64) LongDemand {
	return LongDemand{PerSecond: perSecond, Tokens: 8000, Objective: 3 * time.Second}
}

// Guards against daemons that select different paths for long prompts although they know the
// same layout: the order of the candidates and the error of a measured demand must not matter.
func TestDaemonsSelectTheSamePathsForLongPrompts(t *testing.T) {
	e := testEngine()
	cs := placedSite(t, e)
	want := PlanLongPrompts(e, cs, longDemand(4), 0, &LongPlan{})
	require.Len(t, want.Paths, 1, want.Reason)
	r := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		r.Shuffle(len(cs), func(i, j int) { cs[i], cs[j] = cs[j], cs[i] })
		d := longDemand(4 * (0.4 + 0.8*r.Float64()))
		got := PlanLongPrompts(e, cs, d, 0, &LongPlan{})
		require.True(t, got.Equal(&want), "%v", d)
	}
	few := longDemand(12)
	few.Error = 0.6 // three prompts by chance where one was due
	got := PlanLongPrompts(e, cs, few, 0, &LongPlan{})
	require.True(t, got.Equal(&want))
}

// Guards against requests that find no path because a backend server counts for both kinds, and
// against a path of long prompts that is not complete.
func TestLongAndShortPromptsShareNoServer(t *testing.T) {
	e := testEngine()
	cs := fleetServers(t, e)
	plan := PlanLongPrompts(e, cs, longDemand(9), 0, &LongPlan{})
	require.True(t, plan.Active(), plan.Reason)
	for _, p := range plan.Paths {
		require.NoError(t, p.CheckTiling(e.Layers))
	}
	n := plan.Partition(cs, true)
	for i, c := range cs {
		used := false
		for _, p := range plan.Paths {
			used = used || p.Uses(c.Server.ID)
		}
		require.Equal(t, i < n, used, c.Server.ID)
	}
	require.Equal(t, len(cs)-n, plan.Partition(cs, false))
	for _, part := range [][]Candidate{cs[:len(cs)-n], cs[len(cs)-n:]} {
		c, err := Choose(query(e, "a"), part, nil)
		require.NoError(t, err)
		require.NoError(t, c.Path.CheckTiling(e.Layers))
	}
}

// Guards against a small change of the demand that moves all long prompts: more demand adds paths,
// and a path in use is kept while the demand falls a little.
func TestPathsForLongPromptsFollowTheDemand(t *testing.T) {
	e := testEngine()
	cs := fleetServers(t, e)
	previous := LongPlan{}
	most := 0
	for _, perSecond := range []float64{0.01, 2, 5, 8} {
		plan := PlanLongPrompts(e, cs, longDemand(perSecond), 0, &LongPlan{})
		require.True(t, plan.Active(), "%v: %s", perSecond, plan.Reason)
		require.GreaterOrEqual(t, len(plan.Paths), len(previous.Paths))
		for i, p := range previous.Paths {
			require.Equal(t, p.String(), plan.Paths[i].String())
		}
		previous, most = plan, len(plan.Paths)
	}
	require.Greater(t, most, 1)
	kept := PlanLongPrompts(e, cs, longDemand(8*0.9), 0, &previous)
	require.True(t, kept.Equal(&previous))
	fewer := PlanLongPrompts(e, cs, longDemand(1), 0, &previous)
	require.Len(t, fewer.Paths, 1)
}

// Guards against long prompts that take the capacity which the others need, or that queue without
// bound on paths of their own.
func TestNoPathsForLongPromptsWithoutCapacity(t *testing.T) {
	e := testEngine()
	cs := placedSite(t, e)
	capacity := totalCapacity(e, cs)
	for _, c := range []struct {
		name     string
		cs       []Candidate
		demand   LongDemand
		inFlight float64
		used     LongPlan
		reason   string
	}{
		{"no demand", cs, LongDemand{}, 0, LongPlan{}, ReasonNoDemand},
		{"some", cs, longDemand(4), 0, LongPlan{}, ""},
		{"busy", cs, longDemand(4), 0.9 * capacity, LongPlan{}, ReasonNoRest},
		{"half busy", cs, longDemand(4), 0.4 * capacity, LongPlan{}, ""},
		{"all long", cs, longDemand(60), 0, LongPlan{}, ReasonTooMany},
		{"two paths", append(domainOf(cs, "b"), domainOf(cs, "c")...), longDemand(1), 0, LongPlan{}, ""},
		{"one path", domainOf(cs, "b"), longDemand(1), 0, LongPlan{}, ReasonNoRest},
		{"no servers", nil, longDemand(1), 0, LongPlan{}, ReasonNoPath},
	} {
		plan := PlanLongPrompts(e, c.cs, c.demand, c.inFlight, &c.used)
		require.Equal(t, c.reason, plan.Reason, c.name)
		require.Equal(t, c.reason == "", plan.Active(), c.name)
	}
}

func domainOf(cs []Candidate, domain string) []Candidate {
	var out []Candidate
	for _, c := range cs {
		if c.Server.FailureDomain == domain {
			out = append(out, c)
		}
	}
	return out
}

// Guards against a demand or a number of requests near a bound that switches the paths off and on.
func TestPathsInUseAreKeptNearTheBounds(t *testing.T) {
	e := testEngine()
	cs := placedSite(t, e)
	used := PlanLongPrompts(e, cs, longDemand(4), 0, &LongPlan{})
	require.True(t, used.Active(), used.Reason)
	limit := 4 / used.Load * maxLongLoad
	require.False(t, planFor(e, cs, limit*1.05, 0, &LongPlan{}).Active())
	require.True(t, planFor(e, cs, limit*1.05, 0, &used).Active())
	rest := append([]Candidate(nil), cs...)
	bound := totalCapacity(e, rest[:used.Partition(rest, false)]) * maxRestLoad
	require.False(t, planFor(e, cs, 4, bound*1.05, &LongPlan{}).Active())
	require.True(t, planFor(e, cs, 4, bound*1.05, &used).Active())
}

func planFor(e *site.Engine, cs []Candidate, perSecond, inFlight float64, used *LongPlan) *LongPlan {
	plan := PlanLongPrompts(e, cs, longDemand(perSecond), inFlight, used)
	return &plan
}

// Guards against paths that are too slow for the long prompts: a slowed backend server is not
// used, and of the paths that are fast enough the slowest is, or else the fastest of all.
func TestPathsForLongPromptsAreFastEnough(t *testing.T) {
	e := choiceEngine()
	e.Prompt, e.Answer = 500, 100
	cs := append(twoPipelines(e), twoPipelines(e)...)
	for i := 4; i < 8; i++ { // a second path of each kind
		s := *cs[i].Server
		s.ID, s.FailureDomain = s.ID+"b", s.FailureDomain+"b"
		cs[i].Server = &s
	}
	head := func(tokens float64, objective time.Duration) string {
		plan := PlanLongPrompts(e, cs, LongDemand{PerSecond: 0.1, Tokens: tokens, Objective: objective}, 0, &LongPlan{})
		require.True(t, plan.Active(), plan.Reason)
		return plan.Paths[0][0].Server.ID
	}
	require.Equal(t, "slow0", head(10000, 3*time.Second), "300 ms")
	require.Equal(t, "fast0", head(10000, 500*time.Millisecond), "100 ms within half the objective")
	require.Equal(t, "slow0", head(10000, 0), "without an objective")
	require.Equal(t, "fast0", head(100000, 3*time.Second), "none is fast enough")
	cs[3].Load.Slowdown = 2
	require.Equal(t, "slow0b", head(10000, 3*time.Second))
}

// Guards against a changed treatment of requests while there are no long prompts, and against
// paths that are kept for long prompts that do not come any more.
func TestMixIsActiveWhileLongPromptsCome(t *testing.T) {
	e := testEngine()
	now := time.Unix(1000, 0)
	var m PromptMix
	limit := longPromptFactor * float64(e.Prompt)
	for _, tokens := range []float64{200, 0, -1, limit} {
		m.Add(e, tokens, time.Second, 0, now)
		require.False(t, m.Active(now), "%v tokens", tokens)
		require.Zero(t, m.Demand(6, now).PerSecond)
	}
	m.Add(e, limit+1, 3*time.Second, 0, now)
	require.True(t, m.Active(now.Add(LongPromptMemory)))
	require.False(t, m.Active(now.Add(LongPromptMemory+1)))
	require.Equal(t, 3*time.Second, m.Demand(1, now).Objective)
	later := now.Add(LongPromptMemory + 1)
	m.Add(e, 200, time.Second, 0, later)
	require.Zero(t, m.Demand(1, later).PerSecond, "what was long ago does not count again")
	require.False(t, IsLongPrompt(&site.Engine{}, 1e6), "without a typical prompt none is long")
}

// Guards against a demand that is wrong by a factor at daemons with few or with many requests,
// right after a start or later.
func TestMeasuredDemandOfLongPrompts(t *testing.T) {
	e := testEngine()
	for _, daemons := range []int{1, 60, 300} {
		for _, lasts := range []time.Duration{20 * time.Second, 10 * time.Minute} {
			const perSecond = 5.0
			r := rand.New(rand.NewPCG(3, uint64(daemons)))
			above, runs := 0, 200
			sum := 0.0
			for range runs {
				var m PromptMix
				start := time.Unix(1000, 0)
				m.Add(e, 200, 0, 0, start)
				for at := 0.0; ; {
					at += r.ExpFloat64() / perSecond * float64(daemons)
					if at > lasts.Seconds() {
						break
					}
					m.Add(e, 8000, 0, 0, start.Add(time.Duration(at*float64(time.Second))))
				}
				d := m.Demand(daemons, start.Add(lasts))
				sum += d.PerSecond / perSecond
				if d.atLeast(2) > 1.1*perSecond {
					above++
				}
			}
			require.InDelta(t, 1, sum/float64(runs), 0.25, "%d daemons, %v", daemons, lasts)
			require.LessOrEqual(t, float64(above)/float64(runs), 0.03, "%d daemons, %v", daemons, lasts)
		}
	}
}

// Guards against paths for long prompts that are kept although the others need their capacity,
// while the loads of the other daemons are unknown.
func TestMeanNumberOfRequestsInFlight(t *testing.T) {
	e := testEngine()
	now := time.Unix(1000, 0)
	var m PromptMix
	require.Zero(t, m.InFlight(60, now))
	for _, inFlight := range []int{4, 6} {
		m.Add(e, 200, 0, inFlight, now)
	}
	require.Less(t, m.InFlight(60, now), 0.7*300, "two requests say little")
	for range 600 {
		now = now.Add(time.Second)
		m.Add(e, 200, 0, 4+2*(int(now.Unix())%2), now)
	}
	require.InDelta(t, 300, m.InFlight(60, now), 60)
	require.Less(t, m.InFlight(60, now.Add(time.Hour)), 1.0, "requests that ended do not count")
}

// manyCandidates returns at least n placed servers.
func manyCandidates(t testing.TB, e *site.Engine, n int) []Candidate {
	t.Helper()
	base := placedSite(t, e)
	var cs []Candidate
	for i := 0; len(cs) < n; i++ {
		for _, c := range base {
			s := *c.Server
			s.ID, s.Address = fmt.Sprint(s.ID, "-", i), fmt.Sprint(s.Address, "-", i)
			cs = append(cs, Candidate{Server: &s})
		}
	}
	return cs
}

// BenchmarkLongPrompts measures the decision on one request among 600 servers: without paths for
// long prompts, and for a short and a long prompt with them. partition is the added part alone,
// and plan is the selection of the paths, which is not made for each request.
func BenchmarkLongPrompts(b *testing.B) {
	e := testEngine()
	cs := manyCandidates(b, e, 600)
	plan := PlanLongPrompts(e, cs, longDemand(50), 0, &LongPlan{})
	require.True(b, plan.Active(), plan.Reason)
	r := rand.New(rand.NewPCG(1, 2))
	choose := func(cs []Candidate) {
		q := query(e, "a")
		q.Jitter = 0.25
		if _, err := Choose(q, cs, r); err != nil {
			b.Fatal(err)
		}
	}
	b.Run("shared", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			choose(cs)
		}
	})
	for _, long := range []bool{false, true} {
		b.Run(fmt.Sprintf("long=%t", long), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				choose(cs[:plan.Partition(cs, long)])
			}
		})
	}
	b.Run("partition", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			plan.Partition(cs, false)
		}
	})
	b.Run("plan", func(b *testing.B) {
		for b.Loop() {
			PlanLongPrompts(e, cs, longDemand(50), 0, &plan)
		}
	})
}
