package shedding

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// maxMin returns the fraction of each demand by max-min fairness with the lower bound of a
// workspace, computed from exact demands by a method of its own: the level is raised in small
// steps.
func maxMin(demands []float64, fraction float64) []float64 {
	total, largest := 0.0, 0.0
	for _, d := range demands {
		total += d
		largest = max(largest, d)
	}
	out := make([]float64, len(demands))
	for step := 1; ; step++ {
		level := float64(step) * largest / 100000
		admitted := 0.0
		for i, d := range demands {
			out[i] = max(0.4*fraction, min(1, level/d))
			admitted += out[i] * d
		}
		if admitted >= fraction*total || step == 100000 {
			return out
		}
	}
}

// feed sends rates[i] requests of one token x layer per second from workspace i, evenly spaced, for
// a minute.
func feed(f *FairShares, class Class, rates []float64) time.Time {
	const seconds = 60
	type event struct {
		at        time.Duration
		workspace int
	}
	var events []event
	for w, rate := range rates {
		n := int(rate * seconds)
		for i := range n {
			at := (float64(i) + 0.5) / float64(n) * seconds
			events = append(events, event{time.Duration(at * float64(time.Second)), w})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	for _, e := range events {
		f.Add(class, workspaceName(e.workspace), 1, start.Add(e.at))
	}
	return start.Add(seconds * time.Second)
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }

// Guards against a division that does not follow max-min fairness if the demand is known well.
func TestFairSharesDivide(t *testing.T) {
	repeat := func(rate float64, n int) []float64 { return slices.Repeat([]float64{rate}, n) }
	tests := []struct {
		name     string
		rates    []float64
		fraction float64
	}{
		{"equal", repeat(10, 20), 0.5},
		{"one", repeat(100, 1), 0.5},
		{"one large", append(repeat(20, 20), 800), 0.6},
		{"one large, lower bound", append(repeat(20, 20), 800), 0.2},
		{"two sizes", append(repeat(20, 10), repeat(100, 10)...), 0.5},
		{"two large", append(repeat(20, 30), 400, 200), 0.5},
		{"two workspaces", []float64{50, 500}, 0.5},
		{"nearly all", append(repeat(20, 20), 800), 0.95},
		{"nearly none", append(repeat(20, 20), 800), 0.02},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := NewFairShares()
			now := feed(f, 7, test.rates)
			fair := maxMin(test.rates, test.fraction)
			total, admitted := 0.0, 0.0
			for w, rate := range test.rates {
				multiple := f.Multiple(7, workspaceName(w), test.fraction, now)
				got := multiple * test.fraction
				if math.Abs(got-fair[w]) > 0.1*fair[w] {
					t.Errorf("workspace %d with %v per second: fraction %.3f, fair is %.3f", w, rate, got, fair[w])
				}
				if multiple < 0.4-1e-9 || got > 1+1e-9 {
					t.Errorf("workspace %d: multiple %v out of range", w, multiple)
				}
				total += rate
				admitted += rate * got
			}
			if math.Abs(admitted/total-test.fraction) > 0.01*test.fraction {
				t.Errorf("admitted %.4f of the class, want %v", admitted/total, test.fraction)
			}
		})
	}
}

// Guards against refusing by workspace where there is no reason to: equal demand, a class that is
// fully admitted, or nothing known.
func TestFairSharesAlike(t *testing.T) {
	f := NewFairShares()
	if got := f.Multiple(3, "w", 0.5, start); got != 1 {
		t.Errorf("without requests: multiple %v", got)
	}
	now := feed(f, 3, slices.Repeat([]float64{2}, 40))
	for w := range 40 {
		if got := f.Multiple(3, workspaceName(w), 0.3, now); math.Abs(got-1) > 1e-6 {
			t.Errorf("equal demand: workspace %d has multiple %v", w, got)
		}
	}
	now = feed(f, 4, []float64{1, 1, 1, 100})
	for _, fraction := range []float64{1, 1.5, 0, -1, math.NaN()} {
		if got := f.Multiple(4, workspaceName(3), fraction, now); got != 1 {
			t.Errorf("fraction %v: multiple %v", fraction, got)
		}
	}
	if got := f.Multiple(5, workspaceName(3), 0.5, now); got != 1 {
		t.Errorf("another class: multiple %v", got)
	}
}

// Guards against invalid sizes and times that make a multiple leave its range.
func TestFairSharesInvalid(t *testing.T) {
	f := NewFairShares()
	for _, kv := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, math.SmallestNonzeroFloat64, 5} {
		f.Add(9, "a", kv, start)
		f.Add(9, "b", kv, start.Add(-time.Hour))
		f.Add(MaxClass+1, "a", kv, start)
	}
	for _, now := range []time.Time{start, start.Add(-time.Minute), start.Add(1000 * time.Hour)} {
		for _, workspace := range []string{"a", "b", "c", ""} {
			got := f.Multiple(9, workspace, 0.5, now)
			if !(got >= 0.4 && got <= 2) {
				t.Errorf("workspace %q: multiple %v", workspace, got)
			}
		}
	}
	if got := f.Multiple(MaxClass+1, "a", 0.5, start); got != 1 {
		t.Errorf("class out of range: multiple %v", got)
	}
}

// Guards against memory that grows with the number of workspaces, and against losing sight of a
// large workspace among many.
func TestFairSharesManyWorkspaces(t *testing.T) {
	f := NewFairShares()
	random := rand.New(rand.NewPCG(1, 1))
	now := start
	for range 60_000 { // 200 per second
		now = now.Add(5 * time.Millisecond)
		workspace := random.IntN(19_000)
		if random.IntN(10) == 0 {
			workspace = 19_000
		}
		f.Add(12, workspaceName(workspace), 1, now)
		c := f.classes[12]
		if len(c.workspaces) > 64 || len(c.index) != len(c.workspaces) {
			t.Fatalf("%d workspaces, %d in the index", len(c.workspaces), len(c.index))
		}
	}
	large, small := f.Multiple(12, workspaceName(19_000), 0.5, now), f.Multiple(12, workspaceName(1), 0.5, now)
	if math.Abs(large-0.4) > 1e-9 || small <= 1 {
		t.Errorf("multiples %v for the large workspace and %v for the others", large, small)
	}
	if got := 0.1*large + 0.9*small; math.Abs(got-1) > 0.02 {
		t.Errorf("admitted %.3f of the class's memory", got)
	}
	f.Add(12, "later", 1, now.Add(5*time.Minute))
	if n := len(f.classes[12].workspaces); n != 1 {
		t.Errorf("%d workspaces are counted after a pause of 5 min, want 1", n)
	}
}

// Guards against fractions that are fair at one daemon with much demand only: 300 daemons, each with
// an independent sample of 4 requests per second, must together admit each workspace at its
// fair fraction, and no single daemon may treat a workspace of mean demand badly by chance.
func TestFairSharesFleet(t *testing.T) {
	const (
		daemons   = 300
		perSecond = 4.0
		warmup    = 20 * time.Second
		length    = 60 * time.Second
	)
	repeat := func(weight float64, n int) []float64 { return slices.Repeat([]float64{weight}, n) }
	tests := []struct {
		name     string
		weights  []float64
		fraction float64
		varied   bool // sizes of requests vary
	}{
		{"12 equal", repeat(1, 12), 0.5, false},
		{"50 equal", repeat(1, 50), 0.3, false},
		{"200 equal", repeat(1, 200), 0.5, false},
		{"50 equal, varied requests", repeat(1, 50), 0.5, true},
		{"half from one", append(repeat(1, 40), 40), 0.5, false},
		{"half from one, varied requests", append(repeat(1, 40), 40), 0.5, true},
		{"half from one, lower bound", append(repeat(1, 40), 40), 0.15, false},
		{"two large of ten", append(repeat(1, 8), 8, 8), 0.5, false},
		{"one of ten times the mean", append(repeat(1, 20), 10), 0.5, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 7))
			cumulative := make([]float64, len(test.weights))
			sum := 0.0
			for i, weight := range test.weights {
				sum += weight
				cumulative[i] = sum
			}
			offered, admitted := make([]float64, len(test.weights)), make([]float64, len(test.weights))
			fair := maxMin(test.weights, test.fraction)
			decisions, bad, badDaemons := 0, 0, 0
			for range daemons {
				f := NewFairShares()
				gate := NewGate(random.Float64)
				for at := start; at.Before(start.Add(time.Minute)); at = at.Add(100 * time.Millisecond) {
					gate.SetFractions([]Fraction{{Class: 1, Part: test.fraction}}, at)
				}
				begin := start.Add(time.Minute)
				sumMultiple, requests := 0.0, 0.0
				for now := begin; now.Before(begin.Add(length)); {
					now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
					w, _ := slices.BinarySearch(cumulative, random.Float64()*sum)
					kv := 1.0
					if test.varied {
						kv = random.ExpFloat64()
					}
					f.Add(1, workspaceName(w), kv, now)
					multiple := f.Multiple(1, workspaceName(w), gate.Fraction(1), now)
					admit := gate.Admit(1, multiple, now)
					if now.Before(begin.Add(warmup)) {
						continue
					}
					offered[w] += kv
					if admit {
						admitted[w] += kv
					}
					if test.weights[w] == test.weights[0] { // the mean but for the large ones
						decisions++
						if multiple*test.fraction < 0.7*fair[w] {
							bad++
						}
						sumMultiple += multiple
						requests++
					}
				}
				if sumMultiple*test.fraction < 0.7*fair[0]*requests {
					badDaemons++
				}
			}
			total, totalAdmitted := 0.0, 0.0
			lowest, highest := math.Inf(1), 0.0
			perWeight := daemons * perSecond * (length - warmup).Seconds() / sum
			groups := map[float64][2]float64{}
			for w := range test.weights {
				total += offered[w]
				totalAdmitted += admitted[w]
				relative := admitted[w] / offered[w] / fair[w]
				lowest, highest = min(lowest, relative), max(highest, relative)
				// The number of admitted requests of one workspace varies at random.
				if tolerance := 0.06 + 4/math.Sqrt(perWeight*test.weights[w]*fair[w]); math.Abs(relative-1) > tolerance {
					t.Errorf("workspace %d of weight %v is admitted at %.2f of its fair fraction, want within %.2f of 1", w, test.weights[w], relative, tolerance)
				}
				g := groups[test.weights[w]]
				groups[test.weights[w]] = [2]float64{g[0] + offered[w], g[1] + admitted[w]}
			}
			t.Logf("admitted %.3f of the class; workspaces at %.2f to %.2f of their fair fraction; %.4f of the decisions and %d daemons below 0.7",
				totalAdmitted/total, lowest, highest, float64(bad)/float64(decisions), badDaemons)
			for weight, g := range groups {
				got, want := g[1]/g[0], fair[slices.Index(test.weights, weight)]
				t.Logf("weight %v: fraction %.3f, fair %.3f", weight, got, want)
				if math.Abs(got-want) > 0.1*want { // at most 0.064 in six seeds
					t.Errorf("workspaces of weight %v are admitted at %.3f, want %.3f", weight, got, want)
				}
			}
			if math.Abs(totalAdmitted/total-test.fraction) > 0.015*test.fraction {
				t.Errorf("admitted %.4f of the class, want %v", totalAdmitted/total, test.fraction)
			}
			if float64(bad) > 0.01*float64(decisions) {
				t.Errorf("%d of %d decisions give a workspace of mean demand less than 0.7 of its fair fraction", bad, decisions)
			}
			if badDaemons > 0 {
				t.Errorf("%d daemons give workspaces of mean demand less than 0.7 of their fair fraction over %v", badDaemons, length-warmup)
			}
		})
	}
}

// BenchmarkFairSharesNewWorkspaces measures requests that each come from another workspace, which
// replaces the smallest one counted.
func BenchmarkFairSharesNewWorkspaces(b *testing.B) {
	f := NewFairShares()
	now := start
	names := make([]string, 19_000)
	for i := range names {
		names[i] = workspaceName(i)
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		f.Add(1, names[i%len(names)], 1000, now)
		f.Multiple(1, names[i%len(names)], 0.5, now)
		i++
	}
}

// BenchmarkFairShares measures a decision with 64 workspaces, with the cached division and with one
// division for each decision.
func BenchmarkFairShares(b *testing.B) {
	for _, interval := range []time.Duration{100 * time.Microsecond, 200 * time.Millisecond} {
		b.Run(fmt.Sprintf("every %v", interval), func(b *testing.B) {
			f := NewFairShares()
			now := start
			names := make([]string, 64)
			for i := range names {
				names[i] = workspaceName(i)
			}
			for i := range 6400 {
				now = now.Add(time.Millisecond)
				f.Add(1, names[i*i%64], 1000, now)
			}
			for i := range 640 {
				f.Add(1, names[i%64], 1000, now)
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(interval)
				f.Add(1, names[i%64], 1000, now)
				f.Multiple(1, names[i%64], 0.5, now)
				i++
			}
		})
	}
}
