package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// The ends of two backend servers that very likely ran a request quarantine it until a trial;
// those of three quarantine it without trials.
func TestRequestIsQuarantinedAfterTwoEnds(t *testing.T) {
	r := NewRegistry(DefaultPolicy)
	require.Equal(t, Decision{}, r.Admit(1, start))
	require.False(t, r.RecordEnd(1, 10, Likely, start).Quarantined, "another request may be the cause")
	require.False(t, r.RecordEnd(1, 10, Likely, after(time.Second)).Quarantined, "each backend server counts once")
	require.False(t, r.Admit(1, after(time.Second)).Trial)

	d := r.RecordEnd(1, 11, Likely, after(time.Second))
	require.True(t, d.Quarantined)
	require.Equal(t, after(time.Second).Add(DefaultPolicy.TrialAfter), d.Until)
	require.False(t, r.Admit(2, after(time.Second)).Quarantined, "other requests are not quarantined")

	trial := r.Admit(1, d.Until)
	require.True(t, trial.Trial)
	require.True(t, r.Admit(1, d.Until.Add(time.Second)).Quarantined, "one trial at a time")
	require.True(t, r.Check(1, d.Until.Add(DefaultPolicy.TrialAfter)).Trial, "the trial had no result")

	d = r.RecordEnd(1, 12, Likely, d.Until)
	require.True(t, d.Quarantined)
	require.Equal(t, 3, d.Ends)
	require.True(t, r.Admit(1, d.Until.Add(-time.Second)).Quarantined)
	require.Equal(t, Decision{Score: 6, Ends: 3}, r.Admit(1, d.Until), "the entry has expired")
}

// A request without evidence that it ran is quarantined after four ends.
func TestPossibleEndsHaveHalfWeight(t *testing.T) {
	r := NewRegistry(DefaultPolicy)
	for s := range Server(3) {
		require.False(t, r.RecordEnd(1, s, Possible, start).Quarantined)
	}
	require.True(t, r.RecordEnd(1, 3, Possible, start).Quarantined)
}

// Serving a request clears its earlier ends, even if an older report of them arrives again,
// but not later ones.
func TestServedRequestIsCleared(t *testing.T) {
	r, other := NewRegistry(DefaultPolicy), NewRegistry(DefaultPolicy)
	require.False(t, r.Served(1, start), "no end was known")
	r.RecordEnd(1, 10, Likely, start)
	r.RecordEnd(1, 11, Likely, start)
	old, _ := r.Since(0, 9)
	require.True(t, r.Served(1, after(10*time.Second)))
	require.False(t, r.Admit(1, after(10*time.Second)).Quarantined)
	r.Merge(old, after(11*time.Second))
	require.False(t, r.Admit(1, after(11*time.Second)).Quarantined)
	other.Merge(old, after(11*time.Second))
	entries, _ := r.Since(0, 9)
	other.Merge(entries, after(11*time.Second))
	require.False(t, other.Admit(1, after(11*time.Second)).Quarantined)
	r.RecordEnd(1, 12, Likely, after(12*time.Second))
	require.True(t, r.RecordEnd(1, 13, Likely, after(12*time.Second)).Quarantined)
}

// A caller of Since receives each changed entry once, and eventually all of them.
func TestChangesAreReturnedOnce(t *testing.T) {
	r := NewRegistry(DefaultPolicy)
	changed := r.Changed()
	for p := range Fingerprint(5) {
		r.RecordEnd(p, 1, Likely, start)
	}
	<-changed
	first, at := r.Since(0, 3)
	require.Len(t, first, 3)
	r.RecordEnd(0, 2, Likely, start)
	second, at := r.Since(at, 3)
	require.Equal(t, []Fingerprint{3, 4, 0}, []Fingerprint{second[0].Fingerprint, second[1].Fingerprint, second[2].Fingerprint})
	none, _ := r.Since(at, 3)
	require.Empty(t, none)
	r.Merge(second, after(time.Millisecond))
	none, _ = r.Since(at, 3)
	require.Empty(t, none, "known entries are not changes")
}

// A full registry evicts other requests before quarantined ones, and stays within its bound.
func TestFullRegistryKeepsQuarantinedRequests(t *testing.T) {
	p := DefaultPolicy
	p.MaxEntries = 64
	r := NewRegistry(p)
	r.RecordEnd(1, 1, Likely, start)
	r.RecordEnd(1, 2, Likely, start)
	for n := range Fingerprint(10_000) {
		r.RecordEnd(100+n, 1, Likely, start)
		require.LessOrEqual(t, r.Size(), p.MaxEntries)
	}
	require.True(t, r.Check(1, start).Quarantined)
	require.Len(t, r.Quarantined(start), 1)
	r.Forget(after(p.Keep))
	require.Zero(t, r.Size())
}

// Registries that have exchanged all entries make the same decisions, regardless of the order
// of the exchange.
func TestRegistriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registries := []*Registry{NewRegistry(DefaultPolicy), NewRegistry(DefaultPolicy), NewRegistry(DefaultPolicy)}
		fingerprints := rapid.Custom(func(t *rapid.T) Fingerprint { return Fingerprint(rapid.IntRange(1, 3).Draw(t, "print")) })
		now := start
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "pause")) * time.Second)
			r := registries[rapid.IntRange(0, 2).Draw(t, "book")]
			fp := fingerprints.Draw(t, "of")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				r.RecordEnd(fp, Server(rapid.IntRange(0, 4).Draw(t, "server")), Likely, now)
			case 1:
				r.Served(fp, now)
			case 2:
				r.Admit(fp, now)
			default:
				entries, _ := r.Since(0, 99)
				registries[rapid.IntRange(0, 2).Draw(t, "to")].Merge(entries, now)
			}
		}
		for range 2 {
			for _, from := range rapid.Permutation(registries).Draw(t, "order") {
				entries, _ := from.Since(0, 99)
				for _, to := range registries {
					to.Merge(entries, now)
				}
			}
		}
		for fp := range Fingerprint(4) {
			want := registries[0].Check(fp, now)
			require.Equal(t, want, registries[1].Check(fp, now))
			require.Equal(t, want, registries[2].Check(fp, now))
		}
		require.False(t, slices.ContainsFunc(registries, func(r *Registry) bool { return r.Size() > 3 }))
	})
}

// A content under which three backend servers have ended is quarantined, although a part that it
// lacks was present at these ends and explains them.
func TestContentWithThreeEndsIsQuarantinedWhateverExplainsThem(t *testing.T) {
	r, now := NewRegistry(DefaultPolicy), time.Now()
	content, other, part := Fingerprint(2), Fingerprint(4), FingerprintOfPart("service", "part")
	for s := range Server(3) {
		at := now.Add(time.Duration(s) * time.Second)
		r.RecordEnd(content, s, Likely, at)
		r.RecordEndOfAll([]Fingerprint{other + Fingerprint(s), part}, s, Likely, at)
	}
	now = now.Add(4 * time.Second)
	require.True(t, r.Check(part, now).Quarantined)
	require.True(t, r.Check(content, now).Quarantined)
	require.False(t, r.Check(other, now).Quarantined, "one end that the part explains")
}

// A request that crashes a backend server as a trial has no further trials.
func TestFailedTrialIsTheLastOne(t *testing.T) {
	r, now := NewRegistry(DefaultPolicy), time.Now()
	fp := Fingerprint(2)
	for s := range Server(4) {
		r.RecordEnd(fp, s, Possible, now)
	}
	now = now.Add(DefaultPolicy.TrialAfter)
	require.True(t, r.Admit(fp, now).Trial)
	d := r.RecordEnd(fp, 4, Possible, now.Add(time.Second))
	require.True(t, d.Quarantined)
	require.Equal(t, now.Add(time.Second+DefaultPolicy.Keep), d.Until)
}
