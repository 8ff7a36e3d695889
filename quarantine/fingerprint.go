// Package quarantine decides which requests are no longer sent because backend servers
// crash when they run them. It does no I/O: callers pass in times and evidence. A daemon
// consults it before each send, and daemons exchange its entries.
package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the content of a request, independent of attempt and daemon.
// Request IDs cannot be used since each attempt has its own. 64 bits make collisions
// negligible.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request with these parts, in order. The length
// of each part is hashed too, so that part boundaries matter.
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

// String returns the fingerprint as sixteen hexadecimal digits, the form used in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
