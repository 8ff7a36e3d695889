package httpbackend

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/backend"
	"github.com/snowspoke/snowspoke/execution"
	"github.com/snowspoke/snowspoke/internal/sse"
)

// A cut stream delivers the events whose empty line has arrived, then an error, however
// the reads divide it.
func TestCutStream(t *testing.T) {
	const text = "data: {\"type\":\"token\",\"index\":1,\"text\":\"a b\"}\n\n: ping\n\nid: 3\ndata: {\"index\":12,\ndata: \"text\":\"c\"}\n\ndata:{\"index\":13}\n\n"
	whole := []backend.Event{{Type: backend.EventToken, Index: 1, Text: "a b"}, {Index: 12, Text: "c"}, {Index: 13}}
	for cut := range len(text) + 1 {
		sent := bytes.Count([]byte(text[:cut]), []byte("}\n\n"))
		for _, part := range [][]byte{[]byte(text[:cut]), bytes.ReplaceAll([]byte(text[:cut]), []byte("\n"), []byte("\r\n"))} {
			for _, r := range []io.Reader{bytes.NewReader(part), iotest.OneByteReader(bytes.NewReader(part))} {
				s := &stream{events: sse.NewReader(r, maxEventBytes)}
				for _, want := range whole[:sent] {
					got, err := s.Next()
					require.NoError(t, err, "%q", part)
					require.Equal(t, want, got)
				}
				_, err := s.Next()
				require.ErrorIs(t, err, execution.ErrLost, "%q", part)
			}
		}
	}
}
