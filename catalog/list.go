package catalog

import (
	"slices"

	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// behindThreshold is the number of consecutive full reads with a lower revision than
// an earlier read after which the store is considered restored from an older copy. A
// single such read may come from a lagging replica.
const behindThreshold = 2

// listState tracks the revisions of full reads of the store.
type listState struct {
	highest    map[string]store.Position // highest revision, by kind
	lowerReads map[string]int            // consecutive reads with a lower revision, by kind
	behind     bool                      // the store appears to be restored; never reset
	complete   bool                      // the catalog equaled a complete one; never reset
}

// Complete reports whether no object that existed at some time is unknown: every kind was read
// in full, or the catalog equaled a complete one.
func (c *Catalog) Complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lists.complete || !slices.ContainsFunc(topology.ConfigKinds, func(k topology.Kind) bool {
		_, read := c.lists.highest[string(k)]
		return !read
	})
}

// SetComplete records that the catalog equals a complete one if its mark is still the given one.
func (c *Catalog) SetComplete(m Mark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists.complete = c.lists.complete || c.mark == m
}

// ApplyList applies a full read of one kind and returns the results of the objects
// that were newer. An object that the read lacks is deleted if the read is newer than
// the object and the store is not behind. A store restored from an older copy lacks
// objects that were accepted and never deleted, and these must stay in force.
func (c *Catalog) ApplyList(kind topology.Kind, objects []store.Object, revision store.Position) []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists.observe(string(kind), revision)
	if !c.lists.behind && revision == c.lists.highest[string(kind)] {
		objects = append(objects, c.tombstones(string(kind), objects, revision)...)
	}
	return c.apply(objects)
}

func (l *listState) observe(kind string, revision store.Position) {
	if l.highest == nil {
		l.highest = map[string]store.Position{}
		l.lowerReads = map[string]int{}
	}
	if revision >= l.highest[kind] {
		l.highest[kind] = revision
		l.lowerReads[kind] = 0
		return
	}
	l.lowerReads[kind]++
	if l.lowerReads[kind] >= behindThreshold {
		l.behind = true
	}
}

// tombstones returns tombstones for the objects that a full read lacks. Their
// version is the revision of the read; no later version is lower.
func (c *Catalog) tombstones(kind string, objects []store.Object, revision store.Position) []store.Object {
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Name] = true
	}
	var out []store.Object
	for id, r := range c.records {
		if id.Kind != kind || present[id.Name] || r.newest.Deleted || r.newest.Version >= revision {
			continue
		}
		out = append(out, store.Object{Kind: kind, Name: id.Name, Version: revision, Deleted: true})
	}
	return out
}

// Behind reports whether the store appears to be restored from an older copy. From
// then on, until the daemon restarts, objects missing from full reads are not
// deleted.
func (c *Catalog) Behind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lists.behind
}
