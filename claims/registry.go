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

// Options are the settings of a Registry.
type Options struct {
	Self           string
	Shards         int
	Window         Window
	MaxStoredBytes int64 // memory limit for stored answers
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
	// releasing holds the IDs of requests of this daemon that did not run, from the
	// start of the release of their claims until releaseTimeout after it. Other
	// daemons may request their answers during that time.
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

// NewRegistry returns a Registry that keeps its claims in store.
func NewRegistry(o Options, store Store, peers Peers, now func() time.Time) *Registry {
	reg := &Registry{opts: o, peers: peers, now: now, entries: map[KeyHash]*entry{}, releasing: map[string]bool{}}
	for i := range o.Shards {
		reg.shards = append(reg.shards, NewShard(i, store, o.Window))
	}
	return reg
}

// Once calls run for the first use of a key in the fleet, and otherwise returns
// the answer of the first use. The kind of run's error must state correctly
// whether the request ran.
//
// Errors are of package apierror: BadKey and KeyExpired for a key that is not
// valid, KeyReused for a key that was used with another body, InProgress while the
// first use may still be running, StoreUnavailable if the key could not be claimed or
// its claim is being released, OutcomeUnknown if the answer of the first use is lost,
// and the errors of run.
func (reg *Registry) Once(ctx context.Context, u Use, run func() (*Answer, error)) (*Answer, error) {
	k, err := ParseKey(u.Workspace, u.Key, reg.opts.Window, reg.now())
	if err != nil {
		return nil, keyError(err)
	}
	e, first := reg.getOrCreate(k.Hash, u)
	if !first {
		return reg.await(ctx, e, u)
	}
	answer, ran, err := reg.claimAndRun(ctx, k, u, run)
	reg.finish(k.Hash, e, answer, err, ran)
	return answer, err
}

func keyError(err error) error {
	if errors.Is(err, ErrExpired) {
		return apierror.Wrap(apierror.KeyExpired, err)
	}
	return apierror.Wrap(apierror.BadKey, err)
}

// getOrCreate returns the entry of a key, and whether it was created.
func (reg *Registry) getOrCreate(k KeyHash, u Use) (*entry, bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if e := reg.entries[k]; e != nil {
		return e, false
	}
	e := &entry{use: u, done: make(chan struct{})}
	reg.entries[k] = e
	return e, true
}

// await waits for the answer of an entry of this daemon.
func (reg *Registry) await(ctx context.Context, e *entry, u Use) (*Answer, error) {
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
func (reg *Registry) claimAndRun(ctx context.Context, k Key, u Use, run func() (*Answer, error)) (a *Answer, ran bool, err error) {
	r := Record{Key: k.Hash, BodyHash: u.BodyHash, RequestID: u.RequestID, Daemon: reg.opts.Self, At: k.time(reg.now())}
	result, err := reg.propose(ctx, r)
	if err != nil {
		go reg.release(r) // the claim may have been committed nevertheless
		return nil, false, apierror.New(apierror.StoreUnavailable, "the key could not be claimed: %v", err)
	}
	if !result.Won {
		a, err = reg.answerFromHolder(ctx, u, result.Held)
		return a, false, err
	}
	// The key may have expired during the commit, and other daemons may have
	// dropped its claim: the request must not run.
	if err := k.CheckAge(reg.opts.Window, reg.now()); err != nil {
		go reg.release(r)
		return nil, false, keyError(err)
	}
	a, err = run()
	if err != nil && apierror.From(err).NotRun() {
		reg.release(r)
	}
	return a, true, err
}

// propose commits a record through the shard's preferred writer, or locally if
// that daemon does not answer. The preferred writer only reduces conflicts.
func (reg *Registry) propose(ctx context.Context, r Record) (Result, error) {
	i := ShardOf(r.Key, reg.opts.Shards)
	if w := reg.peers.Writer(i); w != "" && w != reg.opts.Self {
		forwardCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		result, err := reg.peers.Propose(forwardCtx, w, r)
		cancel()
		if err == nil {
			return result, nil
		}
	}
	return reg.shards[i].Propose(ctx, r)
}

// forwardTimeout limits the wait for the preferred writer. A second proposal here
// is safe, because records are identified by their request IDs.
const forwardTimeout = 2 * time.Second

// releaseTimeout limits the release of a claim, and the time after it during which
// this daemon can report that the request did not run.
const releaseTimeout = 30 * time.Second

// release releases the claim of a request that did not run, so that a retry can
// run.
func (reg *Registry) release(r Record) {
	reg.setReleasing(r.RequestID, true)
	defer time.AfterFunc(releaseTimeout, func() { reg.setReleasing(r.RequestID, false) })
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	r.Release = true
	_, _ = reg.propose(ctx, r)
}

func (reg *Registry) setReleasing(requestID string, on bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if on {
		reg.releasing[requestID] = true
		return
	}
	delete(reg.releasing, requestID)
}

// missingEntryError returns the error for a request that this daemon has claimed a
// key for but has no entry of.
func (reg *Registry) missingEntryError(requestID string) error {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.releasing[requestID] {
		return apierror.New(apierror.StoreUnavailable, "request %s did not run, its claim is released", requestID)
	}
	return apierror.New(apierror.OutcomeUnknown, "the key is claimed by request %s, of which nothing more is known", requestID)
}

// answerFromHolder answers a use of a key that is claimed by another request.
func (reg *Registry) answerFromHolder(ctx context.Context, u Use, held Record) (*Answer, error) {
	if held.BodyHash != u.BodyHash {
		return nil, apierror.New(apierror.KeyReused, "the key was used with another body")
	}
	if held.Daemon == reg.opts.Self {
		return nil, reg.missingEntryError(held.RequestID)
	}
	a, err := reg.peers.Answer(ctx, held.Daemon, held.Key, held.RequestID)
	var known *apierror.Error
	if err == nil || errors.As(err, &known) {
		return a, err
	}
	return nil, apierror.New(apierror.InProgress, "request %s on daemon %s, which does not answer", held.RequestID, held.Daemon)
}

// finish completes an entry. It keeps an answer, or the error of a request that ran
// here at least in part, for later uses of the key. After any other error (the
// request did not run, or another daemon returned the error) it removes the entry.
func (reg *Registry) finish(k KeyHash, e *entry, a *Answer, err error, ran bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	e.answer, e.err = a, err
	close(e.done)
	if err != nil && (!ran || apierror.From(err).NotRun()) {
		delete(reg.entries, k)
		return
	}
	e.size = entryOverhead
	if a != nil {
		e.size += int64(len(a.Body))
	}
	reg.storedBytes += e.size
	reg.finished = append(reg.finished, k)
	reg.evict()
}

// entryOverhead is the estimated size of a stored entry without its body, in bytes.
const entryOverhead = 512

// evict removes the oldest finished entries beyond the memory limit. The caller
// holds reg.mu.
func (reg *Registry) evict() {
	for reg.storedBytes > reg.opts.MaxStoredBytes && len(reg.finished) > 0 {
		k := reg.finished[0]
		reg.finished = reg.finished[1:]
		if e := reg.entries[k]; e != nil {
			reg.storedBytes -= e.size
			delete(reg.entries, k)
		}
	}
}

// ServePropose handles Peers.Propose of another daemon.
func (reg *Registry) ServePropose(ctx context.Context, r Record) (Result, error) {
	return reg.shards[ShardOf(r.Key, reg.opts.Shards)].ProposeFor(ctx, r)
}

// ServeAnswer handles Peers.Answer of another daemon.
func (reg *Registry) ServeAnswer(ctx context.Context, k KeyHash, requestID string) (*Answer, error) {
	reg.mu.Lock()
	e := reg.entries[k]
	reg.mu.Unlock()
	if e == nil || e.use.RequestID != requestID {
		return nil, reg.missingEntryError(requestID)
	}
	return reg.await(ctx, e, e.use)
}
