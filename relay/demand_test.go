package relay

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/snowspoke/snowspoke/internal/virtual"
)

// demandsByKey returns demands as a map, and fails if a class of a service occurs twice.
func demandsByKey(t *testing.T, demands []Demand) map[DemandKey]float64 {
	t.Helper()
	out := map[DemandKey]float64{}
	for _, d := range demands {
		require.NotContains(t, out, d.DemandKey, "one entry for each class of a service")
		out[d.DemandKey] = d.KV
	}
	return out
}

func (f *fakeInventory) setOwnDemands(demands ...Demand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownDemands = demands
}

func (f *fakeInventory) othersDemands() ([]Demand, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.demands, f.demandDaemons
}

// demandOf returns the demands of a daemon of a test fleet: one at a service that all
// daemons serve, and one in a class that depends on the daemon.
func demandOf(i int) []Demand {
	return []Demand{
		{DemandKey{ServiceHash("llm"), 10}, float64(i+1) * demandUnit},
		{DemandKey{ServiceHash("other"), uint8(i % 3)}, float64(7*i+1) * demandUnit},
	}
}

// maxRaceFleet is the largest fleet that exchanges demands under the race detector, where a run
// takes ten times as long.
const maxRaceFleet = 60

// lackingDemands returns the daemons whose sum of the others' demands is not that of the
// given daemons, each once.
func (f *virtualFleet) lackingDemands(t *testing.T, present []int) (out []string) {
	t.Helper()
	total := map[DemandKey]float64{}
	for _, i := range present {
		for _, d := range demandOf(i) {
			total[d.DemandKey] += d.KV
		}
	}
	for _, i := range present {
		got, daemons := f.invs[i].othersDemands()
		byKey := demandsByKey(t, got)
		correct := daemons == len(present)-1
		for key, want := range total {
			for _, own := range demandOf(i) {
				if own.DemandKey == key {
					want -= own.KV
				}
			}
			correct = correct && byKey[key] == want
		}
		if !correct {
			out = append(out, f.all[i].Name)
		}
	}
	return out
}

// awaitDemands waits until the given daemons have the sum of the demands of the others.
func (f *virtualFleet) awaitDemands(t *testing.T, present []int, longest time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		lacking := f.lackingDemands(t, present)
		if len(lacking) == 0 {
			return time.Since(began)
		}
		require.Less(t, time.Since(began), longest, "%d of %d daemons have other sums, %s first", len(lacking), len(present), lacking[0])
		time.Sleep(50 * time.Millisecond)
	}
}

// The demand of each daemon must arrive exactly once at every other daemon of all domains. It
// must expire with the loads of daemons that are lost.
func TestDemandsOfAFleetReachAll(t *testing.T) {
	for _, c := range []struct{ daemons, domains int }{{1, 1}, {6, 3}, {60, 3}, {300, 5}} {
		t.Run(fmt.Sprintf("daemons=%d/domains=%d", c.daemons, c.domains), func(t *testing.T) {
			inVirtualFleet(t, c.daemons, c.domains, func(f *virtualFleet) {
				for i, inv := range f.invs {
					inv.setOwnDemands(demandOf(i)...)
				}
				all := f.daemonsOf(everyDaemon)
				f.awaitVersion(t, all, 1, 10*time.Second)
				t.Logf("summed at all daemons after %s", f.awaitDemands(t, all, 20*time.Second))
				time.Sleep(5 * time.Second)
				require.Empty(t, f.lackingDemands(t, all), "the sums stay as long as the demands do")
				if c.daemons == 1 {
					return
				}
				lost := f.daemonsOf(func(i int) bool { return i >= c.daemons*2/3 })
				for _, i := range lost {
					for j := range f.all {
						if j != i {
							f.net.Cut(host(i), host(j))
						}
					}
				}
				left := f.daemonsOf(func(i int) bool { return i < c.daemons*2/3 })
				t.Logf("without the lost daemons after %s", f.awaitDemands(t, left, 30*time.Second))
				f.net.Heal()
				t.Logf("with them again after %s", f.awaitDemands(t, all, 30*time.Second))
				for i, inv := range f.invs {
					require.Zero(t, inv.refused, f.all[i].Name)
				}
			})
		})
	}
}

// A changed demand must replace the previous one of the same daemon, and an ended one must not
// stay.
func TestDemandsFollowChanges(t *testing.T) {
	inVirtualFleet(t, 12, 3, func(f *virtualFleet) {
		key := DemandKey{ServiceHash("llm"), 20}
		f.awaitVersion(t, f.daemonsOf(everyDaemon), 1, 10*time.Second)
		for _, kv := range []float64{5000, 2000, 0} {
			f.invs[0].setOwnDemands(Demand{key, kv})
			require.Eventually(t, func() bool {
				return len(f.daemonsOf(func(i int) bool {
					got, _ := f.invs[i].othersDemands()
					return i > 0 && demandsByKey(t, got)[key] != kv
				})) == 0
			}, 15*time.Second, 50*time.Millisecond, "demand %v", kv)
		}
	})
}

func TestDemandSumExpires(t *testing.T) {
	key := DemandKey{1, 10}
	table := newLoadTable()
	now := time.Unix(1000, 0)
	table.put("a", loadReport{at: now, ttl: time.Second, domain: "d1", loads: Loads{Demands: []Demand{{key, 5}}, Daemons: 1}})
	table.put("b", loadReport{at: now, ttl: 3 * time.Second, domain: "d2", loads: Loads{Demands: []Demand{{key, 70}, {DemandKey{2, 10}, 1}}, Daemons: 2}})
	sum := func(except string, after time.Duration) map[DemandKey]float64 {
		s := newLoadSum()
		table.addTo(s, except, allDomains, now.Add(after))
		return demandsByKey(t, s.loads().Demands)
	}
	require.Equal(t, map[DemandKey]float64{key: 75, {2, 10}: 1}, sum("", 500*time.Millisecond))
	require.Equal(t, map[DemandKey]float64{key: 5}, sum("b", 500*time.Millisecond))
	require.Equal(t, map[DemandKey]float64{key: 70, {2, 10}: 1}, sum("", 2*time.Second))
	require.Empty(t, sum("", 4*time.Second))
}

// legacyPing and legacyPong are the frames of a version without demands.
type legacyPing struct {
	Number   uint64       `cbor:"1,keyasint"`
	Sender   string       `cbor:"2,keyasint"`
	Domain   string       `cbor:"3,keyasint"`
	Loads    []packedLoad `cbor:"4,keyasint,omitempty"`
	HasLoads bool         `cbor:"6,keyasint,omitempty"`
	Daemons  int          `cbor:"7,keyasint,omitempty"`
}

type legacyPong struct {
	Number  uint64       `cbor:"1,keyasint"`
	Loads   []packedLoad `cbor:"4,keyasint,omitempty"`
	Daemons int          `cbor:"5,keyasint"`
}

type legacyFrame struct {
	Ping *legacyPing `cbor:"2,keyasint,omitempty"`
	Pong *legacyPong `cbor:"3,keyasint,omitempty"`
}

// While a fleet is updated, frames of both versions must be accepted by both.
func TestDemandsAreOptional(t *testing.T) {
	loads := []packedLoad{{Server: 1, Running: 2, Heads: 1, KV: 3}}
	demands := new(demandReporter).all([]Demand{{DemandKey{1, 10}, 5000}})

	data, err := cbor.Marshal(&legacyFrame{Ping: &legacyPing{Number: 1, Loads: loads, HasLoads: true, Daemons: 3}, Pong: &legacyPong{Loads: loads, Daemons: 4}})
	require.NoError(t, err)
	f, err := decodeFrame(data)
	require.NoError(t, err)
	refused := 0
	r := loadReceiver{refused: func(n int) { refused += n }}
	ids := map[uint32]string{1: "s"}
	for _, got := range []Loads{f.Ping.report(&r, ids), f.Pong.report(&r, ids)} {
		require.Empty(t, got.Demands)
		require.Len(t, got.Items, 1)
	}
	require.Zero(t, refused)

	data, err = cbor.Marshal(&frame{Ping: &ping{Number: 1, Loads: loads, HasLoads: true, Daemons: 3, Demands: demands}, Pong: &pong{Loads: loads, Daemons: 4, Demands: demands}})
	require.NoError(t, err)
	var legacy legacyFrame
	require.NoError(t, cbor.Unmarshal(data, &legacy))
	require.Equal(t, loads, legacy.Ping.Loads)
	require.Equal(t, 4, legacy.Pong.Daemons)
}

// rawDemand returns an entry on a link with any values.
func rawDemand(service uint32, class uint8, units uint32) packedDemands {
	out := binary.BigEndian.AppendUint32(nil, service)
	return binary.BigEndian.AppendUint32(append(out, class), units)
}

// Invalid entries must be dropped and counted, without an end of the link; the others of the
// frame are used.
func TestInvalidDemandsAreDropped(t *testing.T) {
	for _, bad := range []packedDemands{
		rawDemand(2, 100, 1),
		rawDemand(2, 255, 1),
		rawDemand(2, 10, maxDemandUnits+1),
		rawDemand(2, 10, math.MaxUint32),
	} {
		raw := slices.Concat(rawDemand(1, 99, 5), bad, rawDemand(1, 0, maxDemandUnits))
		data, err := cbor.Marshal(&frame{Pong: &pong{Daemons: 1, Demands: raw}})
		require.NoError(t, err)
		f, err := decodeFrame(data)
		require.NoError(t, err, "%x ends the link", bad)
		refused := 0
		r := loadReceiver{refused: func(n int) { refused += n }}
		require.Equal(t, []Demand{{DemandKey{1, 99}, 5000}, {DemandKey{1, 0}, 1e12}}, f.Pong.report(&r, nil).Demands, "%x", bad)
		require.Equal(t, 1, refused, "%x", bad)
	}
}

// Entries cut off in the middle and arbitrary bytes must not end the daemon, and give valid
// demands only.
func TestCorruptDemandsAreDropped(t *testing.T) {
	got, refused := unpackDemands(append(rawDemand(1, 10, 5), rawDemand(1, 20, 5)[:demandSize-1]...))
	require.Equal(t, []Demand{{DemandKey{1, 10}, 5000}}, got)
	require.Equal(t, 1, refused)
	random := rand.New(rand.NewPCG(1, 3))
	for range 20_000 {
		raw := make(packedDemands, random.IntN(200))
		for i := range raw {
			raw[i] = byte(random.Uint32())
		}
		got, refused := unpackDemands(raw)
		require.Equal(t, (len(raw)+demandSize-1)/demandSize, len(got)+refused)
		require.LessOrEqual(t, len(got), maxDemands)
		for _, d := range got {
			require.LessOrEqual(t, d.Class, uint8(maxDemandClass))
			require.LessOrEqual(t, d.KV, 1e12)
		}
	}
}

// At most maxDemands entries must be sent, the largest, and no more be accepted.
func TestNumberOfDemandsIsBounded(t *testing.T) {
	var demands []Demand
	for i := range 40 {
		demands = append(demands, Demand{DemandKey{uint32(i % 4), uint8(i)}, float64(i+1) * demandUnit})
	}
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(demands), func(i, j int) { demands[i], demands[j] = demands[j], demands[i] })
	before := slices.Clone(demands)
	packed := new(demandReporter).all(demands)
	require.Equal(t, before, demands, "the argument is not changed")
	got, refused := unpackDemands(packed)
	require.Len(t, got, maxDemands)
	require.LessOrEqual(t, len(got), 16)
	require.Zero(t, refused)
	for i, d := range got {
		require.EqualValues(t, (40-i)*demandUnit, d.KV)
	}
	again, refused := unpackDemands(append(packed, packed...))
	require.Equal(t, got, again)
	require.Equal(t, maxDemands, refused)
}

// The same entries must be sent each time while more than maxDemands are equal: a class that comes and
// goes changes the fractions.
func TestSentDemandsAreStable(t *testing.T) {
	var demands []Demand
	for i := range 40 {
		demands = append(demands, Demand{DemandKey{uint32(i % 4), uint8(i)}, 5000})
	}
	first := new(demandReporter).all(demands)
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		random.Shuffle(len(demands), func(i, j int) { demands[i], demands[j] = demands[j], demands[i] })
		require.Equal(t, first, new(demandReporter).all(demands))
	}
}

func TestPackedDemandsAreRounded(t *testing.T) {
	for _, c := range []struct{ kv, want float64 }{
		{0, 0}, {-5, 0}, {499, 0}, {501, 1000}, {1499, 1000}, {1501, 2000}, {123_456_789, 123_457_000},
		{1e12, 1e12}, {1e15, 1e12}, {math.Inf(1), 1e12}, {math.Inf(-1), 0}, {math.NaN(), 0},
	} {
		got, refused := unpackDemands(new(demandReporter).all([]Demand{{DemandKey{1, 10}, c.kv}}))
		require.Zero(t, refused, "%v", c.kv)
		if c.want == 0 {
			require.Empty(t, got, "%v", c.kv)
			continue
		}
		require.Equal(t, []Demand{{DemandKey{1, 10}, c.want}}, got, "%v", c.kv)
	}
}

// A source of an earlier version sends demands with loads alone, and ignores frames that it does
// not know. The demands must stay between two frames with loads, and the link must not end.
func TestLegacySourceKeepsDemands(t *testing.T) {
	t.Parallel()
	demands := rawDemand(1, 10, 5)
	answered := make(chan bool, 100) // whether an answer had loads
	inv, _, ended := followSource(t, func(w http.ResponseWriter, r *http.Request) {
		c := acceptWithState(w, r)
		if c == nil {
			return
		}
		defer func() { _ = c.CloseNow() }()
		for {
			_, data, err := c.Read(r.Context())
			if err != nil {
				return
			}
			var f legacyFrame
			if err := cbor.Unmarshal(data, &f); err != nil {
				t.Errorf("a daemon of an earlier version cannot read the frame: %s", err)
				return
			}
			if f.Ping == nil {
				continue
			}
			answer := &pong{Number: f.Ping.Number, Version: 1}
			if f.Ping.HasLoads {
				answer.Daemons, answer.Demands = 1, demands
			}
			if writeFrame(r.Context(), c, &frame{Pong: answer}) != nil {
				return
			}
			answered <- f.Ping.HasLoads
		}
	})
	for withLoads, without := 0, 0; withLoads < 2 || without < 3; {
		select {
		case hasLoads := <-answered:
			if hasLoads {
				withLoads++
			} else {
				without++
			}
			inv.setOwnDemands(Demand{DemandKey{1, 10}, float64(1+withLoads+without) * 1e6})
		case err := <-ended:
			require.Failf(t, "the link has ended", "%v", err)
		}
		require.Eventually(t, func() bool {
			got, daemons := inv.othersDemands()
			return daemons == 1 && slices.Equal(got, []Demand{{DemandKey{1, 10}, 5000}})
		}, time.Second, time.Millisecond)
	}
}

// Frames between those with loads must change single demands only, and in an earlier version
// neither the loads nor the demands.
func TestFramesWithoutLoadsChangeDemands(t *testing.T) {
	r := loadReceiver{}
	require.Empty(t, r.changedDemands(rawDemand(1, 10, 5)), "changes before the first frame with all")
	r.allDemands(slices.Concat(rawDemand(1, 10, 5), rawDemand(1, 20, 7)))
	require.Len(t, r.changedDemands(nil), 2, "a daemon of an earlier version sends no changes")
	got := demandsByKey(t, r.changedDemands(slices.Concat(rawDemand(1, 10, 0), rawDemand(2, 10, 9))))
	require.Equal(t, map[DemandKey]float64{{1, 20}: 7000, {2, 10}: 9000}, got)

	for _, f := range []*frame{{Demands: rawDemand(1, 10, 5)}, {Pong: &pong{Number: 3, Demands: rawDemand(1, 10, 5)}}, {Ping: &ping{Number: 3, Demands: rawDemand(1, 10, 5)}}} {
		data, err := cbor.Marshal(f)
		require.NoError(t, err)
		var legacy legacyFrame
		require.NoError(t, cbor.Unmarshal(data, &legacy))
		if legacy.Pong != nil {
			require.Equal(t, legacyPong{Number: 3}, *legacy.Pong)
		}
		if legacy.Ping != nil {
			require.Equal(t, legacyPing{Number: 3}, *legacy.Ping)
		}
	}
}

// Changes must not prolong the validity of a report, nor change the report of a newer link.
func TestChangedDemandsExpireWithTheLoads(t *testing.T) {
	key := DemandKey{1, 10}
	table := newLoadTable()
	at := time.Unix(1000, 0)
	sum := func(after time.Duration) map[DemandKey]float64 {
		s := newDemandSum()
		table.addTo(s, "", allDomains, at.Add(after))
		return demandsByKey(t, s.loads().Demands)
	}
	require.False(t, table.setDemands("a", at, []Demand{{key, 9}}), "no report")
	table.put("a", loadReport{at: at, ttl: time.Second, loads: Loads{Demands: []Demand{{key, 5}}, Daemons: 1}})
	require.False(t, table.setDemands("a", at.Add(-time.Second), []Demand{{key, 9}}), "report of an earlier link")
	require.Equal(t, map[DemandKey]float64{key: 5}, sum(0))
	require.True(t, table.setDemands("a", at, []Demand{{key, 9}}))
	require.Equal(t, map[DemandKey]float64{key: 9}, sum(900*time.Millisecond))
	require.Empty(t, sum(1100*time.Millisecond))
	require.False(t, table.setDemands("a", at, []Demand{{key, 9}}), "expired")
}

// The demand of a daemon that has none any more, or that is lost, must end everywhere while
// demands of the others change all the time: classes would be refused for callers that are gone.
func TestDemandOfALostDaemonEnds(t *testing.T) {
	inVirtualFleet(t, 30, 3, func(f *virtualFleet) {
		const lost = 29
		keys := [3]DemandKey{{ServiceHash("llm"), 10}, {ServiceHash("llm"), 20}, {ServiceHash("llm"), 30}}
		own := DemandKey{ServiceHash("llm"), 40}
		random := rand.New(rand.NewPCG(1, 6))
		// await changes the demands of the others until all of them, or none, know that of the lost one.
		await := func(known bool, demands []Demand, longest time.Duration) time.Duration {
			for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
				f.setVarying(random, keys, false)
				f.invs[lost].setOwnDemands(demands...)
				differ := f.daemonsOf(func(i int) bool {
					got, _ := f.invs[i].othersDemands()
					return i != lost && (demandsByKey(t, got)[own] > 0) != known
				})
				if len(differ) == 0 {
					return time.Since(began)
				}
				require.Less(t, time.Since(began), longest, "%s first", f.all[differ[0]].Name)
			}
		}
		present := []Demand{{own, 1e6}}
		f.awaitVersion(t, f.daemonsOf(everyDaemon), 1, 10*time.Second)
		await(true, present, 10*time.Second)
		time.Sleep(3 * time.Second)
		t.Logf("ended demand unknown after %s", await(false, nil, 1500*time.Millisecond))
		t.Logf("new demand known after %s", await(true, present, 1500*time.Millisecond))
		f.freeze([]int{lost})
		for j := range lost {
			f.net.Cut(host(lost), host(j))
		}
		t.Logf("demand of the lost daemon unknown after %s", await(false, present, 5*time.Second))
		f.frozen[lost].Store(false)
		f.net.Heal()
		t.Logf("known again after %s", await(true, present, 10*time.Second))
	})
}

// Changes must not be sent beyond the rate of a link, and again once the rate permits them. Frames
// that hold all demands count towards the rate.
func TestDemandRate(t *testing.T) {
	now := time.Unix(1000, 0)
	units := 1000.0
	changing := func(time.Time) []Demand {
		units *= 2
		if units > 1e8 {
			units = 1000
		}
		return []Demand{{DemandKey{1, 10}, units * demandUnit}, {DemandKey{1, 20}, units * demandUnit}}
	}
	s := demandSender{rate: followerDemandRate}
	require.Empty(t, s.changes(changing, now), "all demands are sent first")
	bytes, end := demandFrameOverhead+len(s.all(changing(now), now)), now.Add(20*time.Second)
	for began := now; now.Before(end); now = now.Add(demandInterval) {
		if changes := s.changes(changing, now); len(changes) > 0 {
			bytes += demandFrameOverhead + len(changes)
		}
		most := maxDemandBurst + followerDemandRate*now.Sub(began).Seconds()
		require.LessOrEqual(t, float64(bytes), most, "after %s", now.Sub(began))
		require.Greater(t, float64(bytes), most-maxDemandBurst-demandFrameOverhead-2*demandSize, "the rate is used, after %s", now.Sub(began))
	}
	for range 3 {
		s.all(changing(now), now)
	}
	require.Negative(t, s.spare)
	require.Empty(t, s.changes(changing, now))
	require.NotEmpty(t, s.changes(changing, now.Add(time.Second)))
}

// The entries of a frame with changes must be those that differ most, beyond the minimum.
func TestDemandChanges(t *testing.T) {
	demand := func(class uint8, units float64) Demand { return Demand{DemandKey{1, class}, units * demandUnit} }
	entries := func(units ...uint32) (out packedDemands) { // class, units
		for i := 0; i < len(units); i += 2 {
			out = append(out, rawDemand(1, uint8(units[i]), units[i+1])...)
		}
		return out
	}
	sent := []Demand{demand(1, 1000), demand(2, 500), demand(3, 100), demand(4, 50), demand(5, 20)}
	for name, c := range map[string]struct {
		now  []Demand
		want packedDemands
	}{
		"unchanged":           {sent, nil},
		"a tenth":             {[]Demand{demand(1, 1100), demand(2, 450), demand(3, 110), demand(4, 45), demand(5, 22)}, nil},
		"more than a tenth":   {[]Demand{demand(1, 1101), demand(2, 449), demand(3, 100), demand(4, 50), demand(5, 20)}, entries(1, 1101, 2, 449)},
		"descending":          {[]Demand{demand(1, 1200), demand(2, 800), demand(3, 900), demand(4, 50), demand(5, 20)}, entries(3, 900, 2, 800, 1, 1200)},
		"ended":               {[]Demand{demand(1, 1000), demand(3, 100), demand(4, 50), demand(5, 20)}, entries(2, 0)},
		"less than a unit":    {[]Demand{demand(1, 1000), demand(2, 500), demand(3, 100), demand(4, 50), demand(5, 0.4)}, entries(5, 0)},
		"new":                 {append(slices.Clone(sent), demand(6, 1)), entries(6, 1)},
		"more than the limit": {nil, entries(1, 0, 2, 0, 3, 0, 4, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			r := demandReporter{}
			require.Empty(t, r.changes(c.now, maxChangedDemands, demandChangeDivisor), "changes of nothing")
			r.all(sent)
			require.Equal(t, c.want, r.changes(c.now, maxChangedDemands, demandChangeDivisor))
			if len(c.want) < maxChangedDemands*demandSize {
				require.Empty(t, r.changes(c.now, maxChangedDemands, demandChangeDivisor), "each change is sent once")
			}
		})
	}
}

// A receiver must know the demands of the sender within a tenth, except for changes that the limit
// of entries has not let through, which are smaller than those sent. A lost frame must be
// corrected by the next one that holds all demands.
func TestReceiverKnowsTheDemands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sender demandReporter
		var receiver demandReceiver
		demands := rapid.Custom(func(t *rapid.T) (out []Demand) {
			for class := range rapid.IntRange(0, 30).Draw(t, "classes") {
				if units := rapid.IntRange(-20, 60).Draw(t, "units"); units >= 0 {
					out = append(out, Demand{DemandKey{uint32(class % 3), uint8(class)}, float64(units*units) * demandUnit})
				}
			}
			return out
		})
		now, lost := []Demand(nil), false
		for range rapid.IntRange(1, 40).Draw(t, "frames") {
			if rapid.Bool().Draw(t, "change") {
				now = demands.Draw(t, "demands")
			}
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				_, refused := receiver.replace(sender.all(now))
				lost = false
				if refused != 0 || len(receiver.known) != min(len(largest(now)), maxDemands) {
					t.Fatalf("%d demands known, %d refused", len(receiver.known), refused)
				}
			} else {
				frame := sender.changes(now, maxChangedDemands, demandChangeDivisor)
				checkChanges(t, &sender, now, frame)
				if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
					lost = lost || len(frame) > 0
				} else if _, refused := receiver.change(frame); refused > 0 && !lost {
					t.Fatalf("%d changes refused", refused)
				}
			}
			if len(receiver.known) > maxLinkDemands {
				t.Fatalf("%d demands known", len(receiver.known))
			}
			if !lost && !maps.EqualFunc(sender.sent, receiver.known, func(units uint32, kv float64) bool { return float64(units)*demandUnit == kv }) {
				t.Fatalf("sent %v, known %v", sender.sent, receiver.known)
			}
		}
	})
}

// checkChanges checks what the sender has not sent after a frame with changes.
func checkChanges(t *rapid.T, sender *demandReporter, now []Demand, frame packedDemands) {
	if len(frame) > maxChangedDemands*demandSize {
		t.Fatalf("a frame of %d bytes", len(frame))
	}
	if sender.sent == nil {
		return
	}
	if len(frame) == maxChangedDemands*demandSize {
		return
	}
	pending := maps.Clone(sender.sent)
	for rank, d := range largest(now) {
		sent, known := sender.sent[d.DemandKey]
		delete(pending, d.DemandKey)
		if !known && (rank >= maxDemands || len(sender.sent) >= maxLinkDemands-maxChangedDemands) {
			continue
		}
		if difference := max(d.units, sent) - min(d.units, sent); difference > sent/demandChangeDivisor {
			t.Fatalf("%v is %d, sent %d, and the frame has room", d.DemandKey, d.units, sent)
		}
	}
	if len(pending) > 0 {
		t.Fatalf("%v have ended, and the frame has room", pending)
	}
}

// serveInvalidDemands is a source whose demands are partly out of range.
func serveInvalidDemands(w http.ResponseWriter, r *http.Request) {
	c := acceptWithState(w, r)
	if c == nil {
		return
	}
	defer func() { _ = c.CloseNow() }()
	for {
		f, err := readFrame(r.Context(), c)
		if err != nil {
			return
		}
		answer := &pong{Number: f.Ping.Number, Version: 1}
		if f.Ping.HasLoads {
			answer.Daemons = 1
			answer.Demands = slices.Concat(rawDemand(1, 10, 5), rawDemand(1, 200, 5), rawDemand(1, 20, math.MaxUint32))
		}
		if writeFrame(r.Context(), c, &frame{Pong: answer}) != nil {
			return
		}
	}
}

// A source with invalid demands must stay the source: the link carries the configuration.
func TestInvalidDemandsKeepTheLink(t *testing.T) {
	t.Parallel()
	inv, _, ended := followSource(t, serveInvalidDemands)
	require.Eventually(t, func() bool {
		inv.mu.Lock()
		defer inv.mu.Unlock()
		return inv.refused >= 4 // two exchanges
	}, 5*time.Second, 5*time.Millisecond)
	got, _ := inv.othersDemands()
	require.Equal(t, []Demand{{DemandKey{1, 10}, 5000}}, got)
	require.Empty(t, ended, "the link has ended")
}

// Demands must add at most 3 KB/s to the traffic of any daemon, also with the most entries, and
// also if all of them change by more than a tenth between two frames.
func TestDemandTrafficIsBounded(t *testing.T) {
	fleets := map[string]modelSize{
		"many servers":      smallFleet(300),
		"shortest interval": {daemons: 300, servers: 30, requests: 2, paths: 20, hops: 5},
	}
	for name, size := range fleets {
		for _, c := range []struct {
			entries int
			changes bool
		}{{3, false}, {6, false}, {2 * maxDemands, false}, {3, true}, {2 * maxDemands, true}} {
			if !c.changes && virtual.RaceDetector {
				continue // the model runs on one goroutine, and all cases take 160 s
			}
			t.Run(fmt.Sprintf("%s/entries=%d/changes=%t", name, c.entries, c.changes), func(t *testing.T) {
				f := newFleetModel(size)
				for _, d := range f.all {
					for i := range c.entries {
						key := DemandKey{ServiceHash(fmt.Sprint("service-", i%3)), uint8(i)}
						d.inv.ownDemands = append(d.inv.ownDemands, Demand{key, 1e6 * (1 + f.rng.Float64())})
					}
				}
				length := 30 * time.Second
				if c.changes {
					// The bytes that may be sent at once at the start are used up first.
					f.step, length = f.swingDemands, 9*time.Second
					f.run(3 * time.Second)
				}
				var before, added []int
				for _, d := range f.all {
					before = append(before, d.demandBytes)
				}
				f.run(length)
				for i, d := range f.all {
					added = append(added, d.demandBytes-before[i])
				}
				slices.Sort(added)
				median, busiest := float64(added[len(added)/2])/length.Seconds(), float64(added[len(added)-1])/length.Seconds()
				t.Logf("demands add %.0f bytes/s at the median daemon and %.0f at the busiest", median, busiest)
				require.Less(t, busiest, 3000.0)
			})
		}
	}
}

// swingDemands changes the demands of all daemons alike, so that their sums change as much. Each
// class rises and falls by 0.9 of its mean within three seconds.
func (f *fleetModel) swingDemands() {
	const period = 3 * time.Second
	at := float64(f.now.UnixNano()%int64(period)) / float64(period)
	for _, d := range f.all {
		swung := make([]Demand, 0, len(d.inv.ownDemands))
		for i, own := range d.inv.ownDemands {
			phase := 2 * math.Pi * (at + 0.37*float64(i))
			swung = append(swung, Demand{own.DemandKey, 1e6 * (1 + 0.9*math.Sin(phase))})
		}
		d.inv.ownDemands = swung
	}
}

// awaitTotal waits until each daemon knows at least 0.9 of a total, its own part included, and
// returns how long that took.
func (f *virtualFleet) awaitTotal(t *testing.T, key DemandKey, total float64, longest time.Duration) time.Duration {
	t.Helper()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		lacking := f.daemonsOf(func(i int) bool {
			got, _ := f.invs[i].othersDemands()
			known := 0.0
			for _, d := range slices.Concat(got, f.invs[i].OwnDemands()) {
				if d.DemandKey == key {
					known += d.KV
				}
			}
			return known < 0.9*total
		})
		if len(lacking) == 0 {
			return time.Since(began)
		}
		require.Less(t, time.Since(began), longest, "%d of %d daemons know too little, %s first", len(lacking), len(f.all), f.all[lacking[0]].Name)
	}
}

// setVarying gives each daemon a demand in two classes that differs at each call, as measured
// rates do, and optionally one in a third. It returns the sum of the third.
func (f *virtualFleet) setVarying(random *rand.Rand, keys [3]DemandKey, withThird bool) (third float64) {
	for _, inv := range f.invs {
		varied := func(units float64) float64 { return units * demandUnit * (0.8 + 0.4*random.Float64()) }
		demands := []Demand{{keys[0], varied(20)}, {keys[1], varied(30)}}
		if withThird {
			demands = append(demands, Demand{keys[2], varied(200)})
			third += demands[2].KV
		}
		inv.setOwnDemands(demands...)
	}
	return third
}

// A burst at all daemons must be known everywhere before it has filled the memory of the backend
// servers, whatever the time between it and the pings: load shedding refuses nothing before.
func TestDemandsPropagateWithinABurst(t *testing.T) {
	keys := [3]DemandKey{{ServiceHash("llm"), 10}, {ServiceHash("llm"), 20}, {ServiceHash("llm"), 30}}
	for _, c := range []struct {
		daemons, bursts int
		longest         time.Duration
	}{{6, 20, time.Second}, {60, 20, time.Second}, {300, 8, 1500 * time.Millisecond}} {
		if c.daemons > maxRaceFleet && virtual.RaceDetector {
			continue
		}
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			inVirtualFleet(t, c.daemons, 3, func(f *virtualFleet) {
				random := rand.New(rand.NewPCG(1, 4))
				f.awaitVersion(t, f.daemonsOf(everyDaemon), 1, 10*time.Second)
				var took []time.Duration
				for range c.bursts {
					for calm := 4*time.Second + time.Duration(random.IntN(1000))*time.Millisecond; calm > 0; calm -= 200 * time.Millisecond {
						f.setVarying(random, keys, false)
						time.Sleep(min(calm, 200*time.Millisecond))
					}
					took = append(took, f.awaitTotal(t, keys[2], f.setVarying(random, keys, true), c.longest))
				}
				slices.Sort(took)
				t.Logf("known to all after %s, at most %s", took[len(took)/2], took[len(took)-1])
			})
		})
	}
}
