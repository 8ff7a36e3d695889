package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	badPart   = FingerprintOfPart("s", "bad")
	soundPart = FingerprintOfPart("s", "sound")
)

// contents returns n contents of requests.
func contents(n int) []Fingerprint {
	out := make([]Fingerprint, n)
	for i := range out {
		out[i] = Fingerprint(i + 1)
	}
	return out
}

func TestPartIsNeitherContentNorPartOfAnotherService(t *testing.T) {
	require.True(t, badPart.IsPart())
	require.False(t, FingerprintOf([]byte("s"), []byte("bad")).IsPart())
	require.NotEqual(t, badPart, FingerprintOfPart("other", "bad"))
}

// Requests of which no two are alike are quarantined for the part that they share. What they
// share with requests that are served is not.
func TestPartOfDifferentRequestsIsQuarantined(t *testing.T) {
	r := NewRegistry(DefaultPolicy)
	r.Served(soundPart, start)
	for n, content := range contents(3) {
		r.RecordEndOfAll([]Fingerprint{content, soundPart, badPart}, Server(n), Likely, after(time.Duration(n)*time.Second))
	}
	now := after(3 * time.Second)
	d := r.CheckAll([]Fingerprint{99, badPart}, now)
	require.True(t, d.Quarantined)
	require.Equal(t, badPart, d.Part)
	require.False(t, r.CheckAll([]Fingerprint{98, soundPart}, now).Quarantined)
	require.False(t, r.Check(1, now).Quarantined)
}

// A part that was served since its ends is cleared, also at a daemon that learns of the ends later.
func TestServedPartIsCleared(t *testing.T) {
	r, other := NewRegistry(DefaultPolicy), NewRegistry(DefaultPolicy)
	for n := range 4 {
		r.RecordEnd(soundPart, Server(n), Likely, start.Add(time.Duration(n-4)*time.Second))
	}
	require.True(t, r.Check(soundPart, start).Quarantined)
	other.Served(soundPart, start)
	ends, _ := r.Since(0, 99)
	other.Merge(ends, after(time.Second))
	require.False(t, other.Check(soundPart, after(time.Second)).Quarantined)
	cleared, _ := other.Since(0, 99)
	r.Merge(cleared, after(time.Second))
	require.False(t, r.Check(soundPart, after(time.Second)).Quarantined)
}

// One request that crashes its servers whenever it is sent is quarantined alone.
func TestPartsOfOneCrashingRequestAreNotQuarantined(t *testing.T) {
	r := NewRegistry(DefaultPolicy)
	r.Served(soundPart, start)
	for n := range 4 {
		r.RecordEndOfAll([]Fingerprint{1, soundPart}, Server(n), Likely, after(time.Duration(n+1)*time.Second))
	}
	now := after(5 * time.Second)
	require.True(t, r.Check(1, now).Quarantined)
	require.False(t, r.CheckAll([]Fingerprint{2, soundPart}, now).Quarantined)
}

// Requests that happened to be at ends that a part explains are not quarantined.
func TestRequestsAtEndsWithAnotherCauseAreReleased(t *testing.T) {
	r := NewRegistry(DefaultPolicy)
	for n := range Server(2) {
		r.RecordEnd(50, n, Likely, start)
	}
	require.True(t, r.Check(50, start).Quarantined, "nothing else explains the ends")
	for n, content := range contents(3) {
		r.RecordEndOfAll([]Fingerprint{content, badPart}, Server(n), Likely, after(time.Duration(n)*time.Second))
	}
	require.False(t, r.Check(50, start).Quarantined)
	for n := range Server(2) {
		r.RecordEnd(50, 10+n, Likely, start)
	}
	require.True(t, r.Check(50, start).Quarantined, "the part explains none of the later ends")
}

func TestTwoCrashingPartsAreBothQuarantined(t *testing.T) {
	r, second := NewRegistry(DefaultPolicy), FingerprintOfPart("s", "second")
	for n, content := range contents(3) {
		at := after(time.Duration(n) * time.Second)
		r.RecordEndOfAll([]Fingerprint{content, badPart}, Server(n), Likely, at)
		r.RecordEndOfAll([]Fingerprint{content + 10, second}, Server(n+10), Likely, at)
	}
	require.True(t, r.Check(badPart, after(3*time.Second)).Quarantined)
	require.True(t, r.Check(second, after(3*time.Second)).Quarantined)
}

// Ends at one moment count once against a part: as many requests share it, it is present when a
// failure domain is lost.
func TestSimultaneousEndsDoNotQuarantineAPart(t *testing.T) {
	r := NewRegistry(DefaultPolicy)
	r.Served(soundPart, start)
	for n, content := range contents(8) {
		r.RecordEndOfAll([]Fingerprint{content, soundPart}, Server(n), Likely, after(time.Duration(n+1)*20*time.Millisecond))
	}
	require.False(t, r.Check(soundPart, after(time.Second)).Quarantined)
	r.RecordEnd(soundPart, 9, Likely, after(time.Second))
	r.RecordEnd(soundPart, 10, Likely, after(2*time.Second))
	require.True(t, r.Check(soundPart, after(2*time.Second)).Quarantined)
}

// The time to the next trial of a part grows while its trials fail, so that few servers end.
func TestTrialsOfACrashingPartBecomeRare(t *testing.T) {
	r := NewRegistry(DefaultPolicy)
	for n, content := range contents(3) {
		r.RecordEndOfAll([]Fingerprint{content, badPart}, Server(n), Likely, after(time.Duration(n)*time.Second))
	}
	trials := 0
	for at := 3 * time.Second; at < 10*time.Minute; at += 100 * time.Millisecond {
		if r.AdmitAll([]Fingerprint{77, badPart}, after(at), nil).Trial {
			trials++
			r.RecordEndOfAll([]Fingerprint{77, badPart}, Server(100+trials), Likely, after(at))
		}
	}
	require.LessOrEqual(t, trials, 3)
	require.Positive(t, trials)
}

// A request with two parts that may be the cause is no trial of either.
func TestTrialOfAPartHasNoOtherSuspect(t *testing.T) {
	r, first := NewRegistry(DefaultPolicy), FingerprintOfPart("s", "first")
	for n, content := range contents(3) {
		r.RecordEndOfAll([]Fingerprint{content, first, badPart}, Server(n), Likely, start.Add(time.Duration(n-2)*time.Second))
	}
	due := after(DefaultPolicy.PartTrialAfter)
	quarantined := r.CheckAll([]Fingerprint{first, badPart}, start).Part
	require.True(t, r.AdmitAll([]Fingerprint{76, first, badPart}, due, nil).Quarantined)
	require.True(t, r.AdmitAll([]Fingerprint{77, quarantined}, due, nil).Trial)
}

// A part that was served shortly before its ends is tried soon.
func TestServedPartIsTriedSoon(t *testing.T) {
	r := NewRegistry(DefaultPolicy)
	r.Served(soundPart, start)
	for n, content := range contents(3) {
		r.RecordEndOfAll([]Fingerprint{content, soundPart}, Server(n), Likely, after(time.Duration(n+1)*time.Second))
	}
	last := after(3 * time.Second)
	require.True(t, r.Check(soundPart, last).Quarantined)
	require.True(t, r.Check(soundPart, last.Add(DefaultPolicy.ServedPartTrialAfter)).Trial)
}

// Daemons that wait longer try a part only if the others have not.
func TestOneDaemonTriesAPart(t *testing.T) {
	r := NewRegistry(DefaultPolicy)
	for n, content := range contents(3) {
		r.RecordEndOfAll([]Fingerprint{content, badPart}, Server(n), Likely, start.Add(time.Duration(n-2)*time.Second))
	}
	fps, due := []Fingerprint{77, badPart}, after(DefaultPolicy.PartTrialAfter)
	delay := func(d time.Duration) func(Fingerprint) time.Duration {
		return func(Fingerprint) time.Duration { return d }
	}
	require.True(t, r.AdmitAll(fps, due, delay(2*time.Second)).Quarantined)
	require.True(t, r.AdmitAll(fps, due, delay(0)).Trial)
	require.True(t, r.AdmitAll(fps, due.Add(2*time.Second), delay(2*time.Second)).Quarantined)
}

// The bounded list of ends of an entry does not depend on the order of reports.
func TestEndsOfAnEntryDoNotDependOnTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ends []End
		for n := range Server(rapid.IntRange(1, 3*maxEnds).Draw(t, "ends")) {
			ends = append(ends, End{Server: n, Weight: Likely, At: after(time.Duration(rapid.IntRange(0, 60).Draw(t, "at")) * time.Second)})
		}
		var entries [2]Entry
		for i, order := range [][]End{ends, rapid.Permutation(ends).Draw(t, "order")} {
			for _, end := range order {
				entries[i].mergeEnd(end)
			}
			require.LessOrEqual(t, len(entries[i].Ends), maxEnds)
		}
		require.Equal(t, entries[0].Ends, entries[1].Ends)
	})
}

func endsOf(r *Registry, fp Fingerprint) []End {
	e := r.find(fp)
	if e == nil {
		return []End{}
	}
	return append([]End{}, e.Ends...)
}

// Registries that have exchanged all entries know the same ends, and none from before a part was
// last served.
func TestRegistriesAgreeOnParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registries := []*Registry{NewRegistry(DefaultPolicy), NewRegistry(DefaultPolicy), NewRegistry(DefaultPolicy)}
		fps := []Fingerprint{1, 2, badPart, soundPart}
		served := map[Fingerprint]time.Time{}
		now := start
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "pause")) * time.Second)
			r := registries[rapid.IntRange(0, 2).Draw(t, "registry")]
			some := rapid.SliceOfNDistinct(rapid.SampledFrom(fps), 1, 3, rapid.ID).Draw(t, "of")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				r.RecordEndOfAll(some, Server(rapid.IntRange(0, 9).Draw(t, "server")), Likely, now)
			case 1:
				r.Served(some[0], now)
				served[some[0]] = now
			default:
				entries, _ := r.Since(0, 99)
				registries[rapid.IntRange(0, 2).Draw(t, "to")].Merge(entries, now)
			}
		}
		for range 3 {
			for _, from := range registries {
				entries, _ := from.Since(0, 99)
				for _, to := range registries {
					to.Merge(entries, now)
				}
			}
		}
		for _, fp := range fps {
			want := endsOf(registries[0], fp)
			require.Equal(t, want, endsOf(registries[1], fp))
			require.Equal(t, want, endsOf(registries[2], fp))
			if fp.IsPart() && len(want) > 0 {
				require.True(t, want[0].At.After(served[fp]))
			}
		}
	})
}

// Daemons at which a part is served all the time do not send its entry to each other again and again
// once its ends are cleared.
func TestServedPartsAreNotExchangedForever(t *testing.T) {
	registries := []*Registry{NewRegistry(DefaultPolicy), NewRegistry(DefaultPolicy)}
	for _, r := range registries {
		r.RecordEnd(soundPart, 1, Likely, start)
	}
	var versions [2]uint64
	var underWay [2][]Entry
	sent := 0
	for at := time.Second; at < time.Minute; at += time.Second {
		for i, r := range registries {
			r.Served(soundPart, after(at))
			r.Merge(underWay[1-i], after(at))
			underWay[1-i] = nil
		}
		for i, r := range registries {
			underWay[i], versions[i] = r.Since(versions[i], 99)
			sent += len(underWay[i])
		}
	}
	require.LessOrEqual(t, sent, 4)
}
