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

// Only with a length or chunks does the end of a service's reply show that it is complete.
func TestCallEndsWithConnection(t *testing.T) {
	for answer, complete := range map[string]bool{
		"Content-Length: 3\r\n\r\nabc": true, "Content-Length: 4\r\n\r\nabc": false, "\r\nabc": false,
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n": true, "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n": false,
	} {
		r, err := serve(t, answer).Call(t.Context(), http.MethodGet, "s", "/", nil, "")
		require.Equal(t, complete, err == nil, answer)
		require.Equal(t, complete, r.Completed, answer)
		require.Equal(t, complete, r.Ran != apierror.RanUnknown, answer)
	}
}
