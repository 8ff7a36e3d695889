package framing

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A body that ends with its connection never counts as delimited.
func TestOnlyDelimitedBodiesShowTheirEnd(t *testing.T) {
	for _, c := range []struct {
		method, head string
		want         Framing
	}{
		{"GET", "HTTP/1.1 200 OK\r\n\r\n", UntilClose},
		{"GET", "HTTP/1.0 200 OK\r\n\r\n", UntilClose},
		{"GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", UntilClose},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", Length},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Length},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Chunked},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", Length},
		{"HEAD", "HTTP/1.1 200 OK\r\n\r\n", Length},
	} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.head)), &http.Request{Method: c.method})
		require.NoError(t, err)
		require.Equal(t, c.want, Of(resp), "%s %q", c.method, c.head)
		require.Equal(t, c.want != UntilClose, Of(resp).Delimited())
	}
}

// Guards against an answer with a status of no class (000): what follows it was taken for the head of the
// answer. RFC 9110, section 15: values outside of 100 to 599 are invalid.
func TestInvalidStatusIsNoInterimResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "700", "999"} {
		const next = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		r := NewResponses(strings.NewReader("HTTP/1.1 "+status+" X\r\n\r\n"+next), 4<<10)
		_, err := r.Next(&http.Request{Method: "GET"})
		require.ErrorIs(t, err, ErrInvalidStatus, status)
	}
}
