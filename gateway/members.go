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

// Periods of membership. Each call to the store is paid for; daemons are found
// by their records, and one that cannot be reached is passed over, so records
// may be old.
const (
	heartbeat   = 30 * time.Second
	memberTTL   = 5 * heartbeat / 2
	listEvery   = 8 * time.Second
	firstList   = 400 * time.Millisecond // VMs start within 0.3 s of each other
	leaveWithin = time.Second
)

// memberStore is what membership needs of the store.
type memberStore interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Put(ctx context.Context, kind, name string, spec []byte, ifVersion uint64) (uint64, error)
	Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error)
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
	version uint64 // of the own record
	beats   uint64
	alive   atomic.Int64
	found   chan struct{} // closed after the first list

	restarted bool // an earlier process of this VM has left its record

	mu   sync.Mutex
	seen map[string]seenMember
	all  []relay.Member
}

type seenMember struct {
	version uint64
	at      time.Time
}

func newMembers(self relay.Member, s memberStore, logger log.Logger) *members {
	m := &members{self: self, store: s, logger: logger, seen: map[string]seenMember{}, found: make(chan struct{})}
	return m
}

// Daemons implements forward.Fleet; before the first list it is 0.
func (m *members) Daemons() int { return int(m.alive.Load()) }

// All implements relay.Members.
func (m *members) All() []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all
}

// Found is closed when the daemons were listed for the first time or that failed.
func (m *members) Found() <-chan struct{} { return m.found }

// Run keeps the own record and the list until ctx ends, then takes the record
// away.
func (m *members) Run(ctx context.Context) {
	m.beat(ctx)
	if !m.restarted {
		wait.For(ctx, firstList) // after a restart callers are waiting
	}
	m.list(ctx, true)
	close(m.found)
	beats, lists := time.NewTicker(heartbeat), time.NewTicker(listEvery)
	defer beats.Stop()
	defer lists.Stop()
	for {
		select {
		case <-ctx.Done():
			m.leave()
			return
		case <-beats.C:
			m.beat(ctx)
		case <-lists.C:
			if m.version == 0 {
				m.beat(ctx)
			}
			m.list(ctx, false)
		}
	}
}

// beat writes the own record. After a lost answer or a restart its version is
// read again.
func (m *members) beat(ctx context.Context) {
	err := m.write(ctx)
	if err == nil {
		return
	}
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrAmbiguous) {
		m.restarted = m.restarted || m.version == 0
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
	seen := map[string]seenMember{}
	var all []relay.Member
	for _, o := range objects {
		var spec memberSpec
		if err := cbor.Unmarshal(o.Spec, &spec); err != nil {
			_ = level.Error(m.logger).Log("msg", "record of daemon ignored", "name", o.Name, "err", err)
			continue
		}
		s, known := m.seen[o.Name]
		if !known || s.version != o.Version {
			s = seenMember{version: o.Version, at: now}
		}
		seen[o.Name] = s
		if now.Sub(s.at) < memberTTL {
			all = append(all, relay.Member{Name: o.Name, Domain: spec.Domain, Address: spec.Address})
		}
	}
	m.seen, m.all = seen, all
	m.alive.Store(int64(max(1, len(all))))
}

func (m *members) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
	defer cancel()
	if _, err := m.store.Delete(ctx, kindDaemon, m.self.Name, m.version); err != nil {
		_ = level.Warn(m.logger).Log("msg", "own record not deleted", "err", err)
	}
}
