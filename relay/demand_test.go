package relay

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/inventory"
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
	return f.demands, f.daemons
}

// demandOf returns the demands of a daemon of a test fleet: one at a service that all
// daemons serve, and one in a class that depends on the daemon.
func demandOf(i int) []Demand {
	return []Demand{
		{DemandKey{ServiceHash("llm"), 10}, float64(i+1) * demandUnit},
		{DemandKey{ServiceHash("other"), uint8(i % 3)}, float64(7*i+1) * demandUnit},
	}
}

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
	demands := packDemands([]Demand{{DemandKey{1, 10}, 5000}})

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
	packed := packDemands(demands)
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
	first := packDemands(demands)
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		random.Shuffle(len(demands), func(i, j int) { demands[i], demands[j] = demands[j], demands[i] })
		require.Equal(t, first, packDemands(demands))
	}
}

func TestPackedDemandsAreRounded(t *testing.T) {
	for _, c := range []struct{ kv, want float64 }{
		{0, 0}, {-5, 0}, {499, 0}, {501, 1000}, {1499, 1000}, {1501, 2000}, {123_456_789, 123_457_000},
		{1e12, 1e12}, {1e15, 1e12}, {math.Inf(1), 1e12}, {math.Inf(-1), 0}, {math.NaN(), 0},
	} {
		got, refused := unpackDemands(packDemands([]Demand{{DemandKey{1, 10}, c.kv}}))
		require.Zero(t, refused, "%v", c.kv)
		if c.want == 0 {
			require.Empty(t, got, "%v", c.kv)
			continue
		}
		require.Equal(t, []Demand{{DemandKey{1, 10}, c.want}}, got, "%v", c.kv)
	}
}

// serveInvalidDemands is a source whose demands are partly out of range.
func serveInvalidDemands(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = c.CloseNow() }()
	full := &frame{Update: &update{Config: []byte("1"), Servers: map[string]inventory.Entry{"s": {At: 1}}, Full: true}}
	if writeFrame(r.Context(), c, full) != nil {
		return
	}
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
	server := httptest.NewServer(http.HandlerFunc(serveInvalidDemands))
	t.Cleanup(server.Close)
	source := Member{Name: daemonName(0), Domain: "d", Address: server.Listener.Addr().String()}
	inv := newFakeInventory(&fakeStore{version: 1})
	n := New(Options{Name: daemonName(1), Domain: "d"}, inv, inv, memberList{source}, log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ended := make(chan error, 1)
	go func() {
		_, err := n.session(ctx, source, nil)
		ended <- err
	}()
	require.Eventually(t, func() bool {
		inv.mu.Lock()
		defer inv.mu.Unlock()
		return inv.refused >= 4 // two exchanges
	}, 5*time.Second, 5*time.Millisecond)
	got, _ := inv.othersDemands()
	require.Equal(t, []Demand{{DemandKey{1, 10}, 5000}}, got)
	require.Empty(t, ended, "the link has ended")
}

// Demands must add at most 3 KB/s to the traffic of any daemon, also with the most entries.
func TestDemandTrafficIsBounded(t *testing.T) {
	const length = 30 * time.Second
	fleets := map[string]modelSize{
		"many servers":      smallFleet(300),
		"shortest interval": {daemons: 300, servers: 30, requests: 2, paths: 20, hops: 5},
	}
	for name, size := range fleets {
		for _, entries := range []int{3, 6, 2 * maxDemands} {
			t.Run(fmt.Sprintf("%s/entries=%d", name, entries), func(t *testing.T) {
				f := newFleetModel(size)
				for _, d := range f.all {
					for i := range entries {
						key := DemandKey{ServiceHash(fmt.Sprint("service-", i%3)), uint8(i)}
						d.inv.ownDemands = append(d.inv.ownDemands, Demand{key, 1e6 * (1 + f.rng.Float64())})
					}
				}
				f.run(length)
				var added []int
				for _, d := range f.all {
					added = append(added, d.demandBytes)
				}
				slices.Sort(added)
				median, busiest := float64(added[len(added)/2])/length.Seconds(), float64(added[len(added)-1])/length.Seconds()
				t.Logf("demands add %.0f bytes/s at the median daemon and %.0f at the busiest", median, busiest)
				require.Less(t, busiest, 3000.0)
			})
		}
	}
}
