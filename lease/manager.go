package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/store"
)

// Store is the part of the platform's store that the manager of a lease uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	// Put returns store.ErrConflict when the object's version is no longer ifVersion, and
	// store.ErrAmbiguous when the answer was lost.
	Put(ctx context.Context, kind, name string, spec []byte, ifVersion store.Position) (store.Position, error)
}

// Manager acquires a lease and renews it. Its times include those in which the VM was
// suspended, so that a resumed holder does not hold a lease that has expired. It is safe
// for concurrent use.
type Manager struct {
	name   string
	store  Store
	logger log.Logger
	kind   string

	mu        sync.Mutex // guards candidate
	candidate *Candidate
}

// NewManager returns the manager of the named lease for the daemon self. Run must be
// called.
func NewManager(kind, name, self string, ttl time.Duration, store Store, logger log.Logger) *Manager {
	return &Manager{kind: kind, name: name, store: store, logger: logger, candidate: New(self, ttl)}
}

// Held returns the fencing number if this daemon holds the lease now.
func (m *Manager) Held() (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.candidate.Held(boottime.Now())
}

// Holder returns the lease as last read.
func (m *Manager) Holder() Spec {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.candidate.Holder()
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (m *Manager) Run(ctx context.Context) {
	period := m.candidate.ttl / 10
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		pause := time.Duration(0)
		if !m.step(ctx) {
			pause = m.candidate.ttl / retryFraction // do not retry a failed store at every tick
		}
		select {
		case <-ctx.Done():
			m.release()
			return
		case <-time.After(pause):
		}
		select {
		case <-ctx.Done():
			m.release()
			return
		case <-t.C:
		}
	}
}

// retryFraction is the inverse of the fraction of the period to wait after a failed call
// to the store.
const retryFraction = 3

func (m *Manager) next() Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.candidate.Next(boottime.Now())
}

// step performs the next action and reports whether the store answered.
func (m *Manager) step(ctx context.Context) (answered bool) {
	switch a := m.next(); a {
	case Read:
		return m.read(ctx)
	case Acquire, Renew:
		return m.write(ctx, a)
	}
	return true
}

func (m *Manager) read(ctx context.Context) (answered bool) {
	o, err := m.store.Get(ctx, m.kind, m.name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.candidate.Seen(o, boottime.Now())
	return true
}

// write makes one attempt. After a lost answer it reads the lease back and compares the
// nonce to find out whether the write was applied.
func (m *Manager) write(ctx context.Context, a Action) (answered bool) {
	m.mu.Lock()
	spec, ifVersion := m.candidate.Propose(a, rand.Uint64())
	era := m.candidate.version.Era()
	m.mu.Unlock()
	requestedAt := boottime.Now()
	version, err := m.store.Put(ctx, m.kind, m.name, spec.Encode(), ifVersion)
	if errors.Is(err, store.ErrAmbiguous) {
		o, getErr := m.store.Get(ctx, m.kind, m.name)
		if getErr != nil {
			return false // unknown until a later read; the lease may expire meanwhile
		}
		if Decode(o.Spec).Nonce == spec.Nonce {
			version, err = o.Version, nil
		}
	}
	if err == nil && version.Era() != era {
		// The store was restored from a copy in between: the expiry that was awaited and
		// the fencing number are of the previous era.
		err = store.ErrConflict
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.candidate.Written(spec, version, requestedAt, boottime.Now())
		if a == Acquire {
			_ = level.Info(m.logger).Log("msg", "lease acquired", "lease", m.name, "fencing", spec.Fencing)
		}
	case errors.Is(err, store.ErrConflict):
		m.candidate.Lost(boottime.Now())
		_ = level.Info(m.logger).Log("msg", "lease lost", "lease", m.name)
	default:
		return false
	}
	return true
}

// release lets other daemons take over at once. It writes a lease that has no holder and
// expires after a millisecond, with the same fencing number. Without it, as after a crash,
// the others wait for one period.
func (m *Manager) release() {
	if _, ok := m.Held(); !ok {
		return
	}
	m.mu.Lock()
	spec, ifVersion := m.candidate.Propose(Renew, 0)
	spec.TTL = time.Millisecond
	spec.Holder = ""
	m.candidate.Released()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = m.store.Put(ctx, m.kind, m.name, spec.Encode(), ifVersion)
}
