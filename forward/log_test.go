package forward

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log/level"
	"github.com/stretchr/testify/require"

	"github.com/snowspoke/snowspoke/internal/virtual"
)

// pipeWriter checks that each write has complete lines and at most maxWriteBytes.
type pipeWriter struct {
	t      *testing.T
	got    strings.Builder
	writes int
	fails  int // number of the first write that fails, 0 for none
}

func (p *pipeWriter) Write(b []byte) (int, error) {
	p.writes++
	if p.fails > 0 && p.writes >= p.fails {
		return 0, errors.New("pipe closed")
	}
	require.LessOrEqual(p.t, len(b), maxWriteBytes)
	require.Equal(p.t, byte('\n'), b[len(b)-1])
	return p.got.Write(b)
}

// The log is written in pieces of complete lines that a pipe accepts atomically. No line is
// lost.
func TestLogWritesCompleteLines(t *testing.T) {
	p := &pipeWriter{t: t}
	l := NewLog(p)
	for i := range 200 {
		l.Add("route", "request", fmt.Sprint("r", i), "path", strings.Repeat("x", i))
	}
	l.Flush()
	require.Greater(t, p.writes, 5)
	require.Equal(t, 200, strings.Count(p.got.String(), "kind=route"))
}

// Lines that could not be written are counted, and the count is logged.
func TestLogCountsDroppedLines(t *testing.T) {
	p := &pipeWriter{t: t, fails: 2}
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

// Excess lines of one kind are omitted and counted. Lines of other kinds are written.
func TestLogLimitsLinesOfAKind(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewLog(&out)
		const lines = 10_000
		for i := range lines {
			_ = level.Info(l).Log("msg", "backend server", "id", i)
		}
		l.Add("finish", "request", "r")
		l.Flush()
		require.Equal(t, linesBurst, strings.Count(out.String(), `msg="backend server"`))
		require.Contains(t, out.String(), fmt.Sprintf(`msg="log lines left out" of="backend server" count=%d`, lines-linesBurst))
		require.Contains(t, out.String(), "kind=finish")
		out.Reset()
		time.Sleep(2 * time.Second)
		for i := range lines {
			_ = level.Info(l).Log("msg", "backend server", "id", i)
		}
		l.Flush()
		require.Equal(t, 2*linesPerSecond, strings.Count(out.String(), `msg="backend server"`))
	})
}
