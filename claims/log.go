// Package claims records idempotency keys, so that a request that must not be
// repeated runs at most once in the whole fleet. Claims are stored in a log per
// shard: a head object with the newest batches and references to older segments.
// A commit is one conditional update of the head: a writer with a stale head
// fails, reads the log, checks its keys again and retries. Safety depends on that
// update alone, not on leases or clocks.
package claims

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/snowspoke/snowspoke/invariant"
)

// KeyHash is the hash of a workspace and its key.
type KeyHash [16]byte

// Record is a claim or the release of a claim.
type Record struct {
	Key       KeyHash `cbor:"1,keyasint"`
	BodyHash  uint64  `cbor:"2,keyasint"`
	RequestID string  `cbor:"3,keyasint"`
	Daemon    string  `cbor:"4,keyasint"` // daemon that runs the request
	At        int64   `cbor:"5,keyasint"` // time of the key, or of the claim for opaque keys, Unix milliseconds
	Release   bool    `cbor:"6,keyasint"` // releases the claim of a request that did not run
}

// Batch is the unit of a commit.
type Batch struct {
	ID      uint64   `cbor:"1,keyasint"` // random; a batch is applied at most once
	Records []Record `cbor:"2,keyasint"`
}

// Segment is a part of the log that was moved out of the head into its own object.
type Segment struct {
	Batches []Batch `cbor:"1,keyasint"`
}

// SegmentRef is a reference from the head to a segment.
type SegmentRef struct {
	Name   string `cbor:"1,keyasint"`
	Newest int64  `cbor:"2,keyasint"` // newest Record.At in the segment
}

// Head is the head of a shard's log.
type Head struct {
	Batches  []Batch      `cbor:"1,keyasint"`
	Segments []SegmentRef `cbor:"2,keyasint"` // oldest first
}

// maxHeadRecords is the number of records above which batches are moved from the
// head to a segment. A group commit adds at most a few thousand records, far less
// than the store's size limit for a value.
const maxHeadRecords = 512

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // cannot fail for the types of the log
	}
	return data
}

// DecodeHead decodes a head. Empty data is an empty head.
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

// DecodeSegment decodes a segment.
func DecodeSegment(data []byte) (Segment, error) {
	var s Segment
	if err := cbor.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("claims: segment: %w", err)
	}
	return s, nil
}

func (h *Head) recordCount() int {
	n := 0
	for _, b := range h.Batches {
		n += len(b.Records)
	}
	return n
}

// newestTime returns the newest Record.At in the batches.
func newestTime(batches []Batch) int64 {
	var t int64
	for _, b := range batches {
		for _, r := range b.Records {
			t = max(t, r.At)
		}
	}
	return t
}

// Index holds the claims in force of a shard by key, as read from its log.
type Index struct {
	claims  map[KeyHash]Record
	batches map[uint64]int64 // newest Record.At of the applied batches, by ID
}

func newIndex() *Index { return &Index{claims: map[KeyHash]Record{}, batches: map[uint64]int64{}} }

// apply applies a batch unless it has been applied before. A release removes only
// the claim of its own request. apply returns an error if a claim would replace
// another claim in force, because a request might then run twice.
func (x *Index) apply(b Batch, w Window) error {
	if _, done := x.batches[b.ID]; done {
		return nil
	}
	x.batches[b.ID] = newestTime([]Batch{b})
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

// dropBefore removes the claims and batches older than a time, Unix milliseconds.
func (x *Index) dropBefore(before int64) {
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

// Window limits the age of keys.
type Window struct {
	Retention time.Duration // maximum age of a key
	Skew      time.Duration // maximum clock skew of callers
}

// Cutoff returns the time before which claims are dropped, in Unix milliseconds.
// A key from before that time is refused whatever the caller's clock shows within
// the allowed skew.
func (w Window) Cutoff(now time.Time) int64 {
	return now.Add(-w.Retention - 2*w.Skew).UnixMilli()
}
