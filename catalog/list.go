package catalog

import (
	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// behindReads is how many full reads in a row must show a revision below one
// seen before until the store counts as restored from an older copy. One such
// read may come from a lagging replica.
const behindReads = 2

// listState is what full reads of the store have shown.
type listState struct {
	highest map[string]store.Position // highest revision, by kind
	lower   map[string]int            // reads in a row below it, by kind
	behind  bool
}

// ApplyList takes a full read of one kind. An object that the read lacks is
// deleted if the read is newer than the object and the store has not gone
// behind: a store restored from an older copy lacks accepted objects that
// nobody deleted, and accepted configuration must not revert.
func (c *Catalog) ApplyList(kind topology.Kind, objects []store.Object, revision store.Position) []Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists.observe(string(kind), revision)
	if !c.lists.behind && revision == c.lists.highest[string(kind)] {
		objects = append(objects, c.absent(string(kind), objects, revision)...)
	}
	return c.apply(objects)
}

func (l *listState) observe(kind string, revision store.Position) {
	if l.highest == nil {
		l.highest = map[string]store.Position{}
		l.lower = map[string]int{}
	}
	if revision >= l.highest[kind] {
		l.highest[kind] = revision
		l.lower[kind] = 0
		return
	}
	l.lower[kind]++
	if l.lower[kind] >= behindReads {
		l.behind = true
	}
}

// absent returns tombstones for the objects that a full read lacks. Their
// version is the read's revision: no later object can have a lower one.
func (c *Catalog) absent(kind string, objects []store.Object, revision store.Position) []store.Object {
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

// Behind reports whether the store seems restored from an older copy. Deletions
// by absence are ignored from then on, until the daemon restarts.
func (c *Catalog) Behind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lists.behind
}
