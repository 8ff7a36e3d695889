package inventory

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
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
	// doubtedUntil is when a configuration read from the store of this era counts as current, unless that
	// is shown before; zero if it does.
	doubtedUntil time.Time
}

// maxProofAge is the age of a proof that the configuration is current up to which the configuration in
// force before a restore is the newest one that was acknowledged. It allows for the time between two
// proofs and for the absence of the store.
const maxProofAge = 3500 * time.Millisecond

func newEraState() eraState { return eraState{unconfirmed: map[string]ServerRecord{}} }

// noteEra records a position at which the store was read. In a new era it starts the
// reconciliation. The caller holds i.mu.
func (i *Inventory) noteEra(at store.Position) {
	known := i.restored
	switch {
	case at == 0 || at.Era() < known.Era():
	case known == 0:
		i.restored = at
		if at.Era() > store.FirstEra {
			i.doubtConfig()
		}
	case at.Era() == known.Era():
		i.restored = min(known, at)
	default:
		i.restored, i.storedVersion, i.state = at, 0, nil
		i.reconcileAt = time.Now().Add(reconcileDelay)
		clear(i.unconfirmed)
		i.doubtConfig()
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

// doubtConfig withholds proofs by the store that the configuration is current: the copy from which it was
// restored may lack the newest one, and this daemon does not know that one if it had no recent proof.
func (i *Inventory) doubtConfig() {
	if i.fresh.IsZero() || boottime.Since(i.fresh) > maxProofAge {
		i.doubtedUntil = time.Now().Add(reconcileDelay)
	}
}

// DoubtsConfig reports whether the store may lack the newest configuration, since it was restored
// from a copy and this daemon had no recent proof before.
func (i *Inventory) DoubtsConfig() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.doubtsConfig()
}

func (i *Inventory) doubtsConfig() bool { return time.Now().Before(i.doubtedUntil) }

// ApplyConfirmed applies the configuration in force at another daemon, which was known to be current
// before age.
func (i *Inventory) ApplyConfirmed(config []byte, age time.Duration) {
	i.Apply(Update{Config: config})
	i.mu.Lock()
	defer i.mu.Unlock()
	if age <= maxProofAge && i.doubtsConfig() {
		i.doubtedUntil = time.Time{}
		_ = level.Info(i.logger).Log("msg", "decision", "kind", "configuration confirmed", "by", "another daemon", "age", age)
	}
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
