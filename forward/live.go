package forward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/site"
)

// liveStreams is the set of this daemon's running streams. Its lock is taken before that
// of a stream.
type liveStreams struct {
	mu      sync.Mutex
	streams map[*stream]struct{}

	activeMu  sync.Mutex      // taken before mu
	activeAt  time.Time       // when active was computed
	activeNow map[string]bool // backend servers with recent events; not changed once set
}

func newLiveStreams() *liveStreams { return &liveStreams{streams: map[*stream]struct{}{}} }

func (l *liveStreams) add(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams[s] = struct{}{}
}

func (l *liveStreams) remove(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, s)
}

// checkNow triggers the check of each stream that passes through a backend server.
func (l *liveStreams) checkNow(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.streams {
		if s.currentPath().Uses(id) {
			s.timer.Reset(0)
		}
	}
}

// firstEventWaits returns, by head, the longest time for which a stream has been waiting
// for its first event there.
func (l *liveStreams) firstEventWaits(now time.Time) map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]time.Duration{}
	for s := range l.streams {
		s.mu.Lock()
		if !s.begun {
			head := s.path[0].Server.ID
			out[head] = max(out[head], now.Sub(s.silentSince))
		}
		s.mu.Unlock()
	}
	return out
}

// stuckSince returns the latest start of a stream that uses one of these links and has been
// waiting for its first event for stuckThreshold or longer, the zero time if there is none.
func (l *liveStreams) stuckSince(links []domainPair, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last time.Time
	for s := range l.streams {
		s.mu.Lock()
		waits, since, path := !s.begun, s.silentSince, s.path
		s.mu.Unlock()
		if !waits || now.Sub(since) < stuckThreshold || !since.After(last) {
			continue
		}
		if slices.ContainsFunc(linksOf(path), func(p domainPair) bool { return slices.Contains(links, p) }) {
			last = since
		}
	}
	return last
}

// activeAge is the maximum age of a result of active. After a pause of the process all its streams
// are checked at the same moment, and each would visit all others.
const activeAge = 10 * time.Millisecond

// active returns the backend servers on the paths of streams that have received an event within
// recentEventWindow. The map must not be changed.
func (l *liveStreams) active(now time.Time) map[string]bool {
	l.activeMu.Lock()
	defer l.activeMu.Unlock()
	if l.activeNow == nil || now.Sub(l.activeAt) >= activeAge {
		l.activeAt, l.activeNow = now, l.activeSince(now.Add(activeAge-recentEventWindow))
	}
	return l.activeNow
}

// activeSince returns the backend servers on the paths of streams that have received an
// event after a time.
func (l *liveStreams) activeSince(at time.Time) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	active := map[string]bool{}
	for s := range l.streams {
		s.mu.Lock()
		if s.silentSince.After(at) && s.r.headSent.Load() {
			for _, h := range s.path {
				active[h.Server.ID] = true
			}
		}
		s.mu.Unlock()
	}
	return active
}

// resultCache caches the last result for each backend server. For each of them it fetches at
// most one result at a time, which concurrent callers share. It is safe for concurrent use.
type resultCache[T any] struct {
	maxAge time.Duration
	mu     sync.Mutex
	byID   map[string]*cachedResult[T]
}

type cachedResult[T any] struct {
	sem   chan struct{} // mutex; virtual time does not advance while a goroutine waits for a sync.Mutex
	began time.Time     // start of the fetch
	at    time.Time     // its end
	value T
	err   error
}

func newResultCache[T any](maxAge time.Duration) *resultCache[T] {
	return &resultCache[T]{maxAge: maxAge, byID: map[string]*cachedResult[T]{}}
}

// get returns the cached result for a backend server, or that of fetch if the cached one
// is older than maxAge.
func (r *resultCache[T]) get(id string, fetch func() (T, error)) (T, error) {
	return r.getIf(id, func(e *cachedResult[T]) bool { return time.Since(e.at) < r.maxAge }, fetch)
}

// getSince returns a result whose fetch began at a time or later.
func (r *resultCache[T]) getSince(id string, since time.Time, fetch func() (T, error)) (T, error) {
	return r.getIf(id, func(e *cachedResult[T]) bool { return !e.began.Before(since) }, fetch)
}

// getIf returns the cached result for a backend server if it is recent, otherwise that of
// fetch.
func (r *resultCache[T]) getIf(id string, isRecent func(*cachedResult[T]) bool, fetch func() (T, error)) (T, error) {
	r.mu.Lock()
	e := r.byID[id]
	if e == nil {
		e = &cachedResult[T]{sem: make(chan struct{}, 1)}
		r.byID[id] = e
	}
	r.mu.Unlock()
	e.sem <- struct{}{}
	defer func() { <-e.sem }()
	if !isRecent(e) {
		e.began = time.Now()
		e.value, e.err = fetch()
		e.at = time.Now()
	}
	return e.value, e.err
}

// prune removes backend servers that are gone.
func (r *resultCache[T]) prune(known map[string]*site.BackendServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.byID, func(id string, _ *cachedResult[T]) bool { return known[id] == nil })
}

// Maximum ages of cached results.
const (
	probeAge = 150 * time.Millisecond
	// reportAge is short because reports themselves lag by a few hundred milliseconds.
	reportAge = 80 * time.Millisecond
)

// probePath probes the hops of a silent stream, except hops on the paths of streams that
// have received an event recently. all is false if it skipped a hop, which may have died
// since that event.
func (f *Forwarder) probePath(ctx context.Context, path site.Path) (all bool) {
	active := f.live.active(time.Now())
	all = true
	var wg sync.WaitGroup
	for _, h := range path {
		if active[h.Server.ID] {
			all = false
			continue
		}
		wg.Go(func() { _ = f.probe(ctx, h.Server) }) // marks dead hops as failed
	}
	wg.Wait()
	return all
}

// probe connects to a backend server, unless it did so recently, marks it as failed if that
// fails, and returns the error.
func (f *Forwarder) probe(ctx context.Context, s *site.BackendServer) error {
	_, err := f.probes.get(s.ID, f.reach(ctx, s))
	f.noteProbe(s, err)
	return err
}

// probeSince is probe with a connection that began at since or later.
func (f *Forwarder) probeSince(ctx context.Context, s *site.BackendServer, since time.Time) error {
	_, err := f.probes.getSince(s.ID, since, f.reach(ctx, s))
	f.noteProbe(s, err)
	return err
}

func (f *Forwarder) noteProbe(s *site.BackendServer, err error) {
	if err != nil {
		f.markUnreachable(s, "probe", err, time.Now())
	}
}

func (f *Forwarder) reach(ctx context.Context, s *site.BackendServer) func() (struct{}, error) {
	return func() (struct{}, error) {
		return struct{}{}, f.backends.Reach(context.WithoutCancel(ctx), s)
	}
}

// ask returns a report of a backend server that is at most reportAge old.
func (f *Forwarder) ask(ctx context.Context, s *site.BackendServer) (Report, error) {
	return f.reports.get(s.ID, f.fetchReport(ctx, s))
}

func (f *Forwarder) fetchReport(ctx context.Context, s *site.BackendServer) func() (Report, error) {
	return func() (Report, error) {
		r, err := f.backends.Report(context.WithoutCancel(ctx), s)
		f.log.Add("ask", "server", s.ID, "address", s.Address, "running", r.Running, "waiting", r.Waiting, "pace", r.Slowdown,
			"kv_used", int(r.KVUsed), "kv_total", int(r.KVTotal), "stalled", len(r.Stalled), "err", err)
		return r, err
	}
}
