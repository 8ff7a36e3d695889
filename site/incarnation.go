package site

import "strconv"

// Incarnation identifies one run of a backend server. A backend server may restart under
// the same name. It then has no state, and nothing known of the earlier run applies.
type Incarnation struct {
	Name string // under which it registers
	Born int64  // start time in Unix milliseconds, 0 if not reported
}

// ID returns the key for all state of an incarnation. Without a start time it is the
// registered name, which is then unique for each start.
func (i Incarnation) ID() string {
	if i.Born == 0 {
		return i.Name
	}
	return i.Name + "@" + strconv.FormatInt(i.Born, 10)
}

// Newer reports whether i is a later incarnation of the same name. It returns false unless
// both start times are known.
func (i Incarnation) Newer(than Incarnation) bool {
	return i.Name == than.Name && i.Born > than.Born && than.Born > 0
}
