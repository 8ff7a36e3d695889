package relay

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/internal/wait"
)

// What the fleet knows of slow backend servers. A daemon tells the backend servers
// that it suspects upwards with its pings; the daemon of each failure domain that
// follows the store asks those of its domain, goes on asking the slow ones, and tells
// the answers downwards and to the other domains. Each is so asked by one daemon.

// Periods and bounds of looking after slow backend servers.
const (
	// lookEvery is the time between two looks for suspects. One is asked again after
	// askAgain, and so is one that is slow: each call is paid for. What it tells of itself
	// is some hundred milliseconds old, so one that was asked too soon is asked again
	// soon: after two seconds, half of 28 slow ones were not known 3 s after they had
	// become slow.
	lookEvery = 400 * time.Millisecond
	askAgain  = time.Second
	// slowFrom is how many times longer a backend server must take to be told as slow:
	// less is within what requests of different sizes make.
	slowFrom = 1.5
	// slowMost bounds what is believed of a backend server.
	slowMost = 1000
	// askAtOnce bounds the calls at one time.
	askAtOnce = 8
	// suspectsInPing bounds the suspects that a ping carries, at five bytes each: with 28
	// of 222 cards slow nearly all paths are. With room for 64 of them, 20 of the 28 were
	// found 0.7 to 1.3 s later than the others.
	suspectsInPing = 256
)

// Asker asks backend servers.
type Asker interface {
	// Slowdown asks one how many times longer than usual it takes.
	Slowdown(ctx context.Context, server string) (float64, error)
	// DomainOf returns the failure domain of one, "" if it is not known.
	DomainOf(server string) string
}

// packedSlow is a slow backend server on a link, named as in packedLoad.
type packedSlow struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	Tenths uint16 // how many times longer it takes, in tenths
}

func (p packedSlow) possible() bool {
	return p.Tenths >= slowFrom*10 && p.Tenths <= slowMost*10
}

// slowBook keeps the suspects of this daemon and of those below it, and what was told
// of slow backend servers from each direction. It is safe for concurrent use.
type slowBook struct {
	mu       sync.Mutex
	suspects map[uint32]bool
	told     map[string]map[uint32]uint16 // by who told it
	version  uint64                       // of told
	outbox   map[string][]uint32          // suspects for the sources of other domains that can be told
}

func newSlowBook() *slowBook {
	return &slowBook{suspects: map[uint32]bool{}, told: map[string]map[uint32]uint16{}, outbox: map[string][]uint32{}}
}

// own names what this daemon has found out itself in slowBook.told.
const own = ""

// suspect adds suspects.
func (b *slowBook) suspect(servers []uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range servers {
		if len(b.suspects) < suspectsInPing {
			b.suspects[s] = true
		}
	}
}

// takeSuspects returns the suspects and forgets them.
func (b *slowBook) takeSuspects() []uint32 {
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
func (b *slowBook) take(from string, slow []packedSlow) bool {
	now := make(map[uint32]uint16, len(slow))
	for _, s := range slow {
		if s.possible() {
			now[s.Server] = s.Tenths
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if maps.Equal(b.told[from], now) {
		return false
	}
	b.told[from] = now
	b.version++
	return true
}

// all returns what is known with the version of it; of says whose word counts, nil for
// everybody's.
func (b *slowBook) all(of func(from string) bool) (slow map[uint32]uint16, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	slow = map[uint32]uint16{}
	for from, told := range b.told {
		if of != nil && !of(from) {
			continue
		}
		for s, tenths := range told {
			slow[s] = max(slow[s], tenths)
		}
	}
	return slow, b.version
}

func packSlow(slow map[uint32]uint16) []packedSlow {
	out := make([]packedSlow, 0, len(slow))
	for s, tenths := range slow {
		out = append(out, packedSlow{Server: s, Tenths: tenths})
	}
	return out
}

// gatherSuspects adds the suspects of this daemon to those told by its followers.
func (n *Node) gatherSuspects() {
	ids := n.book.TakeSuspects()
	hashes := make([]uint32, len(ids))
	for i, id := range ids {
		hashes[i] = serverHash(id)
	}
	n.slow.suspect(hashes)
}

// hearSlow takes all that somebody tells of slow backend servers, and tells the load
// book if that changes what is known.
func (n *Node) hearSlow(from string, told []packedSlow) {
	if !n.slow.take(from, told) {
		return
	}
	slow, _ := n.slow.all(nil)
	names := n.serverNames()
	out := make(map[string]float64, len(slow))
	for hash, tenths := range slow {
		if id, known := names[hash]; known {
			out[id] = float64(tenths) / 10
		}
	}
	n.book.TakeSlow(out)
}

// post keeps a suspect for the source of another domain. It returns false if that
// cannot be told.
func (b *slowBook) post(domain string, server uint32) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting, linked := b.outbox[domain]
	if linked && len(waiting) < suspectsInPing {
		b.outbox[domain] = append(waiting, server)
	}
	return linked
}

// link says whether the source of another domain can be told.
func (b *slowBook) link(domain string, up bool) {
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
func (b *slowBook) collect(domain string) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out, linked := b.outbox[domain]
	if linked {
		b.outbox[domain] = nil
	}
	return out
}

// watchSlow asks the suspects and the slow ones while this daemon follows the store.
func (n *Node) watchSlow(ctx context.Context) {
	defer n.hearSlow(own, nil)
	asked := map[uint32]time.Time{}
	for wait.For(ctx, lookEvery) {
		n.gatherSuspects()
		now := time.Now()
		due := n.dueForAsking(asked, now)
		if len(due) > 0 {
			n.hearSlow(own, n.askSlow(ctx, due))
		}
		maps.DeleteFunc(asked, func(_ uint32, at time.Time) bool { return now.Sub(at) > askAgain })
	}
}

// dueForAsking returns which backend servers are to be asked now, by hash, with their
// IDs, and notes that in asked. Slow ones that are gone are among them without an ID.
func (n *Node) dueForAsking(asked map[uint32]time.Time, now time.Time) map[uint32]string {
	names := n.serverNames()
	due := map[uint32]string{}
	add := func(server uint32) {
		id, known := names[server]
		if known && now.Sub(asked[server]) >= askAgain {
			due[server], asked[server] = id, now
		}
	}
	found, _ := n.slow.all(func(from string) bool { return from == own })
	for s := range found {
		if _, known := names[s]; !known {
			due[s] = ""
			continue
		}
		add(s)
	}
	for _, s := range n.slow.takeSuspects() {
		domain := n.opts.Asker.DomainOf(names[s])
		if domain == n.opts.Domain || !n.slow.post(domain, s) {
			add(s)
		}
	}
	return due
}

// askSlow asks backend servers and returns all that this daemon then knows to be slow:
// those that are not due stay as they are, and those that are gone are dropped.
func (n *Node) askSlow(ctx context.Context, due map[uint32]string) []packedSlow {
	found, _ := n.slow.all(func(from string) bool { return from == own })
	maps.DeleteFunc(found, func(s uint32, _ uint16) bool {
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
			slowdown, err := n.opts.Asker.Slowdown(ctx, id)
			if err != nil || slowdown < slowFrom {
				return // dead ones are found by who uses them
			}
			mu.Lock()
			defer mu.Unlock()
			found[s] = uint16(math.Round(10 * min(slowMost, slowdown)))
		})
	}
	wg.Wait()
	return packSlow(found)
}
