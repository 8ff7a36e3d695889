package forward

import (
	"context"
	"maps"
	"slices"
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

// waits returns for each head how long the oldest stream waits there for its first
// event.
func (l *liveStreams) waits(now time.Time) map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]time.Duration{}
	for s := range l.all {
		s.mu.Lock()
		if !s.begun {
			head := s.path[0].Server.ID
			out[head] = max(out[head], now.Sub(s.quietAt))
		}
		s.mu.Unlock()
	}
	return out
}

// stuckSince returns since when the last stream that is stuck has waited for its first
// event whose prompt goes through one of these pipes, the zero time if none is.
func (l *liveStreams) stuckSince(pipes []domainPair, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last time.Time
	for s := range l.all {
		s.mu.Lock()
		waits, since, path := !s.begun, s.quietAt, s.path
		s.mu.Unlock()
		if !waits || now.Sub(since) < crossStuck || !since.After(last) {
			continue
		}
		if slices.ContainsFunc(pipesOf(path), func(p domainPair) bool { return slices.Contains(pipes, p) }) {
			last = since
		}
	}
	return last
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

// recent keeps the last answer about each backend server, and asks one at a time:
// whoever asks meanwhile gets that answer. It is safe for concurrent use.
type recent[T any] struct {
	maxAge time.Duration
	mu     sync.Mutex
	byID   map[string]*asked[T]
}

type asked[T any] struct {
	turn  chan struct{} // holds a token while somebody asks; a lock would stop virtual time
	at    time.Time
	value T
	err   error
}

func newRecent[T any](maxAge time.Duration) *recent[T] {
	return &recent[T]{maxAge: maxAge, byID: map[string]*asked[T]{}}
}

// get returns the last answer about a backend server, or a new one if that is too
// old.
func (r *recent[T]) get(id string, ask func() (T, error)) (T, error) {
	r.mu.Lock()
	e := r.byID[id]
	if e == nil {
		e = &asked[T]{turn: make(chan struct{}, 1)}
		r.byID[id] = e
	}
	r.mu.Unlock()
	e.turn <- struct{}{}
	defer func() { <-e.turn }()
	if time.Since(e.at) >= r.maxAge {
		e.value, e.err = ask()
		e.at = time.Now()
	}
	return e.value, e.err
}

// prune forgets backend servers that are gone.
func (r *recent[T]) prune(known map[string]*site.BackendServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.byID, func(id string, _ *asked[T]) bool { return known[id] == nil })
}

// Ages of answers that another stream may use.
const (
	// probeAge is that of a probe.
	probeAge = 150 * time.Millisecond
	// reportAge is that of a report: reports are paid for, and lag by a few hundred
	// milliseconds anyway.
	reportAge = 80 * time.Millisecond
)

// probePath connects to the hops of a silent stream that no other stream has
// heard from a moment ago, and notes those that are dead. It reports whether it
// connected to all of them: one that was heard may have died since.
func (f *Forwarder) probePath(ctx context.Context, path site.Path) (all bool) {
	heard := f.live.heardSince(time.Now().Add(-heardWithin))
	all = true
	var wg sync.WaitGroup
	for _, h := range path {
		if heard[h.Server.ID] {
			all = false
			continue
		}
		wg.Go(func() { _ = f.probe(ctx, h.Server) }) // who is dead is noted
	}
	wg.Wait()
	return all
}

// probe connects to a backend server, notes it as failed if that cannot be done, and
// returns why.
func (f *Forwarder) probe(ctx context.Context, s *site.BackendServer) error {
	_, err := f.probes.get(s.ID, func() (struct{}, error) {
		return struct{}{}, f.backends.Reach(context.WithoutCancel(ctx), s)
	})
	if err != nil {
		f.fail(s, "probe", err, time.Now())
	}
	return err
}

// ask returns a report of a head that is at most reportAge old.
func (f *Forwarder) ask(ctx context.Context, s *site.BackendServer) (Report, error) {
	return f.reports.get(s.ID, func() (Report, error) {
		r, err := f.backends.Report(context.WithoutCancel(ctx), s)
		f.log.Add("ask", "server", s.ID, "address", s.Address, "running", r.Running, "waiting", r.Waiting, "pace", r.Pace,
			"kv_used", int(r.KVUsed), "kv_total", int(r.KVTotal), "stalled", len(r.Stalled), "err", err)
		return r, err
	})
}
