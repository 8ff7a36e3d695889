package dispatch

import (
	"context"
	"time"

	"github.com/snowspoke/snowspoke/admission"
	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/fleet"
	"github.com/snowspoke/snowspoke/routing"
)

// pending is a queued request.
type pending struct {
	admission.Item
	req     *Request
	choose  chooseFunc
	granted chan grant // capacity 1
}

type grant struct {
	t   *ticket
	err error
}

func (g *Gate) enqueue(q *planQueue, r *Request, choose chooseFunc) *pending {
	p := &pending{req: r, choose: choose, granted: make(chan grant, 1)}
	p.Workspace = r.Workspace.Name
	p.Weight = r.Workspace.FairWeight()
	p.Priority = r.Priority
	p.Deadline = r.Deadline
	p.Cost = float64(max(1, r.MaxTokens))
	p.Owner = p
	q.queue.Push(&p.Item)
	g.waiting++
	return p
}

// wait blocks until the request is granted a ticket or refused, its deadline can
// no longer be met, or ctx ends.
func (g *Gate) wait(ctx context.Context, q *planQueue, p *pending, r *Request, since time.Time) (*ticket, error) {
	var tooLate <-chan time.Time
	if !r.Deadline.IsZero() {
		g.mu.Lock()
		latest := r.Deadline.Add(-q.serviceTime(r))
		g.mu.Unlock()
		timer := time.NewTimer(max(0, latest.Sub(since)))
		defer timer.Stop()
		tooLate = timer.C
	}
	recheck := time.NewTicker(bufferTimeout + bufferSlack)
	defer recheck.Stop()
	for {
		select {
		case <-recheck.C:
			g.Wake() // refuses the queue's requests if there is still no route
			continue
		case gr := <-p.granted:
			return g.finishWait(gr, since)
		case <-tooLate:
			return g.stopWaiting(q, p, since, apierror.New(apierror.DeadlineUnlikely,
				"waited %s, too little is left to run", g.clock().Sub(since).Round(time.Millisecond)))
		case <-ctx.Done():
			return g.stopWaiting(q, p, since, apierror.Wrap(apierror.DeadlinePassed, context.Cause(ctx)))
		}
	}
}

func (g *Gate) finishWait(gr grant, since time.Time) (*ticket, error) {
	if gr.err != nil {
		return nil, gr.err
	}
	gr.t.waited = g.clock().Sub(since)
	return gr.t, nil
}

// stopWaiting removes a request from the queue and returns err. If the request was
// dequeued concurrently, it returns that result instead.
func (g *Gate) stopWaiting(q *planQueue, p *pending, since time.Time, err *apierror.Error) (*ticket, error) {
	g.mu.Lock()
	removed := q.queue.Remove(&p.Item)
	if removed {
		g.waiting--
	}
	err = err.WithRetryAfter(q.drainTime())
	g.mu.Unlock()
	if removed {
		return nil, err
	}
	return g.finishWait(<-p.granted, since)
}

// grant picks a route and acquires it for a request. The caller holds the lock.
func (g *Gate) grant(key routing.Key, choose chooseFunc) (*ticket, error) {
	if g.inFlight >= g.maxStreams {
		return nil, routing.ErrFull
	}
	c, err := choose(g.rng)
	if err != nil {
		return nil, err
	}
	t := &ticket{choice: c, key: key}
	g.acquireRoute(t)
	g.inFlight++
	g.queueFor(key).lastRouted = t.began
	return t, nil
}

func (g *Gate) acquireRoute(t *ticket) {
	t.began = g.clock()
	t.servers = make([]*fleet.Server, 0, len(t.choice.Route))
	for _, h := range t.choice.Route {
		if s := g.table.Server(h.BackendServer); s != nil {
			s.Acquire()
			g.ensureLimit(s)
			t.servers = append(t.servers, s)
		}
	}
	g.acquireLinks(t)
}

// acquireLinks counts the request on the route's tracked links.
func (g *Gate) acquireLinks(t *ticket) {
	for i := 1; i < len(t.choice.Route); i++ {
		l := g.table.Link(t.choice.Route[i-1].BackendServer, t.choice.Route[i].BackendServer)
		if l != nil {
			l.Acquire()
			t.links = append(t.links, l)
		}
	}
}

// grantWaiting grants tickets to waiting requests, highest priority first, until no
// queue's next request finds a route. The caller holds the lock.
func (g *Gate) grantWaiting() {
	blocked := map[routing.Key]bool{}
	for g.waiting > 0 {
		key, q := g.nextQueue(blocked)
		if q == nil {
			return
		}
		p := q.queue.Peek().Owner.(*pending)
		if err := q.checkDeadline(p.req, g.clock()); err != nil {
			g.dequeue(q, p, grant{err: err})
			continue
		}
		t, err := g.grant(key, p.choose)
		if err == routing.ErrFull || err != nil && asPausedError(err) == nil && q.buffering(g.clock()) {
			blocked[key] = true
			continue
		}
		if err != nil {
			g.dequeue(q, p, grant{err: routeError(key.Model, err)})
			continue
		}
		g.dequeue(q, p, grant{t: t})
	}
}

// dequeue removes a request from the queue and sends it its result. Only granted
// requests count against their workspace's share.
func (g *Gate) dequeue(q *planQueue, p *pending, gr grant) {
	if gr.t != nil {
		q.queue.Pop()
	} else {
		q.queue.Remove(&p.Item)
	}
	g.waiting--
	p.granted <- gr
}

// nextQueue returns the queue whose next request has the highest priority. It skips
// empty queues and those in blocked.
func (g *Gate) nextQueue(blocked map[routing.Key]bool) (routing.Key, *planQueue) {
	var bestKey routing.Key
	var best *planQueue
	for key, q := range g.queues {
		next := q.queue.Peek()
		if next == nil || blocked[key] {
			continue
		}
		if best == nil || next.Priority > best.queue.Peek().Priority {
			bestKey, best = key, q
		}
	}
	return bestKey, best
}

func (g *Gate) releaseRoute(t *ticket) {
	for _, s := range t.servers {
		s.Release()
	}
	for _, l := range t.links {
		l.Release()
	}
	t.servers, t.links = nil, nil
}
