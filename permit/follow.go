package permit

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/quota"
)

// Times of following an allocator.
const (
	// betterEvery is how often one that comes before the present one is looked for, and
	// allocatorPause the pause after a link has ended or none could be made.
	betterEvery    = 2 * time.Second
	allocatorPause = 200 * time.Millisecond
	// fleetEvery is how often the pool is told which daemons there are.
	fleetEvery = time.Second
	// dialTimeout bounds the opening of a link.
	dialTimeout = 400 * time.Millisecond
	// watchEvery is how often it is looked at whether the allocator still asks.
	watchEvery = 100 * time.Millisecond
)

// What ends the link to an allocator.
var (
	errUnasked  = errors.New("permit: allocator does not ask")
	errReturned = errors.New("permit: allocator stops")
	errBetter   = errors.New("permit: a better allocator can be reached")
)

// allocator is a daemon's link to its allocator.
type allocator struct {
	node *Node
	name string
	conn *websocket.Conn

	mu      sync.Mutex
	number  uint64
	pending map[uint64]*asked
	askedAt time.Time // when the allocator last asked for the part
}

// Run keeps a link to the allocator until ctx ends. A daemon that comes before all that it
// can reach is its own.
func (n *Node) Run(ctx context.Context) {
	defer n.stopServing()
	go n.keepFleet(ctx)
	for ctx.Err() == nil {
		if n.opts.HearLimit == nil {
			n.awaitLimit(ctx)
		}
		n.followAllocator(ctx)
		wait.For(ctx, allocatorPause)
	}
}

// awaitLimit waits until a limit is known: daemons that tell each other none need no link
// before.
func (n *Node) awaitLimit(ctx context.Context) {
	for {
		changed := n.opts.Limits.Changed()
		if n.opts.Limits.Size() > 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// keepFleet tells the pool again and again which daemons there are.
func (n *Node) keepFleet(ctx context.Context) {
	n.tellFleet()
	for wait.For(ctx, fleetEvery) {
		n.tellFleet()
		n.opts.Pool.Forget()
	}
}

// tellFleet tells the pool which daemons there are.
func (n *Node) tellFleet() {
	all := n.opts.Members()
	names := make([]string, len(all))
	for i, m := range all {
		names[i] = m.Name
	}
	n.opts.Pool.SetFleet(names, boottime.Now())
}

// followAllocator follows the first daemon that can be reached until that fails or one
// before it can be reached again. It returns at once if there is none.
func (n *Node) followAllocator(ctx context.Context) {
	for rank, m := range n.allocators() {
		if m.Name == n.opts.Name {
			n.awaitBetter(ctx, rank, m)
			return
		}
		if c, err := n.dialAllocator(ctx, m); err == nil {
			n.contribute(ctx, m, rank, c)
			return
		}
	}
}

// awaitBetter returns when a daemon that comes before a present allocator can be reached,
// or the list of daemons has changed so that it is not of that rank any more.
func (n *Node) awaitBetter(ctx context.Context, rank int, present Member) {
	for wait.For(ctx, betterEvery) {
		all := n.allocators()
		if rank >= len(all) || all[rank].Name != present.Name || n.anyReached(ctx, all[:rank]) {
			return
		}
	}
}

// anyReached reports whether one of some daemons takes a link.
func (n *Node) anyReached(ctx context.Context, of []Member) bool {
	for _, m := range of {
		if c, err := n.dialAllocator(ctx, m); err == nil {
			_ = c.CloseNow()
			return true
		}
	}
	return false
}

func (n *Node) dialAllocator(ctx context.Context, m Member) (*websocket.Conn, error) {
	ctx, cancel := n.opts.Stalls.WithTimeout(ctx, dialTimeout)
	defer cancel()
	query := url.Values{nameParam: {n.opts.Name}}
	c, resp, err := websocket.Dial(ctx, n.opts.Scheme+"://"+m.Address+Path+"?"+query.Encode(), &websocket.DialOptions{
		HTTPClient: n.opts.Client, HTTPHeader: n.opts.Header, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil && resp != nil {
		return nil, fmt.Errorf("permit: %s: status %d", m.Name, resp.StatusCode)
	}
	return c, err
}

// contribute follows an allocator until the link fails, the allocator falls silent or a
// better one can be reached.
func (n *Node) contribute(ctx context.Context, m Member, rank int, c *websocket.Conn) {
	defer func() { _ = c.CloseNow() }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &allocator{node: n, name: m.Name, conn: c, pending: map[uint64]*asked{}, askedAt: boottime.Now()}
	_ = level.Info(n.opts.Logger).Log("msg", "following the allocator", "name", m.Name, "rank", rank)
	go n.tellWords(ctx, c)
	go a.watch(ctx, cancel)
	go func() {
		n.awaitBetter(ctx, rank, m)
		cancel(errBetter)
	}()
	n.allocator.Store(a)
	err := a.read(ctx)
	n.allocator.Store(nil)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	_ = level.Info(n.opts.Logger).Log("msg", "allocator left", "name", m.Name, "err", err)
}

// watch ends the link when the allocator does not ask for the part although a limit is
// known: the link may have gone silent for good while nothing was said on it.
func (a *allocator) watch(ctx context.Context, leave context.CancelCauseFunc) {
	n := a.node
	known := boottime.Now() // since when a limit is known
	for ctx.Err() == nil {
		changed, now := n.opts.Limits.Changed(), boottime.Now()
		if n.opts.Limits.Size() == 0 {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			known = boottime.Now()
			continue
		}
		a.mu.Lock()
		since := boottime.Later(a.askedAt, known)
		a.mu.Unlock()
		if now.Sub(since)-n.opts.Stalls.Held(since, now) > pollSilent {
			leave(errUnasked)
			return
		}
		wait.For(ctx, watchEvery)
	}
}

func (a *allocator) read(ctx context.Context) error {
	for {
		f, err := readFrame(ctx, a.conn)
		if err != nil {
			return err
		}
		switch {
		case f.Poll != nil:
			err = a.polled(ctx, f.Poll)
		case f.Decision != nil:
			a.decided(f.Decision)
		case f.Words != nil:
			a.node.hearWords(a.name, f.Words)
		}
		if err != nil {
			return err
		}
	}
}

// polled contributes the own part, unless another allocator still has it. The part counts
// as lent for longer than the allocator takes it to be, which counts from its poll.
func (a *allocator) polled(ctx context.Context, p *poll) error {
	pool, now := a.node.opts.Pool, boottime.Now()
	if p.Returned {
		pool.Lend(a.name, now, now)
		return errReturned
	}
	a.mu.Lock()
	a.askedAt = now
	a.mu.Unlock()
	if to := pool.LentTo(now); to != "" && to != a.name {
		return nil // it comes with a later poll
	}
	pool.Lend(a.name, now.Add(lentFor), now)
	return writeFrame(ctx, a.conn, &frame{Part: &part{Number: p.Number, Sent: a.node.sentToLimited(now)}})
}

// sentToLimited returns what this daemon has sent within the window to each backend server
// that has named a limit.
func (n *Node) sentToLimited(now time.Time) map[string]int {
	sent := map[string]int{}
	for _, l := range n.opts.Limits.All() {
		if count := n.opts.Sends.Recent(l.Server, now); count > 0 {
			sent[l.Server] = count
		}
	}
	return sent
}

// asked is a request that waits for its decision.
type asked struct {
	request quota.PermitRequest
	decided chan quota.Decision
}

// ask asks the allocator.
func (a *allocator) ask(ctx context.Context, r quota.PermitRequest) quota.Decision {
	q := &asked{request: r, decided: make(chan quota.Decision, 1)}
	a.mu.Lock()
	a.number++
	number := a.number
	a.pending[number] = q
	a.mu.Unlock()
	ctx, cancel := a.node.opts.Stalls.WithTimeout(ctx, decideWithin)
	defer cancel()
	err := writeFrame(ctx, a.conn, &frame{Ask: &ask{Number: number, Servers: r.Servers, Priority: r.Class.Priority, Workspace: r.Class.Workspace}})
	if err == nil {
		select {
		case d := <-q.decided:
			return d
		case <-ctx.Done():
		}
	}
	a.mu.Lock()
	delete(a.pending, number) // what comes now is not used
	a.mu.Unlock()
	return quota.Decision{Server: r.Servers[0], After: decideWithin, Back: decideWithin}
}

// decided takes a decision. What is granted counts from now, before the next poll can be
// answered, and not if nobody waits for it any more.
func (a *allocator) decided(d *decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.pending[d.Number]
	if q == nil {
		return
	}
	delete(a.pending, d.Number)
	if d.Granted {
		now := boottime.Now()
		for _, server := range q.request.Servers {
			a.node.opts.Sends.Add(server, now)
		}
	}
	q.decided <- quota.Decision{Granted: d.Granted, Server: d.Server, After: d.After, Back: d.Back}
}
