package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/quarantine"
	"github.com/snowspoke/snowspoke/store"
)

// Where requests that are held back are kept: one object, so that a daemon that starts
// knows all by one read.
const (
	kindQuarantine = "snowspoke-quarantine"
	heldObject     = "held"
)

// Times of keeping what is held back.
const (
	// heldGather is the pause between a change and its write: the ends that one request
	// causes come together, and are one write.
	heldGather = 150 * time.Millisecond
	// heldTurn is how much later each further failure domain looks whether a change is
	// kept: the first one's write takes a few milliseconds, and the others find it done.
	heldTurn = 500 * time.Millisecond
	// heldAgain is the time between two looks when nothing changes: what is held back
	// runs out.
	heldAgain = 30 * time.Second
	// heldRetry and heldRetryMost bound the pause after a call that failed, which doubles:
	// what is not kept is lost if all daemons are killed. An outage of eight seconds costs
	// each source six calls.
	heldRetry     = 250 * time.Millisecond
	heldRetryMost = 2 * time.Second
	// heldTries and heldPause bound the reads of a daemon that starts: a store that does
	// not answer them answers nothing else either.
	heldTries = 3
	heldPause = 100 * time.Millisecond
)

// heldStore is what keeping needs of the platform's store.
type heldStore interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Put(ctx context.Context, kind, name string, spec []byte, ifVersion store.Position) (store.Position, error)
	Era() uint64
}

// heldKeeper keeps the requests that are held back in the platform's store, where they
// outlast all daemons: without it, each moment at which all daemons were killed cost two
// more backend servers for each request that ends what runs it. The daemons that follow
// the store as the first of their failure domain write; all that start know what is kept
// before they send a request on, over their source or by a read of their own.
type heldKeeper struct {
	book   *quarantine.Book
	store  heldStore
	turn   func() (rank int, writes bool)
	logger log.Logger
	woken  chan struct{} // the store has come back from a copy

	known   bool           // what is kept was read in the present era
	version store.Position // of the object, 0 for none
	kept    []quarantine.Entry
}

// newHeldKeeper returns a keeper. turn says whether this daemon writes, and how many
// failure domains come before its own.
func newHeldKeeper(book *quarantine.Book, s heldStore, turn func() (rank int, writes bool), logger log.Logger) *heldKeeper {
	return &heldKeeper{book: book, store: s, turn: turn, logger: logger, woken: make(chan struct{}, 1)}
}

// wake has the keeper look again whether all is kept.
func (k *heldKeeper) wake() {
	select {
	case k.woken <- struct{}{}:
	default: // it is about to
	}
}

// load reads what is kept into the book, before this daemon sends its first request on.
func (k *heldKeeper) load(ctx context.Context) {
	for range heldTries {
		if o, answered := k.fetch(ctx); answered {
			k.join(o)
			return
		}
		if !wait.For(ctx, heldPause) {
			return
		}
	}
}

// fetch reads the object, one without a revision where there is none; answered is false
// if the store did not say.
func (k *heldKeeper) fetch(ctx context.Context) (o store.Object, answered bool) {
	o, err := k.store.Get(ctx, kindQuarantine, heldObject)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		_ = level.Warn(k.logger).Log("msg", "held back requests not read", "err", err)
		return o, false
	}
	return o, true
}

// join takes what an object keeps into the book. One that cannot be read is written over.
func (k *heldKeeper) join(o store.Object) []quarantine.Entry {
	if o.Version.Revision() == 0 {
		return nil
	}
	now := time.Now()
	entries, err := quarantine.DecodeRecord(o.Spec, now)
	if err != nil {
		_ = level.Error(k.logger).Log("msg", "record of held back requests ignored", "version", o.Version, "err", err)
		return nil
	}
	k.book.Join(entries, now)
	_ = level.Info(k.logger).Log("msg", "decision", "kind", "quarantine", "outcome", "read", "requests", len(entries), "version", o.Version)
	return entries
}

// run keeps the store alike with the book until ctx ends.
func (k *heldKeeper) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval, retry.Multiplier = heldRetry, heldRetryMost, 2
	for ctx.Err() == nil {
		changed, pause := k.book.Changed(), heldAgain
		if rank, writes := k.turn(); !writes {
			k.known = false
		} else if !wait.For(ctx, time.Duration(rank)*heldTurn) {
			return
		} else if k.sync(ctx, rank) {
			retry.Reset()
		} else {
			pause = retry.NextBackOff()
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-k.woken:
			k.known = false
		case <-time.After(pause):
		}
		wait.For(ctx, heldGather)
	}
}

// sync writes what is held back if other is kept. It returns false if the store did not
// say that it is kept.
func (k *heldKeeper) sync(ctx context.Context, rank int) (kept bool) {
	if k.done() {
		return true
	}
	if !k.known || rank > 0 {
		if !k.read(ctx) {
			return false
		}
		if k.done() {
			return true
		}
	}
	held := k.held()
	data, err := quarantine.EncodeRecord(held)
	if err != nil {
		_ = level.Error(k.logger).Log("msg", "held back requests not kept", "err", err)
		return true // nor would it be the next time
	}
	version, err := k.store.Put(ctx, kindQuarantine, heldObject, data, k.version)
	if err != nil {
		k.known = false
		_ = level.Warn(k.logger).Log("msg", "held back requests not kept", "requests", len(held), "err", err)
		return false
	}
	k.version, k.kept = version, held
	_ = level.Info(k.logger).Log("msg", "decision", "kind", "quarantine", "outcome", "kept", "requests", len(held), "version", version)
	return true
}

// read learns what is kept now, and joins it.
func (k *heldKeeper) read(ctx context.Context) bool {
	o, answered := k.fetch(ctx)
	if !answered {
		return false
	}
	k.known, k.kept, k.version = true, k.join(o), o.Version
	if o.Version.Revision() == 0 {
		k.version = 0
	}
	return true
}

// done reports whether what is kept is what is held back, as far as this daemon knows. What
// has run out needs no write of its own.
func (k *heldKeeper) done() bool {
	held := k.held()
	if !k.known || k.version != 0 && k.version.Era() != k.store.Era() {
		return len(held) == 0
	}
	return quarantine.SameHeld(held, k.kept)
}

func (k *heldKeeper) held() []quarantine.Entry {
	held := k.book.HeldBack(time.Now())
	return held[:min(len(held), quarantine.RecordMost)]
}
