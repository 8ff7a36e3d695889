package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/site"
)

// Requests with large bodies beyond the memory for them are refused as not run, so that they do not
// end the daemon and all its requests. Others are served meanwhile.
func TestLargeBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	t.Parallel()
	const size, memoryMB, requests = 1 << 20, 16, 12 // memory for 4 bodies
	env := newTestEnv(t)
	env.config["limits"] = map[string]any{"maxBodyBytes": size, "idleTimeoutMs": 15000}
	env.putConfig()
	servers := env.servers("plain", "", "plain-1", "plain-2")
	for _, s := range servers {
		s.PlainGap, s.Terse = 500*time.Millisecond, true
	}
	d := env.daemon("daemon-1", func(s *site.Settings) { s.MemoryMB = memoryMB }).ready(t, 2)
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * requests}}
	var mu sync.Mutex
	served, refused := 0, 0
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			a := d.call(t, call{method: "POST", path: "/once/", body: strings.Repeat("x", size), id: fmt.Sprint("large-", n), client: kept})
			mu.Lock()
			defer mu.Unlock()
			require.NoError(t, a.Err, "large request %d", n)
			switch a.Status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				refused++
				require.NotEmpty(t, a.Header.Get("Retry-After"))
			default:
				t.Errorf("large request %d: status %d, %s", n, a.Status, a.Body)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	a := d.call(t, call{method: "POST", path: "/plain/", body: "small", id: "small"})
	require.Equal(t, http.StatusOK, a.Status, a.Body)
	wg.Wait()
	require.Equal(t, requests, served+refused)
	require.GreaterOrEqual(t, served, memoryMB/bodyMemoryDivisor)
	require.Positive(t, refused)
	require.Equal(t, served+1, totalRuns(servers), "refused requests ran")
	a = d.call(t, call{method: "POST", path: "/once/", body: strings.Repeat("y", size), id: "later", client: kept})
	require.Equal(t, http.StatusOK, a.Status, "the memory is free again: %s", a.Body)
}

// Answers that take the memory for answers together reach their callers one after the other: their
// requests have run.
func TestLargeAnswersWaitForMemory(t *testing.T) {
	t.Parallel()
	const size, memoryMB, requests = 1 << 20, 16, 12 // memory for 2 answers and 4 bodies
	env := newTestEnv(t)
	env.config["limits"] = map[string]any{"maxBodyBytes": size, "idleTimeoutMs": 15000}
	env.putConfig()
	env.servers("plain", "", "plain-1", "plain-2")
	d := env.daemon("daemon-1", func(s *site.Settings) { s.MemoryMB = memoryMB }).ready(t, 2)
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			a := d.call(t, call{method: "POST", path: "/once/", body: strings.Repeat("x", size-64), id: fmt.Sprint("echo-", n)})
			require.NoError(t, a.Err)
			require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, a.Status, "request %d: %.40s", n, a.Body)
		})
	}
	wg.Wait()
}

// The answer to HEAD states the length of a body that does not follow.
func TestHeadOfALargeAnswerIsServed(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.config["limits"] = map[string]any{"maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000}
	env.putConfig()
	env.servers("plain", "", "plain-1")
	d := env.daemon("daemon-1", nil).ready(t, 1)
	a := d.call(t, call{method: http.MethodHead, path: "/plain/", body: strings.Repeat("x", 200<<10)})
	require.NoError(t, a.Err)
	require.Equal(t, http.StatusOK, a.Status)
}
