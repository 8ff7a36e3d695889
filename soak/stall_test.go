package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/platform/sitetrial"
)

// A daemon that is stalled repeatedly, here by SIGSTOP, must not attribute its stalls to
// others: no backend server is marked as failed, no stream is retried, and all streams
// are complete. The events of the streams are so far apart that the daemon checks their
// hops all the time.
func TestStalledDaemonReportsNoFailures(t *testing.T) {
	site := sitetrial.New([]string{"a"}, 4, 4, 2)
	t.Cleanup(site.Close)
	for _, s := range site.Servers() {
		s.Events, s.EventGap = 40, 130*time.Millisecond
	}
	first := newProcess(t, "daemon-0", "a", site.Store.Address())
	second := newProcess(t, "daemon-1", "a", site.Store.Address())
	for _, p := range []*process{first, second} {
		require.Eventually(t, p.isReady, 10*time.Second, 20*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range 16 {
		wg.Go(func() {
			call := sitetrial.Call{
				Method: "POST", Path: sitetrial.StreamPath, Key: sitetrial.Key, ID: fmt.Sprint("living-", n), Body: fmt.Sprint("body ", n),
				Header: map[string]string{"Snowspoke-Deadline-Ms": "25000"},
			}
			a := sitetrial.Do(ctx, client, second.callers, call)
			assert.Equal(t, sitetrial.Events(1, 40), a.Body, "stream %d, status %d, %v", n, a.Status, a.Err)
		})
		time.Sleep(20 * time.Millisecond)
	}
	for _, stall := range []int{50, 80, 200, 50, 1200, 80, 1200, 80, 50, 200, 80, 1200, 50} {
		time.Sleep(time.Duration(60+rand.IntN(120)) * time.Millisecond)
		second.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(stall) * time.Millisecond)
		second.signal(syscall.SIGCONT)
	}
	wg.Wait()
	time.Sleep(300 * time.Millisecond) // until the log is written
	log, err := os.ReadFile(filepath.Join(second.dir, "log"))
	require.NoError(t, err)
	for _, sign := range []string{"state=failed", "kind=unanswered", "attempt=2", "source left", "store lost"} {
		assert.Zero(t, strings.Count(string(log), sign), "%s", linesWith(string(log), sign))
	}
}

// A backend server that dies while the daemon is stalled is detected as soon as the daemon
// runs again, and its streams continue on others.
func TestFailureDuringStallIsDetectedAtOnce(t *testing.T) {
	site := sitetrial.New([]string{"a"}, 2, 2, 2)
	t.Cleanup(site.Close)
	for _, s := range site.Servers() {
		s.Events, s.EventGap = 100, 20*time.Millisecond
	}
	p := newProcess(t, "daemon-0", "a", site.Store.Address())
	require.Eventually(t, p.isReady, 10*time.Second, 20*time.Millisecond)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			call := sitetrial.Call{Method: "POST", Path: sitetrial.StreamPath, Key: sitetrial.Key, ID: fmt.Sprint("living-", n), Body: fmt.Sprint("body ", n)}
			a := sitetrial.Do(t.Context(), client, p.callers, call)
			assert.Equal(t, sitetrial.Events(1, 100), a.Body, "stream %d, status %d, %v", n, a.Status, a.Err)
		})
	}
	time.Sleep(500 * time.Millisecond)
	p.signal(syscall.SIGSTOP)
	time.Sleep(50 * time.Millisecond)
	dead := slices.MaxFunc(site.Servers(), func(a, b *sitetrial.Server) int { return headRuns(a) - headRuns(b) })
	dead.Kill()
	time.Sleep(200 * time.Millisecond)
	p.signal(syscall.SIGCONT)
	resumed := time.Now()
	detected := func() bool {
		log, err := os.ReadFile(filepath.Join(p.dir, "log"))
		return err == nil && strings.Contains(string(log), "server="+dead.ID) && strings.Contains(string(log), "state=failed")
	}
	require.Eventually(t, detected, 600*time.Millisecond, 5*time.Millisecond, "the failure was not detected; the log is written every 250 ms")
	t.Logf("detected %s after the stall, including the log's write interval", time.Since(resumed).Round(time.Millisecond))
	wg.Wait()
}

// linesWith returns the lines that contain a text.
func linesWith(log, text string) string {
	var out []string
	for line := range strings.Lines(log) {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return strings.Join(out, "")
}

// headRuns returns the number of streams that a backend server ran as their head, or
// -1 if it holds no first layers.
func headRuns(srv *sitetrial.Server) int {
	if from, to := srv.Held(); from > 0 || to == 0 {
		return -1
	}
	return len(srv.Runs())
}
