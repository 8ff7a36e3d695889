// Package virtual runs tests and parts of benchmarks in virtual time.
package virtual

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs fn in a bubble of testing/synctest.
//
// Under the race detector only one thread runs Go code meanwhile. Go 1.26 runs
// the timers of a bubble under one race context, both where the bubble's clock
// advances and where a goroutine polls the channel of a timer that is due. Two
// threads that do so at once corrupt the detector: it ends the process with
// SIGSEGV or a failed check of its own. Races are still found, as the detector
// goes by happens-before and not by what ran at the same time.
func Test(t *testing.T, fn func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		bubbles.enter()
		defer bubbles.leave()
	}
	synctest.Test(t, fn)
}

// bubbles keeps the process on one thread while any bubble runs: tests may run
// theirs in parallel.
var bubbles oneThread

type oneThread struct {
	mu      sync.Mutex
	running int
	before  int // GOMAXPROCS to go back to
}

func (o *oneThread) enter() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running == 0 {
		o.before = runtime.GOMAXPROCS(1)
	}
	o.running++
}

func (o *oneThread) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running--
	if o.running == 0 {
		runtime.GOMAXPROCS(o.before)
	}
}

// Run runs fn in virtual time, which the standard library offers to tests alone.
func Run(b *testing.B, fn func()) {
	b.Helper()
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: b.Name(), F: func(t *testing.T) { Test(t, func(*testing.T) { fn() }) },
	}})
	if !ok {
		b.Fatal("failed in virtual time")
	}
}
