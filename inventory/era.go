package inventory

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/store"
)

// A store that is restored from an older copy lacks the latest writes until their authors
// repeat them, within a heartbeat or two. Until then the copy is behind the state that
// this daemon knows: removed backend servers are present, draining ones are ready, new
// ones are missing. The known state stays in force until reconcileDelay is over.

// reconcileDelay is how long the state known before a restore takes precedence over the
// copy. A record expires after three missed heartbeats of 1.2 s, so any record that is
// present after reconcileDelay was written since the restore.
const reconcileDelay = 5 * time.Second

// eraState is an inventory's state of the store's current era.
type eraState struct {
	// restored is the lowest position in the current era at which this daemon or its source
	// has read the store. Records up to this position may come from the copy.
	restored      store.Position
	reconcileAt   time.Time               // until then records of the copy are unconfirmed; zero once reconciled
	unconfirmed   map[string]ServerRecord // records of the copy that are older than the known ones, by ID
	storedVersion uint64                  // newest version of the configuration read from the store in this era
}

func newEraState() eraState { return eraState{unconfirmed: map[string]ServerRecord{}} }

// noteEra records a position at which the store was read. In a new era it starts the
// reconciliation. The caller holds i.mu.
func (i *Inventory) noteEra(at store.Position) {
	known := i.restored
	switch {
	case at == 0 || at.Era() < known.Era():
	case known == 0:
		i.restored = at
	case at.Era() == known.Era():
		i.restored = min(known, at)
	default:
		i.restored, i.storedVersion, i.state = at, 0, nil
		i.reconcileAt = time.Now().Add(reconcileDelay)
		clear(i.unconfirmed)
		time.AfterFunc(reconcileDelay, func() { i.reconcile(at.Era()) })
		_ = level.Warn(i.logger).Log("msg", "decision", "kind", "store restored", "era_before", known.Era(), "era", at.Era(),
			"revision", at.Revision(), "known", len(i.servers), "gone", len(i.gone))
	}
}

// isCurrent reports whether a daemon with this restored position knows the current era.
func (i *Inventory) isCurrent(restored store.Position) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return restored.Era() >= i.restored.Era()
}

// isUnconfirmed reports whether a record may come from the copy and be older than the
// known record, which is of an earlier era. server is the known backend server, nil if it
// was removed. A record that starts draining, or is of another incarnation, is never
// unconfirmed.
func (i *Inventory) isUnconfirmed(r ServerRecord, known store.Position, server *site.BackendServer) bool {
	if r.Gone || r.Err != nil || r.At > i.restored || !time.Now().Before(i.reconcileAt) {
		return false
	}
	if r.At.Era() <= known.Era() {
		return false
	}
	if server == nil {
		return r.At.Revision() <= known.Revision()
	}
	changed := r.Server.ID != server.ID || r.Server.Draining && !server.Draining
	return !changed && r.At.Revision() < known.Revision()
}

// isAwaited reports whether a record that was written at a position of an earlier era and
// is missing now may be written again.
func (i *Inventory) isAwaited(at store.Position) bool {
	return at.Era() < i.restored.Era() && time.Now().Before(i.reconcileAt)
}

// reconcile applies the unconfirmed records, and drops known ones that were not written
// again in the era.
func (i *Inventory) reconcile(era uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.restored.Era() != era {
		return // the store was restored again
	}
	i.reconcileAt = time.Time{}
	unconfirmed := i.unconfirmed
	i.unconfirmed = map[string]ServerRecord{}
	for _, r := range unconfirmed {
		i.applyRecord(r)
	}
	missing := 0
	for id, r := range i.servers {
		if r.at.Era() < era {
			i.markMissing(id, store.At(era, 0))
			missing++
		}
	}
	_ = level.Info(i.logger).Log("msg", "decision", "kind", "store settled", "era", era, "doubted", len(unconfirmed), "missing", missing)
	i.publishServers()
}

// noteStored records the newest version of the configuration read from the store.
func (i *Inventory) noteStored(items []ConfigRecord) {
	for _, c := range items {
		i.storedVersion = max(i.storedVersion, c.Config.Version)
	}
}

// storeBehind reports whether the store lacks the configuration in force after a restore.
// Then its answers do not prove that no newer configuration exists.
func (i *Inventory) storeBehind(inForce *site.Config) bool {
	return inForce != nil && i.storedVersion < inForce.Version
}
