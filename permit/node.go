// Package permit enforces limits of backend servers across the daemons of a fleet.
//
// One daemon, the allocator, grants the calls to all backend servers with a limit. The other
// daemons contribute their parts to it (see package quota). All daemons order the fleet in
// the same way, and each keeps a link to the first daemon in that order that it can reach.
// Changes of limits are sent over these links at once, in both directions. While no limit
// is known the links are idle. Correctness does not depend on equal lists of daemons: if
// there are several allocators, each grants only what was contributed to it.
//
// There are two kinds of limits: on the platform's interface the backend servers state
// them, and on the router's own interface its configuration declares them.
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

// Path is the URL path at which a daemon accepts the links of contributing daemons. The
// query parameter nameParam holds the name of the contributing daemon.
const (
	Path      = "/permits"
	nameParam = "name"
)

// Timing of permits.
const (
	// pollInterval is the period of an allocator's polls for parts while a limit is known.
	// A part is contributed for partTTL from the poll, so that two polls may be late.
	pollInterval = 500 * time.Millisecond
	partTTL      = 1500 * time.Millisecond
	// pollTimeout is the time without a poll, while a limit is known, after which the
	// allocator is left.
	pollTimeout = 1200 * time.Millisecond
	// decisionTimeout bounds the wait for a decision.
	decisionTimeout = 250 * time.Millisecond
	// reportSlack is subtracted from the send time in a report that ends a limit, to make
	// up for the report's transmission delay.
	reportSlack = 100 * time.Millisecond
)

// Member is a daemon of the fleet.
type Member struct {
	Name    string
	Address string // host:port of its links
}

// Options are the settings of a node.
type Options struct {
	Name    string
	Members func() []Member // all daemons, including this one
	// Joined reports whether all other daemons count this one. It is nil if they always do.
	Joined func() bool
	// Limits are the known limits, Pool grants this daemon's permits for them, and Sends
	// counts its calls to each backend server.
	Limits *quota.Limits
	Pool   *quota.Pool
	Sends  *quota.Sends
	// ApplyLimit receives limit reports of other daemons. It is nil if daemons do not
	// exchange limits because each knows all limits from another source.
	ApplyLimit func(r quota.LimitReport, from string)
	// Client opens links with URLs of Scheme, "http" or "https", and with Header.
	Client *http.Client
	Scheme string
	Header http.Header
	// Stalls are the stalls of this process, excluded from time-outs of other daemons; nil
	// for none.
	Stalls *stall.Monitor
	Logger log.Logger
}

// Node is the permit client and server of one daemon. It is safe for concurrent use.
type Node struct {
	opts        Options
	allocator   atomic.Pointer[allocator] // nil while there is no link
	serving     context.Context           // ends when this daemon stops being an allocator
	stopServing context.CancelFunc
	// contributors is the number of links of daemons that contribute their parts.
	contributors atomic.Int32
}

// New returns a node; Run must be called.
func New(o Options) *Node {
	serving, stop := context.WithCancel(context.Background())
	return &Node{opts: o, serving: serving, stopServing: stop}
}

// Permit requests permits for one call to each of the backend servers of r. Granted calls
// count as sent.
func (n *Node) Permit(ctx context.Context, r quota.PermitRequest) quota.Decision {
	now := boottime.Now()
	a := n.allocator.Load()
	if a == nil || n.opts.Pool.ContributedTo(now) != a.name {
		return n.opts.Pool.Decide(n.opts.Name, r, now)
	}
	return a.requestPermits(ctx, r)
}

// maxAllocators bounds the daemons that are tried as allocators. A daemon that reaches none
// of these decides alone.
const maxAllocators = 8

// allocators returns the candidates in the order in which all daemons try them.
func (n *Node) allocators() []Member {
	all := slices.Clone(n.opts.Members())
	slices.SortFunc(all, func(x, y Member) int {
		return cmp.Or(cmp.Compare(allocatorOrder(x), allocatorOrder(y)), cmp.Compare(x.Name, y.Name))
	})
	return all[:min(len(all), maxAllocators)]
}

func allocatorOrder(m Member) uint64 { return xxhash.Sum64String("allocator " + m.Name) }

// receiveReports handles limit reports of another daemon and drops invalid ones.
func (n *Node) receiveReports(from string, reports []packedReport) {
	if n.opts.ApplyLimit == nil {
		return
	}
	now := boottime.Now()
	for i := range reports {
		if reports[i].valid() {
			n.opts.ApplyLimit(reports[i].unpack(now), from)
		}
	}
}

// sendReports sends changes of limits to the other end of a link until the link ends.
func (n *Node) sendReports(ctx context.Context, c *websocket.Conn) {
	if n.opts.ApplyLimit == nil {
		return
	}
	sent := uint64(0)
	for {
		changed := n.opts.Limits.Changed()
		reports, version := n.opts.Limits.Since(sent)
		sent = version
		if len(reports) > 0 && writeFrame(ctx, c, &frame{Reports: packReports(reports, boottime.Now())}) != nil {
			return // the link has ended
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
