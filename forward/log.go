package forward

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Bounds of the decision log.
const (
	maxBufferedBytes = 256 << 10              // buffered before lines are dropped
	flushInterval    = 250 * time.Millisecond // bounds the number of system calls
	maxWriteBytes    = 4096                   // writes to a pipe of up to PIPE_BUF bytes are atomic
)

// Log writes one key=value line for each decision. It never blocks: lines are buffered and
// written a few times a second. If the output is too slow, lines are dropped and counted.
type Log struct {
	out io.Writer

	mu              sync.Mutex
	buf             []byte
	dropped         int
	limit           lineLimit
	leftOutLoggedAt time.Time // when the numbers of omitted lines were last logged
	logger          log.Logger
}

// NewLog returns a Log that writes to out while Run is running.
func NewLog(out io.Writer) *Log {
	l := &Log{out: out}
	l.logger = log.With(log.NewLogfmtLogger(l), "ts", log.DefaultTimestampUTC)
	return l
}

// Write buffers one line; the logger calls it.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.buf)+len(p) > maxBufferedBytes {
		l.dropped++
		return len(p), nil
	}
	l.buf = append(l.buf, p...)
	return len(p), nil
}

// Log implements log.Logger, subject to the same limits as Add.
func (l *Log) Log(kv ...any) error {
	if !l.allows(kindOf(kv)) {
		return nil
	}
	return l.logger.Log(kv...)
}

// Add logs a decision.
func (l *Log) Add(kind string, kv ...any) {
	if l.allows(kind) {
		_ = l.logger.Log(append([]any{"msg", "decision", "kind", kind}, kv...)...)
	}
}

func (l *Log) allows(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.allows(kind, time.Now())
}

// leftOutInterval is the minimum time between two reports of omitted lines.
const leftOutInterval = time.Second

// logLeftOut logs the number of omitted lines of each kind.
func (l *Log) logLeftOut(now time.Time) {
	l.mu.Lock()
	var out []leftOut
	if now.Sub(l.leftOutLoggedAt) >= leftOutInterval {
		l.leftOutLoggedAt = now
		out = l.limit.takeLeftOut()
	}
	l.mu.Unlock()
	for _, o := range out {
		_ = l.logger.Log("msg", "log lines left out", "of", o.kind, "count", o.lines)
	}
}

// Flush writes the buffer in complete lines. Lines that cannot be written count as
// dropped.
func (l *Log) Flush() {
	l.logLeftOut(time.Now())
	l.mu.Lock()
	buf, dropped := l.buf, l.dropped
	l.buf, l.dropped = nil, 0
	l.mu.Unlock()
	for len(buf) > 0 {
		piece := completeLines(buf, maxWriteBytes)
		n, err := l.out.Write(piece)
		if err != nil {
			dropped += bytes.Count(buf[n:], []byte("\n"))
			break
		}
		buf = buf[len(piece):]
	}
	if dropped > 0 {
		_ = l.logger.Log("msg", "log lines dropped", "count", dropped)
	}
}

// completeLines returns as many complete lines from the beginning of buf as fit into
// limit bytes, at least one.
func completeLines(buf []byte, limit int) []byte {
	if len(buf) <= limit {
		return buf
	}
	if i := bytes.LastIndexByte(buf[:limit], '\n'); i >= 0 {
		return buf[:i+1]
	}
	if i := bytes.IndexByte(buf, '\n'); i >= 0 {
		return buf[:i+1]
	}
	return buf
}

// Run writes buffered lines periodically until done is closed.
func (l *Log) Run(done <-chan struct{}) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			l.Flush()
			return
		case <-t.C:
			l.Flush()
		}
	}
}

// Bounds of the parts of a prompt in one log line.
const (
	maxLoggedParts  = 8
	maxLoggedPartID = 16 // bytes
)

// partsLabel returns the IDs of the parts of a prompt as they are logged.
func partsLabel(ids []string) string {
	var b strings.Builder
	for i, id := range ids[:min(len(ids), maxLoggedParts)] {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(id[:min(len(id), maxLoggedPartID)])
	}
	return b.String()
}
