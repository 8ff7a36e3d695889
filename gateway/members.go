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

// Periods of membership. Each call to the store is paid for; daemons are found
// by their records, and one that cannot be reached is passed over, so records
// may be old.
const (
	heartbeat   = 30 * time.Second
	listPeriod  = 8 * time.Second
	leaveWithin = time.Second
	// beatPerDaemon and listPerDaemon make the periods longer where there are many
	// daemons, so that all of them together write five records a second and read ten
	// lists that may be old. A list is 100 bytes a daemon: at 380 of them each reads
	// 1 KB a second.
	beatPerDaemon = 200 * time.Millisecond
	listPerDaemon = 100 * time.Millisecond
	// joinPause and joinWithin bound how long a daemon of a fleet that starts for the
	// first time waits until a list that may be old shows its own record, and so all
	// that were written before it. VMs start within 0.3 s of each other. After that it
	// reads a fresh list, which costs ten times as much.
	joinPause  = 400 * time.Millisecond
	joinWithin = 2 * time.Second
	// listAgain is the period of lists while none has been answered, and unlistedMost how
	// long a daemon waits for one before it goes on alone. One that knows no other takes
	// itself for the first: 295 that were started while the store was away all looked for
	// it, tried for the duty and read every list, with 10,500 calls in three seconds.
	listAgain    = 500 * time.Millisecond
	unlistedMost = 10 * time.Second
)

// beatEvery returns the period of a daemon's own record in a fleet of so many.
func beatEvery(daemons int) time.Duration {
	return max(heartbeat, time.Duration(daemons)*beatPerDaemon)
}

// listEvery returns the period of the lists of a daemon in a fleet of so many.
func listEvery(daemons int) time.Duration {
	return max(listPeriod, time.Duration(daemons)*listPerDaemon)
}

// memberTTL returns how long a record counts that does not change.
func memberTTL(daemons int) time.Duration { return 5 * beatEvery(daemons) / 2 }

// memberStore is what membership needs of the store.
type memberStore interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Put(ctx context.Context, kind, name string, spec []byte, ifVersion store.Position) (store.Position, error)
	Delete(ctx context.Context, kind, name string, ifVersion store.Position) (store.Position, error)
	// List may be seconds old unless it is to be fresh.
	List(ctx context.Context, kind string, fresh bool) ([]store.Object, error)
}

// memberSpec is a daemon's record.
type memberSpec struct {
	Domain  string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // of its links to other daemons
	Beat    uint64 `cbor:"3,keyasint"`
}

// members finds the other daemons: each writes a record, and one that has not
// changed for a while is dead. It implements forward.Fleet and relay.Members.
type members struct {
	self    relay.Member
	store   memberStore
	logger  log.Logger
	version store.Position // of the own record
	beats   uint64
	alive   atomic.Int64
	found   chan struct{} // closed after the first list
	woken   chan struct{} // the VM was suspended: who is there must be read again

	firstStart bool // of the whole system: nobody has left a record

	mu    sync.Mutex
	seen  map[string]seenMember
	all   []relay.Member
	era   uint64    // of the store, as the last list told
	until time.Time // until then those that a new era's lists lack are kept
}

// seenMember is a daemon as its record was last seen.
type seenMember struct {
	spec memberSpec
	at   time.Time // when it was first seen so
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

// Found is closed when the daemons were listed for the first time, or could not be for
// unlistedMost.
func (m *members) Found() <-chan struct{} { return m.found }

// Run keeps the own record and the list until ctx ends, then takes the record
// away.
func (m *members) Run(ctx context.Context) {
	m.join(ctx)
	m.awaitList(ctx)
	close(m.found)
	if m.version == 0 {
		m.beat(ctx)
	}
	beat, list := time.NewTimer(beatEvery(m.Daemons())), time.NewTimer(m.untilList())
	defer beat.Stop()
	defer list.Stop()
	for {
		select {
		case <-ctx.Done():
			m.leave()
			return
		case <-beat.C:
			m.beat(ctx)
			beat.Reset(beatEvery(m.Daemons()))
		case <-m.woken:
			list.Reset(0)
		case <-list.C:
			m.list(ctx, false)
			if m.version == 0 {
				m.beat(ctx)
			}
			list.Reset(m.untilList())
		}
	}
}

// wake has the daemons listed at once: others may have come and gone while the VM was
// suspended.
func (m *members) wake(time.Duration) {
	select {
	case m.woken <- struct{}{}:
	default: // it is about to
	}
}

// untilList returns the time until the next list.
func (m *members) untilList() time.Duration {
	if m.Daemons() == 0 {
		return listAgain
	}
	return listEvery(m.Daemons())
}

// join makes this daemon known and finds the others. Where the system ran before,
// their records are there, and maybe that of an earlier process of this VM, which is
// taken over as it is: when all of 295 daemons were killed, each wrote its record
// again in three calls and read a fresh list.
func (m *members) join(ctx context.Context) {
	if !m.firstStart {
		m.list(ctx, false)
		return
	}
	m.beat(ctx)
	for until := time.Now().Add(joinWithin); time.Now().Before(until); {
		if !wait.For(ctx, joinPause) {
			return
		}
		m.list(ctx, false)
		if m.knows(m.self.Name) {
			return
		}
	}
	m.list(ctx, true)
}

// awaitList lists the daemons until that is answered.
func (m *members) awaitList(ctx context.Context) {
	for until := time.Now().Add(unlistedMost); m.Daemons() == 0 && time.Now().Before(until); {
		if !wait.For(ctx, listAgain) {
			return
		}
		m.list(ctx, false)
	}
}

func (m *members) knows(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.seen[name]
	return known
}

// beat writes the own record. After a lost answer or a restart its version is
// read again.
func (m *members) beat(ctx context.Context) {
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
		_ = level.Warn(m.logger).Log("msg", "own record not written", "err", err)
	}
}

func (m *members) write(ctx context.Context) error {
	m.beats++
	spec, err := cbor.Marshal(memberSpec{Domain: m.self.Domain, Address: m.self.Address, Beat: m.beats})
	if err != nil {
		return err
	}
	v, err := m.store.Put(ctx, kindDaemon, m.self.Name, spec, m.version)
	if err == nil {
		m.version = v
	}
	return err
}

// list reads who is there.
func (m *members) list(ctx context.Context, fresh bool) {
	objects, err := m.store.List(ctx, kindDaemon, fresh)
	if err != nil {
		_ = level.Warn(m.logger).Log("msg", "daemons not listed, the last list stays", "err", err)
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
			_ = level.Error(m.logger).Log("msg", "record of daemon ignored", "name", o.Name, "err", err)
			continue
		}
		s, known := m.seen[o.Name]
		if !known || s.spec != spec {
			s = seenMember{spec: spec, at: now}
		}
		seen[o.Name] = s
		m.adopt(o, spec)
	}
	if now.Before(m.until) {
		m.keepMissing(seen)
	}
	for _, name := range slices.Sorted(maps.Keys(seen)) {
		s := seen[name]
		if now.Sub(s.at) < ttl {
			all = append(all, relay.Member{Name: name, Domain: s.spec.Domain, Address: s.spec.Address})
		}
	}
	m.seen, m.all = seen, all
	m.alive.Store(int64(max(1, len(all))))
}

// noteEra takes the era of a list, and reports whether it is the present one. In a store
// that came back from an older copy the records of daemons that have just started are
// missing until they write them again, which each does at its own next list. Until then
// the others go on with those that they know.
func (m *members) noteEra(objects []store.Object, now time.Time) (present bool) {
	era := uint64(0)
	for _, o := range objects {
		era = max(era, o.Version.Era())
	}
	if era < m.era {
		return false
	}
	if len(m.seen) > 0 && era > m.era {
		m.until = now.Add(2 * listEvery(len(m.seen)))
		if m.version.Era() < era {
			m.version = 0 // unless the list has the record, which is taken over then
		}
		_ = level.Warn(m.logger).Log("msg", "decision", "kind", "daemons restored", "era_before", m.era, "era", era, "listed", len(objects), "known", len(m.seen))
	}
	m.era = era
	return true
}

// keepMissing adds the daemons that were known and are not among those seen.
func (m *members) keepMissing(seen map[string]seenMember) {
	for name, s := range m.seen {
		if _, listed := seen[name]; !listed {
			seen[name] = s
		}
	}
}

// adopt takes over the own record if it lies in the store just so: an earlier process has
// left it, or the store came back with it.
func (m *members) adopt(o store.Object, spec memberSpec) {
	if m.version == 0 && o.Name == m.self.Name && spec.Domain == m.self.Domain && spec.Address == m.self.Address {
		m.version, m.beats = o.Version, max(m.beats, spec.Beat)
	}
}

func (m *members) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
	defer cancel()
	if _, err := m.store.Delete(ctx, kindDaemon, m.self.Name, m.version); err != nil {
		_ = level.Warn(m.logger).Log("msg", "own record not deleted", "err", err)
	}
}
