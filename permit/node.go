// Package permit enforces limits of backend servers across the daemons of a fleet.
//
// One daemon, the allocator, grants the calls to a backend server; the others contribute
// their parts to it (package quota). Each daemon keeps a link to the first daemon that it
// can reach, in an order computed from the list of daemons. Changes of limits are sent
// over these links at once in both directions; while no limit is known the links are
// idle. Correctness does not depend on equal lists: several allocators each grant only
// what was contributed to them.
//
// Both interfaces use the package: the platform's for limits stated by backend servers,
// our own for limits declared in its configuration.
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

// Path is where a daemon serves the links of contributing daemons. The query parameter
// nameParam holds the name of the contributing daemon.
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
	// reportSlack is subtracted from the time at which a limit is reported to have ended,
	// to make up for the report's transmission delay.
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
	// Limits are the known limits, Pool grants this daemon's permits for them, and Sends
	// counts its calls to each backend server.
	Limits *quota.Limits
	Pool   *quota.Pool
	Sends  *quota.Sends
	// ApplyLimit receives limit reports of other daemons. It is nil where daemons do not
	// exchange limits since each knows all of them from another source.
	ApplyLimit func(w quota.LimitReport, from string)
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
}

// New returns a node; Run must be called.
func New(o Options) *Node {
	serving, stop := context.WithCancel(context.Background())
	return &Node{opts: o, serving: serving, stopServing: stop}
}

// Permit requests one call to each of some backend servers with limits. Granted calls count
// as sent.
func (n *Node) Permit(ctx context.Context, r quota.PermitRequest) quota.Decision {
	now := boottime.Now()
	a := n.allocator.Load()
	if a == nil || n.opts.Pool.LentTo(now) != a.name {
		return n.opts.Pool.Decide(n.opts.Name, r, now)
	}
	return a.requestPermits(ctx, r)
}

// maxAllocators bounds the daemons that are tried. A daemon that reaches none of them
// decides alone.
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
