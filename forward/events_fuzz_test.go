package forward

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// splitEvents returns the complete events of a stream that is read in pieces, and the rest.
// Each size is the length of one piece; the last piece is what is left.
func splitEvents(stream string, sizes []byte) (events, ids []string, rest string) {
	var pending []byte
	for {
		n := len(stream)
		if len(sizes) > 0 {
			n, sizes = min(n, int(sizes[0])), sizes[1:]
		}
		pending = append(pending, stream[:n]...)
		stream = stream[n:]
		left := pending
		for {
			ev, after, ok := nextEvent(left)
			if !ok {
				break
			}
			events, ids, left = append(events, string(ev.raw)), append(ids, ev.id), after
		}
		pending = append(pending[:0], left...)
		if len(stream) == 0 && len(sizes) == 0 {
			return events, ids, string(pending)
		}
	}
}

// FuzzEventsOfAnyReads checks that the events of a stream, their IDs and the rest do not
// depend on where reads end.
func FuzzEventsOfAnyReads(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\n\nrest", []byte{7, 0, 1, 1})
	f.Add("id: 1\r\ndata: x\r\n\r\n\r\nid: 2\r\n\r", []byte{17, 1, 1, 1})
	f.Add("\n\r\n\r\r\n", []byte{1, 1, 1})
	f.Fuzz(func(t *testing.T, stream string, sizes []byte) {
		events, ids, rest := splitEvents(stream, nil)
		gotEvents, gotIDs, gotRest := splitEvents(stream, sizes)
		require.Equal(t, events, gotEvents)
		require.Equal(t, ids, gotIDs)
		require.Equal(t, rest, gotRest)
	})
}
