package claims

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
)

// Answer is the stored answer of a request with an idempotency key.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// Use is a request that carries an idempotency key.
type Use struct {
	Workspace string
	Key       string
	BodyHash  uint64
	RequestID string
}

// Peers calls other daemons. After an error the call may or may not have taken
// effect.
type Peers interface {
	// Writer returns the preferred writer of a shard, which may be this daemon.
	Writer(shard int) string
	// Propose requests that another daemon commit a record.
	Propose(ctx context.Context, daemon string, r Record) (Result, error)
	// Answer requests the answer of a request from another daemon, which waits
	// for it while the request is running.
	Answer(ctx context.Context, daemon string, key KeyHash, requestID string) (*Answer, error)
}

// Options are the settings of a Book.
type Options struct {
	Self      string
	Shards    int
	Window    Window
	KeepBytes int64 // memory limit for stored answers
}

// Registry runs the request of the first use of a key and returns its answer to later
// uses. It is safe for concurrent use.
type Registry struct {
	opts   Options
	shards []*Shard
	peers  Peers
	now    func() time.Time

	mu          sync.Mutex
	entries     map[KeyHash]*entry
	finished    []KeyHash // keys of finished entries, oldest first
	storedBytes int64
	// releasing holds the IDs of requests of this daemon that did not run and whose
	// claims are being released or were within releaseTimeout: other daemons may
	// still ask for their answers.
	releasing map[string]bool
}

// entry is a running request or a stored answer.
type entry struct {
	use    Use
	done   chan struct{} // closed once answer and err are set
	answer *Answer
	err    error
	size   int64
}

// NewRegistry returns a Book whose claims are kept in store.
func NewRegistry(o Options, store Store, peers Peers, now func() time.Time) *Registry {
	b := &Registry{opts: o, peers: peers, now: now, entries: map[KeyHash]*entry{}, releasing: map[string]bool{}}
	for i := range o.Shards {
		b.shards = append(b.shards, NewShard(i, store, o.Window))
	}
	return b
}

// Once calls run for the first use of a key in the fleet, and otherwise returns
// the answer of the first use. The kind of run's error must state correctly
// whether the request ran.
func (b *Registry) Once(ctx context.Context, u Use, run func() (*Answer, error)) (*Answer, error) {
	k, err := ParseKey(u.Workspace, u.Key, b.opts.Window, b.now())
	if err != nil {
		return nil, keyError(err)
	}
	e, first := b.getOrCreate(k.Hash, u)
	if !first {
		return b.await(ctx, e, u)
	}
	answer, ran, err := b.claimAndRun(ctx, k, u, run)
	b.finish(k.Hash, e, answer, err, ran)
	return answer, err
}

func keyError(err error) error {
	if errors.Is(err, ErrExpired) {
		return apierror.Wrap(apierror.KeyExpired, err)
	}
	return apierror.Wrap(apierror.BadKey, err)
}

// getOrCreate returns the entry of a key, and whether it was created.
func (b *Registry) getOrCreate(k KeyHash, u Use) (*entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[k]; e != nil {
		return e, false
	}
	e := &entry{use: u, done: make(chan struct{})}
	b.entries[k] = e
	return e, true
}

// await waits for the answer of an entry of this daemon.
func (b *Registry) await(ctx context.Context, e *entry, u Use) (*Answer, error) {
	if e.use.BodyHash != u.BodyHash {
		return nil, apierror.New(apierror.KeyReused, "the key was used with another body")
	}
	select {
	case <-e.done:
		return e.answer, e.err
	case <-ctx.Done():
		return nil, apierror.New(apierror.InProgress, "the first use of the key is still running")
	}
}

// claimAndRun claims the key and calls run if it won. It returns the answer, and
// whether the request ran here.
func (b *Registry) claimAndRun(ctx context.Context, k Key, u Use, run func() (*Answer, error)) (a *Answer, ran bool, err error) {
	r := Record{Key: k.Hash, BodyHash: u.BodyHash, RequestID: u.RequestID, Daemon: b.opts.Self, At: k.time(b.now())}
	v, err := b.propose(ctx, r)
	if err != nil {
		go b.release(r) // the claim may have been committed nevertheless
		return nil, false, apierror.New(apierror.StoreUnavailable, "the key could not be claimed: %v", err)
	}
	if !v.Won {
		a, err = b.answerFromHolder(ctx, u, v.Held)
		return a, false, err
	}
	// The key may have expired during the commit, and other daemons may have
	// dropped its claim: the request must not run.
	if err := k.CheckAge(b.opts.Window, b.now()); err != nil {
		go b.release(r)
		return nil, false, keyError(err)
	}
	a, err = run()
	if err != nil && apierror.From(err).NotRun() {
		b.release(r)
	}
	return a, true, err
}

// propose commits a record through the shard's preferred writer, or locally if
// that daemon does not answer. The preferred writer only reduces conflicts.
func (b *Registry) propose(ctx context.Context, r Record) (Result, error) {
	i := ShardOf(r.Key, b.opts.Shards)
	if w := b.peers.Writer(i); w != "" && w != b.opts.Self {
		forwardCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		v, err := b.peers.Propose(forwardCtx, w, r)
		cancel()
		if err == nil {
			return v, nil
		}
	}
	return b.shards[i].Propose(ctx, r)
}

// forwardTimeout limits the wait for the preferred writer. A second proposal here
// is safe, because records are identified by their request IDs.
const forwardTimeout = 2 * time.Second

// releaseTimeout limits the release of a claim, and the time after it during which
// this daemon can report that the request did not run.
const releaseTimeout = 30 * time.Second

// release releases the claim of a request that did not run, so that a retry can
// run.
func (b *Registry) release(r Record) {
	b.setReleasing(r.RequestID, true)
	defer time.AfterFunc(releaseTimeout, func() { b.setReleasing(r.RequestID, false) })
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	r.Release = true
	_, _ = b.propose(ctx, r)
}

func (b *Registry) setReleasing(requestID string, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if on {
		b.releasing[requestID] = true
		return
	}
	delete(b.releasing, requestID)
}

// missingEntryError returns the error for a claim of this daemon without an entry.
func (b *Registry) missingEntryError(requestID string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.releasing[requestID] {
		return apierror.New(apierror.StoreUnavailable, "request %s did not run, its claim is released", requestID)
	}
	return apierror.New(apierror.OutcomeUnknown, "the key is claimed by request %s, of which nothing more is known", requestID)
}

// answerFromHolder answers a use of a key that is claimed by another request.
func (b *Registry) answerFromHolder(ctx context.Context, u Use, held Record) (*Answer, error) {
	if held.BodyHash != u.BodyHash {
		return nil, apierror.New(apierror.KeyReused, "the key was used with another body")
	}
	if held.Daemon == b.opts.Self {
		return nil, b.missingEntryError(held.RequestID)
	}
	a, err := b.peers.Answer(ctx, held.Daemon, held.Key, held.RequestID)
	var known *apierror.Error
	if err == nil || errors.As(err, &known) {
		return a, err
	}
	return nil, apierror.New(apierror.InProgress, "request %s on daemon %s, which does not answer", held.RequestID, held.Daemon)
}

// finish completes an entry. It stores an answer, or the error of a request that
// ran here at least in part, for later uses of the key. It removes the entry after
// other errors: of requests that did not run, and those returned by another daemon.
func (b *Registry) finish(k KeyHash, e *entry, a *Answer, err error, ran bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.answer, e.err = a, err
	close(e.done)
	if err != nil && (!ran || apierror.From(err).NotRun()) {
		delete(b.entries, k)
		return
	}
	e.size = entryOverhead
	if a != nil {
		e.size += int64(len(a.Body))
	}
	b.storedBytes += e.size
	b.finished = append(b.finished, k)
	b.evict()
}

// entryOverhead is the estimated size of a stored entry without its body, in bytes.
const entryOverhead = 512

// evict removes the oldest finished entries beyond the memory limit. The caller
// holds b.mu.
func (b *Registry) evict() {
	for b.storedBytes > b.opts.KeepBytes && len(b.finished) > 0 {
		k := b.finished[0]
		b.finished = b.finished[1:]
		if e := b.entries[k]; e != nil {
			b.storedBytes -= e.size
			delete(b.entries, k)
		}
	}
}

// Serve handles Peers.Propose of another daemon.
func (b *Registry) Serve(ctx context.Context, r Record) (Result, error) {
	return b.shards[ShardOf(r.Key, b.opts.Shards)].ProposeFor(ctx, r)
}

// ServeAnswer handles Peers.Answer of another daemon.
func (b *Registry) ServeAnswer(ctx context.Context, k KeyHash, requestID string) (*Answer, error) {
	b.mu.Lock()
	e := b.entries[k]
	b.mu.Unlock()
	if e == nil || e.use.RequestID != requestID {
		return nil, b.missingEntryError(requestID)
	}
	return b.await(ctx, e, e.use)
}
