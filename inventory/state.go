package inventory

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/site"
	"github.com/snowspoke/snowspoke/store"
)

// Entry is the stored record of a backend server.
type Entry struct {
	Raw    []byte
	At     store.Position // of its last change
	Lapsed bool           // missing after an outage of the store, and kept for MissingGrace
	// Server is the ID of the incarnation. It is not sent to other daemons.
	Server string `cbor:"-"`
}

// State is what a daemon sends to its followers: the configuration in force and the
// backend servers, undecoded.
type State struct {
	ConfigVersion uint64 // 0 for none
	Config        []byte
	Servers       map[string]Entry
	// Complete is set once a full list of the backend servers was received. Until then a
	// missing one may exist.
	Complete bool
	// Restored is the lowest position at which the daemon has read the store in its current
	// era.
	Restored store.Position
	// At is the position up to which the backend servers are known, 0 if unknown. A record that
	// is missing has not been written, or has been removed, up to it.
	At store.Position
}

// State returns the current state. It is immutable, and cached until the next change,
// since many followers may request it.
func (i *Inventory) State() *State {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state != nil {
		return i.state
	}
	s := &State{Config: i.rawConfig, Complete: i.listed, Restored: i.restored, At: i.readAt, Servers: make(map[string]Entry, len(i.servers))}
	if c := i.view.Load().Config; c != nil {
		s.ConfigVersion = c.Version
	}
	for id, r := range i.servers {
		s.Servers[id] = Entry{Raw: r.raw, At: r.at, Lapsed: !r.missingSince.IsZero(), Server: r.server.ID}
	}
	i.state = s
	return s
}

// Update is a change of state that a daemon sends to its followers.
type Update struct {
	Config  []byte // nil when unchanged
	Servers map[string]Entry
	Gone    []string
	Full    bool // Servers holds all backend servers
	// Restored is State.Restored of the sender, 0 for unchanged. It shows which era the
	// sender knows.
	Restored store.Position
	// At is State.At of the sender.
	At store.Position
}

// Apply applies an update of another daemon. A configuration or a record counts only if
// it is newer than the known one, and removals only if the sender knows the store's
// current era.
func (i *Inventory) Apply(u Update) {
	if u.Config != nil {
		c, err := i.feed.DecodeConfig(u.Config)
		if err != nil {
			_ = level.Error(i.logger).Log("msg", "configuration ignored", "err", err)
		} else {
			i.applyConfig(Read[ConfigRecord]{Items: []ConfigRecord{{Raw: u.Config, Config: c}}}, true, time.Time{})
		}
	}
	records := make([]ServerRecord, 0, len(u.Servers)+len(u.Gone))
	var missing []string
	for id, e := range u.Servers {
		if e.Lapsed {
			missing = append(missing, id)
			continue
		}
		r := ServerRecord{ID: id, At: e.At, Raw: e.Raw}
		if r.Server = i.knownAt(id, e.At); r.Server == nil {
			r.Server, r.Err = i.feed.DecodeServer(id, e.Raw)
		}
		records = append(records, r)
	}
	current := i.isCurrent(u.Restored)
	if current {
		for _, id := range u.Gone {
			records = append(records, ServerRecord{ID: id, Gone: true, At: maxPosition})
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.noteEra(u.Restored)
	// The sender keeps these records, so that they are not taken for left when its list is applied.
	for _, id := range missing {
		i.markMissing(id, 0)
	}
	at := u.At
	if !current {
		at = 0
	}
	i.applyRecords(at, records, u.Full && current)
	i.listed = i.listed || u.Full
	i.state = nil
}

// knownAt returns a backend server if its record is known at this position, else nil. It
// saves decoding when a daemon changes its source and receives a mostly known state.
func (i *Inventory) knownAt(id string, at store.Position) *site.BackendServer {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r, known := i.servers[id]; known && r.at == at {
		return r.server
	}
	return nil
}

// ConfirmFresh records that no configuration newer than version existed at fresh. It has
// no effect if the configuration in force is older than version.
func (i *Inventory) ConfirmFresh(version uint64, fresh time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := i.view.Load().Config
	if c != nil && c.Version >= version && fresh.After(i.fresh) {
		i.fresh = fresh
	}
}
