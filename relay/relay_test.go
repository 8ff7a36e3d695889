package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/inventory"
	"github.com/snowspoke/snowspoke/store"
)

func state(version uint64, servers map[string]inventory.Entry) *inventory.State {
	return &inventory.State{ConfigVersion: version, Config: []byte(fmt.Sprint(version)), Servers: servers}
}

func entry(revision uint64) inventory.Entry {
	return inventory.Entry{Raw: []byte("record"), At: store.Position(revision)}
}

func TestDiffContainsOnlyChanges(t *testing.T) {
	a := state(7, map[string]inventory.Entry{"x": entry(1), "y": entry(2)})
	full := diff(nil, a)
	require.True(t, full.Full)
	require.Len(t, full.Servers, 2)
	require.Equal(t, "7", string(full.Config))
	require.Nil(t, diff(a, state(7, map[string]inventory.Entry{"x": entry(1), "y": entry(2)})))
	u := diff(a, state(8, map[string]inventory.Entry{"x": entry(3)}))
	require.False(t, u.Full)
	require.Equal(t, []string{"y"}, u.Gone)
	require.Len(t, u.Servers, 1)
	require.Equal(t, "8", string(u.Config))
	lapsed := entry(1)
	lapsed.Lapsed = true
	require.Len(t, diff(a, state(7, map[string]inventory.Entry{"x": lapsed, "y": entry(2)})).Servers, 1)
}

func TestFramesAreEncodedOnce(t *testing.T) {
	var f frameCache
	a, b := state(7, map[string]inventory.Entry{"x": entry(1)}), state(8, nil)
	first, err := f.between(a, b)
	require.NoError(t, err)
	again, err := f.between(a, b)
	require.NoError(t, err)
	require.Same(t, &first[0], &again[0])
}

func TestLargeUpdatesAreCompressed(t *testing.T) {
	u := &update{Full: true, Servers: map[string]inventory.Entry{}}
	for i := range 600 {
		u.Servers[fmt.Sprintf("i-%08d", i)] = inventory.Entry{Raw: make([]byte, 300), At: store.Position(i)}
	}
	data, err := encodeUpdate(u)
	require.NoError(t, err)
	require.Less(t, len(data), 30_000, "180 KB of records")
	out, err := (&frame{Packed: packedData(t, data)}).decompress()
	require.NoError(t, err)
	require.Equal(t, u, out.Update)
}

func packedData(t *testing.T, data []byte) []byte {
	t.Helper()
	f, err := decodeFrame(data)
	require.NoError(t, err)
	require.NotNil(t, f.Packed)
	return f.Packed
}

func TestLoadSumExcludesSender(t *testing.T) {
	l := newLoadTable()
	now := time.Unix(1000, 0)
	l.put("a", loadReport{at: now, ttl: time.Second, domain: "d1", loads: Loads{Items: []LoadItem{{Server: "s", Running: 2, Heads: 1, KV: 10}}, Daemons: 1}})
	l.put("b", loadReport{at: now, ttl: time.Second, domain: "d1", loads: Loads{Items: []LoadItem{{Server: "s", Running: 3, KV: 20}}, Daemons: 1, Age: time.Second}})
	l.put("c", loadReport{at: now, ttl: time.Second, domain: "d2", loads: Loads{Items: []LoadItem{{Server: "s", Running: 100}}, Daemons: 1}})
	total := func(except string, keep func(string) bool, now time.Time) Loads {
		sum := newLoadSum()
		l.addTo(sum, except, keep, now)
		return sum.loads()
	}
	got := total("a", func(d string) bool { return d == "d1" }, now.Add(500*time.Millisecond))
	require.Equal(t, []LoadItem{{Server: "s", Running: 3, KV: 20}}, got.Items)
	require.Equal(t, 1, got.Daemons)
	require.Equal(t, 1500*time.Millisecond, got.Age, "reported age plus time since the report")
	require.Equal(t, time.Second, total("", func(d string) bool { return d == "d1" }, now.Add(500*time.Millisecond)).Age, "mean over the daemons")
	require.Zero(t, total("", allDomains, now.Add(2*time.Second)).Daemons, "expired reports do not count")
}

func TestLoadsRateIsBounded(t *testing.T) {
	require.Equal(t, minLoadsInterval, loadsInterval(40))
	loads := make([]LoadItem, 600)
	for i := range loads {
		loads[i] = LoadItem{Server: fmt.Sprintf("i-%010x", i), Running: 190, Heads: 20, KV: 3e6}
	}
	data, err := cbor.Marshal(&frame{Pong: &pong{Number: 1000, Loads: new(loadReporter).changes(loads), Daemons: 380}})
	require.NoError(t, err)
	rate := float64(len(data)) / loadsInterval(600).Seconds()
	require.Less(t, rate, 1700.0, "bytes per second on a link with 600 loaded backend servers")
}

func TestPackedLoadsResolveServerNames(t *testing.T) {
	var n serverIndex
	var l loadReceiver
	known := state(1, map[string]inventory.Entry{"x": entry(1), "y": entry(2)})
	in := []LoadItem{{Server: "x", Running: 3, Heads: 1, KV: 1000}, {Server: "gone", Running: 9}}
	require.Equal(t, in[:1], l.apply(new(loadReporter).changes(in), n.forState(known)))
	require.Equal(t, in[1:], l.apply([]packedLoad{pack(LoadItem{Server: "x"})}, n.forState(state(2, map[string]inventory.Entry{"gone": entry(3)}))),
		"kept until the server is known")
}

// Loads out of range are dropped and counted, and the previous load of the server stays.
func TestInvalidLoadsAreDropped(t *testing.T) {
	refused := 0
	l := loadReceiver{refused: func(n int) { refused += n }}
	ids := map[uint32]string{serverHash("x"): "x"}
	in := []LoadItem{{Server: "x", Running: 3, Heads: 1, KV: 1000}}
	require.Equal(t, in, l.apply([]packedLoad{pack(in[0])}, ids))
	for _, bad := range []packedLoad{
		{Running: -1},
		{Running: 2, Heads: -1},
		{Running: 2, Heads: 3},
		{Running: maxRunning + 1},
		{Running: 2, KV: maxKV + 1},
	} {
		bad.Server = serverHash("x")
		require.Equal(t, in, l.apply([]packedLoad{bad}, ids), "%+v", bad)
	}
	require.Equal(t, 5, refused)
}

// The loads held by the receiver stay close to the real ones, although few are sent.
func TestOnlyChangedLoadsAreSent(t *testing.T) {
	const servers, rounds = 600, 50
	entries := map[string]inventory.Entry{}
	for i := range servers {
		entries[fmt.Sprint("s", i)] = entry(1)
	}
	var n serverIndex
	ids := n.forState(state(1, entries))
	rng := rand.New(rand.NewPCG(1, 2))
	loads := make([]LoadItem, servers)
	var out loadReporter
	var in loadReceiver
	sent := 0
	for round := range rounds {
		for i := range loads {
			// About 800 requests on each server, caused by the other daemons of the site.
			running := 800 + int(30*rng.NormFloat64())
			if i == round {
				running = 0
			}
			loads[i] = LoadItem{Server: fmt.Sprint("s", i), Running: running, KV: float64(running) * 8000}
		}
		present := loads
		if round == rounds-1 {
			present = loads[:servers-1] // the load on the last server has ended
		}
		changes := out.changes(present)
		if round > 0 {
			sent += len(changes)
		}
		known := map[string]LoadItem{}
		for _, l := range in.apply(changes, ids) {
			known[l.Server] = l
		}
		for _, l := range present {
			require.InDelta(t, l.Running, known[l.Server].Running, 1+float64(known[l.Server].Running)/changeDivisor, l.Server)
		}
		require.Len(t, known, len(present)-zeros(present))
	}
	require.Less(t, sent, rounds*servers/20, "of all loads in all rounds")
}

func zeros(loads []LoadItem) (n int) {
	for _, l := range loads {
		if l.Running == 0 && l.KV == 0 {
			n++
		}
	}
	return n
}

// BenchmarkConfigUpdate measures the encoding of a 300 KB configuration with one changed
// route, and reports the frame size.
func BenchmarkConfigUpdate(b *testing.B) {
	raw := func(version int) []byte {
		out := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
		for i := range 1400 {
			timeout := 20000
			if i == version {
				timeout++
			}
			out = fmt.Appendf(out, `{"name":"r-%06d","host":"host%02d.example","pathPrefix":"/path%05d/part/","kind":"safe","service":"plain","timeoutMs":%d,"targetLatencyMs":300,"priority":1,"maxAttempts":2},`, i, i%40, i, timeout)
		}
		return append(out, "]}"...)
	}
	states := []*inventory.State{
		{ConfigVersion: 1, Config: raw(1)}, {ConfigVersion: 2, Config: raw(2)}, {ConfigVersion: 3, Config: raw(3)},
	}
	bytes := 0
	for b.Loop() {
		data, err := encodeUpdate(diff(states[0], states[1]))
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(data)
	}
	b.ReportMetric(float64(bytes), "frame-bytes")
}
