// Package quarantine decides which requests are no longer sent because backend servers
// crash when they run them. What crashes them is the content of a request as a whole, or a part
// of its prompt that other requests share. It does no I/O: callers pass in times and evidence. A
// daemon consults it before each send, and daemons exchange its entries.
package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the content of a request, or a part of a prompt, independent of attempt
// and daemon. Request IDs cannot be used since each attempt has its own. 63 bits make collisions
// negligible; the first bit is set for parts.
type Fingerprint uint64

const partBit Fingerprint = 1 << 63

// FingerprintOf returns the fingerprint of a request with these fields, in order. The length
// of each field is hashed too, so that field boundaries matter.
func FingerprintOf(fields ...[]byte) Fingerprint {
	h := xxhash.New()
	var length [8]byte
	for _, f := range fields {
		binary.LittleEndian.PutUint64(length[:], uint64(len(f)))
		_, _ = h.Write(length[:]) // never fails
		_, _ = h.Write(f)
	}
	return Fingerprint(h.Sum64()) &^ partBit
}

// FingerprintOfPart returns the fingerprint of a part of the prompts for one service or model.
func FingerprintOfPart(service, part string) Fingerprint {
	return FingerprintOf([]byte(service), []byte(part)) | partBit
}

// IsPart reports whether f is the fingerprint of a part of a prompt.
func (f Fingerprint) IsPart() bool { return f&partBit != 0 }

// String returns the fingerprint as sixteen hexadecimal digits, the form used in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
