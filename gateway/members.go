package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/store"
)

// Periods of membership. Each call to the store is paid for; only the number of
// daemons is needed, and it may be a little old.
const (
	heartbeat   = 10 * time.Second
	memberTTL   = 5 * heartbeat / 2
	leaveWithin = time.Second
)

// memberStore is what membership needs of the store.
type memberStore interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Put(ctx context.Context, kind, name string, spec []byte, ifVersion uint64) (uint64, error)
	Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error)
	List(ctx context.Context, kind string) ([]store.Object, error)
}

// members counts the daemons that are alive: each writes an object every
// heartbeat, and one that has not changed for a while is dead.
type members struct {
	self    string
	store   memberStore
	logger  log.Logger
	version uint64 // of the own object
	beats   byte
	seen    map[string]seenMember
	alive   atomic.Int64
}

type seenMember struct {
	version uint64
	at      time.Time
}

func newMembers(self string, s memberStore, logger log.Logger) *members {
	m := &members{self: self, store: s, logger: logger, seen: map[string]seenMember{}}
	m.alive.Store(1)
	return m
}

// Daemons implements forward.Fleet.
func (m *members) Daemons() int { return int(m.alive.Load()) }

// Run beats until ctx ends, then takes the own object away.
func (m *members) Run(ctx context.Context) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		m.beat(ctx)
		m.count(ctx)
		select {
		case <-ctx.Done():
			m.leave()
			return
		case <-t.C:
		}
	}
}

// beat writes the own object. After a lost answer or a restart its version is
// read again.
func (m *members) beat(ctx context.Context) {
	m.beats++
	v, err := m.store.Put(ctx, kindDaemon, m.self, []byte{m.beats}, m.version)
	if err == nil {
		m.version = v
		return
	}
	if errors.Is(err, store.ErrNotFound) {
		m.version = 0
		return
	}
	if o, gerr := m.store.Get(ctx, kindDaemon, m.self); gerr == nil {
		m.version = o.Version
		if v, err = m.store.Put(ctx, kindDaemon, m.self, []byte{m.beats}, m.version); err == nil {
			m.version = v
			return
		}
	}
	_ = level.Warn(m.logger).Log("msg", "heartbeat not written", "err", err)
}

func (m *members) count(ctx context.Context) {
	all, err := m.store.List(ctx, kindDaemon)
	if err != nil {
		return // the last count stays; the loss of the store is logged elsewhere
	}
	now := time.Now()
	seen := map[string]seenMember{}
	alive := 0
	for _, o := range all {
		s, known := m.seen[o.Name]
		if !known || s.version != o.Version {
			s = seenMember{version: o.Version, at: now}
		}
		seen[o.Name] = s
		if now.Sub(s.at) < memberTTL {
			alive++
		}
	}
	m.seen = seen
	m.alive.Store(int64(max(1, alive)))
}

func (m *members) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
	defer cancel()
	if _, err := m.store.Delete(ctx, kindDaemon, m.self, m.version); err != nil {
		_ = level.Warn(m.logger).Log("msg", "own record not deleted", "err", err)
	}
}
