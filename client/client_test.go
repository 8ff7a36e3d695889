package client

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/apierror"
)

// serve returns a client of a server that sends this after the first line of its answers
// and closes the connection.
func serve(t *testing.T, answer string) *Client {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n" + answer))
		_ = conn.Close()
	}))
	t.Cleanup(srv.Close)
	return New(srv.URL, "", srv.Client())
}

// A response that is cut anywhere is not taken for a complete one.
func TestCutResponse(t *testing.T) {
	for _, whole := range []string{
		`{"choices":[{"text":"one"}],"whole":true,"usage":{"completion_tokens":1}}`,
		"id: 11\ndata: {\"choices\":[{\"text\":\"one\"}]}\n\nid: 12\ndata: {\"choices\":[{\"text\":\"two\"}]}\n\ndata: {\"whole\":true}\n\ndata: [DONE]\n\n",
	} {
		for cut := range len(whole) + 1 {
			r, err := serve(t, "\r\n"+whole[:cut]).Complete(t.Context(), Request{Stream: whole[0] == 'i'})
			require.Equal(t, cut == len(whole), err == nil, "%q", whole[:cut])
			require.Equal(t, cut == len(whole), r.Completed, "%q", whole[:cut])
			require.True(t, err == nil || r.Ran == apierror.RanUnknown, "%q", whole[:cut])
			if whole[0] == 'i' {
				events := min(2, strings.Count(whole[:cut], "\n\n"))
				require.Equal(t, "onetwo"[:3*events], r.Text, "%q", whole[:cut])
				require.Equal(t, []string{"", "11", "12"}[events], r.EventID, "%q", whole[:cut])
			}
		}
	}
}
