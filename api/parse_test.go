package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
	"github.com/snowspoke/snowspoke/topology"
)

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","stop":["a"],"max_tokens":3}`), true)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"stop":"a"}`), false)
	f.Fuzz(func(t *testing.T, body []byte, text bool) {
		format := chatFormat
		if text {
			format = textFormat
		}
		b, err := parseCompletion(body, format)
		if err != nil {
			require.True(t, apierror.Is(err, apierror.BadRequest))
			return
		}
		require.NotEmpty(t, b.Model)
		b.cacheKey()
	})
}

func TestParseCompletionRejectsMultipleChoices(t *testing.T) {
	_, err := parseCompletion([]byte(`{"model":"m","prompt":"p","n":2}`), textFormat)
	require.ErrorContains(t, err, "n: 2 choices")
	_, err = parseCompletion([]byte(`{"model":"m","prompt":"p","n":1}`), textFormat)
	require.NoError(t, err)
}

func TestRequestOptions(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := benchCallers(1, 1)
	h.clock = func() time.Time { return now }
	ws := &topology.Workspace{Name: "w", Priority: 3}
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	o, err := h.requestOptions(r, ws)
	require.NoError(t, err)
	require.Equal(t, requestOptions{repeatable: true, deadline: now.Add(time.Minute)}, o)
	r.Header.Set(HeaderPriority, "9")
	r.Header.Set(HeaderDeadline, "5s")
	r.Header.Set(HeaderLabels, "use=alert,site=7")
	r.Header.Set(HeaderRepeatable, "false")
	o, err = h.requestOptions(r, ws)
	require.NoError(t, err)
	require.Equal(t, requestOptions{deadline: now.Add(5 * time.Second), priority: 3, labels: topology.Labels{"use": "alert", "site": "7"}}, o)
	r.Header.Set(HeaderDeadline, "2025-01-01T00:00:00Z")
	_, err = h.requestOptions(r, ws)
	require.True(t, apierror.Is(err, apierror.DeadlinePassed))
}

// The operators' interface requires its token, except for health checks.
func TestOperatorsToken(t *testing.T) {
	h := NewOperators(nil, http.NotFoundHandler(), topology.HashToken("secret"))
	get := func(path, token string) int {
		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code
	}
	require.Equal(t, http.StatusUnauthorized, get("/metrics", ""))
	require.Equal(t, http.StatusUnauthorized, get("/v1/status", "wrong"))
	require.Equal(t, http.StatusNotFound, get("/metrics", "secret"))
	require.Equal(t, http.StatusOK, get("/healthz", ""))
}

// The last message, or a text that is short, belongs to the request alone.
func TestSharedPartsOfPrompts(t *testing.T) {
	parts := func(body string, f format) []string {
		b, err := parseCompletion([]byte(body), f)
		require.NoError(t, err)
		return b.parts()
	}
	long := strings.Repeat("x", maxPrefixBytes)
	require.Empty(t, parts(`{"model":"m","prompt":"p"}`, textFormat))
	require.Equal(t, []string{long}, parts(`{"model":"m","prompt":"`+long+`and more"}`, textFormat))
	require.Empty(t, parts(`{"model":"m","messages":[{"role":"user","content":"x"}]}`, chatFormat))
	require.Equal(t, []string{"system\x00s"}, parts(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"x"}]}`, chatFormat))
}
