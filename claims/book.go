package claims

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/apierror"
)

// Answer is a kept answer of a request with an idempotency key.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// Use is one use of an idempotency key.
type Use struct {
	Workspace string
	Key       string
	BodyHash  uint64
	RequestID string
}

// Peers reaches other daemons. Errors say nothing about whether they acted.
type Peers interface {
	// Writer returns the daemon that should write a shard; self is fine.
	Writer(shard int) string
	// Propose asks another daemon to commit a record.
	Propose(ctx context.Context, daemon string, r Record) (Verdict, error)
	// Answer asks another daemon for the answer of a request, and waits for it
	// if the request is running.
	Answer(ctx context.Context, daemon string, key KeyHash, requestID string) (*Answer, error)
}

// Options are the settings of a book.
type Options struct {
	Self      string
	Shards    int
	Window    Window
	KeepBytes int64 // memory for kept answers
}

// Book makes the first use of a key run and gives later uses its answer. It is
// safe for concurrent use.
type Book struct {
	opts   Options
	shards []*Shard
	peers  Peers
	now    func() time.Time

	mu      sync.Mutex
	flights map[KeyHash]*flight
	kept    []KeyHash // finished flights, oldest first
	bytes   int64
	// releasing are requests of this daemon that surely did not run and whose
	// claims are being released, or were lately: others may still ask about them.
	releasing map[string]bool
}

// flight is a request under way or a kept answer.
type flight struct {
	use    Use
	done   chan struct{} // closed when answer or err is set
	answer *Answer
	err    error
	size   int64
}

// NewBook returns a book over the store.
func NewBook(o Options, store Store, peers Peers, now func() time.Time) *Book {
	b := &Book{opts: o, peers: peers, now: now, flights: map[KeyHash]*flight{}, releasing: map[string]bool{}}
	for i := range o.Shards {
		b.shards = append(b.shards, NewShard(i, store, o.Window))
	}
	return b
}

// Once runs run for the first use of a key anywhere in the fleet. run's error
// must say truly, by its kind, whether the request ran.
func (b *Book) Once(ctx context.Context, u Use, run func() (*Answer, error)) (*Answer, error) {
	k, err := ParseKey(u.Workspace, u.Key, b.opts.Window, b.now())
	if err != nil {
		return nil, keyError(err)
	}
	f, first := b.enter(k.Hash, u)
	if !first {
		return b.attach(ctx, f, u)
	}
	answer, ran, err := b.claimAndRun(ctx, k, u, run)
	b.finish(k.Hash, f, answer, err, ran)
	return answer, err
}

func keyError(err error) error {
	if errors.Is(err, ErrExpired) {
		return apierror.Wrap(apierror.KeyExpired, err)
	}
	return apierror.Wrap(apierror.BadKey, err)
}

// enter returns the flight of a key, and whether the caller has just made it.
func (b *Book) enter(k KeyHash, u Use) (*flight, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.flights[k]; f != nil {
		return f, false
	}
	f := &flight{use: u, done: make(chan struct{})}
	b.flights[k] = f
	return f, true
}

// attach waits for the answer of a flight of this daemon.
func (b *Book) attach(ctx context.Context, f *flight, u Use) (*Answer, error) {
	if f.use.BodyHash != u.BodyHash {
		return nil, apierror.New(apierror.KeyReused, "the key was used with another body")
	}
	select {
	case <-f.done:
		return f.answer, f.err
	case <-ctx.Done():
		return nil, apierror.New(apierror.InProgress, "the first use of the key is still running")
	}
}

// claimAndRun returns the answer, and whether the request was run here.
func (b *Book) claimAndRun(ctx context.Context, k Key, u Use, run func() (*Answer, error)) (a *Answer, ran bool, err error) {
	r := Record{Key: k.Hash, BodyHash: u.BodyHash, RequestID: u.RequestID, Daemon: b.opts.Self, At: k.time(b.now())}
	v, err := b.propose(ctx, r)
	if err != nil {
		go b.release(r) // the claim may have been committed all the same
		return nil, false, apierror.New(apierror.StoreUnavailable, "the key could not be claimed: %v", err)
	}
	if !v.Won {
		a, err = b.other(ctx, u, v.Held)
		return a, false, err
	}
	// The commit may have taken long: a key that has expired meanwhile may have
	// been dropped elsewhere, so nothing runs on it.
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

// propose commits a record through the shard's preferred writer, which only
// saves conflicts, or here when that one does not answer.
func (b *Book) propose(ctx context.Context, r Record) (Verdict, error) {
	i := ShardOf(r.Key, b.opts.Shards)
	if w := b.peers.Writer(i); w != "" && w != b.opts.Self {
		fctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		v, err := b.peers.Propose(fctx, w, r)
		cancel()
		if err == nil {
			return v, nil
		}
	}
	return b.shards[i].Propose(ctx, r)
}

// forwardTimeout bounds the wait for the preferred writer. Proposing again here
// is safe: a record is known by its request ID.
const forwardTimeout = 2 * time.Second

// releaseTimeout bounds the release of a claim, and how long this daemon can say
// afterwards that the request did not run.
const releaseTimeout = 30 * time.Second

// release ends a claim whose request surely did not run, or else the retry that
// the answer allows could never run.
func (b *Book) release(r Record) {
	b.setReleasing(r.RequestID, true)
	defer time.AfterFunc(releaseTimeout, func() { b.setReleasing(r.RequestID, false) })
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	r.Release = true
	_, _ = b.propose(ctx, r)
}

func (b *Book) setReleasing(requestID string, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if on {
		b.releasing[requestID] = true
		return
	}
	delete(b.releasing, requestID)
}

// unknown is the answer about a claim of this daemon that has no flight.
func (b *Book) unknown(requestID string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.releasing[requestID] {
		return apierror.New(apierror.StoreUnavailable, "request %s did not run, its claim is released", requestID)
	}
	return apierror.New(apierror.OutcomeUnknown, "the key is claimed by request %s, of which nothing more is known", requestID)
}

// other answers a use of a key that another request holds.
func (b *Book) other(ctx context.Context, u Use, held Record) (*Answer, error) {
	if held.BodyHash != u.BodyHash {
		return nil, apierror.New(apierror.KeyReused, "the key was used with another body")
	}
	if held.Daemon == b.opts.Self {
		return nil, b.unknown(held.RequestID)
	}
	a, err := b.peers.Answer(ctx, held.Daemon, held.Key, held.RequestID)
	var known *apierror.Error
	if err == nil || errors.As(err, &known) {
		return a, err
	}
	return nil, apierror.New(apierror.InProgress, "request %s on daemon %s, which does not answer", held.RequestID, held.Daemon)
}

// finish ends a flight. An answer is kept for later uses of the key, and so is
// the error of a request that ran here, at least in part. What surely did not
// run, and what another daemon said of its request, is asked anew.
func (b *Book) finish(k KeyHash, f *flight, a *Answer, err error, ran bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f.answer, f.err = a, err
	close(f.done)
	if err != nil && (!ran || apierror.From(err).NotRun()) {
		delete(b.flights, k)
		return
	}
	f.size = flightBytes
	if a != nil {
		f.size += int64(len(a.Body))
	}
	b.bytes += f.size
	b.kept = append(b.kept, k)
	b.evict()
}

// flightBytes is the estimated size of a kept flight beside its body.
const flightBytes = 512

func (b *Book) evict() {
	for b.bytes > b.opts.KeepBytes && len(b.kept) > 0 {
		k := b.kept[0]
		b.kept = b.kept[1:]
		if f := b.flights[k]; f != nil {
			b.bytes -= f.size
			delete(b.flights, k)
		}
	}
}

// Serve answers Peers.Propose of another daemon.
func (b *Book) Serve(ctx context.Context, r Record) (Verdict, error) {
	return b.shards[ShardOf(r.Key, b.opts.Shards)].ProposeFor(ctx, r)
}

// ServeAnswer answers Peers.Answer of another daemon.
func (b *Book) ServeAnswer(ctx context.Context, k KeyHash, requestID string) (*Answer, error) {
	b.mu.Lock()
	f := b.flights[k]
	b.mu.Unlock()
	if f == nil || f.use.RequestID != requestID {
		return nil, b.unknown(requestID)
	}
	return b.attach(ctx, f, f.use)
}
