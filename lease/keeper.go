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

// Store is what a keeper needs of the platform's store.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	// Put returns store.ErrConflict when the object's version is not ifVersion any
	// more and store.ErrAmbiguous when the answer was lost.
	Put(ctx context.Context, kind, name string, spec []byte, ifVersion store.Position) (store.Position, error)
}

// Keeper tries to hold a lease and keeps it. Its times count those in which the VM was
// suspended: a holder that wakes holds nothing any more that others have taken over. It
// is safe for concurrent use.
type Keeper struct {
	name   string
	store  Store
	logger log.Logger
	kind   string

	mu sync.Mutex
	c  *Candidate
}

// NewKeeper returns a keeper of the lease with a name; Run must be called.
func NewKeeper(kind, name, self string, ttl time.Duration, store Store, logger log.Logger) *Keeper {
	return &Keeper{kind: kind, name: name, store: store, logger: logger, c: New(self, ttl)}
}

// Held returns the fencing number if this daemon holds the lease right now.
func (k *Keeper) Held() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.c.Held(boottime.Now())
}

// Holder returns the lease as last seen.
func (k *Keeper) Holder() Spec {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.c.Holder()
}

// Run keeps trying until ctx ends, then gives the lease up.
func (k *Keeper) Run(ctx context.Context) {
	period := k.c.ttl / 10
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		pause := time.Duration(0)
		if !k.step(ctx) {
			pause = k.c.ttl / failedPause // a store that is away is not asked at every tick
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

// failedPause is the part of the period for which a keeper waits after a failed
// call to the store.
const failedPause = 3

func (k *Keeper) next() Action {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.c.Next(boottime.Now())
}

// step does what is due and returns whether the store answered.
func (k *Keeper) step(ctx context.Context) (answered bool) {
	switch a := k.next(); a {
	case Read:
		return k.read(ctx)
	case Acquire, Renew:
		return k.write(ctx, a)
	}
	return true
}

func (k *Keeper) read(ctx context.Context) (answered bool) {
	o, err := k.store.Get(ctx, k.kind, k.name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.c.Seen(o, boottime.Now())
	return true
}

// write makes one attempt. An answer that was lost is settled by reading back:
// the nonce says whether the stored lease is this very write.
func (k *Keeper) write(ctx context.Context, a Action) (answered bool) {
	k.mu.Lock()
	spec, ifVersion := k.c.Propose(a, rand.Uint64())
	era := k.c.version.Era()
	k.mu.Unlock()
	asked := boottime.Now()
	version, err := k.store.Put(ctx, k.kind, k.name, spec.Encode(), ifVersion)
	if errors.Is(err, store.ErrAmbiguous) {
		o, gerr := k.store.Get(ctx, k.kind, k.name)
		if gerr != nil {
			return false // unknown until a later read; the holder's time runs on
		}
		if Decode(o.Spec).Nonce == spec.Nonce {
			version, err = o.Version, nil
		}
	}
	if err == nil && version.Era() != era {
		// The store came back from a copy in between: what was waited out, and the
		// fencing number, are of the era before.
		err = store.ErrConflict
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		k.c.Written(spec, version, asked, boottime.Now())
		if a == Acquire {
			_ = level.Info(k.logger).Log("msg", "lease acquired", "lease", k.name, "fencing", spec.Fencing)
		}
	case errors.Is(err, store.ErrConflict):
		k.c.Lost(boottime.Now())
		_ = level.Info(k.logger).Log("msg", "lease lost", "lease", k.name)
	default:
		return false
	}
	return true
}

// release lets others take over at once. It writes an expired lease with the
// same fencing number; a crash before it only costs the others a period.
func (k *Keeper) release() {
	if _, ok := k.Held(); !ok {
		return
	}
	k.mu.Lock()
	spec, ifVersion := k.c.Propose(Renew, 0)
	spec.TTL = time.Millisecond
	spec.Holder = ""
	k.c.Released()
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = k.store.Put(ctx, k.kind, k.name, spec.Encode(), ifVersion)
}
