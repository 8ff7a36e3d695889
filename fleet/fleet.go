// Package fleet holds the current state of the backend servers: their reported
// holdings, whether they are leaving, their health and their load. Their
// configuration comes from package catalog. Counters that requests update are
// atomic. Structural changes increment a version, which tells routing that its
// plans are out of date.
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

// maxReported bounds the number of backend servers whose reports are kept,
// configured or not.
const maxReported = 10000

// capacityChange is the relative change of a measured capacity that makes plans
// out of date.
const capacityChange = 0.1

// reported is the latest report of an engine. Reports are ordered by boot and
// sequence number.
type reported struct {
	boot, seq uint64
	holdings  []backend.Holding
	role      backend.Role
	leaving   bool
	fencing   uint64
}

// Table is the mutable state of the fleet. It is safe for concurrent use.
type Table struct {
	version atomic.Uint64
	view    atomic.Pointer[View]

	mu           sync.Mutex
	servers      map[string]*Server
	config       map[string]*topology.BackendServer
	reported     map[string]reported
	vmsLeaving   map[string]bool // leaving according to the VM list
	ejected      map[string]bool
	leavingSince map[string]time.Time // when a backend server was first known to be leaving
	linkFactors  map[linkKey]float64
	trackedLinks map[linkKey]*Link
	notify       chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		servers:      map[string]*Server{},
		config:       map[string]*topology.BackendServer{},
		reported:     map[string]reported{},
		vmsLeaving:   map[string]bool{},
		ejected:      map[string]bool{},
		leavingSince: map[string]time.Time{},
		linkFactors:  map[linkKey]float64{},
		trackedLinks: map[linkKey]*Link{},
		notify:       make(chan struct{}),
	}
	t.view.Store(&View{})
	return t
}

// Version increases with every structural change.
func (t *Table) Version() uint64 { return t.version.Load() }

// View returns the current view of the fleet.
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

// SetConfig replaces the configured backend servers. The state of a server that
// is no longer configured is kept while it has requests in flight.
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

// ApplyStatus applies an engine's report and returns whether it is newer than the
// current one, by the engine's boot and sequence numbers. If it is not newer, only
// its load and capacity are used.
func (t *Table) ApplyStatus(st backend.Status, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	s := t.servers[st.BackendServer]
	if s != nil {
		s.ApplyLoad(st.InFlight, now.Add(-time.Duration(st.LoadAge*float64(time.Second))))
		changed = t.setMeasured(s, st.Capacity)
	} else if len(t.reported) >= maxReported {
		return false
	}
	// A report may arrive before the configuration of its backend server.
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

// Boot returns the boot that an engine last reported, 0 if none is known.
func (t *Table) Boot(server string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reported[server].boot
}

// SetCapacity sets the capacity, in tokens per second, that an engine measured.
func (t *Table) SetCapacity(server string, capacity float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[server]; s != nil && t.setMeasured(s, capacity) {
		t.publish()
	}
}

func (t *Table) setMeasured(s *Server, capacity float64) bool {
	if capacity <= 0 {
		return false
	}
	old := math.Float64frombits(s.measured.Load())
	if old > 0 && math.Abs(capacity-old) <= capacityChange*old {
		return false
	}
	s.measured.Store(math.Float64bits(capacity))
	return true
}

// SetVMs applies the platform's VM list. A VM corresponds to the backend server
// of the same name.
func (t *Table) SetVMs(vms []store.VM) {
	left := map[string]bool{}
	for _, v := range vms {
		if v.State == store.VMLeaving {
			left[v.Name] = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if sameSet(t.vmsLeaving, left) {
		return
	}
	t.vmsLeaving = left
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

// SetHealth applies the health decision on a backend server.
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

// TrackLink returns the live state of a link and creates it if needed.
func (t *Table) TrackLink(from, to string) *Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := linkKey{from, to}
	if t.trackedLinks[k] == nil {
		t.trackedLinks[k] = &Link{}
	}
	return t.trackedLinks[k]
}

// Link returns the live state of a link, or nil if it is not tracked.
func (t *Table) Link(from, to string) *Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.trackedLinks[linkKey{from, to}]
}

// SetLinkFactor sets the fraction of its capacity that a link has now. A factor of 1
// or more removes the limitation.
func (t *Table) SetLinkFactor(from, to string, factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := linkKey{from, to}
	old, ok := t.linkFactors[k]
	if !ok {
		old = 1
	}
	if old == factor {
		return
	}
	if factor >= 1 {
		delete(t.linkFactors, k)
	} else {
		t.linkFactors[k] = factor
	}
	t.publish()
}

// Leaving reports whether the backend server is leaving according to its
// configuration, the VM list or its own report, or is not configured. Ejection
// does not count.
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
	return t.vmsLeaving[server]
}

// updateLeaving reports whether a backend server is leaving and records since
// when.
func (t *Table) updateLeaving(name string) bool {
	if !t.leaving(name) {
		delete(t.leavingSince, name)
		return false
	}
	if t.leavingSince[name].IsZero() {
		t.leavingSince[name] = time.Now()
	}
	return true
}

// LeavingFor returns how long a backend server has been known to be leaving, or
// 0 if it is not.
func (t *Table) LeavingFor(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, leaving := t.leavingSince[name]
	if !leaving {
		return 0
	}
	return max(time.Since(at), 1)
}

// Reports returns the latest reports of the engines without their loads.
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

// VMLeaving reports whether a VM is leaving according to the platform's VM
// list.
func (t *Table) VMLeaving(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.vmsLeaving[name]
}

// Fencing returns the highest fencing number that the engine reported.
func (t *Table) Fencing(server string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reported[server].fencing
}

// publish builds and publishes a new view. The caller holds t.mu. Usable
// flags are set before the view is published, so that a plan built from the
// view never observes an older flag.
func (t *Table) publish() {
	factors := make(map[linkKey]float64, len(t.linkFactors))
	for k, f := range t.linkFactors {
		factors[k] = f
	}
	v := &View{Version: t.version.Load() + 1, linkFactors: factors}
	for name, s := range t.servers {
		c := t.config[name]
		usable := c != nil && !t.updateLeaving(name) && !t.ejected[name]
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
	capacity := math.Float64frombits(s.measured.Load())
	if capacity <= 0 {
		capacity = c.TokensPerSecond
	}
	return Info{Config: c, Live: s, Holdings: r.holdings, Role: r.role, Usable: usable, Capacity: capacity}
}
