package gateway

import (
	"context"
	"errors"
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

// Periods of membership. Calls to the store are expensive, so the daemons that lead
// their failure domains list the others, and the rest receive the list over the relay. A
// daemon without a source lists by itself. Records may be out of date, since a daemon that
// cannot be reached is skipped.
const (
	minHeartbeatInterval = 30 * time.Second
	minListInterval      = 8 * time.Second
	leaveTimeout         = time.Second
	// heartbeatPerDaemon and listPerDaemon lengthen the periods in large fleets, so
	// that all daemons together write at most five records and, even if none has a
	// source, read at most ten stale lists a second.
	heartbeatPerDaemon = 200 * time.Millisecond
	listPerDaemon      = 100 * time.Millisecond
	// minLeaderListInterval is the period of the lists of a daemon that leads its failure
	// domain. leaderListPerDaemon lengthens it in large fleets, so that a leader reads at
	// most 500 records a second.
	minLeaderListInterval = 2 * time.Second
	leaderListPerDaemon   = 2 * time.Millisecond
	// listCheckInterval is the interval at which a daemon checks whether a list is due.
	listCheckInterval = 500 * time.Millisecond
	// maxListAge is how old a stale list of the store may be.
	maxListAge = 3 * time.Second
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

// leaderListInterval returns the period of the lists of a leading daemon, by the number of
// daemons.
func leaderListInterval(daemons int) time.Duration {
	return max(minLeaderListInterval, time.Duration(daemons)*leaderListPerDaemon)
}

// joinDelay returns the time from when a daemon finds its own record in a list until all
// leaders that reach the store have it too, by the number of daemons: a leader may have
// missed one list.
func joinDelay(daemons int) time.Duration { return 2*leaderListInterval(daemons) + maxListAge }

// memberTTL returns how long an unchanged record counts as alive.
func memberTTL(daemons int) time.Duration { return 5 * heartbeatInterval(daemons) / 2 }

// memberStore is the part of the store that membership uses.
type memberStore interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	// GetStale is like Get, but the object may be seconds old.
	GetStale(ctx context.Context, kind, name string) (store.Object, error)
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
	FanOut    int    `cbor:"4,keyasint,omitempty"` // maximum number of its followers
}

// memberRelay is the part of the relay that membership uses.
type memberRelay interface {
	// Leading reports whether this daemon leads its failure domain.
	Leading() bool
	// ReceivesMembers reports whether a source sends the list of the daemons.
	ReceivesMembers() bool
	// ListedByAll returns the position up to which all failure domains have listed the
	// records of the daemons.
	ListedByAll() store.Position
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
	relay      memberRelay

	rosterWritten []relay.Member // last read or written
	rosterVersion store.Position
	rosterTriedAt time.Time

	mu         sync.Mutex
	seen       map[string]seenMember
	all        []relay.Member
	changed    chan struct{}  // closed at the next change of all
	era        uint64         // of the store, from the last list
	keepUntil  time.Time      // until then members missing from lists of a new era are kept
	lastListed time.Time      // when this daemon last listed the others itself
	relayedEra uint64         // latest era of a list from the source
	unlisted   time.Time      // since when the lists from the source lack this daemon, zero if they have it
	joinedAt   time.Time      // from when all daemons count this one at the latest, zero while it is in no list
	listedAt   store.Position // of the last list
	recordAt   store.Position // of the first own record, 0 until written
	// recordAssumed is set while only the roster tells that the store has the own record.
	recordAssumed bool
}

// seenMember is the last known record of a daemon.
type seenMember struct {
	spec      memberSpec
	firstSeen time.Time // when this record was first seen
}

func newMembers(self relay.Member, firstStart bool, s memberStore, logger log.Logger) *members {
	return &members{self: self, firstStart: firstStart, store: s, logger: logger, seen: map[string]seenMember{}, changed: make(chan struct{}), found: make(chan struct{}), woken: make(chan struct{}, 1)}
}

// setRelay sets the relay; without one, all lists are read from the store.
func (m *members) setRelay(r memberRelay) { m.relay = r }

// Found returns a channel that is closed after the first list of the daemons, or when
// none has succeeded within firstListTimeout.
func (m *members) Found() <-chan struct{} { return m.found }

// Run keeps the daemon's own record and the list of daemons up to date until ctx ends,
// then deletes the record.
func (m *members) Run(ctx context.Context) {
	m.join(ctx)
	m.awaitList(ctx)
	close(m.found)
	if m.version == 0 && !m.isRecordAssumed() {
		m.heartbeat(ctx)
	}
	heartbeat, list := time.NewTimer(heartbeatInterval(m.Daemons())), time.NewTicker(listCheckInterval)
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
			m.refresh(ctx)
		case <-list.C:
			if m.listDue(time.Now()) {
				m.refresh(ctx)
			}
			m.writeRoster(ctx)
		}
	}
}

func (m *members) isRecordAssumed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recordAssumed
}

// refresh lists the daemons, and writes the own record if the store lacks it.
func (m *members) refresh(ctx context.Context) {
	m.list(ctx, false)
	if m.version == 0 {
		m.heartbeat(ctx)
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

// join announces this daemon and finds the others. If the system ran before, it only
// reads the roster or, if that lacks this daemon, lists the records and adopts the one that
// an earlier process of this VM has left.
func (m *members) join(ctx context.Context) {
	if !m.firstStart {
		m.find(ctx)
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

// find reads the roster, or else lists the daemons.
func (m *members) find(ctx context.Context) {
	err := m.readRoster(ctx)
	if err == nil {
		return
	}
	_ = level.Info(m.logger).Log("msg", "roster not used", "err", err)
	m.list(ctx, false)
}

// awaitList finds the daemons, or gives up when firstListTimeout is over.
func (m *members) awaitList(ctx context.Context) {
	for until := time.Now().Add(firstListTimeout); m.Daemons() == 0 && time.Now().Before(until); {
		if !wait.For(ctx, listRetryInterval) {
			return
		}
		m.find(ctx)
	}
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
	spec, err := cbor.Marshal(memberSpec{Domain: m.self.Domain, Address: m.self.Address, Heartbeat: m.heartbeats, FanOut: m.self.FanOut})
	if err != nil {
		return err
	}
	v, err := m.store.Put(ctx, kindDaemon, m.self.Name, spec, m.version)
	if err != nil {
		return err
	}
	m.version = v
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.recordAt == 0 {
		m.recordAt = v
	}
	return nil
}

// adopt takes over the daemon's own record if the store holds it with the same domain,
// address and fan-out: an earlier process has left it, or a restored store has it. The others know
// a daemon whose earlier process has left the record. m.mu is held.
func (m *members) adopt(o store.Object, spec memberSpec) {
	if m.version == 0 && o.Name == m.self.Name && spec.Domain == m.self.Domain && spec.Address == m.self.Address && spec.FanOut == m.self.FanOut {
		m.version, m.heartbeats = o.Version, max(m.heartbeats, spec.Heartbeat)
		if !m.firstStart && m.joinedAt.IsZero() {
			m.joinedAt = time.Now()
		}
	}
}

// leave deletes the own record.
func (m *members) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := m.deleteRecord(ctx); err != nil {
		_ = level.Warn(m.logger).Log("msg", "membership record not deleted", "err", err)
	}
}

func (m *members) deleteRecord(ctx context.Context) error {
	if m.version == 0 && m.isRecordAssumed() {
		o, err := m.store.Get(ctx, kindDaemon, m.self.Name)
		if err != nil {
			return err
		}
		m.version = o.Version
	}
	_, err := m.store.Delete(ctx, kindDaemon, m.self.Name, m.version)
	return err
}
