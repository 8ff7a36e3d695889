package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/catalog"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/store"
)

// Options are the settings of a node.
type Options struct {
	Self      Member
	Seeds     []string // addresses of other daemons' peer listeners
	Heartbeat time.Duration
	Suspect   time.Duration // time without contact until a daemon is suspect
	Dead      time.Duration // time without contact until a daemon is dead
	Degree    int           // number of links that a daemon opens
	Watchers  int           // number of daemons in a failure domain that follow the store
	Token     string        // shared by the fleet
	Scheme    string        // "http" or "https"
	// Quarantine is exchanged with the other daemons, nil for none.
	Quarantine *quarantine.Registry
}

// Catalog is the configuration in force that a node synchronizes with its peers.
type Catalog interface {
	Mark() catalog.Mark
	Apply(objects ...store.Object) []catalog.Result
	Since(revision store.Position) []store.Object
	Complete() bool
	SetComplete(m catalog.Mark)
}

// Statuses holds the backend server statuses that other daemons read.
type Statuses interface {
	ApplyStatus(st backend.Status)
	Reports() []backend.Status
}

// Node is the fleet membership of this daemon. It is safe for concurrent use.
type Node struct {
	opts     Options
	http     *http.Client
	catalog  Catalog
	statuses Statuses
	logger   log.Logger
	sent     atomic.Int64 // bytes on links
	received atomic.Int64

	mu                sync.Mutex
	members           *Members
	links             map[string]*link
	dialing           map[string]bool
	lastActivityAt    time.Time // of any link
	started           time.Time
	configRequestedAt time.Time
	mismatches        map[string]int           // consecutive heartbeats with a different mark, by daemon
	seen              map[string]statusVersion // newest status seen, by backend server
	owned             map[string]bool          // cached answers of Owns
	ownedAt           uint64                   // membership version for which owned is valid
	changed           chan struct{}
	vms               VMList     // newest list
	polled            []store.VM // the list that this daemon itself read last
	onVMs             func([]store.VM)
	quotas            *quotas
}

// statusVersion orders the statuses of one backend server.
type statusVersion struct{ boot, seq uint64 }

// Intervals and timeouts.
const (
	deadMemberRetention   = time.Hour       // time until a dead daemon is removed
	joinGrace             = 2 * time.Second // time that a starting daemon waits for other daemons
	configRequestInterval = 2 * time.Second // minimum time between two requests for configuration
	mismatchThreshold     = 3               // heartbeats with a different mark before configuration is requested
	dialTimeout           = 2 * time.Second
	writeTimeout          = 5 * time.Second
	isolationTimeout      = 10 * time.Second // time without links until a daemon follows the store itself
)

// New returns a node. Run starts it.
func New(o Options, hc *http.Client, c Catalog, s Statuses, logger log.Logger) *Node {
	return &Node{
		opts: o, http: hc, catalog: c, statuses: s, logger: logger, started: time.Now(),
		members: NewMembers(o.Self, o.Dead-o.Suspect, deadMemberRetention), links: map[string]*link{}, dialing: map[string]bool{},
		mismatches: map[string]int{}, seen: map[string]statusVersion{}, owned: map[string]bool{}, quotas: newQuotas(), changed: make(chan struct{}),
	}
}

// Run maintains links, heartbeats and membership until ctx ends.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(n.opts.Heartbeat)
	defer ticker.Stop()
	for {
		n.tick(ctx)
		select {
		case <-ctx.Done():
			n.closeLinks()
			return
		case <-ticker.C:
		}
	}
}

// tick sends heartbeats, closes silent links and opens missing ones.
func (n *Node) tick(ctx context.Context) {
	now := time.Now()
	n.broadcast(&Frame{Heartbeat: n.heartbeat()}, "")
	n.mu.Lock()
	for _, m := range n.members.Tick(now) {
		_ = level.Info(n.logger).Log("msg", "peer dead", "peer", m.Name)
		n.notify()
	}
	var silent []*link
	for _, l := range n.links {
		if now.Sub(l.lastContactAt()) > n.opts.Suspect {
			silent = append(silent, l)
		}
	}
	targets := n.dialTargets()
	n.mu.Unlock()
	for _, l := range silent {
		l.close("silent")
	}
	for _, t := range targets {
		go n.dial(ctx, t)
	}
}

// dialTargets returns the targets to dial now and marks them as being dialed.
// The caller holds n.mu.
func (n *Node) dialTargets() []dialTarget {
	var out []dialTarget
	for _, m := range Neighbors(n.opts.Self.Name, n.members.Working(), n.opts.Degree) {
		if n.links[m.Name] == nil {
			out = append(out, dialTarget{m.Name, m.Address})
		}
	}
	if len(n.links) == 0 || rand.IntN(probeInterval) == 0 {
		out = append(out, n.probeTargets()...)
	}
	var free []dialTarget
	for _, t := range out {
		if !n.dialing[t.address] {
			n.dialing[t.address] = true
			free = append(free, t)
		}
	}
	return free
}

// probeInterval is the mean number of heartbeats between two probes of seeds and
// dead daemons. Probes rejoin the parts of a fleet after a partition.
const probeInterval = 8

type dialTarget struct{ name, address string }

// probeTargets returns a random seed that is not a live member, and a random suspect
// or dead daemon, as far as there are any. The caller holds n.mu.
func (n *Node) probeTargets() []dialTarget {
	var out []dialTarget
	known := map[string]bool{n.opts.Self.Address: true}
	var dead []Member
	for _, m := range n.members.All() {
		if m.State < Suspect {
			known[m.Address] = true
		} else {
			dead = append(dead, m)
		}
	}
	var seeds []string
	for _, s := range n.opts.Seeds {
		if !known[s] {
			seeds = append(seeds, s)
		}
	}
	if len(seeds) > 0 {
		out = append(out, dialTarget{address: seeds[rand.IntN(len(seeds))]})
	}
	if len(dead) > 0 {
		m := dead[rand.IntN(len(dead))]
		out = append(out, dialTarget{m.Name, m.Address})
	}
	return out
}

// SetSeeds replaces the addresses of other daemons' peer listeners.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opts.Seeds = seeds
}

func (n *Node) dial(ctx context.Context, t dialTarget) {
	defer func() {
		n.mu.Lock()
		delete(n.dialing, t.address)
		n.mu.Unlock()
	}()
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, _, err := websocket.Dial(dctx, n.opts.Scheme+"://"+t.address+PathLink, &websocket.DialOptions{
		HTTPClient: n.http, HTTPHeader: http.Header{"Authorization": {"Bearer " + n.opts.Token}},
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		n.markSuspect(t.name)
		return
	}
	n.serveLink(ctx, c)
}

// markSuspect marks a daemon as suspect, or as dead if it was leaving, and broadcasts the
// change.
func (n *Node) markSuspect(name string) {
	n.mu.Lock()
	update, changed := n.members.MarkSuspect(name, time.Now())
	n.mu.Unlock()
	if changed {
		n.broadcastMember(update, "")
	}
}

// broadcastMember wakes the waiters of Changed, and sends a change of a member on all
// links except the link of the daemon from which the change was received.
func (n *Node) broadcastMember(m Member, from string) {
	n.mu.Lock()
	n.notify()
	n.mu.Unlock()
	_ = level.Info(n.logger).Log("msg", "peer news", "peer", m.Name, "state", m.State, "incarnation", m.Incarnation)
	n.broadcast(&Frame{Members: []Member{m}}, from)
}

// notify closes the channel that Changed returned. The caller holds n.mu.
func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the membership changes.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// broadcast sends a frame on all links except the link of the daemon from which it was
// received.
func (n *Node) broadcast(f *Frame, from string) {
	n.mu.Lock()
	links := make([]*link, 0, len(n.links))
	for name, l := range n.links {
		if name != from {
			links = append(links, l)
		}
	}
	n.mu.Unlock()
	if len(links) == 0 {
		return
	}
	data, err := encode(f)
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "frame not sent", "err", err)
		return
	}
	for _, l := range links {
		l.send(data)
	}
}

func (n *Node) closeLinks() {
	n.mu.Lock()
	links := n.links
	n.links = map[string]*link{}
	n.mu.Unlock()
	for _, l := range links {
		l.close("stopping")
	}
}

// Leave announces that this daemon is stopping, so that its roles are reassigned at
// once.
func (n *Node) Leave() {
	n.mu.Lock()
	update := n.members.Leave()
	n.mu.Unlock()
	n.broadcastMember(update, "")
}

// PathLink is the path on the peer listener at which links are opened.
const PathLink = "/peer/v1/link"

// Handler returns the handler that accepts links until ctx ends.
func (n *Node) Handler(ctx context.Context) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.Authorized(r) {
			http.Error(w, "wrong token", http.StatusUnauthorized)
			return
		}
		c, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			return
		}
		n.serveLink(ctx, c)
	})
}

// Authorized reports whether a request carries the fleet's token.
func (n *Node) Authorized(r *http.Request) bool {
	have := r.Header.Get("Authorization")
	return subtle.ConstantTimeCompare([]byte(have), []byte("Bearer "+n.opts.Token)) == 1
}

// Traffic returns the bytes sent and received on links.
func (n *Node) Traffic() (sent, received int64) { return n.sent.Load(), n.received.Load() }

var errNoHello = errors.New("peer: the link did not begin with a hello")
