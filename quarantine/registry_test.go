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

// Two ended backend servers that very likely ran a request quarantine it until a trial;
// three quarantine it without trials.
func TestRequestIsQuarantinedAfterTwoEnds(t *testing.T) {
	b := NewRegistry(DefaultPolicy)
	require.Equal(t, Decision{}, b.Admit(1, start))
	require.False(t, b.Ended(1, 10, Likely, start).Held, "another request may have ended it")
	require.False(t, b.Ended(1, 10, Likely, after(time.Second)).Held, "each backend server counts once")
	require.False(t, b.Admit(1, after(time.Second)).Trial)

	v := b.Ended(1, 11, Likely, after(time.Second))
	require.True(t, v.Held)
	require.Equal(t, after(time.Second).Add(DefaultPolicy.TrialAfter), v.Until)
	require.False(t, b.Admit(2, after(time.Second)).Held, "other requests are not quarantined")

	trial := b.Admit(1, v.Until)
	require.True(t, trial.Trial)
	require.True(t, b.Admit(1, v.Until.Add(time.Second)).Held, "one trial at a time")
	require.True(t, b.Look(1, v.Until.Add(DefaultPolicy.TrialAfter)).Trial, "the trial had no result")

	v = b.Ended(1, 12, Likely, v.Until)
	require.True(t, v.Held)
	require.Equal(t, 3, v.Ends)
	require.True(t, b.Admit(1, v.Until.Add(-time.Second)).Held)
	require.Equal(t, Decision{Score: 6, Ends: 3}, b.Admit(1, v.Until), "the entry has expired")
}

// A request without evidence that it ran is quarantined after four ends.
func TestPossibleEndsHaveHalfWeight(t *testing.T) {
	b := NewRegistry(DefaultPolicy)
	for s := range Server(3) {
		require.False(t, b.Ended(1, s, Possible, start).Held)
	}
	require.True(t, b.Ended(1, 3, Possible, start).Held)
}

// A request that was served is cleared of earlier ends, also when an older report of them
// arrives again, but not of later ends.
func TestServedRequestIsCleared(t *testing.T) {
	b, other := NewRegistry(DefaultPolicy), NewRegistry(DefaultPolicy)
	require.False(t, b.Served(1, start), "no end was known")
	b.Ended(1, 10, Likely, start)
	b.Ended(1, 11, Likely, start)
	old, _ := b.Since(0, 9)
	require.True(t, b.Served(1, after(10*time.Second)))
	require.False(t, b.Admit(1, after(10*time.Second)).Held)
	b.Join(old, after(11*time.Second))
	require.False(t, b.Admit(1, after(11*time.Second)).Held)
	other.Join(old, after(11*time.Second))
	entries, _ := b.Since(0, 9)
	other.Join(entries, after(11*time.Second))
	require.False(t, other.Admit(1, after(11*time.Second)).Held)
	b.Ended(1, 12, Likely, after(12*time.Second))
	require.True(t, b.Ended(1, 13, Likely, after(12*time.Second)).Held)
}

// A caller of Since receives each changed entry once, and eventually all of them.
func TestChangesAreReturnedOnce(t *testing.T) {
	b := NewRegistry(DefaultPolicy)
	changed := b.Changed()
	for p := range Fingerprint(5) {
		b.Ended(p, 1, Likely, start)
	}
	<-changed
	first, at := b.Since(0, 3)
	require.Len(t, first, 3)
	b.Ended(0, 2, Likely, start)
	second, at := b.Since(at, 3)
	require.Equal(t, []Fingerprint{3, 4, 0}, []Fingerprint{second[0].Fingerprint, second[1].Fingerprint, second[2].Fingerprint})
	none, _ := b.Since(at, 3)
	require.Empty(t, none)
	b.Join(second, after(time.Millisecond))
	none, _ = b.Since(at, 3)
	require.Empty(t, none, "known entries are not changes")
}

// A full table evicts suspects before quarantined requests, and stays within its bound.
func TestFullTableKeepsQuarantinedRequests(t *testing.T) {
	p := DefaultPolicy
	p.Most = 64
	b := NewRegistry(p)
	b.Ended(1, 1, Likely, start)
	b.Ended(1, 2, Likely, start)
	for n := range Fingerprint(10_000) {
		b.Ended(100+n, 1, Likely, start)
		require.LessOrEqual(t, b.Size(), p.Most)
	}
	require.True(t, b.Look(1, start).Held)
	require.Len(t, b.Quarantined(start), 1)
	b.Forget(after(p.Keep))
	require.Zero(t, b.Size())
}

// Tables that have exchanged all entries make the same decisions, whatever the order of the
// exchange.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Registry{NewRegistry(DefaultPolicy), NewRegistry(DefaultPolicy), NewRegistry(DefaultPolicy)}
		prints := rapid.Custom(func(t *rapid.T) Fingerprint { return Fingerprint(rapid.IntRange(1, 3).Draw(t, "print")) })
		now := start
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "pause")) * time.Second)
			b := tables[rapid.IntRange(0, 2).Draw(t, "book")]
			print := prints.Draw(t, "of")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				b.Ended(print, Server(rapid.IntRange(0, 4).Draw(t, "server")), Likely, now)
			case 1:
				b.Served(print, now)
			case 2:
				b.Admit(print, now)
			default:
				entries, _ := b.Since(0, 99)
				tables[rapid.IntRange(0, 2).Draw(t, "to")].Join(entries, now)
			}
		}
		for range 2 {
			for _, from := range rapid.Permutation(tables).Draw(t, "order") {
				entries, _ := from.Since(0, 99)
				for _, to := range tables {
					to.Join(entries, now)
				}
			}
		}
		for print := range Fingerprint(4) {
			want := tables[0].Look(print, now)
			require.Equal(t, want, tables[1].Look(print, now))
			require.Equal(t, want, tables[2].Look(print, now))
		}
		require.False(t, slices.ContainsFunc(tables, func(b *Registry) bool { return b.Size() > 3 }))
	})
}
