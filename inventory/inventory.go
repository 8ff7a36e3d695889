package inventory

import (
	"errors"
	"fmt"
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

const (
	// WatchTimeout is how long a watch waits for a change. An answer without one shows that
	// the store is reachable and that what is watched was current watchMargin before.
	// Followers leave this daemon when its last contact with the store is older than a little
	// more than this timeout. It applies to each watch: the connection of one may fall silent
	// while the other is answered.
	WatchTimeout = 900 * time.Millisecond
	// configBatchDelay is the pause after a change before the next watch of the
	// configuration. It bounds how many versions a second are read and decoded.
	configBatchDelay = 100 * time.Millisecond
	// ServerBatchDelay is the pause after a change before the next watch of backend
	// servers, so that simultaneous changes take one call.
	ServerBatchDelay = 250 * time.Millisecond
	// watchMargin is subtracted from the time of an answer without changes, since a store
	// that is about to compact its history may delay changes for a second.
	watchMargin = time.Second
	// MissingGrace is how long a record that is missing after an outage of the store is
	// kept. Live backend servers write theirs again within two seconds.
	MissingGrace = 1800 * time.Millisecond
	// ReturnDelay bounds the time from when a store answers again until a daemon that follows it
	// has an answer.
	ReturnDelay = HedgeDelay + 200*time.Millisecond
)

// View is a snapshot of the known state. It is immutable.
type View struct {
	Config  *site.Config // nil until the first one arrived
	Servers map[string]*site.BackendServer

	byService map[string][]*site.BackendServer
}

// NewView returns a view of a configuration and of backend servers by ID.
func NewView(c *site.Config, servers map[string]*site.BackendServer) *View {
	v := &View{Config: c, Servers: servers, byService: map[string][]*site.BackendServer{}}
	for _, s := range servers {
		v.byService[s.Service] = append(v.byService[s.Service], s)
	}
	return v
}

// withConfig returns a view of the same backend servers with another configuration.
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

	mu          sync.Mutex
	servers     map[string]record
	byAddress   map[string]string // IDs of servers by their address
	fresh       time.Time         // no newer configuration existed at this time
	lastContact time.Time         // when the store last answered this daemon, zero if it is lost
	notify      chan struct{}     // closed at the next change of the view

	listed    bool                 // a full list of backend servers was received
	rawConfig []byte               // of the configuration in force
	state     *State               // cached result of State, nil after a change
	gone      map[string]tombstone // removed backend servers, by ID

	eraState
	contactState
}

// tombstone marks a removed backend server, so that an older record does not add it again.
// A later record does, since a record that expired in an outage of the store is written
// again.
type tombstone struct {
	at    store.Position
	since time.Time
}

// maxPosition is the position of a removal that another daemon reports: it supersedes any
// known record.
const maxPosition = ^store.Position(0)

// tombstoneTTL exceeds the time for which a daemon may pass on records without reading the
// store.
const tombstoneTTL = 2 * time.Minute

// record is the known record of a backend server.
type record struct {
	server       *site.BackendServer
	raw          []byte
	at           store.Position // of its last change
	missingSince time.Time      // when a list lacked it, on the clock of package boottime; zero while the store has it
	missingAt    store.Position // of that list, 0 if unknown
}

// New returns an empty inventory. Follow and Apply fill it.
func New(feed Feed, logger log.Logger) *Inventory {
	i := &Inventory{feed: feed, logger: logger, servers: map[string]record{}, byAddress: map[string]string{}, gone: map[string]tombstone{}, eraState: newEraState(), notify: make(chan struct{})}
	i.view.Store(NewView(nil, map[string]*site.BackendServer{}))
	return i
}

// View returns the current view.
func (i *Inventory) View() *View { return i.view.Load() }

// Complete reports whether both a configuration and a full list of the backend servers
// were received.
func (i *Inventory) Complete() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.listed && i.view.Load().Config != nil
}

// Confirmed reports whether a proof was ever received that the configuration is current.
func (i *Inventory) Confirmed() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.fresh.IsZero()
}

// Changed returns a channel that is closed at the next change of the view.
func (i *Inventory) Changed() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.notify
}

// Age returns the age of the newest proof that no newer configuration exists. Times are
// those of package boottime.
func (i *Inventory) Age(now time.Time) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Sub(i.fresh)
}

// LastContact returns when the store last answered this daemon, on the clock of package
// boottime. It is zero while the store is lost or not followed.
func (i *Inventory) LastContact() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lastContact
}

func (i *Inventory) clearLastContact() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastContact = time.Time{}
}

// applyConfig applies versions of the configuration. fresh is zero unless they were read
// from the store itself; full is set if they were listed.
func (i *Inventory) applyConfig(r Read[ConfigRecord], full bool, fresh time.Time) {
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
		i.lastContact = boottime.Now()
		i.noteStored(r.Items)
		if !full && len(r.Items) > 0 {
			i.doubtedUntil = time.Time{} // written in this era
		}
		if fresh.After(i.fresh) && !i.storeBehind(newest.Config) && !i.doubtsConfig() {
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

// applyServers applies records that were read from the store at a position.
func (i *Inventory) applyServers(at store.Position, items []ServerRecord, full bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.noteEra(at)
	i.applyRecords(at, items, full)
}

// applyRecords applies records that were read from the store at a position, 0 if unknown, by this
// daemon or by its source. Records that a full list lacks are dropped at once if the backend
// servers have left, and after MissingGrace if they may have expired in an outage.
func (i *Inventory) applyRecords(at store.Position, items []ServerRecord, full bool) {
	i.readAt = max(i.readAt, at)
	listed := map[string]bool{}
	var changed []*site.BackendServer
	for _, r := range items {
		listed[r.ID] = true
		if i.applyRecord(r) {
			changed = append(changed, r.Server)
		}
	}
	i.logChanged(changed)
	if full {
		i.listed = true
		i.markUnlisted(at, listed)
		maps.DeleteFunc(i.unconfirmed, func(id string, _ ServerRecord) bool { return !listed[id] })
	}
	i.publishServers()
}

// maxServerLines bounds the lines for backend servers that change together. If more have
// changed, a single line has their number: at the start of a fleet each daemon would log
// each backend server.
const maxServerLines = 8

// logChanged logs backend servers that are new, or whose draining state or layers have
// changed.
func (i *Inventory) logChanged(changed []*site.BackendServer) {
	if len(changed) > maxServerLines {
		_ = level.Info(i.logger).Log("msg", "backend servers", "changed", len(changed), "known", len(i.servers))
		return
	}
	for _, s := range changed {
		_ = level.Info(i.logger).Log("msg", "backend server", "id", s.ID, "address", s.Address,
			"service", s.Service, "draining", s.Draining, "from", s.Held.From, "to", s.Held.To)
	}
}

// applyRecord applies a record. It reports whether the backend server is new, or its
// draining state or layers have changed.
func (i *Inventory) applyRecord(r ServerRecord) (changed bool) {
	old, known := i.servers[r.ID]
	removed, isGone := i.gone[r.ID]
	switch {
	case known && r.Server != nil && old.server.Incarnation.Newer(r.Server.Incarnation):
		return false // of an earlier incarnation
	case known && r.At < old.at || isGone && !r.Gone && r.At <= removed.at:
		return false // an older record
	case known && i.isUnconfirmed(r, old.at, old.server) || isGone && i.isUnconfirmed(r, removed.at, nil):
		i.unconfirmed[r.ID] = r
		return false
	}
	delete(i.unconfirmed, r.ID)
	if known && !r.Gone && r.Err == nil {
		r.Err = contradiction(old.server, r.Server)
	}
	switch {
	case known && !r.Gone && r.At == old.at:
		old.missingSince = time.Time{}
		i.servers[r.ID] = old
	case r.Gone:
		if known {
			if r.At != maxPosition {
				old.at = r.At
			}
			i.remove(r.ID, old)
			_ = level.Info(i.logger).Log("msg", "backend server gone", "id", r.ID, "address", old.server.Address)
		}
	case r.Err != nil:
		i.refuse(r, old, known)
	default:
		if known && old.server.ID != r.Server.ID {
			i.logRestarted(old.server, r.Server.Incarnation)
		}
		i.put(r.ID, record{server: r.Server, raw: r.Raw, at: r.At})
		return !known || old.server.Draining != r.Server.Draining || old.server.Held != r.Server.Held
	}
	return false
}

// errContradiction is the reason to refuse a record that the backend server cannot have written.
var errContradiction = errors.New("inventory: record contradicts the earlier one")

// contradiction returns an error if a record cannot be of the backend server that wrote the earlier one:
// each incarnation has one service, and a backend server that reports its start always does.
func contradiction(old, now *site.BackendServer) error {
	switch {
	case old.Incarnation.Born > 0 && now.Incarnation.Born == 0:
		return fmt.Errorf("%w: it has no start", errContradiction)
	case old.Incarnation == now.Incarnation && old.Service != now.Service:
		return fmt.Errorf("%w: its service was %q and is %q", errContradiction, old.Service, now.Service)
	}
	return nil
}

// refuse drops an invalid record, and the earlier record of the same name.
func (i *Inventory) refuse(r ServerRecord, old record, known bool) {
	old.at = r.At
	if known {
		i.remove(r.ID, old)
	} else {
		i.gone[r.ID] = tombstone{at: r.At, since: time.Now()}
	}
	_ = level.Error(i.logger).Log("msg", "record refused", "id", r.ID, "revision", r.At, "was_used", known, "err", r.Err)
}

// NoteRestart applies a backend server's report that it has restarted, which its record
// may not show yet. The state of the earlier incarnation is discarded.
func (i *Inventory) NoteRestart(incarnation site.Incarnation) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, known := i.servers[incarnation.Name]
	if !known || !incarnation.Newer(r.server.Incarnation) {
		return
	}
	i.logRestarted(r.server, incarnation)
	r.server = r.server.Restarted(incarnation)
	i.servers[incarnation.Name] = r
	i.publishServers()
}

func (i *Inventory) logRestarted(old *site.BackendServer, incarnation site.Incarnation) {
	_ = level.Info(i.logger).Log("msg", "backend server started again", "id", incarnation.ID(), "before", old.ID, "address", old.Address)
}

// put stores a record. Of two records with the same address it keeps the one that was
// written last.
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
	removed := other
	if i.servers[other].at > r.at {
		removed = id
	}
	i.remove(removed, i.servers[removed])
	i.byAddress[address] = id
	if removed == id {
		i.byAddress[address] = other
	}
	_ = level.Info(i.logger).Log("msg", "backend server gone", "id", removed, "address", address, "reason", "another incarnation has its address")
}

// remove replaces a record with a tombstone.
func (i *Inventory) remove(id string, r record) {
	delete(i.servers, id)
	if i.byAddress[r.server.Address] == id {
		delete(i.byAddress, r.server.Address)
	}
	now := time.Now()
	i.gone[id] = tombstone{at: r.at, since: now}
	for other, t := range i.gone {
		if now.Sub(t.since) > tombstoneTTL {
			delete(i.gone, other)
		}
	}
}

// markUnlisted marks or drops the records that a full list lacks.
func (i *Inventory) markUnlisted(at store.Position, listed map[string]bool) {
	missing, left := 0, 0
	for id, r := range i.servers {
		if listed[id] || i.isAwaited(r.at) || !r.missingSince.IsZero() {
			continue
		}
		missing++
		if i.markMissing(id, at) {
			left++
		}
	}
	i.logMissing(at, missing, left)
}

// markMissing marks a record that a list at a position lacks, or drops it if the backend server
// has left, and reports the latter. at is 0 if the position is unknown.
func (i *Inventory) markMissing(id string, at store.Position) (left bool) {
	r, known := i.servers[id]
	if !known || !r.missingSince.IsZero() {
		return false
	}
	r.missingSince, r.missingAt = boottime.Now(), at
	i.servers[id] = r
	i.state = nil
	if i.hasLeft(r) {
		i.drop(id, r, "not in the list of the store")
		return true
	}
	time.AfterFunc(MissingGrace, func() { i.dropMissing(id, r.missingSince) })
	return false
}

// dropMissing drops a record that has been missing since a time.
func (i *Inventory) dropMissing(id string, since time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.servers[id]
	if !ok || !r.missingSince.Equal(since) {
		return
	}
	i.drop(id, r, "record not back after an outage")
	i.publishServers()
}

// drop removes a missing record. The removal supersedes everything written up to the list that
// lacked it, also records that were never received: a restored copy may have them.
func (i *Inventory) drop(id string, r record, reason string) {
	r.at = max(r.at, r.missingAt)
	i.remove(id, r)
	_ = level.Info(i.logger).Log("msg", "backend server gone", "id", id, "address", r.server.Address, "reason", reason)
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
