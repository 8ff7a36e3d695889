// Package memstore implements an in-memory platform store for tests, with faults: outages,
// lost writes, answers lost after the write took effect, and writes that take effect
// late. Platform serves it over HTTP, together with a VM list.
package memstore

import (
	"context"
	"maps"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/store"
)

// Faults configures the faults of a store; the zero value has none. Probabilities are
// between 0 and 1.
type Faults struct {
	Outage     bool          // all calls fail
	LoseAnswer float64       // probability that a write takes effect but its answer is lost
	LoseWrite  float64       // probability that a write and its answer are lost
	LateWrite  float64       // probability that a write takes effect after its answer is lost
	Delay      time.Duration // of each call
}

// Store implements store.Store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	faults  Faults
	objects map[store.ID]store.Object
	era     uint64
	version uint64
	changed chan struct{} // closed and replaced after each change
	calls   int64
	writes  int64
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[store.ID]store.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults. Running watches end when an outage begins.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns the number of all calls and of writes.
func (s *Store) Calls() (calls, writes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.writes
}

// wake notifies watches. s.mu must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin counts a call, waits for the configured delay and returns the faults of the call.
func (s *Store) begin(write bool) (Faults, error) {
	s.mu.Lock()
	s.calls++
	if write {
		s.writes++
	}
	f := s.faults
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Outage {
		return f, store.ErrUnavailable
	}
	return f, nil
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, kind, name string) (store.Object, error) {
	if _, err := s.begin(false); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[store.ID{Kind: kind, Name: name}]
	if !ok || o.Deleted {
		return store.Object{Version: store.At(s.era, 0)}, store.ErrNotFound
	}
	return o, nil
}

// List implements store.Store.
func (s *Store) List(_ context.Context, kind string) ([]store.Object, store.Position, error) {
	if _, err := s.begin(false); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []store.Object{}
	for id, o := range s.objects {
		if id.Kind == kind && !o.Deleted {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out, store.At(s.era, s.version), nil
}

// Put implements store.Store.
func (s *Store) Put(_ context.Context, kind, name string, spec []byte, ifVersion store.Position) (store.Position, error) {
	return s.write(store.Object{Kind: kind, Name: name, Spec: spec}, ifVersion)
}

// Delete implements store.Store.
func (s *Store) Delete(_ context.Context, kind, name string, ifVersion store.Position) (store.Position, error) {
	return s.write(store.Object{Kind: kind, Name: name, Deleted: true}, ifVersion)
}

func (s *Store) write(o store.Object, ifVersion store.Position) (store.Position, error) {
	f, err := s.begin(true)
	if err != nil {
		return 0, err
	}
	if rand.Float64() < f.LoseWrite {
		return 0, store.ErrAmbiguous
	}
	if rand.Float64() < f.LateWrite {
		go func() {
			time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			_, _ = s.apply(o, ifVersion)
		}()
		return 0, store.ErrAmbiguous
	}
	v, err := s.apply(o, ifVersion)
	if err == nil && rand.Float64() < f.LoseAnswer {
		return 0, store.ErrAmbiguous
	}
	return v, err
}

// apply writes o if the stored object has the revision of ifVersion. Otherwise it returns
// store.ErrConflict.
func (s *Store) apply(o store.Object, ifVersion store.Position) (store.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[o.ID()]
	have := old.Version.Revision()
	if old.Deleted {
		have = 0
	}
	if have != ifVersion.Revision() {
		return 0, store.ErrConflict
	}
	written := s.set(o).Version
	if ifVersion != 0 && written.Era() != ifVersion.Era() {
		return 0, store.ErrConflict // the replaced object had the same revision in another era
	}
	return written, nil
}

// Snapshot is the state of a store at one time.
type Snapshot struct {
	version uint64
	objects map[store.ID]store.Object
}

// Snapshot returns the current state.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Snapshot{version: s.version, objects: maps.Clone(s.objects)}
}

// Restore replaces the state with that of a snapshot. Later writes are lost, and their
// revisions are assigned again in a new era.
func (s *Store) Restore(snap *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = max(s.era, 1) + 1 // a store that was never restored has era 0 here
	s.version, s.objects = snap.version, map[store.ID]store.Object{}
	for id, o := range snap.objects {
		o.Version = store.At(s.era, o.Version.Revision())
		s.objects[id] = o
	}
	s.wake()
}

// set assigns the next version to o and stores it. s.mu must be held.
func (s *Store) set(o store.Object) store.Object {
	s.version++
	o.Version = store.At(s.era, s.version)
	s.objects[o.ID()] = o
	s.wake()
	return o
}

// Set writes an object unconditionally and returns its new version.
func (s *Store) Set(kind, name string, spec []byte) store.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(store.Object{Kind: kind, Name: name, Spec: spec}).Version
}

// Remove deletes an object unconditionally.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(store.Object{Kind: kind, Name: name, Deleted: true})
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, kinds []string, since store.Position, fn func(store.Object)) error {
	if _, err := s.begin(false); err != nil {
		return err
	}
	wanted := map[string]bool{}
	for _, k := range kinds {
		wanted[k] = true
	}
	for {
		out, outage, changed := s.newerThan(wanted, since)
		for _, o := range out {
			since = o.Version
			fn(o)
		}
		if outage {
			return store.ErrUnavailable
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// newerThan returns the objects with a version above since in ascending order, whether an
// outage is active, and a channel that is closed at the next change.
func (s *Store) newerThan(kinds map[string]bool, since store.Position) ([]store.Object, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Object
	for id, o := range s.objects {
		if kinds[id.Kind] && o.Version > since {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out, s.faults.Outage, s.changed
}
