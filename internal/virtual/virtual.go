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
// Under the race detector GOMAXPROCS is 1 while a bubble runs. Go 1.26 runs the timers
// of a bubble in one race context, both when the bubble's clock advances and when a
// goroutine polls the channel of a timer that is due. Two threads that do so
// concurrently corrupt the detector, which then crashes the process. Races are still
// found, as the detector works by happens-before and not by concurrent execution.
func Test(t *testing.T, fn func(t *testing.T)) {
	t.Helper()
	if RaceDetector {
		bubbles.enter()
		defer bubbles.leave()
	}
	synctest.Test(t, fn)
}

// bubbles counts the running bubbles, as tests may run them in parallel.
var bubbles singleThread

// singleThread sets GOMAXPROCS to 1 while at least one user is running.
type singleThread struct {
	mu       sync.Mutex
	running  int
	previous int // GOMAXPROCS to restore
}

func (s *singleThread) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == 0 {
		s.previous = runtime.GOMAXPROCS(1)
	}
	s.running++
}

func (s *singleThread) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running == 0 {
		runtime.GOMAXPROCS(s.previous)
	}
}

// Run runs fn, a part of a benchmark, in virtual time. It wraps fn in a test, as testing/synctest
// needs a *testing.T.
func Run(b *testing.B, fn func()) {
	b.Helper()
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: b.Name(), F: func(t *testing.T) { Test(t, func(*testing.T) { fn() }) },
	}})
	if !ok {
		b.Fatal("failed in virtual time")
	}
}
