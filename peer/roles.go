package peer

import (
	"fmt"
	"slices"
	"time"
)

// ownersPerServer is the number of daemons that read the status of each backend server.
const ownersPerServer = 2

// working returns the daemons that can be assigned roles.
func (n *Node) working() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Working()
}

// Members returns every known daemon.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.All()
}

// ShareHolders returns every daemon that may hold a share of state that the fleet divides among
// its daemons: all known ones except those dead for shareRetention. An unreachable daemon
// keeps using its share on its side of a partition. A daemon that knows no other, because it
// has just started or has been isolated since then, must not assume that it is the only one:
// ShareHolders returns none until joinGrace has passed, then itself and one member for each seed.
func (n *Node) ShareHolders(now time.Time) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := n.members.NotLongDead(shareRetention, now)
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

// shareRetention is how long a dead daemon keeps its share: partitions between regions last
// for minutes.
const shareRetention = 10 * time.Minute

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
		owns = isAssigned(n.opts.Self.Name, "status "+server, n.members.Working(), ownersPerServer)
		n.owned[server] = owns
	}
	return owns
}

// Writer returns the preferred writer of a shard of claims, or "" if no daemon can take it.
func (n *Node) Writer(shard int) string {
	r := rank(fmt.Sprint("claims ", shard), n.working())
	if len(r) == 0 {
		return ""
	}
	return r[0].Name
}

// Address returns the address of a daemon's peer listener, and whether the daemon is known
// and not dead.
func (n *Node) Address(name string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.members.Get(name)
	return m.Address, ok && m.State != Dead
}

// ShouldFollow reports whether this daemon should follow the store itself: it is
// one of its failure domain's watchers, or it has been isolated for isolationTimeout.
func (n *Node) ShouldFollow() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if now.Sub(n.started) < joinGrace && len(n.opts.Seeds) > 0 {
		return false // a peer may provide a snapshot
	}
	if len(n.links) == 0 && now.Sub(n.lastActivityAt) > isolationTimeout {
		return true
	}
	domain := n.opts.Self.FailureDomain
	var local []Member
	for _, m := range n.members.Working() {
		if m.FailureDomain == domain {
			local = append(local, m)
		}
	}
	return isAssigned(n.opts.Self.Name, "watch "+domain, local, n.opts.Watchers)
}

// Joined reports whether this daemon has a link, has no seeds, or has waited joinGrace
// for other daemons.
func (n *Node) Joined() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links) > 0 || len(n.opts.Seeds) == 0 || time.Since(n.started) >= joinGrace
}
