package forward

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pipe takes whole lines of at most so many bytes a write, and fails after a
// number of writes if that is set.
type pipe struct {
	t      *testing.T
	got    strings.Builder
	writes int
	fails  int // writes from which on it fails, 0 for never
}

func (p *pipe) Write(b []byte) (int, error) {
	p.writes++
	if p.fails > 0 && p.writes >= p.fails {
		return 0, errors.New("pipe is gone")
	}
	require.LessOrEqual(p.t, len(b), logWrite)
	require.Equal(p.t, byte('\n'), b[len(b)-1])
	return p.got.Write(b)
}

// Lines that come at once are written in pieces that a pipe takes whole, and none
// is lost.
func TestLogIsWrittenInWholeLines(t *testing.T) {
	p := &pipe{t: t}
	l := NewLog(p)
	for i := range 200 {
		l.Add("route", "request", fmt.Sprint("r", i), "path", strings.Repeat("x", i))
	}
	l.Flush()
	require.Greater(t, p.writes, 5)
	require.Equal(t, 200, strings.Count(p.got.String(), "kind=route"))
}

// Lines that could not be written are counted, and the count is told.
func TestLogCountsLinesThatAreLost(t *testing.T) {
	p := &pipe{t: t, fails: 2}
	l := NewLog(p)
	for i := range 100 {
		l.Add("route", "request", fmt.Sprint("r", i))
	}
	l.Flush()
	written := strings.Count(p.got.String(), "kind=route")
	require.Positive(t, written)
	p.fails = 0
	l.Flush()
	require.Contains(t, p.got.String(), fmt.Sprintf("msg=\"log lines dropped\" count=%d", 100-written))
}
