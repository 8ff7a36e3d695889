package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// mixedDomain returns the daemons of a domain in which one VM of twenty is strong.
func mixedDomain(daemons int) (all memberList) {
	for i := range daemons {
		fanOut := FanOut(0.192, 20)
		if i%20 == 19 {
			fanOut = FanOut(1.6, 1000)
		}
		all = append(all, Member{Name: fmt.Sprintf("d-%04d", i), Domain: "d", FanOut: fanOut})
	}
	return all
}

// Each level of the tree delays the full state by the time that its VMs need for it. Strong
// VMs must come first and carry more followers, so that a large domain needs two levels.
func TestStrongDaemonsKeepTheTreeFlat(t *testing.T) {
	for _, c := range []struct{ daemons, maxDepth int }{{8, 1}, {57, 2}, {197, 2}, {400, 2}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			all := mixedDomain(c.daemons)
			parents, followers := map[string]Member{}, map[string]int{}
			for _, m := range all {
				n := New(Options{Name: m.Name, Domain: m.Domain, FanOut: m.FanOut}, nil, nil, all, log.NewNopLogger())
				candidates := n.candidates()
				for _, o := range candidates {
					require.Negative(t, byRank(o, m), "no cycles")
				}
				if len(candidates) > 0 {
					parents[m.Name] = candidates[0]
					followers[candidates[0].Name]++
				}
			}
			for _, m := range all {
				require.LessOrEqual(t, followers[m.Name], m.FanOut, m.Name)
				depth := 0
				for o, ok := parents[m.Name]; ok; o, ok = parents[o.Name] {
					depth++
				}
				require.LessOrEqual(t, depth, c.maxDepth, m.Name)
			}
		})
	}
}

func TestFanOutFollowsTheWeakerResource(t *testing.T) {
	require.Equal(t, defaultFanOut, FanOut(0, 0), "not known")
	require.Equal(t, defaultFanOut, FanOut(0.134, 14))
	require.Equal(t, defaultFanOut, FanOut(1.6, 20))
	require.Equal(t, 14, FanOut(0.4, 1000))
	require.Equal(t, maxFanOut, FanOut(64, 10000))
}

// Two daemons whose lists tell different fan-outs could follow each other: a source accepts
// no follower that ranks before it.
func TestSourceRejectsAFollowerThatRanksBeforeIt(t *testing.T) {
	inv := newFakeInventory(&fakeStore{version: 1})
	inv.set(1)
	n := New(Options{Name: "d-0001", Domain: "d", FanOut: 14}, inv, inv, memberList{}, log.NewNopLogger())
	n.followsStore.Store(true)
	n.wasHealthy.Store(true)
	for query, want := range map[string]int{
		"domain=d&name=d-0000&fanout=14": http.StatusMisdirectedRequest,
		"domain=d&name=d-0002&fanout=56": http.StatusMisdirectedRequest,
		"domain=d&name=d-0002&fanout=14": http.StatusServiceUnavailable, // the store is lost
		"domain=d&name=d-0000&fanout=7":  http.StatusServiceUnavailable,
	} {
		w := httptest.NewRecorder()
		n.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+"?"+query, nil))
		require.Equal(t, want, w.Code, query)
	}
}
