package inventory

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/store"
)

// A store that comes back from an older copy has lost what was written last. Those who
// wrote it write it again, within a heartbeat or two. Until then the copy says less than
// this daemon knows: a backend server that has left is there again, one that drains is
// ready, one that has just registered is missing. What is known from before stands until
// the store has had the time to tell it again.

// settleAfter is how long what was known before the store came back from a copy goes
// before what the copy says. A record that is not written lapses after three heartbeats
// of 1.2 s, so after it a record is one that its backend server has written since.
const settleAfter = 5 * time.Second

// eraState is what an inventory keeps of the store's present era.
type eraState struct {
	// restored is where the history of the store's present era begins for this daemon:
	// the lowest position at which it, or the daemon that it follows, has read the store
	// in it. What was written up to there may come from the copy.
	restored store.Position
	settles  time.Time               // until then records of the copy are doubted, zero for never
	doubted  map[string]ServerRecord // of the copy, older than what is known, by ID
	stored   uint64                  // newest version of the configuration that the store has told in this era
}

func newEraState() eraState { return eraState{doubted: map[string]ServerRecord{}} }

// noteEra takes a position at which the store was read. The caller holds the lock.
func (i *Inventory) noteEra(at store.Position) {
	known := i.restored
	switch {
	case at == 0 || at.Era() < known.Era():
	case known == 0:
		i.restored = at
	case at.Era() == known.Era():
		i.restored = min(known, at)
	default:
		i.restored, i.stored, i.state = at, 0, nil
		i.settles = time.Now().Add(settleAfter)
		clear(i.doubted)
		time.AfterFunc(settleAfter, func() { i.settle(at.Era()) })
		_ = level.Warn(i.logger).Log("msg", "decision", "kind", "store restored", "era_before", known.Era(), "era", at.Era(),
			"revision", at.Revision(), "known", len(i.servers), "gone", len(i.gone))
	}
}

// isCurrent reports whether a daemon whose history of the store's era begins at a
// position knows the present era.
func (i *Inventory) isCurrent(restored store.Position) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return restored.Era() >= i.restored.Era()
}

func (i *Inventory) noteListed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.listed, i.state = true, nil
}

// doubts reports whether a record may come from the copy and be older than what is known
// at a position of the era before, of a backend server that is there or, nil, has left.
// That one drains is believed in any case.
func (i *Inventory) doubts(r ServerRecord, known store.Position, server *site.BackendServer) bool {
	if r.Gone || r.Err != nil || r.At > i.restored || !time.Now().Before(i.settles) {
		return false
	}
	if r.At.Era() <= known.Era() {
		return false
	}
	if server == nil {
		return r.At.Revision() <= known.Revision()
	}
	news := r.Server.ID != server.ID || r.Server.Draining && !server.Draining
	return !news && r.At.Revision() < known.Revision()
}

// awaited reports whether a record that was written at a position and is missing now may
// be written again.
func (i *Inventory) awaited(at store.Position) bool {
	return at.Era() < i.restored.Era() && time.Now().Before(i.settles)
}

// settle takes what was doubted as the store tells it, and drops what was not written
// again.
func (i *Inventory) settle(era uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.restored.Era() != era {
		return // the store came back from a copy once more
	}
	i.settles = time.Time{}
	doubted := i.doubted
	i.doubted = map[string]ServerRecord{}
	for _, r := range doubted {
		i.takeRecord(r)
	}
	now, missing := time.Now(), 0
	for id, r := range i.servers {
		if r.at.Era() < era {
			i.lapseOne(id, 0, now)
			missing++
		}
	}
	_ = level.Info(i.logger).Log("msg", "decision", "kind", "store settled", "era", era, "doubted", len(doubted), "missing", missing)
	i.publishServers()
}

// noteStored keeps the newest version of the configuration that the store has told.
func (i *Inventory) noteStored(items []ConfigRecord) {
	for _, c := range items {
		i.stored = max(i.stored, c.Config.Version)
	}
}

// storeBehind reports whether the store, having come back from a copy, lacks the
// configuration in force: its answers are no proof then that there is no newer one, since
// it may lack that as well.
func (i *Inventory) storeBehind(inForce *site.Config) bool {
	return inForce != nil && i.stored < inForce.Version
}
