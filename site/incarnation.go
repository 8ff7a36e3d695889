package site

import "strconv"

// Incarnation names one life of a backend server. A backend server may start again
// under the name that it had: it then holds and knows nothing of before, and nothing
// that was learnt of its life before is true of it.
type Incarnation struct {
	Name string // under which it registers itself
	Born int64  // its start, in Unix milliseconds; 0 where it does not tell
}

// ID returns the one name by which everything that is learnt of an incarnation is kept.
// Where no start is told it is the registered name, which is new after each start then.
func (i Incarnation) ID() string {
	if i.Born == 0 {
		return i.Name
	}
	return i.Name + "@" + strconv.FormatInt(i.Born, 10)
}

// Newer reports whether this is surely a later life than another one of the same name:
// both have told their starts. Who tells none may be either.
func (i Incarnation) Newer(than Incarnation) bool {
	return i.Name == than.Name && i.Born > than.Born && than.Born > 0
}
