package virtual_test

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
)

// Many timers are due at the same time, and their functions poll further due timers.
// With plain testing/synctest and several threads this crashes the race detector.
func TestSimultaneousTimers(t *testing.T) {
	virtual.Test(t, runSimultaneousTimers)
}

// GOMAXPROCS is restored after the last of several parallel bubbles has ended.
func TestParallelBubbles(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	t.Run("bubbles", func(t *testing.T) {
		for range 3 {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				virtual.Test(t, runSimultaneousTimers)
			})
		}
	})
	require.Equal(t, before, runtime.GOMAXPROCS(0))
}

func runSimultaneousTimers(*testing.T) {
	const timers, rounds = 100, 20
	for range rounds {
		var wg sync.WaitGroup
		for range timers {
			wg.Add(1)
			time.AfterFunc(time.Second, func() {
				defer wg.Done()
				poll()
			})
		}
		time.Sleep(2 * time.Second)
		wg.Wait()
	}
	synctest.Wait()
}

// poll receives from a due timer without blocking.
func poll() {
	timer := time.NewTimer(0)
	for range 10 {
		select {
		case <-timer.C:
			timer.Reset(0)
		default:
		}
	}
}
