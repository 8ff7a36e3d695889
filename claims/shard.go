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

// Kinds of the objects of the log.
const (
	KindHead    = string(topology.KindClaimHead)
	KindSegment = string(topology.KindClaimSegment)
)

// Verdict is the answer to a proposed claim.
type Verdict struct {
	Won  bool   // the claim is the proposer's
	Held Record // the claim in force otherwise
}

// Store is what a shard needs of the platform's store.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Put(ctx context.Context, kind, name string, spec []byte, ifVersion store.Position) (store.Position, error)
	Delete(ctx context.Context, kind, name string, ifVersion store.Position) (store.Position, error)
}

// Pause of a shard's writer after a commit: it bounds the writes a second, and
// what arrives meanwhile is committed together.
const commitPause = 40 * time.Millisecond

// Shard writes one log. It is safe for concurrent use.
type Shard struct {
	name   string
	store  Store
	window Window

	mu      sync.Mutex
	waiting []*proposal
	writing bool

	// The rest belongs to the writer.
	version store.Position
	head    Head
	loaded  map[string]bool // segments in the index
	index   *Index
	read    bool
}

type proposal struct {
	record Record
	result chan outcome // capacity 1
	ctx    context.Context
	own    bool        // of this daemon
	taken  atomic.Bool // by the writer, to answer, or by the proposer, to leave
}

// answer hands an outcome to the proposer; false means that it has left.
func (p *proposal) answer(o outcome) bool {
	if !p.taken.CompareAndSwap(false, true) {
		return false
	}
	p.result <- o
	return true
}

type outcome struct {
	verdict Verdict
	err     error
}

// NewShard returns the writer of one shard.
func NewShard(i int, store Store, w Window) *Shard {
	return &Shard{name: fmt.Sprintf("shard-%d", i), store: store, window: w, loaded: map[string]bool{}, index: newIndex()}
}

// Propose commits a record of this daemon together with others that wait. An
// error means that the request must not run; should the claim be committed all
// the same, it is released again.
func (s *Shard) Propose(ctx context.Context, r Record) (Verdict, error) {
	return s.submit(&proposal{record: r, result: make(chan outcome, 1), ctx: ctx, own: true})
}

// ProposeFor commits a record of another daemon. Only that one knows whether the
// request runs after all, by another writer, so nothing is released here.
func (s *Shard) ProposeFor(ctx context.Context, r Record) (Verdict, error) {
	return s.submit(&proposal{record: r, result: make(chan outcome, 1), ctx: ctx})
}

func (s *Shard) submit(p *proposal) (Verdict, error) {
	s.mu.Lock()
	s.waiting = append(s.waiting, p)
	if !s.writing {
		s.writing = true
		go s.write()
	}
	s.mu.Unlock()
	select {
	case o := <-p.result:
		return o.verdict, o.err
	case <-p.ctx.Done():
		if p.taken.CompareAndSwap(false, true) {
			return Verdict{}, context.Cause(p.ctx)
		}
		o := <-p.result
		return o.verdict, o.err
	}
}

// write commits until nothing waits.
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
		time.Sleep(commitPause)
	}
}

// commit settles a group. It goes on until the store has answered or nobody
// waits any more.
func (s *Shard) commit(group []*proposal) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 20 * time.Millisecond
	pause.MaxInterval = time.Second
	for {
		group = alive(group)
		if len(group) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), store.RequestTimeout)
		err := s.try(ctx, group)
		cancel()
		if err == nil {
			return
		}
		s.read = false // whatever happened, look again before the next try
		if !errors.Is(err, store.ErrConflict) {
			time.Sleep(pause.NextBackOff())
		}
	}
}

// alive drops the proposals whose callers have gone.
func alive(group []*proposal) []*proposal {
	var out []*proposal
	for _, p := range group {
		if p.ctx.Err() == nil {
			out = append(out, p)
		}
	}
	return out
}

// try makes one attempt to commit a group. A write whose answer was lost is
// settled by the next try: it finds its own records, by their request IDs, in
// what it reads back. A write that is still on its way cannot take effect after
// a later commit, since the head's version has moved on.
func (s *Shard) try(ctx context.Context, group []*proposal) error {
	if !s.read {
		if err := s.refresh(ctx); err != nil {
			return err
		}
	}
	batch, losers := s.decide(group)
	if len(batch.Records) == 0 {
		// Nothing to write would confirm this view: a claim that it shows may
		// have been released by another writer since.
		if err := s.refresh(ctx); err != nil {
			return err
		}
		batch, losers = s.decide(group)
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
		if held, lost := losers[i]; lost {
			p.answer(outcome{verdict: Verdict{Held: held}})
			continue
		}
		if !p.answer(outcome{verdict: Verdict{Won: true, Held: p.record}}) && p.own && !p.record.Release {
			s.undo(p.record)
		}
	}
	return nil
}

// undo releases a claim that was committed after its proposer had left, and that
// therefore never runs. It comes after the commit, as this writer does one
// thing after the other; a release by the proposer might come before it.
func (s *Shard) undo(r Record) {
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

// decide splits a group into the batch to write and those that lose to a claim
// in force, or to one before them in the group.
func (s *Shard) decide(group []*proposal) (Batch, map[int]Record) {
	batch := Batch{ID: rand.Uint64()}
	oldest := s.window.Oldest(time.Now())
	losers := map[int]Record{}
	mine := map[KeyHash]Record{}
	for i, p := range group {
		r := p.record
		if r.Release {
			batch.Records = append(batch.Records, r)
			continue
		}
		held, taken := s.index.Get(r.Key)
		taken = taken && held.At >= oldest
		if !taken {
			held, taken = mine[r.Key]
		}
		if taken && held.RequestID != r.RequestID {
			losers[i] = held
			continue
		}
		if !taken {
			mine[r.Key] = r
			batch.Records = append(batch.Records, r)
		}
	}
	return batch, losers
}

// append writes the head with one more batch, rolling older ones into a segment
// first when it has grown. The segment is written before the head refers to it:
// a crash in between leaves a segment that nobody refers to, which is harmless,
// and never a reference to nothing.
func (s *Shard) append(ctx context.Context, b Batch) error {
	head := Head{Batches: append(append([]Batch(nil), s.head.Batches...), b), Segments: s.head.Segments}
	if head.records() > maxHeadRecords {
		rolled, err := s.roll(ctx, &head, b)
		if err != nil {
			return err
		}
		head = rolled
	}
	head.Segments, _ = s.split(head.Segments)
	version, err := s.store.Put(ctx, KindHead, s.name, encode(head), s.version)
	if err != nil {
		return err
	}
	_, dropped := s.split(s.head.Segments)
	s.version, s.head = version, head
	s.deleteSegments(dropped)
	return nil
}

// roll moves all batches but the new one into a segment. Its name is new at each
// try: a segment that an earlier head write may refer to is never touched.
func (s *Shard) roll(ctx context.Context, h *Head, b Batch) (Head, error) {
	old := h.Batches[:len(h.Batches)-1]
	ref := SegmentRef{Name: fmt.Sprintf("%s-%016x", s.name, rand.Uint64()), Newest: newest(old)}
	if _, err := s.store.Put(ctx, KindSegment, ref.Name, encode(Segment{Batches: old}), 0); err != nil {
		return Head{}, err
	}
	return Head{Batches: []Batch{b}, Segments: append(append([]SegmentRef(nil), h.Segments...), ref)}, nil
}

// split tells the segments to keep from those whose keys have all expired.
func (s *Shard) split(refs []SegmentRef) (keep, drop []SegmentRef) {
	oldest := s.window.Oldest(time.Now())
	for _, r := range refs {
		if r.Newest < oldest {
			drop = append(drop, r)
			continue
		}
		keep = append(keep, r)
	}
	return keep, drop
}

// deleteSegments removes segments that the head no longer refers to. Failing to
// do so leaves garbage, not a fault.
func (s *Shard) deleteSegments(refs []SegmentRef) {
	for _, r := range refs {
		ctx, cancel := context.WithTimeout(context.Background(), store.RequestTimeout)
		if o, err := s.store.Get(ctx, KindSegment, r.Name); err == nil {
			_, _ = s.store.Delete(ctx, KindSegment, r.Name, o.Version)
		}
		cancel()
	}
	s.index.forget(s.window.Oldest(time.Now()))
}

// refresh reads the head and the segments that are not in the index yet.
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
	s.version, s.head, s.read = o.Version, head, true
	return nil
}

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
