package api

import (
	"net/http"
	"net/http/httptest"
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
		form := chatForm
		if text {
			form = textForm
		}
		b, err := parseCompletion(body, form)
		if err != nil {
			require.True(t, apierror.Is(err, apierror.BadRequest))
			return
		}
		require.NotEmpty(t, b.Model)
		b.cacheKey()
	})
}

func TestUnsupportedChoicesAreRefusedByName(t *testing.T) {
	_, err := parseCompletion([]byte(`{"model":"m","prompt":"p","n":2}`), textForm)
	require.ErrorContains(t, err, "n: 2 choices")
	_, err = parseCompletion([]byte(`{"model":"m","prompt":"p","n":1}`), textForm)
	require.NoError(t, err)
}

func TestParticulars(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := benchCallers(1, 1)
	h.clock = func() time.Time { return now }
	ws := &topology.Workspace{Name: "w", Priority: 3}
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	p, err := h.particulars(r, ws)
	require.NoError(t, err)
	require.Equal(t, particulars{repeatable: true, deadline: now.Add(time.Minute)}, p)
	r.Header.Set(HeaderPriority, "9")
	r.Header.Set(HeaderDeadline, "5s")
	r.Header.Set(HeaderLabels, "use=alert,site=7")
	r.Header.Set(HeaderRepeatable, "false")
	p, err = h.particulars(r, ws)
	require.NoError(t, err)
	require.Equal(t, particulars{deadline: now.Add(5 * time.Second), priority: 3, labels: topology.Labels{"use": "alert", "site": "7"}}, p)
	r.Header.Set(HeaderDeadline, "2025-01-01T00:00:00Z")
	_, err = h.particulars(r, ws)
	require.True(t, apierror.Is(err, apierror.DeadlinePassed))
}

// The operators' listener asks for its token, but for health and readiness.
func TestOperatorsToken(t *testing.T) {
	h := NewOperators(nil, http.NotFoundHandler(), topology.HashToken("secret"))
	ask := func(path, token string) int {
		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code
	}
	require.Equal(t, http.StatusUnauthorized, ask("/metrics", ""))
	require.Equal(t, http.StatusUnauthorized, ask("/v1/status", "wrong"))
	require.Equal(t, http.StatusNotFound, ask("/metrics", "secret"))
	require.Equal(t, http.StatusOK, ask("/healthz", ""))
}
