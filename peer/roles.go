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

// ShareHolders returns every daemon that may hold a share of something that the fleet
// divides among its daemons: all known daemons except those dead for shareRetention. An
// unreachable daemon keeps using its share on its side of a partition. A daemon that knows
// no other daemon must not assume that it is alone, because it may have just started or
// may be isolated. In that case ShareHolders returns none until joinGrace has passed, and
// then this daemon and one member for each seed.
func (n *Node) ShareHolders(now time.Time) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := n.members.Retained(shareRetention, now)
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

// shareRetention is how long a dead daemon keeps its share. It exceeds the length of
// partitions between regions, which last for minutes.
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

// Writer returns the preferred writer of a shard of claims, or "" if there is none.
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

// ShouldFollow reports whether this daemon should follow the store itself: either it
// is one of the watchers of its failure domain, or it has been isolated for
// isolationTimeout. A daemon with seeds does not follow within joinGrace of its start.
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
