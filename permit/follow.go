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

// Timing of the link to an allocator.
const (
	// preferredCheckInterval is the period of the checks for a preferred allocator.
	// reconnectDelay is the pause after a link has ended or could not be opened.
	preferredCheckInterval = 2 * time.Second
	reconnectDelay         = 200 * time.Millisecond
	// fleetInterval is the period at which the pool's list of daemons is updated.
	fleetInterval = time.Second
	// dialTimeout bounds the opening of a link.
	dialTimeout = 400 * time.Millisecond
	// watchInterval is the period at which the time since the last poll is checked.
	watchInterval = 100 * time.Millisecond
)

// Causes for leaving an allocator.
var (
	errNotPolled = errors.New("permit: no poll from the allocator")
	errStopping  = errors.New("permit: allocator is stopping")
	errPreferred = errors.New("permit: a preferred allocator is reachable")
)

// allocator is a daemon's link to its allocator. mu guards the fields below it.
type allocator struct {
	node *Node
	name string
	conn *websocket.Conn

	mu       sync.Mutex
	number   uint64
	pending  map[uint64]*pendingRequest
	polledAt time.Time // when the allocator last polled
}

// Run keeps a link to the allocator until ctx ends. A daemon that comes before all daemons
// that it can reach is its own allocator.
func (n *Node) Run(ctx context.Context) {
	defer n.returnParts()
	go n.runFleetUpdates(ctx)
	for ctx.Err() == nil {
		if n.opts.ApplyLimit == nil {
			n.awaitLimit(ctx)
		}
		n.followAllocator(ctx)
		wait.For(ctx, reconnectDelay)
	}
}

// returnTimeout bounds the return of the contributed parts.
const returnTimeout = 300 * time.Millisecond

// returnParts returns the parts that other daemons have contributed to this one.
func (n *Node) returnParts() {
	n.stopServing()
	for deadline := time.Now().Add(returnTimeout); n.contributors.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(returnTimeout / 100)
	}
}

// awaitLimit waits until a limit is known. Daemons that do not exchange limits need no link
// until then.
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

// runFleetUpdates updates the pool's list of daemons periodically.
func (n *Node) runFleetUpdates(ctx context.Context) {
	n.updateFleet()
	for wait.For(ctx, fleetInterval) {
		n.updateFleet()
		n.opts.Pool.Forget()
	}
}

// updateFleet updates the pool's list of daemons once.
func (n *Node) updateFleet() {
	all := n.opts.Members()
	names := make([]string, len(all))
	for i, m := range all {
		names[i] = m.Name
	}
	n.opts.Pool.SetFleet(names, boottime.Now())
	if n.opts.Joined != nil {
		n.opts.Pool.SetJoining(!n.opts.Joined())
	}
}

// followAllocator follows the first reachable daemon until the link fails or a preferred
// daemon is reachable. It returns at once if none is reachable.
func (n *Node) followAllocator(ctx context.Context) {
	for rank, m := range n.allocators() {
		if m.Name == n.opts.Name {
			n.awaitPreferred(ctx, rank, m)
			return
		}
		if c, err := n.dialAllocator(ctx, m); err == nil {
			n.contribute(ctx, m, rank, c)
			return
		}
	}
}

// awaitPreferred returns when a daemon before the given rank is reachable, or when present no
// longer has that rank.
func (n *Node) awaitPreferred(ctx context.Context, rank int, present Member) {
	for wait.For(ctx, preferredCheckInterval) {
		all := n.allocators()
		if rank >= len(all) || all[rank].Name != present.Name || n.anyReachable(ctx, all[:rank]) {
			return
		}
	}
}

// anyReachable reports whether any of the daemons accepts a link.
func (n *Node) anyReachable(ctx context.Context, members []Member) bool {
	for _, m := range members {
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

// contribute follows an allocator until the link fails, polls stop or a preferred allocator
// is reachable.
func (n *Node) contribute(ctx context.Context, m Member, rank int, c *websocket.Conn) {
	defer func() { _ = c.CloseNow() }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &allocator{node: n, name: m.Name, conn: c, pending: map[uint64]*pendingRequest{}, polledAt: boottime.Now()}
	_ = level.Info(n.opts.Logger).Log("msg", "following the allocator", "name", m.Name, "rank", rank)
	go n.sendReports(ctx, c)
	go a.watch(ctx, cancel)
	go func() {
		n.awaitPreferred(ctx, rank, m)
		cancel(errPreferred)
	}()
	n.allocator.Store(a)
	err := a.read(ctx)
	n.allocator.Store(nil)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	_ = level.Info(n.opts.Logger).Log("msg", "allocator left", "name", m.Name, "err", err)
}

// watch ends the link when no poll arrives within pollTimeout while a limit is known. A
// link may have failed unnoticed while it was idle.
func (a *allocator) watch(ctx context.Context, leave context.CancelCauseFunc) {
	n := a.node
	knownSince := boottime.Now() // when a limit became known
	for ctx.Err() == nil {
		changed, now := n.opts.Limits.Changed(), boottime.Now()
		if n.opts.Limits.Size() == 0 {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			knownSince = boottime.Now()
			continue
		}
		a.mu.Lock()
		since := boottime.Later(a.polledAt, knownSince)
		a.mu.Unlock()
		if now.Sub(since)-n.opts.Stalls.StallTime(since, now) > pollTimeout {
			leave(errNotPolled)
			return
		}
		wait.For(ctx, watchInterval)
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
		case f.Reports != nil:
			a.node.receiveReports(a.name, f.Reports)
		}
		if err != nil {
			return err
		}
	}
}

// polled contributes this daemon's own part, unless another allocator still holds it. This
// daemon counts partTTL from the receipt of the poll and the allocator from sending it, so
// the allocator's time ends first.
func (a *allocator) polled(ctx context.Context, p *poll) error {
	pool, now := a.node.opts.Pool, boottime.Now()
	if p.Returned {
		pool.ContributeTo(a.name, now, now)
		return errStopping
	}
	a.mu.Lock()
	a.polledAt = now
	a.mu.Unlock()
	if to := pool.ContributedTo(now); to != "" && to != a.name {
		return nil // contributed at a later poll
	}
	pool.ContributeTo(a.name, now.Add(partTTL), now)
	return writeFrame(ctx, a.conn, &frame{Part: &part{Number: p.Number, Sent: a.node.sentToLimited(now), Joining: pool.Joining()}})
}

// sentToLimited returns how many calls this daemon has sent within the window to each
// backend server with a limit.
func (n *Node) sentToLimited(now time.Time) map[string]int {
	sent := map[string]int{}
	for _, l := range n.opts.Limits.All() {
		if count := n.opts.Sends.Recent(l.Server, now); count > 0 {
			sent[l.Server] = count
		}
	}
	return sent
}

// pendingRequest is a permit request that waits for its decision.
type pendingRequest struct {
	request quota.PermitRequest
	decided chan quota.Decision
}

// requestPermits requests permits from the allocator. A request without a decision is denied.
func (a *allocator) requestPermits(ctx context.Context, r quota.PermitRequest) quota.Decision {
	q := &pendingRequest{request: r, decided: make(chan quota.Decision, 1)}
	a.mu.Lock()
	a.number++
	number := a.number
	a.pending[number] = q
	a.mu.Unlock()
	ctx, cancel := a.node.opts.Stalls.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	err := writeFrame(ctx, a.conn, &frame{Request: &permitRequest{Number: number, Servers: r.Servers, Priority: r.Class.Priority, Workspace: r.Class.Workspace, IdleFor: r.IdleFor}})
	if err == nil {
		select {
		case d := <-q.decided:
			return d
		case <-ctx.Done():
		}
	}
	a.mu.Lock()
	delete(a.pending, number) // a later decision is ignored
	a.mu.Unlock()
	return quota.Decision{Server: r.Servers[0], After: decisionTimeout, RetryAfter: decisionTimeout}
}

// decided handles a decision. Granted calls count as sent at once, so that the answer to
// the next poll includes them. They do not count if the request has timed out.
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
	q.decided <- quota.Decision{Granted: d.Granted, Server: d.Server, After: d.After, RetryAfter: d.RetryAfter}
}
