package forward

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNextEventSplitsAtEmptyLines(t *testing.T) {
	for name, c := range map[string]struct {
		in, raw, id, rest string
		ok                bool
	}{
		"complete":         {"id: 4\ndata: x\n\nid: 5", "id: 4\ndata: x\n\n", "4", "id: 5", true},
		"carriage returns": {"id:4\r\ndata: x\r\n\r\nrest", "id:4\r\ndata: x\r\n\r\n", "4", "rest", true},
		"no ID":            {"data: x\n\n", "data: x\n\n", "", "", true},
		"ID within data":   {"data: id: 9\n\n", "data: id: 9\n\n", "", "", true},
		"incomplete":       {"id: 4\ndata: x\n", "", "", "id: 4\ndata: x\n", false},
		"empty":            {"", "", "", "", false},
	} {
		ev, rest, ok := nextEvent([]byte(c.in))
		require.Equal(t, c.ok, ok, name)
		require.Equal(t, c.raw, string(ev.raw), name)
		require.Equal(t, c.id, ev.id, name)
		require.Equal(t, c.rest, string(rest), name)
	}
}

func TestOnlyLaterEventsAreForwarded(t *testing.T) {
	require.True(t, after("5", "4"))
	require.True(t, after("10", "9"))
	require.False(t, after("4", "4"))
	require.False(t, after("3", "4"))
	require.True(t, after("", "4"))
	require.True(t, after("a", "b"))
}

// FuzzEvents checks that no byte is lost or added, wherever a stream is split.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\n\nrest", 7)
	f.Fuzz(func(t *testing.T, stream string, cut int) {
		if cut < 0 || cut > len(stream) {
			return
		}
		var out bytes.Buffer
		held := []byte{}
		for _, part := range []string{stream[:cut], stream[cut:]} {
			held = append(held, part...)
			for {
				ev, rest, ok := nextEvent(held)
				if !ok {
					break
				}
				out.Write(ev.raw)
				held = rest
			}
		}
		out.Write(held)
		require.Equal(t, stream, out.String())
		require.False(t, strings.Contains(string(held), "\n\n"))
	})
}

// countingWriter discards its input and counts writes.
type countingWriter struct{ writes int }

func (b *countingWriter) Write(p []byte) (int, error) {
	b.writes++
	return len(p), nil
}

func TestLogIsBoundedAndNeverBlocks(t *testing.T) {
	out := &countingWriter{}
	l := NewLog(out)
	for i := range 10000 {
		// Each line has its own kind, so that the limit on lines of one kind does not
		// apply.
		l.Add(fmt.Sprint("route", i), "request", "0123456789abcdef", "path", strings.Repeat("x", 100))
	}
	require.Zero(t, out.writes, "lines are written together")
	require.Positive(t, l.dropped)
	require.LessOrEqual(t, len(l.buf), maxBufferedBytes)
	l.Flush()
	require.Contains(t, string(l.buf), "log lines dropped")
}

// A stream that ends inside an event was broken off; comments may follow the last event.
func TestPartialEventsAreRecognized(t *testing.T) {
	for _, partial := range []string{"i", "id: 3", "id: 3\n", "data: x\r\n", ":", ": comment", ": comment\ndata: x\n", "\r"} {
		require.True(t, isInsideEvent([]byte(partial)), "%q", partial)
	}
	for _, complete := range []string{"", ": comment\n", ": a\r\n: b\n"} {
		require.False(t, isInsideEvent([]byte(complete)), "%q", complete)
	}
}
