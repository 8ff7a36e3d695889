package relay

import (
	"slices"
	"strings"
)

// Member is another daemon.
type Member struct {
	Name    string
	Domain  string
	Address string // of its links
}

// Members lists the daemons, this one included.
type Members interface{ All() []Member }

// candidates returns the daemons that this one may follow, the best first: the
// one above it in the tree of its domain; the first ones of its domain; then, for
// all but the first two, the first ones of the other domains. Within a domain a
// daemon follows only those that come before it in the order of names, and those
// of another domain only while they follow the store, so daemons never follow
// each other in a circle.
func (n *Node) candidates() []Member {
	all := n.members.All()
	var before []Member
	for _, m := range all {
		if m.Domain == n.opts.Domain && m.Name < n.opts.Name {
			before = append(before, m)
		}
	}
	slices.SortFunc(before, byName)
	if len(before) < ownSources {
		return before
	}
	above := (len(before) - 1) / n.opts.FanOut
	out := []Member{before[above]}
	for i, m := range before[:ownSources] {
		if i != above {
			out = append(out, m)
		}
	}
	others := make([]Member, 0, len(all))
	for _, m := range n.otherSources() {
		others = append(others, m)
	}
	slices.SortFunc(others, byName)
	return append(out, others...)
}

// nextOfDomain returns the daemons of the own domain that take over from this one: they
// follow the store while this one is away.
func (n *Node) nextOfDomain() []Member {
	var next []Member
	for _, m := range n.members.All() {
		if m.Domain == n.opts.Domain && m.Name != n.opts.Name {
			next = append(next, m)
		}
	}
	slices.SortFunc(next, byName)
	return next[:min(len(next), ownSources)]
}

func byName(a, b Member) int { return strings.Compare(a.Name, b.Name) }

// otherSources returns the first daemon of each other domain: most likely its
// source.
func (n *Node) otherSources() map[string]Member {
	out := map[string]Member{}
	for _, m := range n.members.All() {
		if m.Domain == n.opts.Domain {
			continue
		}
		if first, ok := out[m.Domain]; !ok || m.Name < first.Name {
			out[m.Domain] = m
		}
	}
	return out
}
