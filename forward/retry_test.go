package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/site"
)

func TestBegunStreamsHaveAReserve(t *testing.T) {
	b := admission.NewBudget(0.2, 100, 10*time.Second)
	now := time.Unix(1000, 0)
	fresh := 0
	for b.Spend(now, retryPart(1, false)) {
		fresh++
	}
	require.True(t, b.Allows(now, retryPart(1, true)))
	begun := 0
	for b.Spend(now, retryPart(1, true)) {
		begun++
	}
	require.Equal(t, 48, fresh)
	require.Equal(t, 32, begun)
}

// Daemons that keep to their parts stay together within the fleet's budget.
func TestDaemonsShareTheBudget(t *testing.T) {
	const daemons = 8
	now := time.Unix(1000, 0)
	spent := 0
	for range daemons {
		b := admission.NewBudget(0.2, 200, 10*time.Second)
		for range 50 {
			b.Earn(now)
		}
		for b.Spend(now, retryPart(daemons, true)) {
			spent++
		}
	}
	require.LessOrEqual(t, float64(spent), 0.2*50*daemons+200)
	require.Greater(t, spent, 200)
}

func TestWhatIsKnownOfTheGoneIsForgotten(t *testing.T) {
	l := NewLoads()
	for _, id := range []string{"gone", "here"} {
		l.Enter(site.Path{{Server: &site.BackendServer{ID: id}}}, 1)()
	}
	l.Prune(map[string]*site.BackendServer{"here": {}})
	require.Len(t, l.servers, 1)
	r := newRecent[int](time.Hour)
	for _, id := range []string{"gone", "here"} {
		_, err := r.get(id, func() (int, error) { return 1, nil })
		require.NoError(t, err)
	}
	r.prune(map[string]*site.BackendServer{"here": {}})
	v, err := r.get("here", func() (int, error) { return 2, nil })
	require.NoError(t, err)
	require.Equal(t, 1, v, "still the last answer")
	require.Len(t, r.byID, 1)
}
