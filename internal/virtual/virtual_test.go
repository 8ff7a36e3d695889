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

// Many timers are due at one moment, and what they start polls further timers
// that are due while the rest still run. With testing/synctest alone and more
// than one thread this ends the race detector.
func TestTimersThatAreDueTogether(t *testing.T) {
	virtual.Test(t, dueTogether)
}

// The process stays on one thread until the last of several bubbles has ended.
func TestBubblesInParallel(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	t.Run("bubbles", func(t *testing.T) {
		for range 3 {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				virtual.Test(t, dueTogether)
			})
		}
	})
	require.Equal(t, before, runtime.GOMAXPROCS(0))
}

func dueTogether(*testing.T) {
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

// poll takes the tick of a timer that is due without ever blocking on it.
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
