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
	"github.com/snowspoke/snowspoke/store"
)

// Options are the settings of a node.
type Options struct {
	Self      Member
	Seeds     []string // addresses of other daemons' peers' listeners
	Heartbeat time.Duration
	Suspect   time.Duration // silence before suspicion
	Dead      time.Duration // silence before death
	Degree    int           // links that a daemon opens
	Watchers  int           // daemons of a failure domain that watch the store
	Token     string        // shared by the fleet
	Scheme    string        // "http" or "https"
}

// Catalog is the configuration in force that a node keeps in step with others.
type Catalog interface {
	Mark() catalog.Mark
	Apply(objects ...store.Object) []catalog.Verdict
	Since(revision store.Position) []store.Object
}

// Statuses takes the reports on backend servers that other daemons read.
type Statuses interface {
	Take(st backend.Status)
	Known() []backend.Status
}

// Node is one daemon's part in the fleet. It is safe for concurrent use.
type Node struct {
	opts     Options
	http     *http.Client
	catalog  Catalog
	statuses Statuses
	logger   log.Logger
	sent     atomic.Int64 // bytes on links
	received atomic.Int64

	mu        sync.Mutex
	members   *Members
	links     map[string]*link
	dialing   map[string]bool
	lastHeard time.Time // of any link
	started   time.Time
	wantedAt  time.Time
	differs   map[string]int   // heartbeats in a row with another mark, by daemon
	seen      map[string]stamp // newest status passed on, by backend server
	owned     map[string]bool  // cached answers of Owns
	ownedAt   uint64           // version of the membership that they hold for
	changed   chan struct{}
	vms       VMList     // newest known
	polled    []store.VM // as this daemon read it last
	onVMs     func([]store.VM)
	quotas    *quotas
}

// stamp orders the reports of one engine.
type stamp struct{ boot, seq uint64 }

// Periods that need no setting.
const (
	forgetAfter  = time.Hour       // a daemon that is dead for so long is forgotten
	joinGrace    = 2 * time.Second // a daemon that starts waits so long for others
	wantPause    = 2 * time.Second // between two requests for configuration
	differBeats  = 3               // heartbeats with another mark before asking
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	silence      = 10 * time.Second // without links for so long, the store is read directly
)

// New returns a node; Run must be called to start it.
func New(o Options, hc *http.Client, c Catalog, s Statuses, logger log.Logger) *Node {
	return &Node{
		opts: o, http: hc, catalog: c, statuses: s, logger: logger, started: time.Now(),
		members: NewMembers(o.Self, o.Dead-o.Suspect, forgetAfter), links: map[string]*link{}, dialing: map[string]bool{},
		differs: map[string]int{}, seen: map[string]stamp{}, owned: map[string]bool{}, quotas: newQuotas(), changed: make(chan struct{}),
	}
}

// Run keeps links, heartbeats and membership until ctx ends.
func (n *Node) Run(ctx context.Context) {
	beat := time.NewTicker(n.opts.Heartbeat)
	defer beat.Stop()
	for {
		n.tick(ctx)
		select {
		case <-ctx.Done():
			n.closeLinks()
			return
		case <-beat.C:
		}
	}
}

// tick sends heartbeats, looks for silent links and opens missing ones.
func (n *Node) tick(ctx context.Context) {
	now := time.Now()
	n.broadcast(&Frame{Beat: &Beat{Mark: n.catalog.Mark()}}, "")
	n.mu.Lock()
	for _, m := range n.members.Tick(now) {
		_ = level.Info(n.logger).Log("msg", "peer dead", "peer", m.Name)
		n.notify()
	}
	var silent []*link
	for _, l := range n.links {
		if now.Sub(l.heardAt()) > n.opts.Suspect {
			silent = append(silent, l)
		}
	}
	targets := n.targets()
	n.mu.Unlock()
	for _, l := range silent {
		l.close("silent")
	}
	for _, t := range targets {
		go n.dial(ctx, t)
	}
}

// targets returns where links should be opened now. The caller holds the lock.
func (n *Node) targets() []target {
	var out []target
	for _, m := range Neighbours(n.opts.Self.Name, n.members.Working(), n.opts.Degree) {
		if n.links[m.Name] == nil {
			out = append(out, target{m.Name, m.Address})
		}
	}
	if len(n.links) == 0 || rand.IntN(probeEvery) == 0 {
		out = append(out, n.strangers()...)
	}
	var free []target
	for _, t := range out {
		if !n.dialing[t.address] {
			n.dialing[t.address] = true
			free = append(free, t)
		}
	}
	return free
}

// probeEvery is the mean number of heartbeats between two tries to find daemons
// that are not known or count as dead, as after a partition.
const probeEvery = 8

type target struct{ name, address string }

// strangers returns a seed that is not linked and a daemon that counts as dead.
func (n *Node) strangers() []target {
	var out []target
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
		out = append(out, target{address: seeds[rand.IntN(len(seeds))]})
	}
	if len(dead) > 0 {
		m := dead[rand.IntN(len(dead))]
		out = append(out, target{m.Name, m.Address})
	}
	return out
}

// SetSeeds replaces the addresses at which other daemons may be found.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opts.Seeds = seeds
}

func (n *Node) dial(ctx context.Context, t target) {
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
		n.accuse(t.name)
		return
	}
	n.serveLink(ctx, c)
}

// accuse spreads the suspicion that a daemon has gone.
func (n *Node) accuse(name string) {
	n.mu.Lock()
	news, changed := n.members.Accuse(name, time.Now())
	n.mu.Unlock()
	if changed {
		n.spread(news, "")
	}
}

// spread passes news on to all links but the one it came from.
func (n *Node) spread(m Member, from string) {
	n.mu.Lock()
	n.notify()
	n.mu.Unlock()
	_ = level.Info(n.logger).Log("msg", "peer news", "peer", m.Name, "state", m.State, "incarnation", m.Incarnation)
	n.broadcast(&Frame{Members: []Member{m}}, from)
}

// notify wakes those who wait for a change of membership. The caller holds the
// lock.
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

// broadcast sends a frame on all links but the one it came from.
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

// Leave announces that this daemon stops, so that others take its duties over
// at once.
func (n *Node) Leave() {
	n.mu.Lock()
	news := n.members.Leave()
	n.mu.Unlock()
	n.spread(news, "")
}

// PathLink is where links are opened on the peers' listener.
const PathLink = "/peer/v1/link"

// Handler serves links.
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
