// Package claims records idempotency keys, so that a request that must not be
// repeated runs at most once in the whole fleet. Claims go to a log per shard:
// a head object with the newest batches and references to older, rolled
// segments. A commit is one conditional update of the head, so a writer with an
// old view always fails, reads, checks its keys again and tries anew. Safety
// rests on that update alone; no lease or clock is trusted.
package claims

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/snowspoke/snowspoke/invariant"
)

// KeyHash identifies a key of a workspace.
type KeyHash [16]byte

// Record is one claim, or the release of one.
type Record struct {
	Key       KeyHash `cbor:"1,keyasint"`
	BodyHash  uint64  `cbor:"2,keyasint"`
	RequestID string  `cbor:"3,keyasint"`
	Daemon    string  `cbor:"4,keyasint"` // that runs the request
	At        int64   `cbor:"5,keyasint"` // time of the key, or of the claim for opaque keys, Unix milliseconds
	Release   bool    `cbor:"6,keyasint"` // the request surely did not run
}

// Batch is the unit of a commit.
type Batch struct {
	ID      uint64   `cbor:"1,keyasint"` // random; a batch is applied once
	Records []Record `cbor:"2,keyasint"`
}

// Segment is a rolled part of the log, an object of its own.
type Segment struct {
	Batches []Batch `cbor:"1,keyasint"`
}

// SegmentRef is a reference from the head to a segment.
type SegmentRef struct {
	Name   string `cbor:"1,keyasint"`
	Newest int64  `cbor:"2,keyasint"` // newest At in it
}

// Head is the head of a shard's log.
type Head struct {
	Batches  []Batch      `cbor:"1,keyasint"`
	Segments []SegmentRef `cbor:"2,keyasint"` // oldest first
}

// maxHeadRecords is the number of records beyond which the head is rolled. A
// group commit adds at most a few thousand, far below the store's value limit.
const maxHeadRecords = 512

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // structs of plain fields always encode
	}
	return data
}

// DecodeHead reads a head.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if len(data) == 0 {
		return h, nil
	}
	if err := cbor.Unmarshal(data, &h); err != nil {
		return h, fmt.Errorf("claims: head: %w", err)
	}
	return h, nil
}

// DecodeSegment reads a segment.
func DecodeSegment(data []byte) (Segment, error) {
	var s Segment
	if err := cbor.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("claims: segment: %w", err)
	}
	return s, nil
}

func (h *Head) records() int {
	n := 0
	for _, b := range h.Batches {
		n += len(b.Records)
	}
	return n
}

// newest returns the newest time in the batches.
func newest(batches []Batch) int64 {
	var t int64
	for _, b := range batches {
		for _, r := range b.Records {
			t = max(t, r.At)
		}
	}
	return t
}

// Index is what is known of a shard: the claims in force by key.
type Index struct {
	claims  map[KeyHash]Record
	batches map[uint64]int64 // newest time of the batches applied, by ID
}

func newIndex() *Index { return &Index{claims: map[KeyHash]Record{}, batches: map[uint64]int64{}} }

// apply takes a batch once. A release ends only the claim of its own request. A
// claim over another that is in force would let a request run twice.
func (x *Index) apply(b Batch, w Window) error {
	if _, done := x.batches[b.ID]; done {
		return nil
	}
	x.batches[b.ID] = newest([]Batch{b})
	for _, r := range b.Records {
		c, held := x.claims[r.Key]
		if r.Release {
			if held && c.RequestID == r.RequestID {
				delete(x.claims, r.Key)
			}
			continue
		}
		expired := c.At < r.At-w.Retention.Milliseconds()
		err := invariant.Check(!held || expired || c.RequestID == r.RequestID, invariant.AtMostOnce,
			"key %x is claimed by request %s and by %s", r.Key, c.RequestID, r.RequestID)
		if err != nil {
			return err
		}
		x.claims[r.Key] = r
	}
	return nil
}

// forget drops the claims older than a time, Unix milliseconds.
func (x *Index) forget(before int64) {
	for k, r := range x.claims {
		if r.At < before {
			delete(x.claims, k)
		}
	}
	for id, at := range x.batches {
		if at < before {
			delete(x.batches, id)
		}
	}
}

// Get returns the claim of a key.
func (x *Index) Get(k KeyHash) (Record, bool) {
	r, ok := x.claims[k]
	return r, ok
}

// Window says how old a key may be.
type Window struct {
	Retention time.Duration
	Skew      time.Duration
}

// Oldest returns the time before which claims are forgotten: a key that old is
// refused, whatever a caller's clock says within the allowed skew.
func (w Window) Oldest(now time.Time) int64 {
	return now.Add(-w.Retention - 2*w.Skew).UnixMilli()
}
