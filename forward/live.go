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

func newAsker(b Backends, l *Log) *asker { return &asker{backends: b, log: l, heads: map[string]*asked{}} }

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
