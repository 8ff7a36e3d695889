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

// Follow follows the store itself until ctx ends. The pause after failed calls is first,
// then twice as long each time until longest, varied by half.
func (i *Inventory) Follow(ctx context.Context, first, longest time.Duration) {
	defer i.forgetHeard()
	var wg sync.WaitGroup
	suspect := make(chan struct{}, 1)
	listServers := func() {
		select {
		case suspect <- struct{}{}:
		default: // the other follower knows already
		}
	}
	inReach := newGate()
	wg.Go(func() {
		follow(ctx, &follower[ConfigRecord]{
			name: "configuration", logger: i.logger, first: first, longest: longest, wait: configWait, gather: configGather, list: i.feed.Config, watch: i.feed.ConfigChanges,
			take: func(r Read[ConfigRecord], _ bool, fresh time.Time) { i.takeConfig(r, fresh) },
			back: inReach.open,
			lost: func() {
				i.forgetHeard()
				inReach.shut()
				listServers()
			},
			restored: listServers,
		})
	})
	wg.Go(func() {
		follow(ctx, &follower[ServerRecord]{
			name: "backend servers", logger: i.logger, first: first, longest: longest, wait: serverWait, gather: gather, suspect: suspect,
			list: i.feed.Servers, watch: i.feed.ServerChanges, before: inReach.await, lost: func() {}, back: func() {},
			take: func(r Read[ServerRecord], full bool, _ time.Time) { i.takeServers(r.At, r.Items, full) },
		})
	})
	wg.Wait()
}

// follower lists a kind and then watches it.
type follower[T any] struct {
	name    string
	logger  log.Logger
	wait    time.Duration // of a watch
	gather  time.Duration // pause after changes
	first   time.Duration // pause after the first failed call
	longest time.Duration // pause after failed calls
	suspect <-chan struct{}
	list    func(context.Context) (Read[T], error)
	watch   func(context.Context, store.Position, time.Duration) (Read[T], error)
	// take applies what was read; nothing newer existed at fresh.
	take  func(r Read[T], full bool, fresh time.Time)
	lost  func() // called when reads begin to fail
	back  func() // called when one is answered, at first and after lost
	away  bool
	heard bool // a read was answered
	// before is called before each read, nil for nothing to wait for.
	before func(context.Context)
	// restored is called when a read shows that the store has come back from an older
	// copy, nil for nothing to do.
	restored func()
	era      uint64 // of the last answer
}

// follow runs a follower until ctx ends. After a failed call it lists again,
// since entries may have lapsed unseen.
func follow[T any](ctx context.Context, f *follower[T]) {
	pause := newPause(f.first, f.longest)
	at := store.Position(0)
	for ctx.Err() == nil {
		if f.before != nil {
			f.before(ctx)
		}
		full := at == 0
		r, fresh, err := f.read(ctx, at)
		if err != nil {
			at = 0
			f.note(err)
			wait.For(ctx, pause.NextBackOff())
			continue
		}
		f.noteEra(r.At.Era())
		f.note(nil)
		pause.Reset()
		f.take(r, full, fresh)
		at = max(at, r.At)
		if len(r.Items) > 0 {
			wait.For(ctx, f.gather)
		}
	}
}

// errSuspect ends a watch because another read of the store failed.
var errSuspect = errors.New("inventory: the store may be lost")

// read makes one list or watch. A watch that was answered without changes after
// its whole wait proves that there were none until then; any other answer only
// that there were none when it was asked for.
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
	if f.suspect != nil {
		go func() {
			select {
			case <-f.suspect:
				cancel(errSuspect)
			case <-stop:
			}
		}()
	}
	r, err = f.watch(wctx, at, f.wait)
	if err == nil && len(r.Items) == 0 && boottime.Since(sent) >= f.wait {
		return r, sent.Add(f.wait - watchDoubt), nil
	}
	return r, sent, err
}

// note logs when the store is lost and when it is back.
func (f *follower[T]) note(err error) {
	switch {
	case errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored):
		_ = level.Info(f.logger).Log("msg", "store is listed again", "of", f.name, "err", err)
	case err != nil && !f.away:
		f.away = true
		f.lost()
		_ = level.Warn(f.logger).Log("msg", "store lost", "of", f.name, "err", err)
	case err == nil && f.away:
		f.away = false
		f.back()
		_ = level.Info(f.logger).Log("msg", "store back", "of", f.name)
	case err == nil && !f.heard:
		f.back()
	}
	f.heard = f.heard || err == nil
}

// noteEra keeps the era of an answer.
func (f *follower[T]) noteEra(era uint64) {
	if f.heard && era > f.era && f.restored != nil {
		f.restored()
	}
	f.era = era
}

func newPause(first, longest time.Duration) *backoff.ExponentialBackOff {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = first
	p.MaxInterval = longest
	p.Multiplier = 2
	return p
}

// gate holds one follower back while another finds the store away: one that looks
// for it is enough. It is safe for concurrent use.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed while the gate is open
	isOpen bool
}

// newGate returns a gate that is shut: a follower waits until the other one has heard
// from the store for the first time, too.
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
