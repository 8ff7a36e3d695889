package peer

import (
	"fmt"
	"slices"
	"time"
)

// ownersOfServer is how many daemons read the status of one backend server.
const ownersOfServer = 2

// working returns the daemons that take duties.
func (n *Node) working() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Working()
}

// Members returns every daemon known.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.All()
}

// Sharing returns every daemon that may hold a part of what all daemons keep together: all
// that are known but those that have been dead for partKept. A daemon that cannot be reached
// goes on with its part, on its side of a partition. One that has just started, or is cut off
// from its start on, knows no other and must not take itself for the only one: nobody is
// returned for joinGrace, and after that those at the addresses where others may be found.
func (n *Node) Sharing(now time.Time) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := n.members.NotLongDead(partKept, now)
	if len(all) > 1 || len(n.opts.Seeds) == 0 {
		return all
	}
	if now.Sub(n.started) < joinGrace {
		return nil
	}
	seeds := slices.Clone(n.opts.Seeds)
	slices.Sort(seeds)
	for _, address := range slices.Compact(seeds) {
		if address != n.opts.Self.Address {
			all = append(all, Member{Name: address, Address: address})
		}
	}
	return all
}

// partKept is how long the part of a dead daemon stays its own: regions lose each other for
// minutes.
const partKept = 10 * time.Minute

// Owns reports whether this daemon reads the status of a backend server.
func (n *Node) Owns(server string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v := n.members.Version(); n.ownedAt != v {
		n.ownedAt = v
		clear(n.owned)
	}
	owns, known := n.owned[server]
	if !known {
		owns = onDuty(n.opts.Self.Name, "status "+server, n.members.Working(), ownersOfServer)
		n.owned[server] = owns
	}
	return owns
}

// Writer returns the daemon that should write a shard of claims.
func (n *Node) Writer(shard int) string {
	r := rank(fmt.Sprint("claims ", shard), n.working())
	if len(r) == 0 {
		return ""
	}
	return r[0].Name
}

// Address returns the peers' address of a daemon that may answer.
func (n *Node) Address(name string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.members.Get(name)
	return m.Address, ok && m.State != Dead
}

// ShouldFollow reports whether this daemon should follow the store itself: it is
// one of its failure domain's watchers, or it has heard from nobody for a while.
func (n *Node) ShouldFollow() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if now.Sub(n.started) < joinGrace && len(n.opts.Seeds) > 0 {
		return false // others may have a snapshot
	}
	if len(n.links) == 0 && now.Sub(n.lastHeard) > silence {
		return true
	}
	domain := n.opts.Self.FailureDomain
	var mine []Member
	for _, m := range n.members.Working() {
		if m.FailureDomain == domain {
			mine = append(mine, m)
		}
	}
	return onDuty(n.opts.Self.Name, "watch "+domain, mine, n.opts.Watchers)
}

// Joined reports whether this daemon has had the time to hear from others.
func (n *Node) Joined() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links) > 0 || len(n.opts.Seeds) == 0 || time.Since(n.started) >= joinGrace
}
