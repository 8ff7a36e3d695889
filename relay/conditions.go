package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/snowspoke/snowspoke/internal/wait"
)

// What the fleet knows of backend servers that are slow or crowded, by their own word. A
// daemon tells the backend servers that it suspects upwards with its pings; the daemon of
// each failure domain that follows the store asks those of its domain, and those that are
// crowded by the loads that it knows, goes on asking those that are, and tells the answers
// downwards and to the other domains. Each is so asked by one daemon.

// Periods and bounds of looking after backend servers.
const (
	// lookEvery is the time between two looks. One that is suspected, or slow, or may be
	// crowded is asked again after askAgain: each call is paid for. What it tells of itself
	// is some hundred milliseconds old, so one that was asked too soon is asked again
	// soon: after two seconds, half of 28 slow ones were not known 3 s after they had
	// become slow. A crowded one is asked at each look, since requests go elsewhere only
	// until it has room again.
	lookEvery = 250 * time.Millisecond
	askAgain  = time.Second
	// slowFrom is how many times longer a backend server must take to be told as slow:
	// less is within what requests of different sizes make.
	slowFrom = 1.5
	// slowMost bounds what is believed of a backend server.
	slowMost = 1000
	// tellFrom is the share of its memory from which a backend server's condition is told,
	// crowdedFrom the one from which it is asked at each look, and fullStep that in which
	// the share is told: requests that are on their way to it take some hundredths.
	tellFrom    = 0.7
	crowdedFrom = 0.9
	fullStep    = 0.02
	// waitingMost bounds the requests that are told to wait at one.
	waitingMost = 255
	// maybeMost bounds those that are asked at one look because they may be crowded. All
	// of a domain's 86 at the size to come are asked within 1.5 s, and 1,000 cost no more.
	maybeMost = 16
	// askAtOnce bounds the calls at one time.
	askAtOnce = 8
	// suspectsInPing bounds the suspects that a ping carries, at five bytes each: with 28
	// of 222 cards slow nearly all paths are. With room for 64 of them, 20 of the 28 were
	// found 0.7 to 1.3 s later than the others.
	suspectsInPing = 256
)

// conditionBook keeps the suspects of this daemon and of those below it, and what was told
// of conditions from each direction. It is safe for concurrent use.
type conditionBook struct {
	mu       sync.Mutex
	suspects map[uint32]bool
	told     map[string]map[uint32]packedCondition // by who told it
	version  uint64                                // of told
	changed  chan struct{}                         // closed at the next change of told
	outbox   map[string][]uint32                   // suspects for the sources of other domains that can be told
}

func newConditionBook() *conditionBook {
	return &conditionBook{suspects: map[uint32]bool{}, told: map[string]map[uint32]packedCondition{}, outbox: map[string][]uint32{}, changed: make(chan struct{})}
}

// own names what this daemon has found out itself in conditionBook.told.
const own = ""

// suspect adds suspects.
func (b *conditionBook) suspect(servers []uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range servers {
		if len(b.suspects) < suspectsInPing {
			b.suspects[s] = true
		}
	}
}

// takeSuspects returns the suspects and forgets them.
func (b *conditionBook) takeSuspects() []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []uint32
	for s := range b.suspects {
		out = append(out, s)
	}
	clear(b.suspects)
	return out
}

// take takes all that somebody tells; nothing is told by nil. It returns whether that
// is news.
func (b *conditionBook) take(from string, told []packedCondition) bool {
	now := make(map[uint32]packedCondition, len(told))
	for _, s := range told {
		if s.possible() {
			now[s.Server] = s
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if maps.Equal(b.told[from], now) {
		return false
	}
	b.told[from] = now
	b.version++
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

// all returns what is known with the version of it; of says whose word counts, nil for
// everybody's.
func (b *conditionBook) all(of func(from string) bool) (known map[uint32]packedCondition, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known = map[uint32]packedCondition{}
	for from, told := range b.told {
		if of != nil && !of(from) {
			continue
		}
		for s, c := range told {
			known[s] = c.worse(known[s])
		}
	}
	return known, b.version
}

func packConditions(known map[uint32]packedCondition) []packedCondition {
	return slices.Collect(maps.Values(known))
}

// gatherSuspects adds the suspects of this daemon to those told by its followers.
func (n *Node) gatherSuspects() {
	ids := n.book.TakeSuspects()
	hashes := make([]uint32, len(ids))
	for i, id := range ids {
		hashes[i] = serverHash(id)
	}
	n.conditions.suspect(hashes)
}

// hearConditions takes all that somebody tells of slow and crowded backend servers, and
// tells the load book if that changes what is known.
func (n *Node) hearConditions(from string, told []packedCondition) {
	if !n.conditions.take(from, told) {
		return
	}
	known, _ := n.conditions.all(nil)
	names := n.serverNames()
	out := make(map[string]Condition, len(known))
	for hash, c := range known {
		if id, there := names[hash]; there {
			out[id] = c.unpack()
		}
	}
	n.book.TakeConditions(out)
}

// news returns a channel that is closed at the next change of what was told.
func (b *conditionBook) news() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// conditionsPause is the least time between two words on conditions over one link. Over
// two links it adds 0.2 s, less than the lag of the cards' own reports.
const conditionsPause = 100 * time.Millisecond

// pushConditions tells a follower which backend servers are slow or crowded as that
// changes, until the link ends. A first hop can get 60 requests a second: told with the
// answers to pings, 0.4 s a step, it gained less (+0.008 +- 0.010 of worth over five days,
// pushed +0.017 +- 0.005).
func (n *Node) pushConditions(ctx context.Context, c *websocket.Conn) {
	told := uint64(0)
	for {
		news := n.conditions.news()
		known, version := n.conditions.all(nil)
		if version != told {
			if writeFrame(ctx, c, &frame{Conditions: &conditions{Known: packConditions(known)}}) != nil {
				return // the link is over
			}
			told = version
			if !wait.For(ctx, conditionsPause) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-news:
		}
	}
}

// post keeps a suspect for the source of another domain. It returns false if that
// cannot be told.
func (b *conditionBook) post(domain string, server uint32) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting, linked := b.outbox[domain]
	if linked && len(waiting) < suspectsInPing {
		b.outbox[domain] = append(waiting, server)
	}
	return linked
}

// link says whether the source of another domain can be told.
func (b *conditionBook) link(domain string, up bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !up {
		delete(b.outbox, domain)
		return
	}
	if _, linked := b.outbox[domain]; !linked {
		b.outbox[domain] = nil
	}
}

// collect returns what is to be told to the source of another domain.
func (b *conditionBook) collect(domain string) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out, linked := b.outbox[domain]
	if linked {
		b.outbox[domain] = nil
	}
	return out
}

// watchConditions asks the backend servers that may be slow or crowded while this daemon
// follows the store.
func (n *Node) watchConditions(ctx context.Context) {
	defer n.hearConditions(own, nil)
	asked := map[uint32]time.Time{}
	for wait.For(ctx, lookEvery) {
		n.gatherSuspects()
		now := time.Now()
		due := n.dueForAsking(asked, now)
		if len(due) > 0 {
			n.hearConditions(own, n.askConditions(ctx, due))
		}
		maps.DeleteFunc(asked, func(_ uint32, at time.Time) bool { return now.Sub(at) > askAgain })
	}
}

// dueForAsking returns which backend servers are to be asked now, by hash, with their
// IDs, and notes that in asked. Those in a bad condition that are gone are among them
// without an ID.
func (n *Node) dueForAsking(asked map[uint32]time.Time, now time.Time) map[uint32]string {
	names := n.serverNames()
	due := map[uint32]string{}
	add := func(server uint32, again time.Duration) {
		id, known := names[server]
		if known && now.Sub(asked[server]) >= again {
			due[server], asked[server] = id, now
		}
	}
	found, _ := n.conditions.all(func(from string) bool { return from == own })
	for s, c := range found {
		switch _, known := names[s]; {
		case !known:
			due[s] = ""
		case c.crowded():
			add(s, 0)
		default:
			add(s, askAgain)
		}
	}
	maybe, others := n.opts.Asker.MaybeCrowded(), len(due)
	for _, i := range rand.Perm(len(maybe)) {
		if len(due)-others >= maybeMost {
			break
		}
		add(serverHash(maybe[i]), askAgain)
	}
	for _, s := range n.conditions.takeSuspects() {
		domain := n.opts.Asker.DomainOf(names[s])
		if domain == n.opts.Domain || !n.conditions.post(domain, s) {
			add(s, askAgain)
		}
	}
	return due
}

// askConditions asks backend servers and returns all that this daemon then knows to be
// slow or crowded: those that are not due stay as they are, and those that are gone are
// dropped.
func (n *Node) askConditions(ctx context.Context, due map[uint32]string) []packedCondition {
	found, _ := n.conditions.all(func(from string) bool { return from == own })
	maps.DeleteFunc(found, func(s uint32, _ packedCondition) bool {
		_, isDue := due[s]
		return isDue
	})
	var mu sync.Mutex
	var wg sync.WaitGroup
	turn := make(chan struct{}, askAtOnce)
	for s, id := range due {
		if id == "" {
			continue
		}
		wg.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			c, err := n.opts.Asker.Condition(ctx, id)
			p := packCondition(s, c)
			if err != nil || !p.possible() {
				return // it is well, or dead, which who uses it finds out
			}
			mu.Lock()
			defer mu.Unlock()
			found[s] = p
		})
	}
	wg.Wait()
	return packConditions(found)
}
