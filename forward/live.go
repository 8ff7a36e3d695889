package forward

import (
	"context"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/site"
)

// liveStreams are the streams of this daemon that run now.
type liveStreams struct {
	mu  sync.Mutex
	all map[*stream]struct{}
}

func newLiveStreams() *liveStreams { return &liveStreams{all: map[*stream]struct{}{}} }

func (l *liveStreams) add(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[s] = struct{}{}
}

func (l *liveStreams) remove(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, s)
}

// wake has the streams that pass a backend server look after themselves at once.
func (l *liveStreams) wake(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.all {
		if s.currentPath().Uses(id) {
			s.timer.Reset(0)
		}
	}
}

// heardSince returns the backend servers on whose paths an event came since then.
func (l *liveStreams) heardSince(at time.Time) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	heard := map[string]bool{}
	for s := range l.all {
		s.mu.Lock()
		if s.quietAt.After(at) && s.r.headSent.Load() {
			for _, h := range s.path {
				heard[h.Server.ID] = true
			}
		}
		s.mu.Unlock()
	}
	return heard
}

// probeAge is how old the outcome of a probe may be for another stream to use it.
const probeAge = 150 * time.Millisecond

// prober finds dead backend servers by connecting to them, one probe at a time
// for each.
type prober struct {
	backends Backends
	mu       sync.Mutex
	servers  map[string]*probed
}

type probed struct {
	mu  sync.Mutex
	at  time.Time
	err error
}

func newProber(b Backends) *prober { return &prober{backends: b, servers: map[string]*probed{}} }

func (p *prober) probe(ctx context.Context, s *site.BackendServer) error {
	p.mu.Lock()
	e := p.servers[s.ID]
	if e == nil {
		e = &probed{}
		p.servers[s.ID] = e
	}
	p.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.at) < probeAge {
		return e.err
	}
	e.err = p.backends.Reach(context.WithoutCancel(ctx), s)
	e.at = time.Now()
	return e.err
}

// probePath connects to the hops of a silent stream that no other stream has
// heard from, and notes those that are dead.
func (f *Forwarder) probePath(ctx context.Context, path site.Path) {
	heard := f.live.heardSince(time.Now().Add(-heardWithin))
	var wg sync.WaitGroup
	for _, h := range path {
		if heard[h.Server.ID] {
			continue
		}
		wg.Go(func() {
			if err := f.prober.probe(ctx, h.Server); err != nil {
				f.fail(h.Server, "probe: "+err.Error(), time.Now())
			}
		})
	}
	wg.Wait()
}

// reportAge is how old a report may be for another stream of the same head to
// use it: reports are paid for, and lag by a few hundred milliseconds anyway.
const reportAge = 80 * time.Millisecond

// asker asks heads for reports, one call at a time for each.
type asker struct {
	backends Backends
	log      *Log
	mu       sync.Mutex
	heads    map[string]*asked
}

type asked struct {
	mu     sync.Mutex
	at     time.Time
	report Report
	err    error
}

func newAsker(b Backends, l *Log) *asker {
	return &asker{backends: b, log: l, heads: map[string]*asked{}}
}

// ask returns a report of a head that is at most reportAge old.
func (a *asker) ask(ctx context.Context, s *site.BackendServer) (Report, error) {
	a.mu.Lock()
	h := a.heads[s.ID]
	if h == nil {
		h = &asked{}
		a.heads[s.ID] = h
	}
	a.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.at) < reportAge {
		return h.report, h.err
	}
	h.report, h.err = a.backends.Report(context.WithoutCancel(ctx), s)
	h.at = time.Now()
	r := &h.report
	a.log.Add("ask", "server", s.ID, "address", s.Address, "running", r.Running, "waiting", r.Waiting, "pace", r.Pace,
		"kv_used", int(r.KVUsed), "kv_total", int(r.KVTotal), "stalled", len(r.Stalled), "err", h.err)
	return h.report, h.err
}
