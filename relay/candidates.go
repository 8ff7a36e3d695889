package relay

import (
	"slices"

	"github.com/snowspoke/snowspoke/store"
)

// Member is a daemon of the fleet.
type Member struct {
	Name    string
	Domain  string
	Address string // where it serves links
	FanOut  int    // maximum number of its followers, 0 for defaultFanOut
}

// Members lists the daemons, this one included, and receives the list of the source.
type Members interface {
	// All returns the daemons in the order of names. The slice must not be changed.
	All() []Member
	// Era returns the era of the store in which the list was read.
	Era() uint64
	// ListedAt returns the position of the last list that this daemon has read from the
	// store: the list has all records up to that position.
	ListedAt() store.Position
	// Changed returns a channel that is closed at the next change of the list.
	Changed() <-chan struct{}
	// Apply sets the list that the source has read in an era of the store.
	Apply(all []Member, era uint64)
}

// candidates returns the daemons of this domain that this one may follow, best first: its
// parent in the tree of the domain, then the heads of the domain.
//
// There are no cycles: within a domain a daemon follows only daemons that rank before it,
// which the source checks, and it follows a daemon of another domain only while that daemon
// follows the store itself.
func (n *Node) candidates() []Member {
	before := n.predecessors()
	if len(before) < sourcesPerDomain {
		return before
	}
	parent := parentIndex(before)
	out := []Member{before[parent]}
	heads := before[:min(len(before), headsPerDomain)]
	first := 0
	if len(before) >= headsPerDomain {
		first = len(before) % headsPerDomain // spreads the later daemons over the heads
	}
	for i := range heads {
		if head := (first + i) % len(heads); head != parent {
			out = append(out, heads[head])
		}
	}
	return out
}

// successors returns the daemons of this domain that follow the store while this one is
// down.
func (n *Node) successors() []Member {
	var next []Member
	for _, m := range n.members.All() {
		if m.Domain == n.opts.Domain && m.Name != n.opts.Name {
			next = append(next, m)
		}
	}
	slices.SortFunc(next, byRank)
	return next[:min(len(next), sourcesPerDomain)]
}

// otherHeads returns the heads of the other domains, those of each in the order of ranks.
func (n *Node) otherHeads() map[string][]Member {
	out := map[string][]Member{}
	for _, m := range n.members.All() {
		if m.Domain != n.opts.Domain {
			out[m.Domain] = append(out[m.Domain], m)
		}
	}
	for domain, daemons := range out {
		slices.SortFunc(daemons, byRank)
		out[domain] = daemons[:min(len(daemons), headsPerDomain)]
	}
	return out
}

// otherSources returns the first daemon of each other domain, usually the source of that
// domain.
func (n *Node) otherSources() map[string]Member {
	out := map[string]Member{}
	for _, m := range n.members.All() {
		if m.Domain == n.opts.Domain {
			continue
		}
		if first, ok := out[m.Domain]; !ok || byRank(m, first) < 0 {
			out[m.Domain] = m
		}
	}
	return out
}
