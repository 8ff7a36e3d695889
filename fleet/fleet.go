// Package fleet holds what is known of the backend servers at this moment: what
// they report to hold, whether they are leaving, how healthy they look and how
// loaded they are. Configuration comes from package catalog; this is the state
// beside it. Hot counters are atomic; structural changes bump a version, by
// which routing knows that its plans are old.
package fleet

import (
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// maxReported bounds the reports kept of backend servers, configured or not.
const maxReported = 10000

// capacityChange is the relative change of a learnt capacity that makes plans old.
const capacityChange = 0.1

// reported is what an engine last said, ordered by boot and sequence.
type reported struct {
	boot, seq uint64
	holdings  []backend.Holding
	role      backend.Role
	leaving   bool
	fencing   uint64
}

// Table is the mutable state; it is safe for concurrent use.
type Table struct {
	version atomic.Uint64
	view    atomic.Pointer[View]

	mu       sync.Mutex
	servers  map[string]*Server
	config   map[string]*topology.BackendServer
	reported map[string]reported
	vmLeft   map[string]bool // leaving by the VM list
	ejected  map[string]bool
	leftAt   map[string]time.Time // since when a backend server is known to leave
	links    map[linkKey]float64
	live     map[linkKey]*Link
	notify   chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		servers:  map[string]*Server{},
		config:   map[string]*topology.BackendServer{},
		reported: map[string]reported{},
		vmLeft:   map[string]bool{},
		ejected:  map[string]bool{},
		leftAt:   map[string]time.Time{},
		links:    map[linkKey]float64{},
		live:     map[linkKey]*Link{},
		notify:   make(chan struct{}),
	}
	t.view.Store(&View{})
	return t
}

// Version grows with every structural change.
func (t *Table) Version() uint64 { return t.version.Load() }

// View returns the current picture.
func (t *Table) View() *View { return t.view.Load() }

// Changed returns a channel that is closed at the next structural change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.notify
}

// Server returns the live state of a backend server, or nil.
func (t *Table) Server(name string) *Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servers[name]
}

// SetConfig takes the backend servers of the configuration in force.
func (t *Table) SetConfig(servers map[string]*topology.BackendServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config = servers
	for name := range servers {
		if t.servers[name] == nil {
			t.servers[name] = newServer(name)
		}
	}
	for name, s := range t.servers {
		if servers[name] == nil && s.inFlight.Load() == 0 {
			delete(t.servers, name)
			delete(t.reported, name)
		}
	}
	t.publish()
}

func newServer(name string) *Server {
	s := &Server{name: name}
	s.weight.Store(math.Float64bits(1))
	return s
}

// ApplyStatus takes an engine's report. A report older than the one held, by
// the engine's boot and sequence numbers, changes no structure. It returns
// whether the structure changed.
func (t *Table) ApplyStatus(st backend.Status, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	s := t.servers[st.BackendServer]
	if s != nil {
		s.Report(st.InFlight, now.Add(-time.Duration(st.LoadAge*float64(time.Second))))
		changed = t.learn(s, st.Capacity)
	} else if len(t.reported) >= maxReported {
		return false
	}
	// A report may arrive before the configuration that names its backend server.
	old, known := t.reported[st.BackendServer]
	newer := !known || st.Boot > old.boot || st.Boot == old.boot && st.Seq > old.seq
	if newer {
		t.reported[st.BackendServer] = reported{
			boot: st.Boot, seq: st.Seq, holdings: st.Holdings, role: st.Role,
			leaving: st.Leaving, fencing: st.Fencing,
		}
	}
	if newer || changed {
		t.publish()
	}
	return newer
}

// Learn takes a capacity in tokens per second measured by an engine.
func (t *Table) Learn(server string, capacity float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[server]; s != nil && t.learn(s, capacity) {
		t.publish()
	}
}

func (t *Table) learn(s *Server, capacity float64) bool {
	if capacity <= 0 {
		return false
	}
	old := math.Float64frombits(s.learnt.Load())
	if old > 0 && math.Abs(capacity-old) <= capacityChange*old {
		return false
	}
	s.learnt.Store(math.Float64bits(capacity))
	return true
}

// SetVMs takes the platform's VM list. A VM stands for the backend server of
// the same name.
func (t *Table) SetVMs(vms []store.VM) {
	left := map[string]bool{}
	for _, v := range vms {
		if v.State == store.VMLeaving {
			left[v.Name] = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if sameSet(t.vmLeft, left) {
		return
	}
	t.vmLeft = left
	t.publish()
}

func sameSet(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for k := range a {
		if !b[k] {
			return false
		}
	}
	return true
}

// SetHealth takes the health decider's word on a backend server.
func (t *Table) SetHealth(server string, ejected bool, weight float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return
	}
	s.weight.Store(math.Float64bits(weight))
	if t.ejected[server] == ejected {
		return
	}
	if ejected {
		t.ejected[server] = true
	} else {
		delete(t.ejected, server)
	}
	t.publish()
}

// TrackLink returns the live state of a link and counts its requests from now on.
func (t *Table) TrackLink(from, to string) *Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := linkKey{from, to}
	if t.live[k] == nil {
		t.live[k] = &Link{}
	}
	return t.live[k]
}

// Link returns the live state of a link, or nil when it is not tracked.
func (t *Table) Link(from, to string) *Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live[linkKey{from, to}]
}

// SetLinkFactor takes the share of its capacity that a link has now.
func (t *Table) SetLinkFactor(from, to string, factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := linkKey{from, to}
	old, ok := t.links[k]
	if !ok {
		old = 1
	}
	if old == factor {
		return
	}
	if factor >= 1 {
		delete(t.links, k)
	} else {
		t.links[k] = factor
	}
	t.publish()
}

// Leaving reports whether the backend server leaves by configuration, by the
// VM list or by its own word. Ejection is not leaving.
func (t *Table) Leaving(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving(server)
}

func (t *Table) leaving(server string) bool {
	c := t.config[server]
	if c == nil || c.Draining() || t.reported[server].leaving {
		return true
	}
	return t.vmLeft[server]
}

// noteLeaving reports whether a backend server leaves and notes since when.
func (t *Table) noteLeaving(name string) bool {
	if !t.leaving(name) {
		delete(t.leftAt, name)
		return false
	}
	if t.leftAt[name].IsZero() {
		t.leftAt[name] = time.Now()
	}
	return true
}

// LeavingFor returns how long a backend server is known to leave, 0 if it does not.
func (t *Table) LeavingFor(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, leaves := t.leftAt[name]
	if !leaves {
		return 0
	}
	return max(time.Since(at), 1)
}

// Reports returns the structure that the engines last reported, without loads.
func (t *Table) Reports() []backend.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]backend.Status, 0, len(t.reported))
	for name, r := range t.reported {
		out = append(out, backend.Status{
			BackendServer: name, Boot: r.boot, Seq: r.seq, Holdings: r.holdings, Role: r.role, Leaving: r.leaving, Fencing: r.fencing,
		})
	}
	return out
}

// VMLeaving reports whether the platform's VM list says that a VM leaves.
func (t *Table) VMLeaving(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.vmLeft[name]
}

// Fencing returns the highest fencing number that the engine reported.
func (t *Table) Fencing(server string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reported[server].fencing
}

// publish builds a new view. The caller holds the lock. Usable flags are set
// before the view is published, so a plan built from the view never finds a
// flag that is older than the view.
func (t *Table) publish() {
	links := make(map[linkKey]float64, len(t.links))
	for k, f := range t.links {
		links[k] = f
	}
	v := &View{Version: t.version.Load() + 1, links: links}
	for name, s := range t.servers {
		c := t.config[name]
		usable := c != nil && !t.noteLeaving(name) && !t.ejected[name]
		s.usable.Store(usable)
		if c == nil {
			continue
		}
		v.Servers = append(v.Servers, t.info(c, s, usable))
	}
	sort.Slice(v.Servers, func(i, j int) bool { return v.Servers[i].Config.Name < v.Servers[j].Config.Name })
	t.view.Store(v)
	t.version.Store(v.Version)
	close(t.notify)
	t.notify = make(chan struct{})
}

func (t *Table) info(c *topology.BackendServer, s *Server, usable bool) Info {
	r := t.reported[c.Name]
	capacity := math.Float64frombits(s.learnt.Load())
	if capacity <= 0 {
		capacity = c.TokensPerSecond
	}
	return Info{Config: c, Live: s, Holdings: r.holdings, Role: r.role, Usable: usable, Capacity: capacity}
}
