package shedding

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestClassOf(t *testing.T) {
	tests := []struct {
		workspace, route int
		want             Class
	}{
		{0, 0, 0}, {0, 9, 9}, {1, 0, 10}, {9, 9, MaxClass}, {2, 3, 23},
		{-1, -5, 0}, {10, 0, 90}, {0, 1000, 9}, {math.MaxInt, math.MinInt, 90},
	}
	for _, test := range tests {
		if got := ClassOf(test.workspace, test.route); got != test.want {
			t.Errorf("ClassOf(%d, %d) = %d, want %d", test.workspace, test.route, got, test.want)
		}
	}
}

// oneSecond is a hold time that does not depend on the usage, with which the sustainable demand is the
// planned usage per second.
var oneSecond = Hold{Idle: time.Second, Full: time.Second}

// planned returns a state whose usage is the planned one of a capacity of 100, so that what is
// sustainable is admissible.
func planned(demands ...Demand) State {
	s := State{Demands: demands, Capacity: 100, Hold: oneSecond}
	s.InUse = s.target() * s.Capacity
	return s
}

func (s State) using(kv float64) State {
	s.InUse = kv
	return s
}

// Guards against a distribution that is not by urgency, starves a class or keeps capacity free.
func TestFractions(t *testing.T) {
	tests := []struct {
		name  string
		state State
		want  []Fraction
	}{
		{"no demands", planned(), nil},
		{"everything fits", planned(Demand{1, 30}, Demand{2, 60}), []Fraction{{1, 1}, {2, 1}}},
		{
			// The planned usage is 106 - 15 with an urgent demand of 100; all demand could be served
			// at 0.455, so the least fraction is 0.1365.
			"most urgent first",
			planned(Demand{20, 100}, Demand{0, 40}, Demand{10, 60}),
			[]Fraction{{0, 1}, {10, 0.1365 + (91-0.1365*200-0.8635*40)/60}, {20, 0.1365}},
		},
		{
			// All demand could be served at 0.91/4.
			"most urgent class exceeds the capacity",
			planned(Demand{0, 300}, Demand{10, 100}),
			[]Fraction{{0, (91 - 0.06825*100) / 300}, {10, 0.06825}},
		},
		{"least urgent class alone uses all capacity", planned(Demand{90, 212}), []Fraction{{90, 0.5}}},
		{
			"the least urgent class gets what the urgent one leaves",
			planned(Demand{0, 20}, Demand{90, 166}),
			[]Fraction{{0, 1}, {90, 0.5}},
		},
		{
			"hold time unknown",
			State{Demands: []Demand{{0, 1000}, {90, 1000}}, InUse: 200, Capacity: 100},
			[]Fraction{{0, 1}, {90, 1}},
		},
		{
			"capacity 0",
			State{Demands: []Demand{{0, 10}, {90, 10}}, Hold: oneSecond},
			[]Fraction{{0, 0}, {90, 0}},
		},
		{
			// 50 of free memory are filled within the horizon of 2.5 s.
			"free memory allows more than the steady state",
			planned(Demand{0, 252}).using(56),
			[]Fraction{{0, 0.5}},
		},
		{
			"usage above its target allows less",
			planned(Demand{0, 172}).using(156),
			[]Fraction{{0, 0.5}},
		},
		{
			// Requests would otherwise be refused by all daemons until the usage has fallen.
			"usage far above its target allows the least share",
			planned(Demand{0, 212}).using(1000),
			[]Fraction{{0, 0.3 * 0.5}},
		},
		{
			"a class without demand is treated as the next request of it would be",
			planned(Demand{0, 50}, Demand{10, 50}, Demand{20, 0}, Demand{30, 100}),
			[]Fraction{{0, 1}, {10, 0.1365 + (91-0.1365*200-0.8635*50)/50}, {20, 0.1365}, {30, 0.1365}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Fractions(test.state)
			if len(got) != len(test.want) {
				t.Fatalf("got %v, want %v", got, test.want)
			}
			for i, w := range test.want {
				if got[i].Class != w.Class || !(math.Abs(got[i].Part-w.Part) < 1e-6) {
					t.Errorf("got %v, want %v", got[i], w)
				}
			}
		})
	}
}

// Guards against fractions out of range, in the wrong order, below the least share or for more
// than the admissible demand and the least share, for any state.
func TestFractionsOfRandomStates(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	magnitude := func() float64 {
		if random.IntN(10) == 0 {
			return 0
		}
		return math.Pow(10, 12*random.Float64())
	}
	for range 100_000 {
		s := State{
			InUse: magnitude(), Capacity: magnitude(),
			Hold: Hold{Idle: time.Duration(random.Int64N(int64(5 * time.Second))), Full: time.Duration(random.Int64N(int64(20 * time.Second)))},
		}
		if random.IntN(2) == 0 {
			s.InUse = s.Capacity * 1.2 * random.Float64()
		}
		if random.IntN(10) == 0 {
			s.Hold.Full = time.Duration(random.IntN(3)) - 1
		}
		for _, class := range random.Perm(100)[:random.IntN(6)] {
			d := Demand{Class: Class(class), KV: magnitude()}
			if random.IntN(2) == 0 {
				d.KV = s.Capacity * 2 * random.Float64()
			}
			s.Demands = append(s.Demands, d)
		}
		got := Fractions(s)
		total, admitted := 0.0, 0.0
		kv := map[Class]float64{}
		for _, d := range s.Demands {
			total += d.KV
			kv[d.Class] = d.KV
		}
		least := 0.0
		if total > 0 {
			least = 0.3 * min(1, s.sustainable()/total)
		}
		for i, f := range got {
			if !(f.Part >= 0 && f.Part <= 1) {
				t.Fatalf("%+v: %v is out of range", s, f)
			}
			if i > 0 && (f.Class <= got[i-1].Class || f.Part > got[i-1].Part+1e-9) {
				t.Fatalf("%+v: %v is not ordered", s, got)
			}
			if f.Part < least-1e-9 {
				t.Fatalf("%+v: %v is below the least share %v", s, f, least)
			}
			admitted += f.Part * kv[f.Class]
		}
		if want := max(least*total, min(total, s.admissible())); math.Abs(admitted-want) > 1e-6*total {
			t.Fatalf("%+v: %v admits %v, want %v", s, got, admitted, want)
		}
	}
}

// Guards against a rule that leaves capacity unused or exceeds the target once the demand has
// settled: the usage of two classes is simulated with the state known late. An error of the modeled
// hold time must not change the usage by more than itself. The overshoot after the step of the
// demand is only logged.
func TestUsageSettlesAtTarget(t *testing.T) {
	const (
		capacity = 1000.0
		step     = 100 * time.Millisecond
	)
	hold := Hold{Idle: time.Second, Full: 4 * time.Second}
	for _, test := range []struct {
		age   time.Duration
		model float64 // modeled hold time as a multiple of the real one
		most  float64 // deviation from the target
	}{{0, 1, 0.01}, {800 * time.Millisecond, 1, 0.02}, {2 * time.Second, 1, 0.02}, {4 * time.Second, 1, 0.03}, {2 * time.Second, 1.2, 0.2}, {2 * time.Second, 0.8, 0.2}} {
		late := int(test.age / step)
		g, h := NewGate(rand.New(rand.NewPCG(1, 4)).Float64), History{}
		usage, highest, target := []float64{0}, 0.0, 0.0
		for i := range 600 {
			now := start.Add(time.Duration(i) * step)
			least := 50.0
			if i > 50 {
				least = 1000
			}
			s := State{Demands: []Demand{{0, 50}, {10, least}}, Capacity: capacity, Hold: hold.Scale(test.model)}
			admitted := 50*g.Fraction(0) + least*g.Fraction(10)
			h.Add(50+least, admitted/(50+least), now)
			s.InUse = h.Project(usage[max(0, i-late)], capacity, now.Add(-test.age), s.Hold, 1, now)
			g.SetFractions(Fractions(s), now)
			u := usage[i]
			usage = append(usage, u+step.Seconds()*(admitted-u/hold.At(u/capacity).Seconds()))
			highest, target = max(highest, usage[i+1]/capacity), s.target()
		}
		settled := usage[len(usage)-1] / capacity
		t.Logf("usage %v old, modeled hold time %.1f: it settles at %.3f of the capacity, at most %.3f", test.age, test.model, settled, highest)
		if math.Abs(settled-target) > test.most {
			t.Errorf("usage %v old, modeled hold time %.1f: it settles at %.3f of the capacity, want %v", test.age, test.model, settled, target)
		}
	}
}

// Guards against memory that is kept free although no more urgent class asks for it, and against
// a reserve that grows with demand beyond the capacity.
func TestReserve(t *testing.T) {
	s := State{Demands: []Demand{{0, 30}, {10, 30}, {20, 500}}, Capacity: 100, Hold: oneSecond}
	for class, want := range map[Class]float64{0: 0, 1: 0.15 * 0.3, 10: 0.15 * 0.3, 20: 0.15 * 0.6, 30: 0.15} {
		if got := s.Reserve(class); math.Abs(got-want) > 1e-9 {
			t.Errorf("class %d: reserve %v, want %v", class, got, want)
		}
	}
	if got := (State{Demands: []Demand{{0, 30}}}).Reserve(20); got != 0 {
		t.Errorf("without capacity: reserve %v, want 0", got)
	}
}
