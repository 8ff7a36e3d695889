package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/snowspoke/snowspoke/network"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/stall"
	"github.com/snowspoke/snowspoke/store"
)

// Errors that end a link or a probe.
var (
	errStale     = errors.New("relay: source is stale")
	errSilent    = errors.New("relay: no answer from source")
	errStarting  = errors.New("relay: source is starting")
	errStoreLost = errors.New("relay: daemon has lost the store")
	errHealthy   = errors.New("relay: source is healthy")
	errCrossing  = errors.New("relay: source is healthy and follows another domain")
)

// Options are the settings of a node.
type Options struct {
	Name   string
	Domain string
	FanOut int // maximum followers of this daemon, 0 for defaultFanOut
	// Connect opens a connection to another daemon, nil for net.Dialer.
	Connect network.DialFunc
	// MaxConfigDelay is the time within which a configuration must be in force, 0 for
	// defaultConfigDelay.
	MaxConfigDelay time.Duration
	// ConditionReader queries backend servers that may be slow or saturated, nil for none.
	ConditionReader ConditionReader
	// Quarantine is kept in sync with the registries of the other daemons, nil for none.
	Quarantine *quarantine.Registry
	// Stalls monitors stalls of this process, which do not count towards the timeouts of
	// other daemons; nil for none.
	Stalls *stall.Monitor
	// BeforeStore is called once, before this daemon first follows the store. At a start
	// without a source it returns before the daemon has a state, and so before the daemon
	// or one of its followers forwards a request. It may be nil.
	BeforeStore func(ctx context.Context)
	// StoreAnswers makes a cheap call to the store and reports whether it was answered. It
	// may be nil: a head then searches for a source as long as the others.
	StoreAnswers func(ctx context.Context) bool
	// Restored reports whether the store is known to have been restored from an older
	// copy. It is called after BeforeStore; nil if it never was.
	Restored func() bool
}

// Node is the relay of one daemon.
type Node struct {
	opts          Options
	inv           Inventory
	loadExchange  LoadExchange
	members       Members
	logger        log.Logger
	followerLoads *loadTable
	dialer        *http.Client // opens links
	frames        frameCache
	servers       serverIndex
	conditions    *conditionRegistry

	othersMu   sync.Mutex // held while the loads of others are summed and passed on, so that the newest are passed last
	passMu     sync.Mutex // held while conditions are passed on, so that the newest are passed last
	unresolved bool       // the inventory lacked servers of the conditions passed last; guarded by passMu

	beforeStore       sync.Once
	running           atomic.Bool  // Run was called
	wasHealthy        atomic.Bool  // this daemon has been a healthy source
	followsStore      atomic.Bool  // this daemon follows the store itself
	followsStoreSince atomic.Int64 // Unix nanoseconds
	domainLoads       *loadTable   // loads of the other domains, while following the store
	sourceLoads       *loadTable   // loads received from the source, while following one

	createdAt time.Time // of this node, at the start of the process

	mu        sync.Mutex
	runCtx    context.Context // of Run, nil before
	sourceCtx context.Context // ends when this daemon stops being a source
	upstream  *upstream       // nil unless this daemon follows a source
	// membersReceived is set once the source has sent the list of the daemons, and
	// listedByAll is the position that it sent with the list.
	membersReceived bool
	listedByAll     store.Position
	domainListedAt  map[string]store.Position // ListedAt of the sources of other domains
}

// upstream is what the source of this daemon reported.
type upstream struct {
	crossesDomains bool          // the source, or one that it follows, is in another domain
	sinceContact   time.Duration // since the store last answered the source, at receivedAt
	receivedAt     time.Time
}

// age returns how long ago the store last answered. Only a pause beyond two ping intervals
// is added to the reported time, so that the age does not grow with each level of the
// tree.
func (u *upstream) age(now time.Time) time.Duration {
	return u.sinceContact + max(0, now.Sub(u.receivedAt)-2*pingInterval)
}

// New returns a node. The caller must call Run.
func New(o Options, inv Inventory, loadExchange LoadExchange, m Members, logger log.Logger) *Node {
	if o.FanOut == 0 {
		o.FanOut = defaultFanOut
	}
	if o.MaxConfigDelay == 0 {
		o.MaxConfigDelay = defaultConfigDelay
	}
	return &Node{
		opts: o, inv: inv, loadExchange: loadExchange, members: m, logger: logger, followerLoads: newLoadTable(), dialer: NewDialer(o.Connect, o.Stalls), conditions: newConditionRegistry(),
		domainListedAt: map[string]store.Position{}, createdAt: time.Now(),
		domainLoads: newLoadTable(), sourceLoads: newLoadTable(), sourceCtx: context.Background(),
	}
}

// FollowsStore reports whether this daemon follows the store itself.
func (n *Node) FollowsStore() bool { return n.followsStore.Load() }

// Leading reports whether this daemon follows the store as one of the first of its domain,
// or has followed it for leadingDelay, which means that few other daemons are left.
func (n *Node) Leading() bool {
	if !n.followsStore.Load() {
		return false
	}
	since := time.Unix(0, n.followsStoreSince.Load())
	return len(n.candidates()) < sourcesPerDomain || time.Since(since) > leadingDelay
}

// leadingDelay is how long a daemon that is not among the first of its domain follows the
// store before it counts as leading.
const leadingDelay = 15 * time.Second

func (n *Node) sourceContext() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sourceCtx
}

// healthy reports whether this daemon may be a source for its own domain: it follows the
// store, or a source that does, and the store answered within contactTimeout.
func (n *Node) healthy(now time.Time) bool {
	ago, ok := n.sinceContact(now)
	return ok && ago < contactTimeout(n.opts.MaxConfigDelay)
}

// sinceContact returns how long ago the store last answered this daemon or its source. ok
// is false if the daemon follows neither the store nor a source.
func (n *Node) sinceContact(now time.Time) (ago time.Duration, ok bool) {
	if n.followsStore.Load() {
		return now.Sub(n.inv.LastContact()), true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.upstream == nil {
		return 0, false
	}
	return n.upstream.age(now), true
}

// setUpstream records what the source has reported. Until ctx ends this daemon may then be
// a source itself.
func (n *Node) setUpstream(ctx context.Context, u *upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.upstream == nil {
		n.sourceCtx = ctx
	}
	n.upstream = u
}

// crossesDomains reports whether this daemon has its state from another domain.
func (n *Node) crossesDomains() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upstream != nil && n.upstream.crossesDomains
}

// clearUpstream records that this daemon follows no source.
func (n *Node) clearUpstream() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstream, n.membersReceived, n.listedByAll = nil, false, 0
}

// hasFailedToStart reports whether this daemon, which is starting, has had time to read the
// store and could not: it neither follows a source nor has the store answered it.
func (n *Node) hasFailedToStart() bool {
	if n.followsStore.Load() {
		since := time.Unix(0, n.followsStoreSince.Load())
		return n.inv.LastContact().IsZero() && time.Since(since) > startGrace
	}
	return !n.running.Load() && time.Since(n.createdAt) > startGrace
}

// starting reports whether this daemon is about to be a source for the first time. It
// needs a configuration and a full list of backend servers, since followers would treat
// the missing ones as gone. It also needs a freshness report from its own source. Until
// then it is not healthy, and a follower rejected for that reason would choose another
// source and soon leave it again.
func (n *Node) starting(now time.Time) bool {
	s := n.inv.State()
	if s.ConfigVersion == 0 || !s.Complete {
		return true
	}
	if !n.wasHealthy.Load() && n.healthy(now) {
		n.wasHealthy.Store(true)
	}
	return !n.wasHealthy.Load()
}
