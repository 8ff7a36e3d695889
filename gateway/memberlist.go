package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/store"
)

// Daemons implements forward.Fleet; before the first list it is 0.
func (m *members) Daemons() int { return int(m.alive.Load()) }

// Shares implements forward.Fleet.
func (m *members) Shares() map[string]float64 {
	all := m.All()
	out := map[string]float64{}
	for _, d := range all {
		out[d.Domain] += 1 / float64(len(all))
	}
	if len(out) == 0 {
		out[m.self.Domain] = 1
	}
	return out
}

// rankWithoutList is the rank of a daemon that knows no other, so that it does not take itself for
// the first.
const rankWithoutList = 30

// rank returns the position of this daemon in an order of all daemons that depends on the key, as
// forward.Dependencies.TrialRank does.
func (m *members) rank(key uint64) int {
	all := m.All()
	if len(all) == 0 {
		return rankWithoutList
	}
	names := make([]string, len(all))
	for i, d := range all {
		names[i] = d.Name
	}
	return quarantine.Rank(m.self.Name, names, key)
}

// All implements relay.Members.
func (m *members) All() []relay.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all
}

// Era implements relay.Members.
func (m *members) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Changed implements relay.Members.
func (m *members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// ListedAt implements relay.Members.
func (m *members) ListedAt() store.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listedAt
}

// Joined reports whether all other daemons count this one.
func (m *members) Joined() bool {
	listedByAll := store.Position(0)
	if m.relay != nil {
		listedByAll = m.relay.ListedByAll()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.recordAt > 0 && m.recordAt <= listedByAll && (m.joinedAt.IsZero() || now.Before(m.joinedAt)) {
		m.joinedAt = now
	}
	return !m.joinedAt.IsZero() && !now.Before(m.joinedAt)
}

// Apply implements relay.Members. A list that lacks this daemon is completed. One of an
// earlier era than the last list is ignored.
func (m *members) Apply(all []relay.Member, era uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era < m.era {
		return
	}
	now := time.Now()
	m.relayedEra = max(m.relayedEra, era)
	at, listed := slices.BinarySearchFunc(all, m.self.Name, func(o relay.Member, name string) int { return strings.Compare(o.Name, name) })
	if listed {
		m.unlisted = time.Time{}
		m.noteListed(len(all), now)
	} else {
		if m.unlisted.IsZero() {
			m.unlisted = now
		}
		if m.recordAssumed {
			m.noteMissing()
			m.wake(0)
		}
		all = slices.Insert(slices.Clone(all), at, m.self)
	}
	m.set(all)
}

// set sets the list of the daemons. m.mu is held.
func (m *members) set(all []relay.Member) {
	if slices.Equal(all, m.all) {
		return
	}
	_ = level.Info(m.logger).Log("msg", "daemons", "count", len(all), "before", len(m.all), "era", m.era)
	m.all = all
	m.alive.Store(int64(max(1, len(all))))
	m.notify()
}

// notify closes the channel of Changed. m.mu is held.
func (m *members) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// noteListed records that a list contains this daemon. m.mu is held.
func (m *members) noteListed(daemons int, now time.Time) {
	if m.joinedAt.IsZero() {
		m.joinedAt = now.Add(joinDelay(daemons))
	}
}

// noteMissing records that a list lacks this daemon. If only the roster had it, the others
// do not count it. m.mu is held.
func (m *members) noteMissing() {
	if m.recordAssumed {
		m.recordAssumed, m.joinedAt = false, time.Time{}
	}
}

// listDue reports whether this daemon must list the others itself. A daemon that receives
// the list from a source does so only if the source does not list this daemon, or knows
// that the store was restored and may lack its record.
func (m *members) listDue(now time.Time) bool {
	daemons := m.Daemons()
	leads, receives := false, false
	if m.relay != nil {
		leads, receives = m.relay.Leading(), m.relay.ReceivesMembers()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	since := now.Sub(m.lastListed)
	switch {
	case daemons == 0:
		return since >= listRetryInterval
	case leads:
		return since >= leaderListInterval(daemons)
	case receives && m.relayedEra <= m.era:
		return !m.unlisted.IsZero() && min(since, now.Sub(m.unlisted)) >= listInterval(daemons)
	}
	return since >= listInterval(daemons)
}

// list reads the records of all daemons. On an error the last list stays.
func (m *members) list(ctx context.Context, fresh bool) {
	objects, err := m.store.List(ctx, kindDaemon, fresh)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.lastListed = now
	if err != nil {
		_ = level.Warn(m.logger).Log("msg", "listing daemons failed, keeping the last list", "err", err)
		return
	}
	if !m.noteEra(objects, now) {
		return // older than the last list
	}
	seen := map[string]seenMember{}
	var all []relay.Member
	ttl := memberTTL(len(objects))
	for _, o := range objects {
		var spec memberSpec
		if err := cbor.Unmarshal(o.Spec, &spec); err != nil {
			_ = level.Error(m.logger).Log("msg", "invalid daemon record ignored", "name", o.Name, "err", err)
			continue
		}
		s, known := m.seen[o.Name]
		if !known || s.spec != spec {
			s = seenMember{spec: spec, firstSeen: now}
		}
		seen[o.Name] = s
		m.adopt(o, spec)
	}
	if now.Before(m.keepUntil) {
		m.keepMissing(seen)
	}
	for _, name := range slices.Sorted(maps.Keys(seen)) {
		s := seen[name]
		if now.Sub(s.firstSeen) < ttl {
			all = append(all, relay.Member{Name: name, Domain: s.spec.Domain, Address: s.spec.Address, FanOut: s.spec.FanOut})
		}
	}
	m.seen = seen
	if _, listed := seen[m.self.Name]; listed {
		m.noteListed(len(all), now)
	} else {
		m.noteMissing()
	}
	m.recordAssumed = false
	m.set(all)
	m.alive.Store(int64(max(1, len(all))))
	m.noteListedAt(objects)
}

// noteListedAt records the position of a list. m.mu is held.
func (m *members) noteListedAt(objects []store.Object) {
	before := m.listedAt
	for _, o := range objects {
		m.listedAt = max(m.listedAt, o.Version)
	}
	if m.listedAt != before {
		m.notify()
	}
}

// noteEra records the era of a list and reports whether it is the current one. A store
// that was restored from an older copy lacks the records of daemons that started later
// until they write them again, each at its next list. Until then known members are kept.
func (m *members) noteEra(objects []store.Object, now time.Time) (current bool) {
	era := uint64(0)
	for _, o := range objects {
		era = max(era, o.Version.Era())
	}
	if era < m.era {
		return false
	}
	if len(m.seen) > 0 && era > m.era {
		m.keepUntil = now.Add(2 * listInterval(len(m.seen)))
		if m.version.Era() < era {
			m.version = 0 // unless the list has the record, which is adopted then
		}
		_ = level.Warn(m.logger).Log("msg", "decision", "kind", "daemons restored", "era_before", m.era, "era", era, "listed", len(objects), "known", len(m.seen))
	}
	m.era = era
	return true
}

// keepMissing adds the known daemons that seen lacks.
func (m *members) keepMissing(seen map[string]seenMember) {
	for name, s := range m.seen {
		if _, listed := seen[name]; !listed {
			seen[name] = s
		}
	}
}

// hasSeen reports whether the last list contained the daemon with this name.
func (m *members) hasSeen(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.seen[name]
	return known
}
