// Package catalog holds the configuration in force. It accepts objects from any
// source, in any order, repeated or stale, and replaces an object only by a newer
// version. If the newest version is invalid, the last valid one stays in force.
package catalog

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/snowspoke/snowspoke/invariant"
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// Result is the result of evaluating the newest version seen of an object.
type Result struct {
	Kind     string         `json:"kind"`
	Name     string         `json:"name"`
	Seen     store.Position `json:"seen"`    // newest version seen
	InForce  store.Position `json:"inForce"` // version in force, 0 for none
	Deleted  bool           `json:"deleted,omitempty"`
	Rejected string         `json:"rejected,omitempty"` // why Seen is not in force
}

// Accepted reports whether the newest version seen is in force.
func (r *Result) Accepted() bool { return r.Rejected == "" }

// record is the state of one object.
type record struct {
	newest store.Object // newest version seen, may be a tombstone
	parsed any          // object in force, nil when deleted or never valid
	result Result
}

// Mark summarizes a catalog: two catalogs with equal marks hold the same versions.
type Mark struct {
	Revision store.Position // highest version seen
	Digest   uint64         // over the newest versions of all objects that are not deleted
}

// Catalog holds the newest version of each object. It is safe for concurrent use;
// Snapshot takes no lock.
type Catalog struct {
	snapshot atomic.Pointer[topology.Snapshot]

	mu      sync.Mutex
	records map[store.ID]*record
	mark    Mark
	lists   listState
	notify  chan struct{}
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{records: map[store.ID]*record{}, notify: make(chan struct{})}
	c.snapshot.Store(topology.NewSnapshot())
	return c
}

// Snapshot returns the configuration in force.
func (c *Catalog) Snapshot() *topology.Snapshot { return c.snapshot.Load() }

// Mark returns the mark of the catalog.
func (c *Catalog) Mark() Mark {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mark
}

// Changed returns a channel that is closed at the next change.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notify
}

// Apply applies objects from any source and returns the results of those that
// were newer than the known version.
func (c *Catalog) Apply(objects ...store.Object) []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.apply(objects)
}

func (c *Catalog) apply(objects []store.Object) []Result {
	var out []Result
	changedKinds := map[topology.Kind]bool{}
	for _, o := range objects {
		if r := c.recordIfNewer(o); r != nil {
			out = append(out, r.result)
			changedKinds[topology.Kind(o.Kind)] = true
		}
	}
	if len(changedKinds) > 0 {
		c.publish(changedKinds)
	}
	return out
}

// recordIfNewer records an object if it is newer and returns its record, or nil
// otherwise.
func (c *Catalog) recordIfNewer(o store.Object) *record {
	kind := topology.Kind(o.Kind)
	if !slices.Contains(topology.ConfigKinds, kind) {
		return nil
	}
	id := o.ID()
	r := c.records[id]
	if r != nil && o.Version <= r.newest.Version {
		return nil
	}
	if r == nil {
		r = &record{result: Result{Kind: o.Kind, Name: o.Name}}
		c.records[id] = r
	} else {
		c.mark.Digest ^= digest(&r.newest)
	}
	before := r.result.InForce
	r.newest = o
	r.evaluate(kind)
	c.mark.Digest ^= digest(&o)
	c.mark.Revision = max(c.mark.Revision, o.Version)
	// A lower version in force would revert accepted configuration. A violation is
	// a bug in this package; it is reported, and the new state is kept.
	_ = invariant.Check(r.result.InForce >= before, invariant.ConfigMonotonic,
		"%s %s went from version %d to %d", o.Kind, o.Name, before, r.result.InForce)
	return r
}

// evaluate parses the newest version and, if it is valid, puts it in force. The
// result depends on the object alone, so it is the same on all daemons.
func (r *record) evaluate(kind topology.Kind) {
	r.result.Seen = r.newest.Version
	if r.newest.Deleted {
		r.parsed = nil
		r.result.InForce = r.newest.Version
		r.result.Deleted = true
		r.result.Rejected = ""
		return
	}
	parsed, err := topology.Parse(kind, r.newest.Name, r.newest.Spec)
	if err != nil {
		r.result.Rejected = err.Error()
		return
	}
	r.parsed = parsed
	r.result.InForce = r.newest.Version
	r.result.Deleted = false
	r.result.Rejected = ""
}

// digest returns an object's contribution to the digest of the mark. It is 0 for a
// deleted object, so that the digest does not depend on how a daemon received the
// deletion.
func digest(o *store.Object) uint64 {
	if o.Deleted {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(o.Kind)
	_, _ = d.WriteString("\x00" + o.Name + "\x00")
	var v [8]byte
	binary.LittleEndian.PutUint64(v[:], uint64(o.Version))
	_, _ = d.Write(v[:])
	return d.Sum64()
}

// publish stores a snapshot that shares unchanged kinds with the previous one, and
// closes the channel that Changed returned. The caller holds c.mu.
func (c *Catalog) publish(changedKinds map[topology.Kind]bool) {
	old := c.snapshot.Load()
	s := *old
	s.Revision = uint64(c.mark.Revision)
	for kind := range changedKinds {
		c.rebuild(&s, kind)
		if kind != topology.KindWorkspace && kind != topology.KindService {
			s.RoutingRevision = s.Revision
		}
	}
	if changedKinds[topology.KindWorkspace] {
		s.IndexTokens()
	}
	c.snapshot.Store(&s)
	close(c.notify)
	c.notify = make(chan struct{})
}

func (c *Catalog) rebuild(s *topology.Snapshot, kind topology.Kind) {
	switch kind {
	case topology.KindBackendServer:
		s.BackendServers = collect[*topology.BackendServer](c, kind)
	case topology.KindModel:
		s.Models = collect[*topology.Model](c, kind)
	case topology.KindWorkspace:
		s.Workspaces = collect[*topology.Workspace](c, kind)
	case topology.KindService:
		s.Services = collect[*topology.Service](c, kind)
	case topology.KindStage:
		s.Stages = byModel(collect[*topology.Stage](c, kind))
	case topology.KindRoutingRule:
		s.Rules = byName(collect[*topology.RoutingRule](c, kind))
	}
}

func collect[T any](c *Catalog, kind topology.Kind) map[string]T {
	out := map[string]T{}
	for id, r := range c.records {
		if id.Kind != string(kind) {
			continue
		}
		if v, ok := r.parsed.(T); ok {
			out[id.Name] = v
		}
	}
	return out
}

func byModel(stages map[string]*topology.Stage) map[string][]*topology.Stage {
	out := map[string][]*topology.Stage{}
	for _, st := range stages {
		out[st.Model] = append(out[st.Model], st)
	}
	for _, list := range out {
		topology.SortStages(list)
	}
	return out
}

func byName(rules map[string]*topology.RoutingRule) []*topology.RoutingRule {
	out := slices.Collect(maps.Values(rules))
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Result returns the result for an object, and whether the object is known.
func (c *Catalog) Result(kind, name string) (Result, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[store.ID{Kind: kind, Name: name}]
	if r == nil {
		return Result{}, false
	}
	return r.result, true
}

// Rejected returns the results of objects whose newest version is not in force,
// sorted by kind and name.
func (c *Catalog) Rejected() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Result
	for _, r := range c.records {
		if !r.result.Accepted() {
			out = append(out, r.result)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Kind+out[i].Name < out[j].Kind+out[j].Name })
	return out
}

// Newest returns the newest versions of the objects that results refer to.
func (c *Catalog) Newest(results []Result) []store.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]store.Object, 0, len(results))
	for _, res := range results {
		if r := c.records[store.ID{Kind: res.Kind, Name: res.Name}]; r != nil {
			out = append(out, r.newest)
		}
	}
	return out
}

// Since returns the newest versions above a revision, oldest first, including
// tombstones.
func (c *Catalog) Since(revision store.Position) []store.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []store.Object
	for _, r := range c.records {
		if r.newest.Version > revision {
			out = append(out, r.newest)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

// String returns the revision and the digest.
func (m Mark) String() string { return fmt.Sprintf("%d/%016x", m.Revision, m.Digest) }
