package store

import "fmt"

// Position is a place in the history of a store: its era and, within that, a revision.
// A store that comes back from an older copy gives revisions out again and counts its
// era up by one, so the era goes before the revision: any position of a later era comes
// after all of the eras before. Positions are compared as the numbers that they are. The
// zero Position comes before all others and stands for what has none.
type Position uint64

// revisionBits is the part of a position that holds the revision: at a thousand changes
// a second it lasts for 8,900 years. What is left holds 65,535 returns of the store.
const revisionBits = 48

// FirstEra is the latest era that a store which has never come back from a copy tells; one
// that tells none is in era 0.
const FirstEra = 1

// At returns the position of a revision in an era.
func At(era, revision uint64) Position {
	return Position(era<<revisionBits | revision&(1<<revisionBits-1))
}

// Era returns the era, 0 for a store that tells none.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the revision within the era.
func (p Position) Revision() uint64 { return uint64(p) & (1<<revisionBits - 1) }

// String returns a position as it is written into logs: era and revision, the revision
// alone where the store tells no eras.
func (p Position) String() string {
	if p.Era() == 0 {
		return fmt.Sprint(p.Revision())
	}
	return fmt.Sprintf("%d.%d", p.Era(), p.Revision())
}
