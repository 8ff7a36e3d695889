package store

import "fmt"

// Position is a point in the history of a store. It consists of an era and a
// revision within the era. A store that is restored from an older copy increments
// its era and issues some revisions again, so the era is the more significant
// part. Positions compare as numbers. The zero Position precedes all others and
// stands for no position.
type Position uint64

// revisionBits is the width of the revision in a position. 48 bits suffice for
// 8,900 years at a thousand changes a second. The other 16 bits allow 65,535 eras.
const revisionBits = 48

// FirstEra is the era of a store that has never been restored. A store that
// does not report eras is in era 0.
const FirstEra = 1

// At returns the position of a revision in an era.
func At(era, revision uint64) Position {
	return Position(era<<revisionBits | revision&(1<<revisionBits-1))
}

// Era returns the era. It is 0 for a store that does not report eras.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the revision within the era.
func (p Position) Revision() uint64 { return uint64(p) & (1<<revisionBits - 1) }

// String returns a position in the form used in logs: era and revision, or the
// revision alone in era 0.
func (p Position) String() string {
	if p.Era() == 0 {
		return fmt.Sprint(p.Revision())
	}
	return fmt.Sprintf("%d.%d", p.Era(), p.Revision())
}
