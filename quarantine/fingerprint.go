// Package quarantine decides which requests are held back because backend servers
// crash when they run them. It is pure: times and evidence come in, verdicts come out.
// The dispatch of requests asks it before each send, and the daemons tell each other
// what it has learnt.
package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint names what a caller asks for, whichever attempt it is and whichever
// daemon gets it: each attempt bears an ID of its own, so that IDs tell nothing of a
// request that comes again. Two of a million that differ share one in one of 37
// million cases (64 bits).
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request with these parts, in order. The
// length of each goes in, so that parts cannot run into each other.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := xxhash.New()
	var length [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = h.Write(length[:]) // never fails
		_, _ = h.Write(p)
	}
	return Fingerprint(h.Sum64())
}

// String returns the fingerprint as sixteen hexadecimal digits, as logs show it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
