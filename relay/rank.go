package relay

import (
	"cmp"
	"slices"
	"strings"
)

// In each failure domain the daemons form a tree. VMs may differ many times in processor
// and network. A daemon that starts needs the full state from its source, and each level of
// the tree takes as long as its VMs need to receive, decode and send it. So the daemons
// with the highest capacity come first and have more followers, which keeps the tree flat.

// Bounds of the number of followers.
const (
	// defaultFanOut is the least maximum of followers of a daemon. It bounds the time to
	// send the full state and the control traffic. A domain of up to eight daemons has one
	// level of followers, one of up to 57 has two.
	defaultFanOut = 7
	// maxFanOut bounds the links and the load reports of a daemon.
	maxFanOut = 8 * defaultFanOut
	// fanOutCPUs and fanOutLinkMbps are the processors and the bandwidth for which a
	// daemon has defaultFanOut followers.
	fanOutCPUs     = 0.2
	fanOutLinkMbps = 20.0
)

// FanOut returns the maximum number of followers of a daemon, by the processors and the
// bandwidth of its VM. Either is 0 if not known.
func FanOut(cpus, linkMbps float64) int {
	if cpus <= 0 || linkMbps <= 0 {
		return defaultFanOut
	}
	times := min(cpus/fanOutCPUs, linkMbps/fanOutLinkMbps)
	return max(defaultFanOut, min(maxFanOut, int(times*defaultFanOut)))
}

func (m Member) fanOut() int { return cmp.Or(m.FanOut, defaultFanOut) }

// byRank compares daemons by their rank: those with more followers first, then by name.
func byRank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.fanOut(), a.fanOut()), strings.Compare(a.Name, b.Name))
}

func byName(a, b Member) int { return strings.Compare(a.Name, b.Name) }

// self returns this daemon.
func (n *Node) self() Member {
	return Member{Name: n.opts.Name, Domain: n.opts.Domain, FanOut: n.opts.FanOut}
}

// predecessors returns the daemons of this domain that rank before this one, in the order
// of their ranks.
func (n *Node) predecessors() []Member {
	var before []Member
	self := n.self()
	for _, m := range n.members.All() {
		if m.Domain == self.Domain && byRank(m, self) < 0 {
			before = append(before, m)
		}
	}
	slices.SortFunc(before, byRank)
	return before
}

// parentIndex returns the index of a daemon's parent among its predecessors, of which there must
// be one: the followers of a daemon come after those of all earlier daemons.
func parentIndex(before []Member) int {
	followers := 0
	for i, m := range before {
		followers += m.fanOut()
		if followers >= len(before) {
			return i
		}
	}
	return len(before) - 1
}

// levelOneSize returns how many daemons have one of the first two daemons of the domain as
// their parent, those two included.
func levelOneSize(before []Member) int {
	size := 1
	for _, m := range before[:min(len(before), sourcesPerDomain)] {
		size += m.fanOut()
	}
	return size
}

// isHead reports whether this daemon is one of the heads of its domain.
func (n *Node) isHead() bool { return len(n.predecessors()) < headsPerDomain }
