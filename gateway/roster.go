package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/relay"
	"github.com/snowspoke/snowspoke/store"
)

// The roster is one small object with the daemons of the fleet. A daemon that restarts
// finds its source in it and receives the current list from there. If all daemons are
// restarted together and each lists the records of all others, the bytes that the store
// sends grow with the square of the fleet and delay the configuration.

const (
	kindRoster = "snowspoke-rosters"
	rosterName = "daemons"
	// rosterInterval is the least time between two writes of the roster.
	rosterInterval = 10 * time.Second
)

// errNotInRoster is returned for a roster that lacks this daemon.
var errNotInRoster = errors.New("gateway: the roster lacks this daemon")

// readRoster sets the list of the daemons from the roster. It returns errNotInRoster if the
// roster lacks this daemon, and an error of the store or of the decoder otherwise.
func (m *members) readRoster(ctx context.Context) error {
	o, err := m.store.GetStale(ctx, kindRoster, rosterName)
	if err != nil {
		return err
	}
	all, err := relay.DecodeMembers(o.Spec)
	if err != nil {
		return err
	}
	if !slices.Contains(all, m.self) {
		return errNotInRoster
	}
	m.rosterWritten, m.rosterVersion = all, o.Version
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.era, m.lastListed = max(m.era, o.Version.Era()), now
	m.recordAssumed, m.joinedAt = true, now
	m.set(all)
	return nil
}

// writeRoster writes the roster if this daemon maintains it and the list has changed.
func (m *members) writeRoster(ctx context.Context) {
	all, due := m.rosterDue(time.Now())
	if !due {
		return
	}
	spec, err := relay.EncodeMembers(all)
	if err == nil {
		err = m.putRoster(ctx, spec)
	}
	if err != nil {
		_ = level.Warn(m.logger).Log("msg", "roster not written", "err", err)
		return
	}
	m.rosterWritten = all
	_ = level.Info(m.logger).Log("msg", "roster written", "daemons", len(all), "bytes", len(spec))
}

// rosterDue returns the list of the daemons, and whether it must be written. The leading
// daemon of the first failure domain maintains the roster.
func (m *members) rosterDue(now time.Time) (all []relay.Member, due bool) {
	if m.relay == nil || !m.relay.Leading() || now.Sub(m.rosterTriedAt) < rosterInterval {
		return nil, false
	}
	all = m.All()
	isEarlier := func(o relay.Member) bool { return o.Domain < m.self.Domain }
	if slices.ContainsFunc(all, isEarlier) || slices.Equal(all, m.rosterWritten) {
		return nil, false
	}
	m.rosterTriedAt = now
	return all, true
}

// putRoster writes the roster over the version last written or, if that is not the current
// one, over the one in the store.
func (m *members) putRoster(ctx context.Context, spec []byte) error {
	v, err := m.store.Put(ctx, kindRoster, rosterName, spec, m.rosterVersion)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrAmbiguous) {
		o, gerr := m.store.Get(ctx, kindRoster, rosterName)
		if gerr != nil && !errors.Is(gerr, store.ErrNotFound) {
			return gerr
		}
		m.rosterVersion = 0
		if gerr == nil {
			m.rosterVersion = o.Version
		}
		v, err = m.store.Put(ctx, kindRoster, rosterName, spec, m.rosterVersion)
	}
	if err != nil {
		return err
	}
	m.rosterVersion = v
	return nil
}
