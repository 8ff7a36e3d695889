package inventory

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/store"
)

// Periods of following the store.
const (
	// configWait is how long a watch of the configuration waits for a change. An
	// answer without one shows that the store is in reach and, after watchDoubt,
	// that the configuration is fresh. Other daemons leave this one when it has not
	// heard from the store for a little longer than this wait.
	configWait = 900 * time.Millisecond
	// configGather is the pause after a change before the next watch of the configuration:
	// of twenty versions a second ten are read, and each read is decoded once.
	configGather = 100 * time.Millisecond
	// serverWait is the same for backend servers. It is longer, since a lost store
	// shows at the watch of the configuration first.
	serverWait = 9 * time.Second
	// gather is the pause after changes before the next watch of backend servers,
	// so that changes that come together take one call.
	gather = 250 * time.Millisecond
	// watchDoubt is taken off the time of an answer without changes: a store that
	// is about to drop its history may hold changes back for a second.
	watchDoubt = time.Second
	// lapseGrace is how long a record that is missing after an outage of the store
	// is kept: living backend servers are back within two seconds.
	lapseGrace = 1800 * time.Millisecond
)

// View is what is known at one moment. It is immutable.
type View struct {
	Config  *site.Config // nil until the first one arrived
	Servers map[string]*site.BackendServer

	byService map[string][]*site.BackendServer
}

// NewView returns a view of backend servers, by ID.
func NewView(c *site.Config, servers map[string]*site.BackendServer) *View {
	v := &View{Config: c, Servers: servers, byService: map[string][]*site.BackendServer{}}
	for _, s := range servers {
		v.byService[s.Service] = append(v.byService[s.Service], s)
	}
	return v
}

// withConfig returns the same backend servers with another configuration.
func (v *View) withConfig(c *site.Config) *View {
	return &View{Config: c, Servers: v.Servers, byService: v.byService}
}

// OfService returns the backend servers of a service, in no particular order. The
// slice must not be changed.
func (v *View) OfService(name string) []*site.BackendServer { return v.byService[name] }

// Inventory follows the store. It is safe for concurrent use.
type Inventory struct {
	feed   Feed
	logger log.Logger
	view   atomic.Pointer[View]

	mu        sync.Mutex
	servers   map[string]record
	byAddress map[string]string // IDs of servers by their address
	fresh     time.Time         // until when no newer configuration existed, surely
	heard     time.Time         // when the store last answered this daemon
	notify    chan struct{}

	listed    bool            // a full list of backend servers has come
	rawConfig []byte          // of the configuration in force
	state     *State          // as passed on, nil after a change
	gone      map[string]tomb // backend servers that left, by ID

	eraState
}

// tomb remembers a backend server that left, so that an older word on it does
// not bring it back. A record written after it counts: one that lapsed in an
// outage of the store comes back.
type tomb struct {
	at    store.Position
	since time.Time
}

// whateverKnown is the position of the word that a backend server is gone which another
// daemon says: it comes after whatever is known of it.
const whateverKnown = ^store.Position(0)

// tombKept is how long a tomb is kept: longer than any source of old records
// goes without reading the store.
const tombKept = 2 * time.Minute

type record struct {
	server   *site.BackendServer
	raw      []byte
	at       store.Position // of its last change
	lapsedAt time.Time      // missing since an outage, zero while it is there
	lapsedIn store.Position // of the list that lacked it
}

// New returns an empty inventory; Follow fills it, or Apply does.
func New(feed Feed, logger log.Logger) *Inventory {
	i := &Inventory{feed: feed, logger: logger, servers: map[string]record{}, byAddress: map[string]string{}, gone: map[string]tomb{}, eraState: newEraState(), notify: make(chan struct{})}
	i.view.Store(NewView(nil, map[string]*site.BackendServer{}))
	return i
}

// View returns what is known now.
func (i *Inventory) View() *View { return i.view.Load() }

// Complete reports whether both a configuration and a full list of the backend
// servers have come.
func (i *Inventory) Complete() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.listed && i.view.Load().Config != nil
}

// Changed returns a channel that is closed at the next change of the view.
func (i *Inventory) Changed() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.notify
}

// Age returns how old the newest proof is that no newer configuration exists. Its times
// are those of package boottime.
func (i *Inventory) Age(now time.Time) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Sub(i.fresh)
}

// Heard returns when the store last answered this daemon, on the clock of package
// boottime; the zero time says that
// it is lost or not followed.
func (i *Inventory) Heard() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.heard
}

func (i *Inventory) forgetHeard() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.heard = time.Time{}
}

// takeConfig takes versions of the configuration; fresh is the zero time unless they
// are what the store itself answered.
func (i *Inventory) takeConfig(r Read[ConfigRecord], fresh time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	old := i.view.Load()
	newest := ConfigRecord{Config: old.Config, Raw: i.rawConfig}
	for _, c := range r.Items {
		if newest.Config == nil || c.Config.Version > newest.Config.Version {
			newest = c
		}
	}
	if !fresh.IsZero() {
		i.noteEra(r.At)
		i.heard = boottime.Now()
		i.noteStored(r.Items)
		if fresh.After(i.fresh) && !i.storeBehind(newest.Config) {
			i.fresh = fresh
		}
	}
	if newest.Config == old.Config {
		return
	}
	i.rawConfig = newest.Raw
	_ = level.Info(i.logger).Log("msg", "configuration in force", "version", newest.Config.Version)
	i.publish(old.withConfig(newest.Config))
}

// takeServers applies records as they were read at a position, or by a daemon whose
// history of the store's era begins there. A full list also tells which records are gone:
// those of a first list or of a calm time are dropped at once, those that an
// outage may have made lapse after a grace.
func (i *Inventory) takeServers(at store.Position, items []ServerRecord, full bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.noteEra(at)
	now := time.Now()
	listed := map[string]bool{}
	var changed []*site.BackendServer
	for _, r := range items {
		listed[r.ID] = true
		if i.takeRecord(r) {
			changed = append(changed, r.Server)
		}
	}
	i.logChanged(changed)
	if full {
		i.listed = true
		i.lapse(at, listed, now)
		maps.DeleteFunc(i.doubted, func(id string, _ ServerRecord) bool { return !listed[id] })
	}
	i.publishServers()
}

// linesApart is how many backend servers that change together have a line each: at the
// start of 295 daemons all 222 had two lines at each, 129,210 in all.
const linesApart = 8

// logChanged writes which backend servers are new, or drain or hold other layers now.
func (i *Inventory) logChanged(changed []*site.BackendServer) {
	if len(changed) > linesApart {
		_ = level.Info(i.logger).Log("msg", "backend servers", "changed", len(changed), "known", len(i.servers))
		return
	}
	for _, s := range changed {
		_ = level.Info(i.logger).Log("msg", "backend server", "id", s.ID, "address", s.Address,
			"service", s.Service, "draining", s.Draining, "from", s.Held.From, "to", s.Held.To)
	}
}

// takeRecord applies a record, and reports whether its backend server is new, or drains
// or holds other layers than before.
func (i *Inventory) takeRecord(r ServerRecord) (changed bool) {
	old, known := i.servers[r.ID]
	left, isGone := i.gone[r.ID]
	switch {
	case known && r.Server != nil && old.server.Incarnation.Newer(r.Server.Incarnation):
		return false // of the life before, which has ended
	case known && r.At < old.at || isGone && !r.Gone && r.At <= left.at:
		return false // an older word on it
	case known && i.doubts(r, old.at, old.server) || isGone && i.doubts(r, left.at, nil):
		i.doubted[r.ID] = r
		return false
	}
	delete(i.doubted, r.ID)
	switch {
	case known && !r.Gone && r.At == old.at:
		old.lapsedAt = time.Time{}
		i.servers[r.ID] = old
	case r.Gone:
		if known {
			if r.At != whateverKnown {
				old.at = r.At
			}
			i.bury(r.ID, old)
			_ = level.Info(i.logger).Log("msg", "backend server gone", "id", r.ID, "address", old.server.Address)
		}
	case r.Err != nil:
		i.refuse(r, old, known)
	default:
		if known && old.server.ID != r.Server.ID {
			i.logReborn(old.server, r.Server.Incarnation)
		}
		i.put(r.ID, record{server: r.Server, raw: r.Raw, at: r.At})
		return !known || old.server.Draining != r.Server.Draining || old.server.Held != r.Server.Held
	}
	return false
}

// refuse drops a record that is not a backend server's, and with it what was known under
// its name: the earlier record has been written over.
func (i *Inventory) refuse(r ServerRecord, old record, known bool) {
	old.at = r.At
	if known {
		i.bury(r.ID, old)
	} else {
		i.gone[r.ID] = tomb{at: r.At, since: time.Now()}
	}
	_ = level.Error(i.logger).Log("msg", "record refused", "id", r.ID, "revision", r.At, "was_used", known, "err", r.Err)
}

// NoteReborn takes the word of a backend server that it has started again, which its
// record may not tell yet: what was known under its name was of its life before.
func (i *Inventory) NoteReborn(as site.Incarnation) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, known := i.servers[as.Name]
	if !known || !as.Newer(r.server.Incarnation) {
		return
	}
	i.logReborn(r.server, as)
	r.server = r.server.Reborn(as)
	i.servers[as.Name] = r
	i.publishServers()
}

func (i *Inventory) logReborn(old *site.BackendServer, as site.Incarnation) {
	_ = level.Info(i.logger).Log("msg", "backend server started again", "id", as.ID(), "before", old.ID, "address", old.Address)
}

// put keeps a record, and no other at its address: of two incarnations the one
// that was written last is there.
func (i *Inventory) put(id string, r record) {
	if before, known := i.servers[id]; known && i.byAddress[before.server.Address] == id {
		delete(i.byAddress, before.server.Address)
	}
	address := r.server.Address
	other, taken := i.byAddress[address]
	i.servers[id], i.byAddress[address] = r, id
	if !taken || other == id {
		return
	}
	left := other
	if i.servers[other].at > r.at {
		left = id
	}
	i.bury(left, i.servers[left])
	i.byAddress[address] = id
	if left == id {
		i.byAddress[address] = other
	}
	_ = level.Info(i.logger).Log("msg", "backend server gone", "id", left, "address", address, "reason", "another incarnation has its address")
}

// bury drops a record and remembers that it is gone.
func (i *Inventory) bury(id string, r record) {
	delete(i.servers, id)
	if i.byAddress[r.server.Address] == id {
		delete(i.byAddress, r.server.Address)
	}
	now := time.Now()
	i.gone[id] = tomb{at: r.at, since: now}
	for other, t := range i.gone {
		if now.Sub(t.since) > tombKept {
			delete(i.gone, other)
		}
	}
}

// lapse marks the records that a full list lacks and drops them after a grace.
func (i *Inventory) lapse(at store.Position, listed map[string]bool, now time.Time) {
	for id, r := range i.servers {
		if !listed[id] && !i.awaited(r.at) {
			i.lapseOne(id, at, now)
		}
	}
}

// lapseOne marks one record that a list at a position lacks, or 0 where that is not known.
func (i *Inventory) lapseOne(id string, at store.Position, now time.Time) {
	r, known := i.servers[id]
	if !known || !r.lapsedAt.IsZero() {
		return
	}
	r.lapsedAt, r.lapsedIn = now, at
	i.servers[id] = r
	i.state = nil
	time.AfterFunc(lapseGrace, func() { i.dropLapsed(id) })
}

func (i *Inventory) dropLapsed(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.servers[id]
	if !ok || r.lapsedAt.IsZero() {
		return
	}
	// What was written up to the list is over, also what was never heard of here: a copy
	// from before the list may have it.
	r.at = max(r.at, r.lapsedIn)
	i.bury(id, r)
	_ = level.Info(i.logger).Log("msg", "backend server gone", "id", id, "address", r.server.Address, "reason", "record not back after an outage")
	i.publishServers()
}

func (i *Inventory) publishServers() {
	i.state = nil
	servers := make(map[string]*site.BackendServer, len(i.servers))
	for _, r := range i.servers {
		servers[r.server.ID] = r.server
	}
	old := i.view.Load()
	if maps.Equal(servers, old.Servers) {
		return
	}
	i.publish(NewView(old.Config, servers))
}

func (i *Inventory) publish(v *View) {
	i.view.Store(v)
	i.state = nil
	close(i.notify)
	i.notify = make(chan struct{})
}
