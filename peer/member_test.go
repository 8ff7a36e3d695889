package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Updates in any order, and repeated ones, lead to the same table on every daemon.
func TestUpdatesCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var updates []Member
		for range rapid.IntRange(0, 20).Draw(t, "n") {
			updates = append(updates, Member{
				Name:        rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
				Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")),
				State:       State(rapid.IntRange(0, int(Suspect)).Draw(t, "state")),
			})
		}
		one := NewMembers(Member{Name: "x"}, time.Hour, time.Hour)
		two := NewMembers(Member{Name: "x"}, time.Hour, time.Hour)
		now := time.Now()
		for _, m := range updates {
			one.Apply(m, now)
		}
		for _, m := range append(rapid.Permutation(updates).Draw(t, "order"), updates...) {
			two.Apply(m, now)
		}
		require.Equal(t, one.All(), two.All())
	})
}

func TestRefutation(t *testing.T) {
	m := NewMembers(Member{Name: "x", Incarnation: 5}, time.Second, time.Hour)
	refutation, changed := m.Apply(Member{Name: "x", Incarnation: 5, State: Dead}, time.Now())
	require.True(t, changed)
	require.Equal(t, Member{Name: "x", Incarnation: 6}, refutation)
	_, changed = m.Apply(Member{Name: "x", Incarnation: 5, State: Dead}, time.Now())
	require.False(t, changed)
}

// Roles are not given back to it.
func TestLeavingDaemonWhoseLinksEndIsNotWorking(t *testing.T) {
	now := time.Now()
	m := NewMembers(Member{Name: "x"}, time.Hour, time.Hour)
	m.Apply(Member{Name: "y", Incarnation: 1, State: Leaving}, now)
	update, changed := m.MarkSuspect("y", now)
	require.True(t, changed)
	require.Equal(t, []Member{m.Self()}, m.Working())
	other := NewMembers(Member{Name: "z"}, time.Hour, time.Hour)
	other.Apply(Member{Name: "y", Incarnation: 1}, now)
	other.Apply(update, now)
	require.Equal(t, []Member{other.Self()}, other.Working())
}

// Every daemon is reached in few hops, and every daemon has few links.
func TestNeighbors(t *testing.T) {
	for _, n := range []int{1, 2, 8, 32, 128, 380} {
		var members []Member
		for i := range n {
			members = append(members, Member{Name: fmt.Sprint("d", i)})
		}
		links := map[string][]string{}
		for _, m := range members {
			for _, o := range Neighbors(m.Name, members, 4) {
				links[m.Name] = append(links[m.Name], o.Name)
				links[o.Name] = append(links[o.Name], m.Name)
			}
		}
		hops := map[string]int{"d0": 0}
		maxHops := 0
		for queue := []string{"d0"}; len(queue) > 0; queue = queue[1:] {
			require.LessOrEqual(t, len(links[queue[0]]), 8)
			for _, o := range links[queue[0]] {
				if _, seen := hops[o]; !seen {
					hops[o] = hops[queue[0]] + 1
					maxHops = max(maxHops, hops[o])
					queue = append(queue, o)
				}
			}
		}
		require.Len(t, hops, n)
		require.LessOrEqual(t, maxHops, 10)
	}
}

func BenchmarkOwns(b *testing.B) {
	for _, n := range []int{8, 128, 380} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			var members []Member
			for i := range n {
				members = append(members, Member{Name: fmt.Sprint("d", i)})
			}
			for b.Loop() {
				isAssigned("d0", "status engine", members, ownersPerServer)
			}
		})
	}
}

// A daemon that has seeds but knows no other daemon counts its seeds as holders of shares.
// A dead daemon keeps its share for shareRetention.
func TestShareHolders(t *testing.T) {
	self := Member{Name: "a", Address: "10.0.0.1:1"}
	node := func(seeds ...string) *Node {
		return New(Options{Self: self, Seeds: seeds, Dead: time.Second}, nil, nil, nil, log.NewNopLogger())
	}
	now := time.Now()
	require.Len(t, node().ShareHolders(now), 1, "without seeds there are no others")
	n := node("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.2:1")
	require.Empty(t, n.ShareHolders(now), "just started")
	require.Len(t, n.ShareHolders(now.Add(joinGrace+time.Second)), 3, "itself and two that it cannot reach")

	n.members.Apply(Member{Name: "b", Address: "10.0.0.2:1"}, now)
	require.Len(t, n.ShareHolders(now), 2, "the known members")
	n.members.Apply(Member{Name: "b", Address: "10.0.0.2:1", State: Dead}, now)
	require.Len(t, n.ShareHolders(now.Add(shareRetention-time.Second)), 2)
	require.Len(t, n.ShareHolders(now.Add(shareRetention)), 3, "itself and two that it cannot reach")
}
