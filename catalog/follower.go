package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// Follower keeps a catalog up to date from the store: a full read, then a watch.
// The full read is repeated every resync and after each error.
type Follower struct {
	catalog *Catalog
	store   store.Store
	resync  time.Duration
	logger  log.Logger
	publish func([]store.Object) // receives the objects that were newer; may be nil
}

// Bounds of the interval between retries. Intervals are jittered, so that the fleet
// does not overload a store that has just recovered.
const (
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 10 * time.Second
)

// NewFollower returns a follower; Run must be called. Objects that were newer than
// the known ones are passed to publish, which may be nil.
func NewFollower(c *Catalog, store store.Store, resync time.Duration, publish func([]store.Object), logger log.Logger) *Follower {
	return &Follower{catalog: c, store: store, resync: resync, publish: publish, logger: logger}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryInterval
	retry.MaxInterval = maxRetryInterval
	for ctx.Err() == nil {
		start := time.Now()
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(start) > maxRetryInterval {
			retry.Reset()
		}
		next := retry.NextBackOff()
		if err != nil {
			_ = level.Warn(f.logger).Log("msg", "store not followed", "retry_in", next, "err", err)
		}
		wait.For(ctx, next)
	}
}

// follow does a full read and then watches until the next full read is due.
func (f *Follower) follow(ctx context.Context) error {
	since, err := f.read(ctx)
	if err != nil {
		return err
	}
	watch, cancel := context.WithTimeout(ctx, f.resync)
	defer cancel()
	kinds := make([]string, len(topology.ConfigKinds))
	for i, k := range topology.ConfigKinds {
		kinds[i] = string(k)
	}
	changes := make(chan store.Object, watchBuffer)
	var applying sync.WaitGroup
	applying.Go(func() { f.applyBatches(changes) })
	err = f.store.Watch(watch, kinds, since, func(o store.Object) { changes <- o })
	close(changes)
	applying.Wait()
	if watch.Err() != nil {
		return nil
	}
	return err
}

// watchBuffer is the number of changes that may wait while others are applied, and
// the maximum size of a batch.
const watchBuffer = 4096

// applyBatches applies changes in batches: those received while a batch is applied
// form the next, so that a bulk change of n objects does not build n snapshots.
func (f *Follower) applyBatches(changes <-chan store.Object) {
	for o := range changes {
		batch := []store.Object{o}
		for len(batch) < watchBuffer {
			select {
			case more, ok := <-changes:
				if ok {
					batch = append(batch, more)
					continue
				}
			default:
			}
			break
		}
		f.report(f.catalog.Apply(batch...))
	}
}

// read lists and applies every kind. It returns the lowest revision of these reads;
// a watch from there misses no change.
func (f *Follower) read(ctx context.Context) (store.Position, error) {
	var since store.Position
	for i, kind := range topology.ConfigKinds {
		objects, rev, err := f.store.List(ctx, string(kind))
		if err != nil {
			return 0, err
		}
		f.report(f.catalog.ApplyList(kind, objects, rev))
		if i == 0 || rev < since {
			since = rev
		}
	}
	return since, nil
}

// report publishes the objects of results and logs each result.
func (f *Follower) report(results []Result) {
	if f.publish != nil && len(results) > 0 {
		f.publish(f.catalog.Newest(results))
	}
	for _, r := range results {
		if r.Accepted() {
			_ = level.Debug(f.logger).Log("msg", "object in force", "kind", r.Kind, "name", r.Name, "version", r.InForce, "deleted", r.Deleted)
			continue
		}
		_ = level.Warn(f.logger).Log("msg", "object rejected", "kind", r.Kind, "name", r.Name,
			"version", r.Seen, "in_force", r.InForce, "err", r.Rejected)
	}
}
