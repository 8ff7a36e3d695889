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

// NewManager returns the manager of the named lease; Run must be called.
func NewManager(kind, name, self string, ttl time.Duration, store Store, logger log.Logger) *Manager {
	return &Manager{kind: kind, name: name, store: store, logger: logger, candidate: New(self, ttl)}
}

// Held returns the fencing number if this daemon holds the lease now.
func (k *Manager) Held() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.candidate.Held(boottime.Now())
}

// Holder returns the lease as last seen.
func (k *Manager) Holder() Spec {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.candidate.Holder()
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (k *Manager) Run(ctx context.Context) {
	period := k.candidate.ttl / 10
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		pause := time.Duration(0)
		if !k.step(ctx) {
			pause = k.candidate.ttl / retryFraction // do not retry a failed store at every tick
		}
		select {
		case <-ctx.Done():
			k.release()
			return
		case <-time.After(pause):
		}
		select {
		case <-ctx.Done():
			k.release()
			return
		case <-t.C:
		}
	}
}

// retryFraction is the inverse of the fraction of the period to wait after a failed call
// to the store.
const retryFraction = 3

func (k *Manager) next() Action {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.candidate.Next(boottime.Now())
}

// step performs the next action and reports whether the store answered.
func (k *Manager) step(ctx context.Context) (answered bool) {
	switch a := k.next(); a {
	case Read:
		return k.read(ctx)
	case Acquire, Renew:
		return k.write(ctx, a)
	}
	return true
}

func (k *Manager) read(ctx context.Context) (answered bool) {
	o, err := k.store.Get(ctx, k.kind, k.name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.candidate.Seen(o, boottime.Now())
	return true
}

// write makes one attempt. After a lost answer it reads the lease back and compares the
// nonce to find out whether the write was applied.
func (k *Manager) write(ctx context.Context, a Action) (answered bool) {
	k.mu.Lock()
	spec, ifVersion := k.candidate.Propose(a, rand.Uint64())
	era := k.candidate.version.Era()
	k.mu.Unlock()
	requestedAt := boottime.Now()
	version, err := k.store.Put(ctx, k.kind, k.name, spec.Encode(), ifVersion)
	if errors.Is(err, store.ErrAmbiguous) {
		o, getErr := k.store.Get(ctx, k.kind, k.name)
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
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		k.candidate.Written(spec, version, requestedAt, boottime.Now())
		if a == Acquire {
			_ = level.Info(k.logger).Log("msg", "lease acquired", "lease", k.name, "fencing", spec.Fencing)
		}
	case errors.Is(err, store.ErrConflict):
		k.candidate.Lost(boottime.Now())
		_ = level.Info(k.logger).Log("msg", "lease lost", "lease", k.name)
	default:
		return false
	}
	return true
}

// release lets other daemons take over at once. It writes an expired lease with the same
// fencing number. Without it, as after a crash, the others wait for one period.
func (k *Manager) release() {
	if _, ok := k.Held(); !ok {
		return
	}
	k.mu.Lock()
	spec, ifVersion := k.candidate.Propose(Renew, 0)
	spec.TTL = time.Millisecond
	spec.Holder = ""
	k.candidate.Released()
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = k.store.Put(ctx, k.kind, k.name, spec.Encode(), ifVersion)
}
