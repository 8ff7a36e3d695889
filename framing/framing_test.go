package framing

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/rfc9112"
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

// Guards against responses with an invalid head that are used as far as they can be read (MIXED): a blank
// before a colon made a response end with its connection, or chunks a part of the body.
func TestInvalidResponsesAreNotComplete(t *testing.T) {
	for _, c := range rfc9112.Invalid {
		t.Run(c.String(), func(t *testing.T) {
			body, err := readResponse(t, c.Encode("X-Id: 1\r\n", "body"))
			require.Error(t, err, "%q", body)
		})
	}
}

func TestValidResponsesAreComplete(t *testing.T) {
	for _, c := range rfc9112.Valid {
		t.Run(c.String(), func(t *testing.T) {
			body, err := readResponse(t, c.Encode("X-Id: 1\r\n", "body"))
			require.NoError(t, err)
			require.Equal(t, "body", body)
		})
	}
}

// readResponse reads the body of a response from a connection that returns a byte at a time.
func readResponse(t *testing.T, text string) (string, error) {
	t.Helper()
	resp, err := NewResponses(iotest.OneByteReader(strings.NewReader(text)), 4<<10).Next(&http.Request{Method: http.MethodPost})
	if err != nil {
		return "", err
	}
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "1", resp.Header.Get("X-Id"))
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// An invalid line ends the read of a head at once, whatever follows.
func TestInvalidLineIsNoticedBeforeTheEndOfTheHead(t *testing.T) {
	for _, begin := range []string{"\r\n", "garbage\r\n", "HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Note: a\r\n", "HTTP/1.1 200 OK\r\n a\r\n"} {
		r := io.MultiReader(strings.NewReader(begin), iotest.ErrReader(errors.New("read on")))
		_, err := NewResponses(r, 4<<10).Next(&http.Request{})
		require.True(t, errors.Is(err, ErrInvalidHead) || errors.Is(err, ErrInvalidStatus), "%q: %v", begin, err)
	}
}

// Responses, their bodies and the bytes behind them are read in order, however they arrive.
func TestResponsesFollowEachOther(t *testing.T) {
	const response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for name, src := range map[string]io.Reader{
		"together":       strings.NewReader(strings.Repeat(response, 3) + "rest"),
		"byte by byte":   iotest.OneByteReader(strings.NewReader(strings.Repeat(response, 3) + "rest")),
		"in small reads": iotest.HalfReader(strings.NewReader(strings.Repeat(response, 3) + "rest")),
	} {
		r := NewResponses(src, 16)
		for range 3 {
			resp, err := r.Next(&http.Request{})
			require.NoError(t, err, name)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err, name)
			require.Equal(t, "body", string(body), name)
		}
		rest, err := io.ReadAll(r)
		require.NoError(t, err, name)
		require.Equal(t, "rest", string(rest), name)
		require.Zero(t, r.Buffered(), name)
	}
}

// FuzzHead checks that no head is accepted whose field names net/http passes on though they are none.
func FuzzHead(f *testing.F) {
	for _, c := range append(rfc9112.Invalid, rfc9112.Valid...) {
		f.Add([]byte(c.Encode("", "body")))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		resp, err := NewResponses(bytes.NewReader(text), 64).Next(&http.Request{Method: http.MethodGet})
		if err != nil {
			return
		}
		require.True(t, ValidStatus(resp.StatusCode))
		require.Equal(t, 1, resp.ProtoMajor)
		for name := range resp.Header {
			require.True(t, isToken([]byte(name)), "%q", name)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	})
}
