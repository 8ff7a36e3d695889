package quarantine

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxRecordEntries is the maximum number of entries of a record. Each takes about 100 bytes.
// Quarantined requests are few in practice.
const MaxRecordEntries = 128

// ErrRecord is returned for a record that cannot be decoded.
var ErrRecord = errors.New("quarantine: record cannot be read")

// maxRecordEnds is the maximum number of ends in an entry of a record. It is enough for a
// quarantine, and what earlier versions of the record accept.
const maxRecordEnds = 8

// recordEnd is an End in a record.
type recordEnd struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	Weight uint8
	At     int64 // Unix milliseconds of the writer's clock
}

// recordEntry is an Entry in a record. It has no ServedAt: only quarantined requests are
// recorded, and serving a request ends its quarantine.
type recordEntry struct {
	_       struct{} `cbor:",toarray"`
	FP      uint64   // fingerprint of the request
	Ends    []recordEnd
	TriedAt int64 // Unix milliseconds of the writer's clock, 0 for never
}

// EncodeRecord returns entries in the form in which they are stored. The record outlives the
// daemons.
func EncodeRecord(entries []Entry) ([]byte, error) {
	out := make([]recordEntry, 0, len(entries))
	for _, e := range entries {
		r := recordEntry{FP: uint64(e.Fingerprint)}
		if !e.TriedAt.IsZero() {
			r.TriedAt = e.TriedAt.UnixMilli()
		}
		for _, end := range recordedEnds(e.Ends) {
			r.Ends = append(r.Ends, recordEnd{Server: uint32(end.Server), Weight: uint8(end.Weight), At: end.At.UnixMilli()})
		}
		out = append(out, r)
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("quarantine: encode: %w", err)
	}
	return data, nil
}

// recordedEnds returns the first and the latest ends.
func recordedEnds(ends []End) []End {
	if len(ends) <= maxRecordEnds {
		return ends
	}
	return slices.Concat(ends[:1], ends[len(ends)-maxRecordEnds+1:])
}

// DecodeRecord returns the entries of a record, or an error that wraps ErrRecord. Times in
// the future, due to differing or adjusted clocks, are replaced by now, so that each entry
// expires.
func DecodeRecord(data []byte, now time.Time) ([]Entry, error) {
	var in []recordEntry
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if len(in) > MaxRecordEntries {
		return nil, fmt.Errorf("%w: %d requests", ErrRecord, len(in))
	}
	out := make([]Entry, 0, len(in))
	for _, r := range in {
		e := Entry{Fingerprint: Fingerprint(r.FP)}
		if r.TriedAt != 0 {
			e.TriedAt = clampToNow(r.TriedAt, now)
		}
		for _, end := range r.Ends {
			w := Weight(end.Weight)
			if w != Possible && w != Likely || len(e.Ends) >= maxEnds {
				return nil, fmt.Errorf("%w: ends of %s", ErrRecord, e.Fingerprint)
			}
			e.Ends = append(e.Ends, End{Server: Server(end.Server), Weight: w, At: clampToNow(end.At, now)})
		}
		out = append(out, e)
	}
	return out, nil
}

func clampToNow(ms int64, now time.Time) time.Time {
	at := time.UnixMilli(ms)
	if at.After(now) {
		return now
	}
	return at
}

// SameQuarantined reports whether two lists of entries have the same requests with the same scores.
// Times are not compared.
func SameQuarantined(a, b []Entry) bool {
	return slices.Equal(entryKeys(a), entryKeys(b))
}

// entryKey is the part of an entry whose change requires a new record.
type entryKey struct {
	fingerprint Fingerprint
	score       int
}

func entryKeys(entries []Entry) []entryKey {
	out := make([]entryKey, 0, len(entries))
	for i := range entries {
		out = append(out, entryKey{entries[i].Fingerprint, entries[i].Score()})
	}
	slices.SortFunc(out, func(x, y entryKey) int {
		if x.fingerprint < y.fingerprint {
			return -1
		}
		return 1
	})
	return out
}
