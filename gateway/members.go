package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/store"
)

// Periods of membership. Calls to the store are expensive. Records may be out of
// date, since a daemon that cannot be reached is skipped.
const (
	minHeartbeatInterval = 30 * time.Second
	minListInterval      = 8 * time.Second
	leaveTimeout         = time.Second
	// heartbeatPerDaemon and listPerDaemon lengthen the periods in large fleets, so
	// that all daemons together write at most five records and read at most ten stale
	// lists a second.
	heartbeatPerDaemon = 200 * time.Millisecond
	listPerDaemon      = 100 * time.Millisecond
	// joinInterval and joinTimeout bound how long a daemon of a fleet that starts for
	// the first time waits for a stale list that has its own record, and so all records
	// written before it. After that it reads a fresh list, which is more expensive.
	joinInterval = 400 * time.Millisecond
	joinTimeout  = 2 * time.Second
	// listRetryInterval is the period of lists until one succeeds. After
	// firstListTimeout a daemon continues alone. A daemon that knows no other acts as the
	// first of its failure domain, so a short timeout would let every daemon that starts
	// during an outage follow the store itself.
	listRetryInterval = 500 * time.Millisecond
	firstListTimeout  = 10 * time.Second
)

// heartbeatInterval returns the period at which a daemon writes its record, by the
// number of daemons.
func heartbeatInterval(daemons int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(daemons)*heartbeatPerDaemon)
}

// listInterval returns the period at which a daemon lists the others, by the number
// of daemons.
func listInterval(daemons int) time.Duration {
	return max(minListInterval, time.Duration(daemons)*listPerDaemon)
}

// memberTTL returns how long an unchanged record counts as alive.
func memberTTL(daemons int) time.Duration { return 5 * heartbeatInterval(daemons) / 2 }

// memberStore is the part of the store that membership uses.
type memberStore interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Put(ctx context.Context, kind, name string, spec []byte, ifVersion store.Position) (store.Position, error)
	Delete(ctx context.Context, kind, name string, ifVersion store.Position) (store.Position, error)
	// List may return a list that is seconds old unless fresh is set.
	List(ctx context.Context, kind string, fresh bool) ([]store.Object, error)
}

// memberSpec is a daemon's record.
type memberSpec struct {
	Domain    string `cbor:"1,keyasint"`
	Address   string `cbor:"2,keyasint"` // of its links to other daemons
	Heartbeat uint64 `cbor:"3,keyasint"`
}

// members tracks the daemons of the fleet. Each daemon writes a record to the store
// periodically. A daemon whose record stays unchanged for memberTTL counts as dead.
// members implements forward.Fleet and relay.Members.
type members struct {
	self       relay.Member
	store      memberStore
	logger     log.Logger
	version    store.Position // of the own record
	heartbeats uint64
	alive      atomic.Int64
	found      chan struct{} // closed after the first list
	woken      chan struct{} // receives when the daemons must be listed again after a suspension

	firstStart bool // of the whole system: no earlier records exist

	mu        sync.Mutex
	seen      map[string]seenMember
	all       []relay.Member
	era       uint64    // of the store, from the last list
	keepUntil time.Time // until then members missing from lists of a new era are kept
}

// seenMember is the last known record of a daemon.
type seenMember struct {
	spec      memberSpec
	firstSeen time.Time // when this record was first seen
}

func newMembers(self relay.Member, firstStart bool, s memberStore, logger log.Logger) *members {
	return &members{self: self, firstStart: firstStart, store: s, logger: logger, seen: map[string]seenMember{}, found: make(chan struct{}), woken: make(chan struct{}, 1)}
}

// Daemons implements forward.Fleet; before the first list it is 0.
func (m *members) Daemons() int { return int(m.alive.Load()) }

// Shares implements forward.Fleet.
func (m *members) Shares() map[string]float64 {
	all := m.All()
	out := map[string]float64{}
	for _, d := range all {
		out[d.Domain] += 1 / float64(len(all))
	}
	if len(out) == 0 {
		out[m.self.Domain] = 1
	}
	return out
}

// All implements relay.Members.
func (m *members) All() []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all
}

// Found returns a channel that is closed after the first list of the daemons, or when
// none has succeeded within firstListTimeout.
func (m *members) Found() <-chan struct{} { return m.found }

// Run keeps the daemon's own record and the list of daemons up to date until ctx ends,
// then deletes the record.
func (m *members) Run(ctx context.Context) {
	m.join(ctx)
	m.awaitList(ctx)
	close(m.found)
	if m.version == 0 {
		m.heartbeat(ctx)
	}
	heartbeat, list := time.NewTimer(heartbeatInterval(m.Daemons())), time.NewTimer(m.untilNextList())
	defer heartbeat.Stop()
	defer list.Stop()
	for {
		select {
		case <-ctx.Done():
			m.leave()
			return
		case <-heartbeat.C:
			m.heartbeat(ctx)
			heartbeat.Reset(heartbeatInterval(m.Daemons()))
		case <-m.woken:
			list.Reset(0)
		case <-list.C:
			m.list(ctx, false)
			if m.version == 0 {
				m.heartbeat(ctx)
			}
			list.Reset(m.untilNextList())
		}
	}
}

// wake triggers a list of the daemons. Others may have joined and left while the VM
// was suspended.
func (m *members) wake(time.Duration) {
	select {
	case m.woken <- struct{}{}:
	default: // already pending
	}
}

// untilNextList returns the time until the next list.
func (m *members) untilNextList() time.Duration {
	if m.Daemons() == 0 {
		return listRetryInterval
	}
	return listInterval(m.Daemons())
}

// join announces this daemon and finds the others. If the system ran before, it only
// lists the records, and adopts the record that an earlier process of this VM has left.
func (m *members) join(ctx context.Context) {
	if !m.firstStart {
		m.list(ctx, false)
		return
	}
	m.heartbeat(ctx)
	for until := time.Now().Add(joinTimeout); time.Now().Before(until); {
		if !wait.For(ctx, joinInterval) {
			return
		}
		m.list(ctx, false)
		if m.hasSeen(m.self.Name) {
			return
		}
	}
	m.list(ctx, true)
}

// awaitList lists the daemons until a list succeeds or firstListTimeout is over.
func (m *members) awaitList(ctx context.Context) {
	for until := time.Now().Add(firstListTimeout); m.Daemons() == 0 && time.Now().Before(until); {
		if !wait.For(ctx, listRetryInterval) {
			return
		}
		m.list(ctx, false)
	}
}

// hasSeen reports whether the last list contained the daemon with this name.
func (m *members) hasSeen(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.seen[name]
	return known
}

// heartbeat writes the daemon's own record. After a lost answer or a restart it reads
// the version of the record again.
func (m *members) heartbeat(ctx context.Context) {
	err := m.write(ctx)
	if err == nil {
		return
	}
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrAmbiguous) {
		o, gerr := m.store.Get(ctx, kindDaemon, m.self.Name)
		if gerr == nil {
			m.version = o.Version
			err = m.write(ctx)
		}
	}
	if errors.Is(err, store.ErrNotFound) {
		m.version = 0
		err = m.write(ctx)
	}
	if err != nil {
		_ = level.Warn(m.logger).Log("msg", "membership record not written", "err", err)
	}
}

func (m *members) write(ctx context.Context) error {
	m.heartbeats++
	spec, err := cbor.Marshal(memberSpec{Domain: m.self.Domain, Address: m.self.Address, Heartbeat: m.heartbeats})
	if err != nil {
		return err
	}
	v, err := m.store.Put(ctx, kindDaemon, m.self.Name, spec, m.version)
	if err == nil {
		m.version = v
	}
	return err
}

// list reads the records of all daemons. On an error the last list stays.
func (m *members) list(ctx context.Context, fresh bool) {
	objects, err := m.store.List(ctx, kindDaemon, fresh)
	if err != nil {
		_ = level.Warn(m.logger).Log("msg", "listing daemons failed, keeping the last list", "err", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.noteEra(objects, now) {
		return // older than the last list
	}
	seen := map[string]seenMember{}
	var all []relay.Member
	ttl := memberTTL(len(objects))
	for _, o := range objects {
		var spec memberSpec
		if err := cbor.Unmarshal(o.Spec, &spec); err != nil {
			_ = level.Error(m.logger).Log("msg", "invalid daemon record ignored", "name", o.Name, "err", err)
			continue
		}
		s, known := m.seen[o.Name]
		if !known || s.spec != spec {
			s = seenMember{spec: spec, firstSeen: now}
		}
		seen[o.Name] = s
		m.adopt(o, spec)
	}
	if now.Before(m.keepUntil) {
		m.keepMissing(seen)
	}
	for _, name := range slices.Sorted(maps.Keys(seen)) {
		s := seen[name]
		if now.Sub(s.firstSeen) < ttl {
			all = append(all, relay.Member{Name: name, Domain: s.spec.Domain, Address: s.spec.Address})
		}
	}
	m.seen, m.all = seen, all
	m.alive.Store(int64(max(1, len(all))))
}

// noteEra records the era of a list and reports whether it is the current one. A store
// that was restored from an older copy lacks the records of daemons that started later
// until they write them again, each at its next list. Until then known members are kept.
func (m *members) noteEra(objects []store.Object, now time.Time) (current bool) {
	era := uint64(0)
	for _, o := range objects {
		era = max(era, o.Version.Era())
	}
	if era < m.era {
		return false
	}
	if len(m.seen) > 0 && era > m.era {
		m.keepUntil = now.Add(2 * listInterval(len(m.seen)))
		if m.version.Era() < era {
			m.version = 0 // unless the list has the record, which is adopted then
		}
		_ = level.Warn(m.logger).Log("msg", "decision", "kind", "daemons restored", "era_before", m.era, "era", era, "listed", len(objects), "known", len(m.seen))
	}
	m.era = era
	return true
}

// keepMissing adds the known daemons that seen lacks.
func (m *members) keepMissing(seen map[string]seenMember) {
	for name, s := range m.seen {
		if _, listed := seen[name]; !listed {
			seen[name] = s
		}
	}
}

// adopt takes over the daemon's own record if the store holds it with the same domain
// and address: an earlier process has left it, or a restored store has it.
func (m *members) adopt(o store.Object, spec memberSpec) {
	if m.version == 0 && o.Name == m.self.Name && spec.Domain == m.self.Domain && spec.Address == m.self.Address {
		m.version, m.heartbeats = o.Version, max(m.heartbeats, spec.Heartbeat)
	}
}

func (m *members) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := m.store.Delete(ctx, kindDaemon, m.self.Name, m.version); err != nil {
		_ = level.Warn(m.logger).Log("msg", "membership record not deleted", "err", err)
	}
}
