package inventory

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/snowspoke/snowspoke/boottime"
	"github.com/snowspoke/snowspoke/internal/wait"
	"github.com/snowspoke/snowspoke/store"
)

// Follow follows the store until ctx ends. The pause after failed calls starts at first
// and doubles up to longest, with jitter of one half.
func (i *Inventory) Follow(ctx context.Context, first, longest time.Duration) {
	defer i.clearLastContact()
	var wg sync.WaitGroup
	relist := make(chan struct{}, 1)
	relistServers := func() {
		select {
		case relist <- struct{}{}:
		default: // already pending
		}
	}
	reachable := newGate()
	wg.Go(func() {
		follow(ctx, &follower[ConfigRecord]{
			name: "configuration", logger: i.logger, first: first, longest: longest, batchDelay: configBatchDelay, list: hedged(i.feed.Config), watch: i.feed.ConfigChanges,
			apply:  i.applyConfig,
			onBack: reachable.open, onAnswer: i.noteAnswer, onStillLost: i.noteOutage,
			onLost: func() {
				i.clearLastContact()
				reachable.shut()
				relistServers()
			},
			onRestored: relistServers,
		})
	})
	wg.Go(func() {
		follow(ctx, &follower[ServerRecord]{
			name: "backend servers", logger: i.logger, first: first, longest: longest, batchDelay: ServerBatchDelay, relist: relist,
			list: i.feed.Servers, watch: i.feed.ServerChanges, before: reachable.await, onLost: func() {}, onBack: func() {}, onAnswer: i.noteAnswer, onStillLost: func() {},
			apply: func(r Read[ServerRecord], full bool, _ time.Time) { i.applyServers(r.At, r.Items, full) },
		})
	})
	wg.Wait()
}

// follower lists objects of a kind and then watches them.
type follower[T any] struct {
	name       string
	logger     log.Logger
	batchDelay time.Duration   // pause after changes
	first      time.Duration   // pause after the first failed call
	longest    time.Duration   // longest pause after failed calls
	relist     <-chan struct{} // ends a watch, so that the follower lists again; may be nil
	list       func(context.Context) (Read[T], error)
	watch      func(context.Context, store.Position, time.Duration) (Read[T], error)
	// apply applies a read; nothing newer existed at fresh.
	apply    func(r Read[T], full bool, fresh time.Time)
	onLost   func() // called when reads begin to fail
	onBack   func() // called at the first successful read and at the first after onLost
	onAnswer func() // called at each successful read before it is applied
	// onStillLost is called at each failed read after another one.
	onStillLost func()
	isLost      bool
	answered    bool // a read has succeeded
	// before is called before each read. It may block, and may be nil.
	before func(context.Context)
	// onRestored is called when a read shows that the store was restored from an older
	// copy. It may be nil.
	onRestored func()
	era        uint64 // of the last answer
}

// follow runs a follower until ctx ends. After a failed call it lists again, since entries
// may have expired in the meantime.
func follow[T any](ctx context.Context, f *follower[T]) {
	pause := newPause(f.first, f.longest)
	at := store.Position(0)
	for ctx.Err() == nil {
		if f.before != nil {
			f.before(ctx)
		}
		if f.takeRelist() {
			at = 0
		}
		full, called := at == 0, time.Now()
		r, fresh, err := f.read(ctx, at)
		if err != nil {
			at = 0
			f.noteResult(err)
			// The time without an answer is part of the pause.
			wait.For(ctx, max(0, pause.NextBackOff()-time.Since(called)))
			continue
		}
		f.noteEra(r.At.Era())
		f.noteResult(nil)
		pause.Reset()
		f.onAnswer()
		f.apply(r, full, fresh)
		at = max(at, r.At)
		if len(r.Items) > 0 {
			wait.For(ctx, f.batchDelay)
		}
	}
}

// takeRelist reports whether the follower was asked to list again while it made no call. A
// watch would tell of records that expired in an outage as of any other removal.
func (f *follower[T]) takeRelist() bool {
	select {
	case <-f.relist:
		return true
	default: // also if relist is nil
		return false
	}
}

// errRelist is the cause when a watch is canceled because another read failed, or showed that
// the store was restored.
var errRelist = errors.New("inventory: store may be lost")

// read performs a list, or a watch if at is set. A watch that returns without changes
// after its full wait proves that there were none until watchMargin before its end; any
// other answer is fresh as of when it was sent.
func (f *follower[T]) read(ctx context.Context, at store.Position) (r Read[T], fresh time.Time, err error) {
	sent := boottime.Now()
	if at == 0 {
		r, err = f.list(ctx)
		return r, sent, err
	}
	wctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	if f.relist != nil {
		go func() {
			select {
			case <-f.relist:
				cancel(errRelist)
			case <-stop:
			}
		}()
	}
	r, err = f.watch(wctx, at, WatchTimeout)
	if err == nil && len(r.Items) == 0 && boottime.Since(sent) >= WatchTimeout {
		return r, sent.Add(WatchTimeout - watchMargin), nil
	}
	return r, sent, err
}

// noteResult logs the loss and the return of the store, and calls onLost and onBack.
func (f *follower[T]) noteResult(err error) {
	switch {
	case errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored):
		_ = level.Info(f.logger).Log("msg", "listing the store again", "of", f.name, "err", err)
	case err != nil && f.isLost:
		f.onStillLost()
	case err != nil:
		f.isLost = true
		f.onLost()
		_ = level.Warn(f.logger).Log("msg", "store lost", "of", f.name, "err", err)
	case err == nil && f.isLost:
		f.isLost = false
		f.onBack()
		_ = level.Info(f.logger).Log("msg", "store back", "of", f.name)
	case err == nil && !f.answered:
		f.onBack()
	}
	f.answered = f.answered || err == nil
}

// noteEra records the era of an answer, and calls onRestored if the era is later than that of
// the previous answer.
func (f *follower[T]) noteEra(era uint64) {
	if f.answered && era > f.era && f.onRestored != nil {
		f.onRestored()
	}
	f.era = era
}

// newPause returns an exponential backoff.
func newPause(first, longest time.Duration) *backoff.ExponentialBackOff {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = first
	p.MaxInterval = longest
	p.Multiplier = 2
	return p
}

// gate blocks one follower while another has no contact with the store, so that only one
// retries. It is safe for concurrent use.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed while the gate is open
	isOpen bool
}

// newGate returns a shut gate, so that a follower also waits for the first contact of the
// other one.
func newGate() *gate { return &gate{opened: make(chan struct{})} }

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isOpen {
		close(g.opened)
		g.isOpen = true
	}
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isOpen {
		g.opened = make(chan struct{})
		g.isOpen = false
	}
}

func (g *gate) await(ctx context.Context) {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	select {
	case <-opened:
	case <-ctx.Done():
	}
}
