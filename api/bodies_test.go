package api

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/memory"
)

// A large body beyond the memory for bodies is refused as not run, and accepted once another request
// has ended.
func TestLargeBodyBeyondTheMemoryIsRefused(t *testing.T) {
	const size = 100 << 10
	h := &Callers{opts: CallerOptions{BodyBytes: size, BodyTimeout: time.Second}, bodies: memory.NewPool(2 * size)}
	hold := make(chan struct{})
	held := make(chan struct{}, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := h.readBody(w, r); err != nil {
			writeError(w, err)
			return
		}
		if r.URL.Path == "/held" {
			held <- struct{}{}
			<-hold
		}
	}))
	t.Cleanup(s.Close)
	post := func(path string, size int) int {
		resp, err := http.Post(s.URL+path, "", strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		require.Equal(t, http.StatusOK, post("/held", size))
	}()
	<-held
	require.Equal(t, http.StatusServiceUnavailable, post("/", size))
	require.Equal(t, http.StatusOK, post("/", memory.FreeBytes/2))
	close(hold)
	<-done
	require.Eventually(t, func() bool { return post("/", size) == http.StatusOK }, time.Second, 10*time.Millisecond)
}
