package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/store"
)

// The daemons that follow the store list the fleet; the others receive the list from their
// source. A daemon that joins or leaves is thus known to all within the same time, however
// many daemons there are.

// minMembersInterval is the time between two changes of the list of daemons on a link.
const minMembersInterval = 250 * time.Millisecond

// memberUpdate holds the changes between two lists of the daemons.
type memberUpdate struct {
	Full    bool           `cbor:"1,keyasint,omitempty"`
	Members []packedMember `cbor:"2,keyasint,omitempty"` // new, or with another domain or address
	Left    []string       `cbor:"3,keyasint,omitempty"`
	// Era is the era of the store in which the list was read.
	Era uint64 `cbor:"4,keyasint,omitempty"`
	// ListedByAll is Node.ListedByAll of the sender.
	ListedByAll store.Position `cbor:"5,keyasint,omitempty"`
}

// packedMember is a Member on a link, without field names.
type packedMember struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Domain  string
	Address string
	FanOut  int
}

func packMember(m Member) packedMember {
	return packedMember{Name: m.Name, Domain: m.Domain, Address: m.Address, FanOut: m.FanOut}
}

func (p packedMember) unpack() Member {
	return Member{Name: p.Name, Domain: p.Domain, Address: p.Address, FanOut: p.FanOut}
}

// diffMembers returns the changes between two lists of daemons.
func diffMembers(before, now []Member) *memberUpdate {
	known := make(map[string]Member, len(before))
	for _, m := range before {
		known[m.Name] = m
	}
	u := &memberUpdate{}
	for _, m := range now {
		if known[m.Name] != m {
			u.Members = append(u.Members, packMember(m))
		}
		delete(known, m.Name)
	}
	for name := range known {
		u.Left = append(u.Left, name)
	}
	return u
}

// isEmpty reports whether no daemon has changed.
func (u *memberUpdate) isEmpty() bool { return len(u.Members) == 0 && len(u.Left) == 0 }

// applyTo returns a list with the changes, in the order of names.
func (u *memberUpdate) applyTo(before []Member) []Member {
	known := map[string]Member{}
	if !u.Full {
		for _, m := range before {
			known[m.Name] = m
		}
	}
	for _, name := range u.Left {
		delete(known, name)
	}
	for _, p := range u.Members {
		known[p.Name] = p.unpack()
	}
	out := make([]Member, 0, len(known))
	for _, m := range known {
		out = append(out, m)
	}
	slices.SortFunc(out, byName)
	return out
}

// errNoMembers is returned for a frame without a list of daemons.
var errNoMembers = errors.New("relay: no list of daemons")

// EncodeMembers encodes a list of daemons in the same way as the first list on a link,
// compressed if it is long.
func EncodeMembers(all []Member) ([]byte, error) {
	u := diffMembers(nil, all)
	u.Full = true
	return encodeFrame(&frame{Members: u})
}

// DecodeMembers returns a list that EncodeMembers has encoded, in the order of names.
func DecodeMembers(data []byte) ([]Member, error) {
	f, err := unpackFrame(data)
	if err != nil {
		return nil, err
	}
	if f.Members == nil {
		return nil, errNoMembers
	}
	return f.Members.applyTo(nil), nil
}

// pushMembers sends a follower the list of the daemons, then its changes, until the link
// ends.
func (n *Node) pushMembers(ctx context.Context, c *websocket.Conn) {
	var sent []Member
	var last *memberUpdate
	for {
		changed := n.members.Changed()
		now := n.members.All()
		u := diffMembers(sent, now)
		u.Full, u.Era, u.ListedByAll = last == nil, n.members.Era(), n.ListedByAll()
		if last == nil || !u.isEmpty() || u.Era != last.Era || u.ListedByAll != last.ListedByAll {
			data, err := encodeFrame(&frame{Members: u})
			if err != nil || writeData(ctx, c, data) != nil {
				return // the link has ended
			}
			sent, last = now, u
			if !wait.For(ctx, minMembersInterval) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// applyMembers applies a list of the daemons from the source. The position is set first,
// since Members.Apply notifies pushMembers.
func (s *session) applyMembers(u *memberUpdate) {
	s.members = u.applyTo(s.members)
	n := s.node
	n.mu.Lock()
	n.membersReceived, n.listedByAll = true, u.ListedByAll
	n.mu.Unlock()
	n.members.Apply(s.members, u.Era)
}

// ReceivesMembers reports whether this daemon receives the list of the daemons from a
// source.
func (n *Node) ReceivesMembers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upstream != nil && n.membersReceived
}

// ListedByAll returns the position up to which the lists of all failure domains have the
// records of the daemons, 0 if unknown.
func (n *Node) ListedByAll() store.Position {
	if !n.followsStore.Load() {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.listedByAll
	}
	listed := n.members.ListedAt()
	others := n.otherSources()
	n.mu.Lock()
	defer n.mu.Unlock()
	for domain := range others {
		listed = min(listed, n.domainListedAt[domain])
	}
	return listed
}

// noteDomainListed records Members.ListedAt of the source of another domain.
func (n *Node) noteDomainListed(domain string, at store.Position) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domainListedAt[domain] = at
}
