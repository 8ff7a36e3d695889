package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/internal/wait"
)

// Times of following another daemon. A configuration is to be in force within
// shortestConfigWithin or more, also when a source is cut off without a word just before
// it comes: what a source may not have heard, a ping and a list of the store's take less.
const (
	shortestConfigWithin = 2 * time.Second
	// pingEvery is the period at which a source is asked how fresh it is.
	pingEvery = 400 * time.Millisecond
	// silentFor is how long a source may say nothing before it is left.
	silentFor = 1100 * time.Millisecond
	// leastUnheard is how long a source may not have heard from the store, at least: its
	// watch waits 0.9 s, and a slow store takes 0.4 s more. Where a configuration may take
	// longer, a source is left later by unheardShare of what it may: a store that is about
	// to drop its history says nothing for 1.6 s. All 295 daemons left their sources then
	// and followed the store themselves, with 1,600 calls in two seconds, half of the day's.
	leastUnheard = 1350 * time.Millisecond
	unheardShare = 0.375
	mostUnheard  = 2350 * time.Millisecond
	// dialTimeout bounds the opening of a link, connectTimeout its connection: a VM
	// without power says nothing, while one that is there takes a connection in
	// milliseconds however busy it is. Where the first VM of a domain was gone for good,
	// each of 59 daemons that were started together waited 400 ms for it again and again.
	dialTimeout    = 400 * time.Millisecond
	connectTimeout = 150 * time.Millisecond
	// tryAgain is the pause after which a daemon looks for a better source.
	tryAgain = 1500 * time.Millisecond
	// ownSources is how many daemons of the own domain follow the store or do so
	// next: the first does, the second when the first is lost.
	ownSources = 2
	// fanOut is how many daemons follow one: a full state of 1 MB for each of a
	// hundred took 30 s of a small VM's link, and eight took 3.1 KB a second of control
	// traffic, of which a daemon has 3. Domains of up to eight daemons need no relays
	// between, those of up to 57 one step of them: the target has 55.
	fanOut = 7
	// patience is how long a daemon waits at its start for a source that starts at
	// the same time, and longPatience for one that says that it reads the store; if
	// all read the store at once, its rate would hold all up. The second daemon of a
	// domain, which is its source when the first is gone, waits for secondPatience:
	// VMs start within 0.3 s of each other, and a start takes 0.1 s.
	patience       = 1500 * time.Millisecond
	secondPatience = 600 * time.Millisecond
	longPatience   = 10 * time.Second
	patiencePause  = 100 * time.Millisecond
	// quickPause and quickPauseMost bound the pauses after failed calls to the store of
	// the first daemons of a domain, laterPause and laterPauseMost those of the others.
	// These find a source as soon as one is sound again: in an outage of 8 s each of 295
	// daemons made twenty calls with quick pauses.
	quickPause     = 50 * time.Millisecond
	quickPauseMost = 400 * time.Millisecond
	laterPause     = 2 * time.Second
	laterPauseMost = 4 * time.Second
	// lookPause is the pause between two looks for a source of a later daemon that has
	// lost its own, and outagePause the one while the store seems to be away for all, for
	// outageMost at most.
	lookPause   = 500 * time.Millisecond
	outagePause = time.Second
	outageMost  = 10 * time.Second
	// leaveTakes is how long it takes at most from when a source has not heard from the
	// store for too long until a follower has read the store itself: a ping and a list.
	leaveTakes = 650 * time.Millisecond
)

// unheardFor returns how long a source may not have heard from the store where a
// configuration is to be in force within a time.
func unheardFor(configWithin time.Duration) time.Duration {
	more := unheardShare * float64(configWithin-shortestConfigWithin)
	return min(mostUnheard, leastUnheard+time.Duration(max(0, more)))
}

var (
	errStale  = errors.New("relay: source is not fresh")
	errSilent = errors.New("relay: source is silent")
	errEarly  = errors.New("relay: source reads the store")
	errLost   = errors.New("relay: daemon has lost the store")
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
	// Asker asks backend servers that are suspected to be slow, nil for none.
	Asker Asker
}

// Node is one daemon's part in the relay.
type Node struct {
	opts    Options
	inv     Inventory
	book    LoadBook
	members Members
	logger  log.Logger
	ledger  *ledger
	dialer  *http.Client // opens links
	frames  frames
	names   names
	slow    *slowBook

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
		opts: o, inv: inv, book: book, members: m, logger: logger, ledger: newLedger(), dialer: newDialer(o.Connect), slow: newSlowBook(),
		otherDomains: newLedger(), above: newLedger(), source: context.Background(),
	}
}

// Handler serves links to other daemons.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(Path, n.serveLink)
	return mux
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

// Run keeps the inventory up to date until ctx ends: over a source if there is a
// sound one, else from the store itself.
func (n *Node) Run(ctx context.Context) {
	found := n.awaitFirstSource(ctx)
	for ctx.Err() == nil {
		if !found || !n.followSource(ctx) && !n.lookForSource(ctx) {
			n.followStore(ctx)
		}
		found = true // by followStore, or there was one
	}
}

// lookForSource looks for a sound source before a daemon that is not among the first of
// its domain follows the store itself: for as long as one before it is there, which looks
// for the store as well, and a configuration could still be in force in time; longer while
// the sources of other domains have lost the store too. It returns whether one was found.
func (n *Node) lookForSource(ctx context.Context) bool {
	began := time.Now()
	bound := n.opts.ConfigWithin - unheardFor(n.opts.ConfigWithin) - leaveTakes
	pause := lookPause
	for len(n.candidates()) >= ownSources && time.Since(began) < bound {
		if !wait.For(ctx, min(pause/2+rand.N(pause), bound-time.Since(began))) {
			return false
		}
		found, lost := n.look(ctx)
		switch {
		case found:
			return true
		case !lost[n.opts.Domain]:
			return false
		case len(lost) > 1:
			bound, pause = outageMost, outagePause
		}
	}
	return false
}

// look asks all candidates once: found says that one is a sound source, lost in which
// failure domains one is there that has lost the store, or is about to read it.
func (n *Node) look(ctx context.Context) (found bool, lost map[string]bool) {
	lost = map[string]bool{}
	for _, m := range n.candidates() {
		err := n.probe(ctx, m)
		if errors.Is(err, errFound) {
			return true, lost
		}
		if errors.Is(err, errLost) || errors.Is(err, errEarly) {
			lost[m.Domain] = true
		}
	}
	return false, lost
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

// awaitFirstSource gives the sources of this domain time to start: a full state
// from another one is large, and bytes between domains are paid for. The first
// daemon of a domain does not wait: it is its source. When the second did not wait
// either, it followed the store, others followed it, and all of them were left when
// it found the first: 129 links made anew in the 14 s before a calm day of 295 daemons.
// It does not wait for long: with a first daemon that was gone for good, a domain that
// was started anew knew no configuration for 2.7 s, and 314 callers were refused. It
// returns whether a source was found.
func (n *Node) awaitFirstSource(ctx context.Context) bool {
	began := time.Now()
	most := patience
	if len(n.candidates()) < ownSources {
		most = secondPatience
	}
	for ctx.Err() == nil && len(n.candidates()) > 0 && time.Since(began) < most {
		switch n.firstSource(ctx) {
		case errFound:
			return true
		case errEarly:
			most = longPatience
		}
		wait.For(ctx, patiencePause)
	}
	return false
}

// firstSource returns errFound if a source of this domain is sound and errEarly
// if one is about to be: the later ones are not asked then, or all daemons would
// follow the first.
func (n *Node) firstSource(ctx context.Context) error {
	for _, m := range n.candidates() {
		if m.Domain != n.opts.Domain {
			break
		}
		err := n.probe(ctx, m)
		if errors.Is(err, errFound) {
			return errFound
		}
		if errors.Is(err, errEarly) {
			return errEarly
		}
	}
	return nil
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

// followSource follows the first source that can be reached until it fails. It
// returns whether one was followed.
func (n *Node) followSource(ctx context.Context) bool {
	better := []Member{}
	for _, m := range n.candidates() {
		sctx, cancel := context.WithCancel(ctx)
		go n.lookForBetter(sctx, better, cancel)
		followed, err := n.session(sctx, m, nil)
		cancel()
		if ctx.Err() != nil {
			return true
		}
		if followed {
			_ = level.Info(n.logger).Log("msg", "source left", "source", m.Name, "address", m.Address, "err", err)
			return true
		}
		better = append(better, m)
	}
	return false
}

// lookForBetter ends the following of a source when a better one is sound again.
func (n *Node) lookForBetter(ctx context.Context, better []Member, leave func()) {
	if len(better) == 0 {
		return
	}
	n.awaitAny(ctx, func() []Member { return better })
	leave()
}

// followStore follows the store itself until a source is found.
func (n *Node) followStore(ctx context.Context) {
	sctx, cancel := context.WithCancel(ctx)
	n.mu.Lock()
	n.source = sctx
	n.mu.Unlock()
	var wg sync.WaitGroup
	first, longest := quickPause, quickPauseMost
	if len(n.candidates()) >= ownSources {
		first, longest = laterPause, laterPauseMost
	}
	wg.Go(func() { n.inv.Follow(sctx, first, longest) })
	wg.Go(func() { n.exchangeLoads(sctx) })
	if n.opts.Asker != nil {
		wg.Go(func() { n.watchSlow(sctx) })
	}
	n.readingSince.Store(time.Now().UnixNano())
	n.reading.Store(true)
	_ = level.Info(n.logger).Log("msg", "following the store", "domain", n.opts.Domain)
	n.awaitAny(ctx, n.candidates)
	n.reading.Store(false)
	cancel()
	wg.Wait()
}

// awaitAny returns when one of the daemons is a sound source, or ctx ends.
func (n *Node) awaitAny(ctx context.Context, candidates func() []Member) {
	t := time.NewTicker(tryAgain)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, m := range candidates() {
			if errors.Is(n.probe(ctx, m), errFound) {
				return
			}
		}
	}
}

// errFound ends a probe of a daemon that is a sound source.
var errFound = errors.New("relay: sound source")

// probe returns errFound for a sound source, errEarly for one that is about to be
// one, and what is wrong with any other daemon.
func (n *Node) probe(ctx context.Context, m Member) error {
	_, err := n.session(ctx, m, errFound)
	return err
}
