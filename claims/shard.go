package claims

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/snowspoke/snowspoke/store"
	"github.com/snowspoke/snowspoke/topology"
)

// Kinds of the objects that form the log.
const (
	KindHead    = string(topology.KindClaimHead)
	KindSegment = string(topology.KindClaimSegment)
)

// Result is the outcome of a proposed record.
type Result struct {
	Won  bool   // the proposer holds the claim
	Held Record // the claim in force
}

// Store is the part of the platform's store that a shard uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Put(ctx context.Context, kind, name string, spec []byte, ifVersion store.Position) (store.Position, error)
	Delete(ctx context.Context, kind, name string, ifVersion store.Position) (store.Position, error)
}

// commitDelay is the time that a shard's writer waits after a commit. It limits
// the write rate, and proposals that arrive meanwhile are committed together.
const commitDelay = 40 * time.Millisecond

// Shard commits claims to the log of one shard. It is safe for concurrent use.
type Shard struct {
	name   string
	store  Store
	window Window

	mu      sync.Mutex
	waiting []*proposal
	writing bool

	// Only the writer goroutine uses the following fields.
	version store.Position
	head    Head
	loaded  map[string]bool // segments in the index, by name
	index   *Index
	current bool // the log has been read since the last failed attempt
}

type proposal struct {
	record  Record
	result  chan outcome // capacity 1
	ctx     context.Context
	own     bool        // proposed by this daemon
	settled atomic.Bool // set by the writer to answer, or by the proposer to stop waiting
}

// answer sends an outcome to the proposer. It returns false if the proposer has
// stopped waiting.
func (p *proposal) answer(o outcome) bool {
	if !p.settled.CompareAndSwap(false, true) {
		return false
	}
	p.result <- o
	return true
}

type outcome struct {
	claimResult Result
	err         error
}

// NewShard returns the shard with index i.
func NewShard(i int, store Store, w Window) *Shard {
	return &Shard{name: fmt.Sprintf("shard-%d", i), store: store, window: w, loaded: map[string]bool{}, index: newIndex()}
}

// Propose commits a record of this daemon, together with other waiting records. It
// returns the cause of the context's end if that comes first. After an error the
// request must not run; a claim that is committed nevertheless is released.
func (s *Shard) Propose(ctx context.Context, r Record) (Result, error) {
	return s.submit(&proposal{record: r, result: make(chan outcome, 1), ctx: ctx, own: true})
}

// ProposeFor commits a record of another daemon. That daemon may commit the claim
// through another writer and run the request, so nothing is released here.
func (s *Shard) ProposeFor(ctx context.Context, r Record) (Result, error) {
	return s.submit(&proposal{record: r, result: make(chan outcome, 1), ctx: ctx})
}

func (s *Shard) submit(p *proposal) (Result, error) {
	s.mu.Lock()
	s.waiting = append(s.waiting, p)
	if !s.writing {
		s.writing = true
		go s.write()
	}
	s.mu.Unlock()
	select {
	case o := <-p.result:
		return o.claimResult, o.err
	case <-p.ctx.Done():
		if p.settled.CompareAndSwap(false, true) {
			return Result{}, context.Cause(p.ctx)
		}
		o := <-p.result
		return o.claimResult, o.err
	}
}

// write commits groups of proposals until none wait.
func (s *Shard) write() {
	for {
		s.mu.Lock()
		group := s.waiting
		s.waiting = nil
		if len(group) == 0 {
			s.writing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.commit(group)
		time.Sleep(commitDelay)
	}
}

// commit answers a group of proposals. It retries until an attempt succeeds or no
// caller waits.
func (s *Shard) commit(group []*proposal) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = 20 * time.Millisecond
	retry.MaxInterval = time.Second
	for {
		group = withoutCanceled(group)
		if len(group) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), store.RequestTimeout)
		err := s.tryCommit(ctx, group)
		cancel()
		if err == nil {
			return
		}
		s.current = false // read the log again before the next attempt
		if !errors.Is(err, store.ErrConflict) {
			time.Sleep(retry.NextBackOff())
		}
	}
}

// withoutCanceled returns the proposals whose contexts have not ended.
func withoutCanceled(group []*proposal) []*proposal {
	var out []*proposal
	for _, p := range group {
		if p.ctx.Err() == nil {
			out = append(out, p)
		}
	}
	return out
}

// tryCommit makes one attempt to commit a group. After a write whose response was
// lost, the next attempt reads the log and finds its records by their request IDs.
// A delayed write cannot take effect after a later commit, because the version of
// the head has changed.
func (s *Shard) tryCommit(ctx context.Context, group []*proposal) error {
	if !s.current {
		if err := s.refresh(ctx); err != nil {
			return err
		}
	}
	batch, conflicts := s.decide(group)
	if len(batch.Records) == 0 {
		// Without a write, nothing verifies that the index is current: another
		// writer may have released a claim in it.
		if err := s.refresh(ctx); err != nil {
			return err
		}
		batch, conflicts = s.decide(group)
	}
	if len(batch.Records) > 0 {
		if err := s.append(ctx, batch); err != nil {
			return err
		}
		if err := s.index.apply(batch, s.window); err != nil {
			return err
		}
	}
	for i, p := range group {
		if held, lost := conflicts[i]; lost {
			p.answer(outcome{claimResult: Result{Held: held}})
			continue
		}
		if !p.answer(outcome{claimResult: Result{Won: true, Held: p.record}}) && p.own && !p.record.Release {
			s.releaseAbandoned(p.record)
		}
	}
	return nil
}

// releaseAbandoned queues the release of a claim that was committed after its
// proposer stopped waiting. The request of such a claim never runs. The writer
// queues the release itself, because a release by the proposer might be committed
// before the claim.
func (s *Shard) releaseAbandoned(r Record) {
	r.Release = true
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	p := &proposal{record: r, result: make(chan outcome, 1), ctx: ctx}
	s.mu.Lock()
	s.waiting = append(s.waiting, p)
	s.mu.Unlock()
	go func() {
		defer cancel()
		select {
		case <-p.result:
		case <-ctx.Done():
		}
	}()
}

// decide returns the batch of records to write and, by index in the group, the
// claim that each losing proposal conflicts with: a claim in force, or a claim
// earlier in the group.
func (s *Shard) decide(group []*proposal) (Batch, map[int]Record) {
	batch := Batch{ID: rand.Uint64()}
	cutoff := s.window.Cutoff(time.Now())
	conflicts := map[int]Record{}
	claimed := map[KeyHash]Record{}
	for i, p := range group {
		r := p.record
		if r.Release {
			batch.Records = append(batch.Records, r)
			continue
		}
		held, taken := s.index.Get(r.Key)
		taken = taken && held.At >= cutoff
		if !taken {
			held, taken = claimed[r.Key]
		}
		if taken && held.RequestID != r.RequestID {
			conflicts[i] = held
			continue
		}
		if !taken {
			claimed[r.Key] = r
			batch.Records = append(batch.Records, r)
		}
	}
	return batch, conflicts
}

// append writes the head with one more batch, and first moves older batches to a
// segment if the head would hold more than maxHeadRecords. The segment is written before
// the head refers to it: a crash in between leaves an unreferenced segment, which
// is harmless, and never a dangling reference.
func (s *Shard) append(ctx context.Context, b Batch) error {
	head := Head{Batches: append(append([]Batch(nil), s.head.Batches...), b), Segments: s.head.Segments}
	if head.recordCount() > maxHeadRecords {
		rolled, err := s.roll(ctx, &head, b)
		if err != nil {
			return err
		}
		head = rolled
	}
	head.Segments, _ = s.splitExpired(head.Segments)
	version, err := s.store.Put(ctx, KindHead, s.name, encode(head), s.version)
	if err != nil {
		return err
	}
	_, dropped := s.splitExpired(s.head.Segments)
	s.version, s.head = version, head
	s.deleteSegments(dropped)
	return nil
}

// roll moves all batches except the new one to a segment. Each attempt uses a new
// segment name: a head written by an earlier attempt may refer to the previous one,
// which must not be overwritten.
func (s *Shard) roll(ctx context.Context, h *Head, b Batch) (Head, error) {
	old := h.Batches[:len(h.Batches)-1]
	ref := SegmentRef{Name: fmt.Sprintf("%s-%016x", s.name, rand.Uint64()), Newest: newestTime(old)}
	if _, err := s.store.Put(ctx, KindSegment, ref.Name, encode(Segment{Batches: old}), 0); err != nil {
		return Head{}, err
	}
	return Head{Batches: []Batch{b}, Segments: append(append([]SegmentRef(nil), h.Segments...), ref)}, nil
}

// splitExpired separates the segments to keep from the segments in which all keys
// have expired.
func (s *Shard) splitExpired(refs []SegmentRef) (keep, drop []SegmentRef) {
	cutoff := s.window.Cutoff(time.Now())
	for _, r := range refs {
		if r.Newest < cutoff {
			drop = append(drop, r)
			continue
		}
		keep = append(keep, r)
	}
	return keep, drop
}

// deleteSegments deletes segments that the head no longer refers to and drops
// expired claims from the index. Errors are ignored: they leave unreferenced
// segments, which are harmless.
func (s *Shard) deleteSegments(refs []SegmentRef) {
	for _, r := range refs {
		ctx, cancel := context.WithTimeout(context.Background(), store.RequestTimeout)
		if o, err := s.store.Get(ctx, KindSegment, r.Name); err == nil {
			_, _ = s.store.Delete(ctx, KindSegment, r.Name, o.Version)
		}
		cancel()
	}
	s.index.dropBefore(s.window.Cutoff(time.Now()))
}

// refresh reads the head and the segments that are not in the index.
func (s *Shard) refresh(ctx context.Context) error {
	o, err := s.store.Get(ctx, KindHead, s.name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	head, err := DecodeHead(o.Spec)
	if err != nil {
		return err
	}
	for _, ref := range head.Segments {
		if s.loaded[ref.Name] {
			continue
		}
		if err := s.load(ctx, ref.Name); err != nil {
			return err
		}
	}
	for _, b := range head.Batches {
		if err := s.index.apply(b, s.window); err != nil {
			return err
		}
	}
	s.version, s.head, s.current = o.Version, head, true
	return nil
}

// load reads a segment into the index.
func (s *Shard) load(ctx context.Context, name string) error {
	o, err := s.store.Get(ctx, KindSegment, name)
	if err != nil {
		return err
	}
	seg, err := DecodeSegment(o.Spec)
	if err != nil {
		return err
	}
	for _, b := range seg.Batches {
		if err := s.index.apply(b, s.window); err != nil {
			return err
		}
	}
	s.loaded[name] = true
	return nil
}
