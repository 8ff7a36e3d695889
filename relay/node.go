package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/stall"
)

// What ends a link, or a probe of a daemon.
var (
	errStale  = errors.New("relay: source is not fresh")
	errSilent = errors.New("relay: source is silent")
	errEarly  = errors.New("relay: source reads the store")
	errLost   = errors.New("relay: daemon has lost the store")
	errFound  = errors.New("relay: sound source")
)

// Options are the settings of a node.
type Options struct {
	Name   string
	Domain string
	FanOut int // daemons that follow one, 0 for the usual number
	// Connect opens a connection to another daemon, nil for the usual way.
	Connect func(ctx context.Context, network, address string) (net.Conn, error)
	// ConfigWithin is the time within which a configuration is to be in force, 0 for
	// shortestConfigWithin.
	ConfigWithin time.Duration
	// Asker asks backend servers that may be slow or crowded, nil for none.
	Asker Asker
	// Quarantine is kept alike with those of the other daemons, nil for none.
	Quarantine *quarantine.Book
	// Stalls are those of this process, which no other daemon is judged by; nil for none.
	Stalls *stall.Monitor
	// BeforeStore is called once, before this daemon first follows the store itself and
	// so before it or one of its followers sends a request on; nil for nothing to do.
	BeforeStore func(ctx context.Context)
	// Restored reports whether the store has ever come back from an older copy, as far as
	// this daemon has heard when BeforeStore is over; nil for no.
	Restored func() bool
}

// Node is one daemon's part in the relay.
type Node struct {
	opts       Options
	inv        Inventory
	book       LoadBook
	members    Members
	logger     log.Logger
	ledger     *ledger
	dialer     *http.Client // opens links
	frames     frames
	names      names
	conditions *conditionBook

	beforeStore  sync.Once
	begun        atomic.Bool  // this daemon has been a sound source
	reading      atomic.Bool  // this daemon follows the store itself
	readingSince atomic.Int64 // Unix nanoseconds
	otherDomains *ledger      // loads of the other domains, while reading
	above        *ledger      // loads told by the source, while relaying

	mu       sync.Mutex
	source   context.Context // ends when this daemon stops being a source
	upstream *upstream       // nil unless this daemon relays what a source tells
}

// upstream is what a daemon that relays knows of its own source.
type upstream struct {
	heard  time.Duration // since the store last answered, as the source told
	toldAt time.Time
}

// age returns how long ago the store last answered. A source tells it with each
// answer to a ping; only what goes beyond the usual pause is added, so that it
// does not grow with each step from the store.
func (u *upstream) age(now time.Time) time.Duration {
	return u.heard + max(0, now.Sub(u.toldAt)-2*pingEvery)
}

// New returns a node; Run must be called.
func New(o Options, inv Inventory, book LoadBook, m Members, logger log.Logger) *Node {
	if o.FanOut == 0 {
		o.FanOut = fanOut
	}
	if o.ConfigWithin == 0 {
		o.ConfigWithin = shortestConfigWithin
	}
	return &Node{
		opts: o, inv: inv, book: book, members: m, logger: logger, ledger: newLedger(), dialer: NewDialer(o.Connect, o.Stalls), conditions: newConditionBook(),
		otherDomains: newLedger(), above: newLedger(), source: context.Background(),
	}
}

// Reading reports whether this daemon follows the store itself.
func (n *Node) Reading() bool { return n.reading.Load() }

// Leading reports whether this daemon follows the store as one of the first of
// its domain, or has done so for long: few others are left then.
func (n *Node) Leading() bool {
	if !n.reading.Load() {
		return false
	}
	since := time.Unix(0, n.readingSince.Load())
	return len(n.candidates()) < ownSources || time.Since(since) > leadsAfter
}

// leadsAfter is how long a daemon that is not among the first of its domain
// follows the store itself until it counts as leading.
const leadsAfter = 15 * time.Second

func (n *Node) sourceContext() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.source
}

// sound reports whether this daemon may be a source for its own domain: it
// follows the store, or a source that does, and the store answered just now.
func (n *Node) sound(now time.Time) bool {
	heard, ok := n.heard(now)
	return ok && heard < unheardFor(n.opts.ConfigWithin)
}

// heard returns how long ago the store last answered this daemon or the one that
// it follows; ok is false if it follows neither.
func (n *Node) heard(now time.Time) (ago time.Duration, ok bool) {
	if n.reading.Load() {
		return now.Sub(n.inv.Heard()), true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.upstream == nil {
		return 0, false
	}
	return n.upstream.age(now), true
}

// noteUpstream notes what the source told: from now on this daemon may be a source
// itself until ctx ends.
func (n *Node) noteUpstream(ctx context.Context, heard time.Duration, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.upstream == nil {
		n.source = ctx
	}
	n.upstream = &upstream{heard: heard, toldAt: now}
}

// forgetUpstream says that this daemon follows no source any more.
func (n *Node) forgetUpstream() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstream = nil
}

// starting reports whether this daemon is about to be a source for the first time.
// It has not yet a configuration and a full list of the backend servers, and who
// followed it now would take all others to be gone; or it has, but the source has
// not yet told how fresh they are. Without the second, daemons that asked between
// the two followed another one, left that when this one was sound, and were told
// everything twice.
func (n *Node) starting(now time.Time) bool {
	s := n.inv.State()
	if s.ConfigVersion == 0 || !s.Complete {
		return true
	}
	if !n.begun.Load() && n.sound(now) {
		n.begun.Store(true)
	}
	return !n.begun.Load()
}
