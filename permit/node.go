// Package permit has the daemons of a fleet keep limits of backend servers together.
//
// What a backend server takes from all daemons together is given out by one of them, the
// allocator, to which the others contribute their parts (package quota). Each keeps a link
// to the first daemon that it can reach in an order which all work out alike from the list
// of daemons. News of limits goes over these links at once in both directions; nothing
// else does while no limit is known. No daemon relies on the others having the same list:
// two allocators give out only what was contributed to each.
//
// Both faces use it: the one on the users' platform for limits that backend servers name,
// our own interface for those that its configuration declares.
package permit

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/websocket"
	"github.com/go-kit/log"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/quota"
	"github.com/snowspoke/snowspoke/stall"
)

// Path is where a daemon serves the links of those that contribute to it. In the
// query, nameParam names the daemon that does.
const (
	Path      = "/permits"
	nameParam = "name"
)

// Times of permits.
const (
	// pollEvery is the period at which an allocator asks for parts while a limit is known,
	// and lentFor how long a part is contributed, from the poll: two polls may be late.
	pollEvery = 500 * time.Millisecond
	lentFor   = 1500 * time.Millisecond
	// pollSilent is how long an allocator may not ask while a limit is known until it is
	// left.
	pollSilent = 1200 * time.Millisecond
	// decideWithin bounds the wait for a decision, which takes a few milliseconds.
	decideWithin = 250 * time.Millisecond
	// newsSlack is taken off the time at which a limit is said to have ended: it looks
	// later by what the news was under way for.
	newsSlack = 100 * time.Millisecond
)

// Member is a daemon of the fleet.
type Member struct {
	Name    string
	Address string // of its links, host:port
}

// Options are the settings of a node.
type Options struct {
	Name    string
	Members func() []Member // all daemons, this one included
	// Limits are those that are known here, Pool what this daemon may give out for them,
	// and Sends what it has sent to each backend server.
	Limits *quota.Limits
	Pool   *quota.Pool
	Sends  *quota.Sends
	// HearLimit takes what another daemon tells of limits; nil where daemons tell each
	// other none, since each knows all of them from elsewhere.
	HearLimit func(w quota.Word, from string)
	// Client opens links, by URLs that begin with Scheme, "http" or "https", and with Header.
	Client *http.Client
	Scheme string
	Header http.Header
	// Stalls are those of this process, which no other daemon is judged by; nil for none.
	Stalls *stall.Monitor
	Logger log.Logger
}

// Node is one daemon's part. It is safe for concurrent use.
type Node struct {
	opts        Options
	allocator   atomic.Pointer[allocator] // nil while there is no link
	serving     context.Context           // ends when this daemon stops to be an allocator
	stopServing context.CancelFunc
}

// New returns a node; Run must be called.
func New(o Options) *Node {
	serving, stop := context.WithCancel(context.Background())
	return &Node{opts: o, serving: serving, stopServing: stop}
}

// Permit asks for one call to each of some backend servers with limits. What is granted
// counts as sent.
func (n *Node) Permit(ctx context.Context, r quota.PermitRequest) quota.Decision {
	now := boottime.Now()
	a := n.allocator.Load()
	if a == nil || n.opts.Pool.LentTo(now) != a.name {
		return n.opts.Pool.Decide(n.opts.Name, r, now)
	}
	return a.ask(ctx, r)
}

// allocatorsMost is how many daemons are tried: where that many cannot be reached, a daemon
// is better off alone.
const allocatorsMost = 8

// allocators returns the first daemons of the order in which all try them.
func (n *Node) allocators() []Member {
	all := slices.Clone(n.opts.Members())
	slices.SortFunc(all, func(x, y Member) int {
		return cmp.Or(cmp.Compare(allocatorWeight(x), allocatorWeight(y)), cmp.Compare(x.Name, y.Name))
	})
	return all[:min(len(all), allocatorsMost)]
}

func allocatorWeight(m Member) uint64 { return xxhash.Sum64String("allocator " + m.Name) }

// hearWords takes news of limits.
func (n *Node) hearWords(from string, packed []packedWord) {
	if n.opts.HearLimit == nil {
		return
	}
	now := boottime.Now()
	for i := range packed {
		if packed[i].possible() {
			n.opts.HearLimit(packed[i].unpack(now), from)
		}
	}
}

// tellWords tells the other end of a link of limits as they change, until the link ends.
func (n *Node) tellWords(ctx context.Context, c *websocket.Conn) {
	if n.opts.HearLimit == nil {
		return
	}
	told := uint64(0)
	for {
		changed := n.opts.Limits.Changed()
		words, version := n.opts.Limits.Since(told)
		told = version
		if len(words) > 0 && writeFrame(ctx, c, &frame{Words: packWords(words, boottime.Now())}) != nil {
			return // the link is over
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
