package availability

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever is stated in whatever order, each pause is kept to its end, and no pause lasts
// longer than was asked for.
func TestStatedPausesAreKeptAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(), time.Now()
		var latest time.Time // end of the longest pause
		leaving, isKnown := false, true
		known := func(string) bool { return isKnown }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*MaxPause)).Draw(t, "passed")))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				pause := time.Duration(rapid.Int64Range(-1, int64(3*MaxPause)).Draw(t, "pause"))
				table.Apply(Statement{Server: "s", Pause: pause}, now)
				if end := now.Add(min(MaxPause, pause)); end.After(latest) {
					latest = end
				}
			case 1:
				if rapid.Bool().Draw(t, "leaves") {
					table.Apply(Statement{Server: "s", Leaving: true}, now)
					leaving = true
				}
			case 2:
				isKnown = rapid.Bool().Draw(t, "known")
			case 3:
				table.Forget(known, now)
				if !isKnown && table.Of("s", now).State == Accepting {
					leaving = false
				}
			}
			got := table.Of("s", now)
			require.Equal(t, now.Before(latest), !got.Until.IsZero())
			require.Equal(t, leaving, got.State == Leaving)
			require.Equal(t, leaving || now.Before(latest), got.State != Accepting)
		}
		require.Equal(t, Status{}, table.Of("restarted", now), "another incarnation has stated nothing")
	})
}

func TestUnknownBackendServerIsForgottenLate(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Apply(Statement{Server: "s", Leaving: true}, now)
	unknown := func(string) bool { return false }
	table.Forget(unknown, now.Add(retention))
	require.Equal(t, Leaving, table.Of("s", now).State, "the list of backend servers may be incomplete")
	table.Forget(unknown, now.Add(retention+1))
	require.Empty(t, table.servers)
}
