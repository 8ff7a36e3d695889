package inventory

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/store"
)

// Periods of following the store.
const (
	// configWait is how long a watch of the configuration waits for a change, at
	// most. An answer without one proves that the configuration is fresh; each call
	// is paid for.
	configWait = 3 * time.Second
	// provenWithin is the age of the proof at which a watch shall end: below the
	// bound on revoked keys (5 s) by the time that another read may take.
	provenWithin = 3900 * time.Millisecond
	// leastWait keeps watches from following each other too closely.
	leastWait = 300 * time.Millisecond
	// serverWait is the same for backend servers. It is longer, since a lost store
	// shows at the watch of the configuration first.
	serverWait = 9 * time.Second
	// gather is the pause after changes before the next watch of backend servers,
	// so that changes that come together take one call.
	gather = 250 * time.Millisecond
	// watchDoubt is taken off what an answer without changes proves: a store that
	// is about to drop its history may hold changes back for a second.
	watchDoubt = time.Second
	// lapseGrace is how long a record that is missing after an outage of the store
	// is kept: living backend servers are back within two seconds.
	lapseGrace = 1800 * time.Millisecond
	// firstPause and lastPause bound the jittered pause after a failed call.
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
)

// View is what is known at one moment. It is immutable.
type View struct {
	Config  *site.Config // nil until the first one arrived
	Servers map[string]*site.BackendServer
}

// OfService returns the backend servers of a service.
func (v *View) OfService(name string) []*site.BackendServer {
	var out []*site.BackendServer
	for _, s := range v.Servers {
		if s.Service == name {
			out = append(out, s)
		}
	}
	return out
}

// Inventory follows the store. It is safe for concurrent use.
type Inventory struct {
	feed   Feed
	logger log.Logger
	view   atomic.Pointer[View]

	mu      sync.Mutex
	servers map[string]record
	fresh   time.Time // until when no newer configuration existed, surely
	notify  chan struct{}
}

type record struct {
	server   *site.BackendServer
	revision uint64
	lapsedAt time.Time // missing since an outage, zero while it is there
}

// New returns an empty inventory; Run fills it.
func New(feed Feed, logger log.Logger) *Inventory {
	i := &Inventory{feed: feed, logger: logger, servers: map[string]record{}, notify: make(chan struct{})}
	i.view.Store(&View{Servers: map[string]*site.BackendServer{}})
	return i
}

// View returns what is known now.
func (i *Inventory) View() *View { return i.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (i *Inventory) Changed() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.notify
}

// Age returns how old the newest proof is that no newer configuration exists.
func (i *Inventory) Age(now time.Time) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Sub(i.fresh)
}

// Run follows the store until ctx ends.
func (i *Inventory) Run(ctx context.Context) {
	var wg sync.WaitGroup
	suspect := make(chan struct{}, 1)
	wg.Go(func() {
		follow(ctx, &follower[*site.Config]{
			name: "configuration", logger: i.logger, wait: i.configWait, list: i.feed.Config, watch: i.feed.ConfigChanges,
			take: func(items []*site.Config, _ bool, fresh time.Time) { i.takeConfig(items, fresh) },
			lost: func() {
				select {
				case suspect <- struct{}{}:
				default: // the other follower knows already
				}
			},
		})
	})
	wg.Go(func() {
		follow(ctx, &follower[ServerRecord]{
			name: "backend servers", logger: i.logger, wait: func() time.Duration { return serverWait }, gather: gather, suspect: suspect,
			list: i.feed.Servers, watch: i.feed.ServerChanges, lost: func() {},
			take: func(items []ServerRecord, full bool, _ time.Time) { i.takeServers(items, full) },
		})
	})
	wg.Wait()
}

// configWait ends a watch before the proof of freshness is too old.
func (i *Inventory) configWait() time.Duration {
	return min(configWait, max(leastWait, provenWithin-i.Age(time.Now())))
}

// follower lists a kind and then watches it.
type follower[T any] struct {
	name    string
	logger  log.Logger
	wait    func() time.Duration // of a watch
	gather  time.Duration        // pause after changes
	suspect <-chan struct{}
	list    func(context.Context) (Read[T], error)
	watch   func(context.Context, uint64, time.Duration) (Read[T], error)
	// take applies what was read; nothing newer existed at fresh.
	take func(items []T, full bool, fresh time.Time)
	lost func() // called when a read fails
	away bool
}

// follow runs a follower until ctx ends. After a failed call it lists again,
// since entries may have lapsed unseen.
func follow[T any](ctx context.Context, f *follower[T]) {
	pause := newPause()
	revision := uint64(0)
	for ctx.Err() == nil {
		full := revision == 0
		r, fresh, err := f.read(ctx, revision)
		if err != nil {
			revision = 0
			f.note(err)
			sleep(ctx, pause.NextBackOff())
			continue
		}
		f.note(nil)
		pause.Reset()
		f.take(r.Items, full, fresh)
		revision = max(revision, r.Revision)
		if len(r.Items) > 0 {
			sleep(ctx, f.gather)
		}
	}
}

// errSuspect ends a watch because another read of the store failed.
var errSuspect = errors.New("inventory: the store may be lost")

// read makes one list or watch. A watch that was answered without changes after
// its whole wait proves that there were none until then; any other answer only
// that there were none when it was asked for.
func (f *follower[T]) read(ctx context.Context, revision uint64) (r Read[T], fresh time.Time, err error) {
	sent := time.Now()
	if revision == 0 {
		r, err = f.list(ctx)
		return r, sent, err
	}
	wctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	if f.suspect != nil {
		go func() {
			select {
			case <-f.suspect:
				cancel(errSuspect)
			case <-stop:
			}
		}()
	}
	wait := f.wait()
	r, err = f.watch(wctx, revision, wait)
	if err == nil && len(r.Items) == 0 && wait > watchDoubt && time.Since(sent) >= wait {
		return r, sent.Add(wait - watchDoubt), nil
	}
	return r, sent, err
}

// note logs when the store is lost and when it is back.
func (f *follower[T]) note(err error) {
	switch {
	case err != nil && !f.away && !errors.Is(err, store.ErrCompacted):
		f.away = true
		f.lost()
		_ = level.Warn(f.logger).Log("msg", "store lost", "of", f.name, "err", err)
	case err == nil && f.away:
		f.away = false
		_ = level.Info(f.logger).Log("msg", "store back", "of", f.name)
	}
}

func newPause() *backoff.ExponentialBackOff {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = firstPause
	p.MaxInterval = lastPause
	return p
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (i *Inventory) takeConfig(items []*site.Config, fresh time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if fresh.After(i.fresh) {
		i.fresh = fresh
	}
	old := i.view.Load()
	newest := old.Config
	for _, c := range items {
		if newest == nil || c.Version > newest.Version {
			newest = c
		}
	}
	if newest == old.Config {
		return
	}
	_ = level.Info(i.logger).Log("msg", "configuration in force", "version", newest.Version)
	i.publish(&View{Config: newest, Servers: old.Servers})
}

// takeServers applies records. A full list also tells which records are gone:
// those of a first list or of a calm time are dropped at once, those that an
// outage may have made lapse after a grace.
func (i *Inventory) takeServers(items []ServerRecord, full bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	listed := map[string]bool{}
	for _, r := range items {
		listed[r.ID] = true
		i.takeRecord(r)
	}
	if full {
		i.lapse(listed, now)
	}
	i.publishServers()
}

func (i *Inventory) takeRecord(r ServerRecord) {
	old, known := i.servers[r.ID]
	switch {
	case known && r.Revision < old.revision:
		return // an older word on it
	case r.Gone:
		if known {
			delete(i.servers, r.ID)
			_ = level.Info(i.logger).Log("msg", "backend server gone", "id", r.ID, "address", old.server.Address)
		}
	case r.Err != nil:
		_ = level.Error(i.logger).Log("msg", "record of backend server ignored", "id", r.ID, "err", r.Err)
	default:
		if !known || old.server.Draining != r.Server.Draining || old.server.Held != r.Server.Held {
			_ = level.Info(i.logger).Log("msg", "backend server", "id", r.ID, "address", r.Server.Address,
				"service", r.Server.Service, "draining", r.Server.Draining, "from", r.Server.Held.From, "to", r.Server.Held.To)
		}
		i.servers[r.ID] = record{server: r.Server, revision: r.Revision}
	}
}

// lapse marks the records that a full list lacks and drops them after a grace.
func (i *Inventory) lapse(listed map[string]bool, now time.Time) {
	for id, r := range i.servers {
		if listed[id] || !r.lapsedAt.IsZero() {
			continue
		}
		r.lapsedAt = now
		i.servers[id] = r
		time.AfterFunc(lapseGrace, func() { i.dropLapsed(id) })
	}
}

func (i *Inventory) dropLapsed(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.servers[id]
	if !ok || r.lapsedAt.IsZero() {
		return
	}
	delete(i.servers, id)
	_ = level.Info(i.logger).Log("msg", "backend server gone", "id", id, "address", r.server.Address, "reason", "record not back after an outage")
	i.publishServers()
}

func (i *Inventory) publishServers() {
	servers := make(map[string]*site.BackendServer, len(i.servers))
	for id, r := range i.servers {
		servers[id] = r.server
	}
	old := i.view.Load()
	if maps.Equal(servers, old.Servers) {
		return
	}
	i.publish(&View{Config: old.Config, Servers: servers})
}

func (i *Inventory) publish(v *View) {
	i.view.Store(v)
	close(i.notify)
	i.notify = make(chan struct{})
}
