package relay

import (
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/quarantine"
)

// crashFleet runs daemons, each with a quarantine registry, as chains of followers in their
// failure domains.
type crashFleet struct {
	store      *fakeStore
	registries []*quarantine.Registry
	nodes      []*Node
	stop       []func()
}

func newCrashFleet(t *testing.T, domains ...string) *crashFleet {
	f := &crashFleet{store: &fakeStore{version: 1}}
	all := memberList{}
	servers := make([]*httptest.Server, len(domains))
	for i, domain := range domains {
		servers[i] = httptest.NewUnstartedServer(nil)
		all = append(all, Member{Name: daemonName(i), Domain: domain, Address: servers[i].Listener.Addr().String(), FanOut: 1})
	}
	for i, domain := range domains {
		inv, registry := newFakeInventory(f.store), quarantine.NewRegistry(quarantine.DefaultPolicy)
		node := New(Options{Name: daemonName(i), Domain: domain, FanOut: 1, Quarantine: registry}, inv, inv, all, log.NewNopLogger())
		f.registries, f.nodes, f.stop = append(f.registries, registry), append(f.nodes, node), append(f.stop, start(t, node, servers[i]))
	}
	require.Eventually(t, func() bool {
		for _, n := range f.nodes {
			if n.inv.State().ConfigVersion != 1 {
				return false
			}
		}
		return true
	}, 6*time.Second, 10*time.Millisecond)
	return f
}

// quarantinedBy returns the number of daemons that quarantine a request.
func (f *crashFleet) quarantinedBy(fingerprint quarantine.Fingerprint) int {
	n := 0
	for _, registry := range f.registries {
		if registry.Check(fingerprint, time.Now()).Quarantined {
			n++
		}
	}
	return n
}

// Backend servers end while they run the same request, at the far end of each of two
// failure domains. All daemons of both quarantine the request before its caller retries,
// and lift the quarantine once it was served.
func TestCrashesReachAllDaemons(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, "d", "d", "d", "e", "e", "e")
	time.Sleep(exchangeInterval) // wait for the links between the domains
	began := time.Now().Add(-time.Second)
	f.registries[2].RecordEnd(7, 1, quarantine.Likely, began)
	f.registries[5].RecordEnd(7, 2, quarantine.Likely, began)
	// Two steps up, the exchange, and two steps down.
	require.Eventually(t, func() bool { return f.quarantinedBy(7) == 6 }, exchangeInterval+8*quarantine.MinFrameInterval+400*time.Millisecond, time.Millisecond)
	require.Zero(t, f.quarantinedBy(8))
	f.registries[0].Served(7, time.Now())
	require.Eventually(t, func() bool { return f.quarantinedBy(7) == 0 }, exchangeInterval+8*quarantine.MinFrameInterval+400*time.Millisecond, time.Millisecond)
	versions := func() (sum uint64) {
		for _, registry := range f.registries {
			_, version := registry.Since(0, 99)
			sum += version
		}
		return sum
	}
	before := versions()
	time.Sleep(3 * exchangeInterval)
	require.Equal(t, before, versions(), "known entries are not sent again")
}

// In an outage of the store no daemon has a source. Without an exchange of crashes each daemon
// would see two backend servers end before it quarantines a request that is retried at all daemons.
func TestCrashesReachAllDaemonsWithoutTheStore(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, "d", "d", "d", "e", "e", "e")
	f.store.setUnavailable(true)
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *Node) bool { return n.healthy(boottime.Now()) })
	}, 6*time.Second, 10*time.Millisecond, "all daemons have lost the store")
	f.registries[2].RecordEnd(7, 1, quarantine.Likely, time.Now())
	f.registries[5].RecordEnd(7, 2, quarantine.Likely, time.Now())
	require.Eventually(t, func() bool { return f.quarantinedBy(7) == 6 }, 3*time.Second, time.Millisecond)
	f.store.setUnavailable(false)
	require.Eventually(t, func() bool { return f.nodes[2].healthy(boottime.Now()) && f.nodes[5].healthy(boottime.Now()) }, 6*time.Second, 10*time.Millisecond)
	f.registries[0].Served(7, time.Now())
	require.Eventually(t, func() bool { return f.quarantinedBy(7) == 0 }, 3*time.Second, time.Millisecond, "after the outage")
}

func TestCrashEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(5000, 0)
		registry, other := quarantine.NewRegistry(quarantine.DefaultPolicy), quarantine.NewRegistry(quarantine.DefaultPolicy)
		for range rapid.IntRange(0, 9).Draw(t, "ends") {
			fingerprint := quarantine.Fingerprint(rapid.IntRange(1, 3).Draw(t, "print"))
			server := quarantine.Server(rapid.Uint32().Draw(t, "server"))
			weight := quarantine.Weight(rapid.IntRange(1, 2).Draw(t, "weight"))
			registry.RecordEnd(fingerprint, server, weight, now)
			if rapid.Bool().Draw(t, "tried") {
				registry.Admit(fingerprint, now.Add(quarantine.DefaultPolicy.TrialAfter))
			}
		}
		var reporter quarantine.Reporter
		data, err := cbor.Marshal(&frame{Crashes: reporter.Next(registry)})
		require.NoError(t, err)
		f, err := decodeFrame(data)
		require.NoError(t, err)
		at := time.Now()
		other.Merge(quarantine.Unpack(f.Crashes, at), at)
		for fingerprint := range quarantine.Fingerprint(4) {
			require.Equal(t, registry.Check(fingerprint, now).Score, other.Check(fingerprint, now).Score)
		}
	})
}

// Entries out of range are dropped.
func TestInvalidCrashesAreDropped(t *testing.T) {
	now := time.Now()
	require.Empty(t, quarantine.Unpack([]quarantine.PackedEntry{{Fingerprint: 1, Ends: []quarantine.PackedEnd{{Server: 1, Weight: 3}}}}, now))
	require.Empty(t, quarantine.Unpack([]quarantine.PackedEntry{{Fingerprint: 1, Ends: make([]quarantine.PackedEnd, quarantine.MaxPackedEnds+1)}}, now))
	require.Len(t, quarantine.Unpack([]quarantine.PackedEntry{{Fingerprint: 1, Ends: []quarantine.PackedEnd{{Server: 1, Weight: 2}}}}, now), 1)
}

// When a backend server ends with 130 streams, each is sent once, in at most 30 bytes.
func TestCrashFramesAreBounded(t *testing.T) {
	registry := quarantine.NewRegistry(quarantine.DefaultPolicy)
	for range 130 {
		registry.RecordEnd(quarantine.Fingerprint(rand.Uint64()), quarantine.Server(rand.Uint32()), quarantine.Likely, time.Now())
	}
	var reporter quarantine.Reporter
	bytes, messages := 0, 0
	for {
		pending := reporter.Next(registry)
		if len(pending) == 0 {
			break
		}
		data, err := cbor.Marshal(&frame{Crashes: pending})
		require.NoError(t, err)
		bytes += len(data)
		messages++
	}
	require.Equal(t, 3, messages)
	require.Less(t, bytes, 130*30)
}
