package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/store"
)

// The quarantine record is one object in the store, so that a daemon that starts reads
// it with a single call.
const (
	kindQuarantine   = "snowspoke-quarantine"
	quarantineObject = "held"
)

const (
	// syncBatchDelay is the pause between a change and its write, so that changes caused
	// by one request are written together.
	syncBatchDelay = 150 * time.Millisecond
	// syncRankDelay is the extra delay of each further failure domain before it checks
	// whether a change is stored. Usually the first domain has written it by then.
	syncRankDelay = 500 * time.Millisecond
	// syncInterval is the time between two checks without changes, since quarantined
	// requests expire.
	syncInterval = 30 * time.Second
	// minSyncRetryDelay and maxSyncRetryDelay bound the exponential backoff after failed
	// calls. Entries that are not stored are lost if all daemons are killed.
	minSyncRetryDelay = 250 * time.Millisecond
	maxSyncRetryDelay = 2 * time.Second
	// loadAttempts and loadRetryDelay bound the reads of a daemon that starts, so that it
	// does not wait for a store that is unreachable.
	loadAttempts   = 3
	loadRetryDelay = 100 * time.Millisecond
)

// quarantineStore is the part of the platform's store that holds the quarantine record.
type quarantineStore interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Put(ctx context.Context, kind, name string, spec []byte, ifVersion store.Position) (store.Position, error)
	Era() uint64
}

// quarantineSyncer keeps the quarantine registry and its record in the platform's store in
// sync, so that quarantined requests outlast a restart of all daemons. The daemons that
// follow the store as the first of their failure domain write the record. Every daemon
// that starts receives it before it forwards a request, from its source or from the store.
type quarantineSyncer struct {
	registry *quarantine.Registry
	store    quarantineStore
	role     func() (rank int, writes bool)
	logger   log.Logger
	woken    chan struct{} // receives when the store was restored from a copy

	loaded  bool           // the record was read in the current era
	version store.Position // of the object, 0 for none
	stored  []quarantine.Entry
}

// newQuarantineSyncer returns a quarantineSyncer. role reports whether this daemon writes
// the record, and the number of failure domains that sort before its own.
func newQuarantineSyncer(registry *quarantine.Registry, s quarantineStore, role func() (rank int, writes bool), logger log.Logger) *quarantineSyncer {
	return &quarantineSyncer{registry: registry, store: s, role: role, logger: logger, woken: make(chan struct{}, 1)}
}

// wake makes run read the record again.
func (q *quarantineSyncer) wake() {
	select {
	case q.woken <- struct{}{}:
	default: // already pending
	}
}

// load reads the record into the registry, before this daemon forwards its first request.
func (q *quarantineSyncer) load(ctx context.Context) {
	for range loadAttempts {
		if o, answered := q.fetch(ctx); answered {
			q.merge(o)
			return
		}
		if !wait.For(ctx, loadRetryDelay) {
			return
		}
	}
}

// fetch reads the record. The object has no revision if there is no record;
// answered is false if the call failed.
func (q *quarantineSyncer) fetch(ctx context.Context) (o store.Object, answered bool) {
	o, err := q.store.Get(ctx, kindQuarantine, quarantineObject)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		_ = level.Warn(q.logger).Log("msg", "quarantine record not read", "err", err)
		return o, false
	}
	return o, true
}

// merge adds the entries of a record to the registry. A record that cannot be decoded is
// ignored, and later overwritten.
func (q *quarantineSyncer) merge(o store.Object) []quarantine.Entry {
	if o.Version.Revision() == 0 {
		return nil
	}
	now := time.Now()
	entries, err := quarantine.DecodeRecord(o.Spec, now)
	if err != nil {
		_ = level.Error(q.logger).Log("msg", "invalid quarantine record ignored", "version", o.Version, "err", err)
		return nil
	}
	q.registry.Merge(entries, now)
	_ = level.Info(q.logger).Log("msg", "decision", "kind", "quarantine", "outcome", "read", "requests", len(entries), "version", o.Version)
	return entries
}

// run keeps the record up to date with the registry until ctx ends.
func (q *quarantineSyncer) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval, retry.Multiplier = minSyncRetryDelay, maxSyncRetryDelay, 2
	for ctx.Err() == nil {
		changed, pause := q.registry.Changed(), syncInterval
		if rank, writes := q.role(); !writes {
			q.loaded = false
		} else if !wait.For(ctx, time.Duration(rank)*syncRankDelay) {
			return
		} else if q.sync(ctx, rank) {
			retry.Reset()
		} else {
			pause = min(retry.NextBackOff(), maxSyncRetryDelay) // its jitter exceeds MaxInterval
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-q.woken:
			q.loaded = false
		case <-time.After(pause):
		}
		wait.For(ctx, syncBatchDelay)
	}
}

// sync writes the record if it differs from the registry. It returns false if the call
// must be retried.
func (q *quarantineSyncer) sync(ctx context.Context, rank int) (stored bool) {
	if q.upToDate() {
		return true
	}
	if !q.loaded || rank > 0 {
		if !q.read(ctx) {
			return false
		}
		if q.upToDate() {
			return true
		}
	}
	quarantined := q.quarantined()
	data, err := quarantine.EncodeRecord(quarantined)
	if err != nil {
		_ = level.Error(q.logger).Log("msg", "quarantine record not encoded", "err", err)
		return true // a retry would fail in the same way
	}
	version, err := q.store.Put(ctx, kindQuarantine, quarantineObject, data, q.version)
	if err != nil {
		q.loaded = false
		_ = level.Warn(q.logger).Log("msg", "quarantine record not written", "requests", len(quarantined), "err", err)
		return false
	}
	q.version, q.stored = version, quarantined
	_ = level.Info(q.logger).Log("msg", "decision", "kind", "quarantine", "outcome", "kept", "requests", len(quarantined), "version", version)
	return true
}

// read reads the record and merges it into the registry. It returns false if the call
// failed.
func (q *quarantineSyncer) read(ctx context.Context) bool {
	o, answered := q.fetch(ctx)
	if !answered {
		return false
	}
	q.loaded, q.stored, q.version = true, q.merge(o), o.Version
	if o.Version.Revision() == 0 {
		q.version = 0
	}
	return true
}

// upToDate reports whether the last known record matches the registry. Expired entries
// need no write of their own.
func (q *quarantineSyncer) upToDate() bool {
	quarantined := q.quarantined()
	if !q.loaded || q.version != 0 && q.version.Era() != q.store.Era() {
		return len(quarantined) == 0
	}
	return quarantine.SameQuarantined(quarantined, q.stored)
}

// quarantined returns the entries to store, at most
// quarantine.MaxRecordEntries.
func (q *quarantineSyncer) quarantined() []quarantine.Entry {
	quarantined := q.registry.Quarantined(time.Now())
	return quarantined[:min(len(quarantined), quarantine.MaxRecordEntries)]
}
