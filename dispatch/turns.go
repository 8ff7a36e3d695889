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
	admission.Waiting
	req     *Request
	choose  chooseFunc
	granted chan grant // capacity 1
}

type grant struct {
	t   *ticket
	err error
}

func (g *Gate) enqueue(l *line, r *Request, choose chooseFunc) *pending {
	p := &pending{req: r, choose: choose, granted: make(chan grant, 1)}
	p.Workspace = r.Workspace.Name
	p.Weight = r.Workspace.FairWeight()
	p.Priority = r.Priority
	p.Deadline = r.Deadline
	p.Cost = float64(max(1, r.MaxTokens))
	p.Owner = p
	l.queue.Push(&p.Waiting)
	g.waiting++
	return p
}

// wait blocks until the request is granted a ticket, its deadline can no longer
// be met, or the caller goes away.
func (g *Gate) wait(ctx context.Context, l *line, p *pending, r *Request, since time.Time) (*ticket, error) {
	var hopeless <-chan time.Time
	if !r.Deadline.IsZero() {
		g.mu.Lock()
		latest := r.Deadline.Add(-l.service(r))
		g.mu.Unlock()
		timer := time.NewTimer(max(0, latest.Sub(since)))
		defer timer.Stop()
		hopeless = timer.C
	}
	recheck := time.NewTimer(bufferFor + bufferSlack)
	defer recheck.Stop()
	for {
		select {
		case <-recheck.C:
			g.Wake() // refuses what was buffered for too long
			continue
		case gr := <-p.granted:
			return g.granted(gr, since)
		case <-hopeless:
			return g.leave(l, p, since, apierror.New(apierror.DeadlineUnlikely,
				"waited %s, too little is left to run", g.clock().Sub(since).Round(time.Millisecond)))
		case <-ctx.Done():
			return g.leave(l, p, since, apierror.Wrap(apierror.DeadlinePassed, context.Cause(ctx)))
		}
	}
}

func (g *Gate) granted(gr grant, since time.Time) (*ticket, error) {
	if gr.err != nil {
		return nil, gr.err
	}
	gr.t.waited = g.clock().Sub(since)
	return gr.t, nil
}

// leave takes a request out of the queue. A ticket granted at the same moment
// is used all the same.
func (g *Gate) leave(l *line, p *pending, since time.Time, err *apierror.Error) (*ticket, error) {
	g.mu.Lock()
	removed := l.queue.Remove(&p.Waiting)
	if removed {
		g.waiting--
	}
	err = err.WithRetryAfter(l.drain())
	g.mu.Unlock()
	if removed {
		return nil, err
	}
	return g.granted(<-p.granted, since)
}

// grant picks a route and counts the request in. The caller holds the lock.
func (g *Gate) grant(key routing.Key, choose chooseFunc) (*ticket, error) {
	if g.inFlight >= g.maxStreams {
		return nil, routing.ErrFull
	}
	c, err := choose(g.rng)
	if err != nil {
		return nil, err
	}
	t := &ticket{choice: c, key: key}
	g.take(t)
	g.inFlight++
	g.line(key).routed = t.began
	return t, nil
}

func (g *Gate) take(t *ticket) {
	t.began = g.clock()
	t.servers = make([]*fleet.Server, 0, len(t.choice.Route))
	for _, h := range t.choice.Route {
		if s := g.table.Server(h.BackendServer); s != nil {
			s.Acquire()
			g.ensureLimit(s)
			t.servers = append(t.servers, s)
		}
	}
	g.takeLinks(t)
}

// takeLinks counts the request in on the links that are tracked.
func (g *Gate) takeLinks(t *ticket) {
	for i := 1; i < len(t.choice.Route); i++ {
		l := g.table.Link(t.choice.Route[i-1].BackendServer, t.choice.Route[i].BackendServer)
		if l != nil {
			l.Acquire()
			t.links = append(t.links, l)
		}
	}
}

// pump grants tickets to waiting requests, the highest priority first, until no
// queue's next request finds a route. The caller holds the lock.
func (g *Gate) pump() {
	stuck := map[routing.Key]bool{}
	for g.waiting > 0 {
		key, l := g.nextLine(stuck)
		if l == nil {
			return
		}
		p := l.queue.Peek().Owner.(*pending)
		if err := l.tooLate(p.req, g.clock()); err != nil {
			g.dequeue(l, p, grant{err: err})
			continue
		}
		t, err := g.grant(key, p.choose)
		if err == routing.ErrFull || err != nil && l.buffers(g.clock()) {
			stuck[key] = true
			continue
		}
		if err != nil {
			g.dequeue(l, p, grant{err: routeError(key.Model, err)})
			continue
		}
		g.dequeue(l, p, grant{t: t})
	}
}

// dequeue takes a request out of the queue with its answer. Only one that runs
// counts against its workspace's share.
func (g *Gate) dequeue(l *line, p *pending, gr grant) {
	if gr.t != nil {
		l.queue.Pop()
	} else {
		l.queue.Remove(&p.Waiting)
	}
	g.waiting--
	p.granted <- gr
}

func (g *Gate) nextLine(stuck map[routing.Key]bool) (routing.Key, *line) {
	var bestKey routing.Key
	var best *line
	for key, l := range g.queues {
		w := l.queue.Peek()
		if w == nil || stuck[key] {
			continue
		}
		if best == nil || w.Priority > best.queue.Peek().Priority {
			bestKey, best = key, l
		}
	}
	return bestKey, best
}

func (g *Gate) putBack(t *ticket) {
	for _, s := range t.servers {
		s.Release()
	}
	for _, l := range t.links {
		l.Release()
	}
	t.servers, t.links = nil, nil
}
