package inventory

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/store"
)

// Entry is the record of a backend server as it lies in the store.
type Entry struct {
	Raw    []byte
	At     store.Position // of its last change
	Lapsed bool           // missing after an outage of the store, and kept for a moment
	// Server is the ID of the incarnation, which is not passed on.
	Server string `cbor:"-"`
}

// State is what a daemon passes on to another: the configuration in force and
// the backend servers, undecoded.
type State struct {
	ConfigVersion uint64 // 0 for none
	Config        []byte
	Servers       map[string]Entry
	// Complete says that a full list of the backend servers has come at least once:
	// before, one that is missing is not gone.
	Complete bool
	// Restored is where the store's history began for this daemon in its present era,
	// see Inventory.
	Restored store.Position
}

// State returns what is known now. It is immutable and made once a change, as
// many daemons may ask for it.
func (i *Inventory) State() *State {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state != nil {
		return i.state
	}
	s := &State{Config: i.rawConfig, Complete: i.listed, Restored: i.restored, Servers: make(map[string]Entry, len(i.servers))}
	if c := i.view.Load().Config; c != nil {
		s.ConfigVersion = c.Version
	}
	for id, r := range i.servers {
		s.Servers[id] = Entry{Raw: r.raw, At: r.at, Lapsed: !r.lapsedAt.IsZero(), Server: r.server.ID}
	}
	i.state = s
	return s
}

// Update is what changed at the daemon that passes its state on.
type Update struct {
	Config  []byte // nil when unchanged
	Servers map[string]Entry
	Gone    []string
	Full    bool // Servers are all that exist
	// Restored is that of the daemon's State, 0 for unchanged. It says which era the
	// daemon knows.
	Restored store.Position
}

// Apply takes an update of another daemon. Nothing goes back: a configuration or
// a record counts only if it is newer than what is known, and a daemon that has not
// heard of the store's present era does not know what is gone in it.
func (i *Inventory) Apply(u Update) {
	if u.Config != nil {
		c, err := i.feed.DecodeConfig(u.Config)
		if err != nil {
			_ = level.Error(i.logger).Log("msg", "configuration ignored", "err", err)
		} else {
			i.takeConfig(Read[ConfigRecord]{Items: []ConfigRecord{{Raw: u.Config, Config: c}}}, time.Time{})
		}
	}
	records := make([]ServerRecord, 0, len(u.Servers)+len(u.Gone))
	var lapsed []string
	for id, e := range u.Servers {
		if e.Lapsed {
			lapsed = append(lapsed, id)
			continue
		}
		r := ServerRecord{ID: id, At: e.At, Raw: e.Raw}
		if r.Server = i.sameAs(id, e.At); r.Server == nil {
			r.Server, r.Err = i.feed.DecodeServer(id, e.Raw)
		}
		records = append(records, r)
	}
	current := i.isCurrent(u.Restored)
	if current {
		for _, id := range u.Gone {
			records = append(records, ServerRecord{ID: id, Gone: true, At: whateverKnown})
		}
	}
	i.takeServers(u.Restored, records, u.Full && current)
	if u.Full && !current {
		i.noteListed()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, id := range lapsed {
		i.lapseOne(id, 0, time.Now())
	}
	i.state = nil
}

// sameAs returns a backend server if its record is known at this position: most
// of a full state is known to a daemon that only changes its source.
func (i *Inventory) sameAs(id string, at store.Position) *site.BackendServer {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r, known := i.servers[id]; known && r.at == at {
		return r.server
	}
	return nil
}

// Vouch says that no newer configuration than the one in force existed at fresh.
func (i *Inventory) Vouch(version uint64, fresh time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := i.view.Load().Config
	if c != nil && c.Version >= version && fresh.After(i.fresh) {
		i.fresh = fresh
	}
}
