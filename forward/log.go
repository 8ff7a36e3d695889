package forward

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Bounds of the decision log.
const (
	logBytes = 256 << 10              // held before lines are dropped
	logFlush = 250 * time.Millisecond // between two writes: each is a system call
	logWrite = 4096                   // most of one write: a pipe takes so much whole or not at all (PIPE_BUF)
)

// Log writes one key=value line a decision. It never blocks: lines are written
// together a few times a second, and dropped with a count when the output does
// not keep up.
type Log struct {
	out io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped int
	limit   lineLimit
	saidAt  time.Time // when it was last said what was left out
	logger  log.Logger
}

// NewLog returns a log to out; Run writes it.
func NewLog(out io.Writer) *Log {
	l := &Log{out: out}
	l.logger = log.With(log.NewLogfmtLogger(l), "ts", log.DefaultTimestampUTC)
	return l
}

// Write takes one line; it is called by the logger.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.buf)+len(p) > logBytes {
		l.dropped++
		return len(p), nil
	}
	l.buf = append(l.buf, p...)
	return len(p), nil
}

// Log implements log.Logger, so that all lines go the same way.
func (l *Log) Log(kv ...any) error {
	if !l.allows(kindOf(kv)) {
		return nil
	}
	return l.logger.Log(kv...)
}

// Add writes a decision.
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

// sayEvery is the time between two lines on what was left out.
const sayEvery = time.Second

// sayLeftOut writes how many lines of each kind were left out.
func (l *Log) sayLeftOut(now time.Time) {
	l.mu.Lock()
	var out []leftOut
	if now.Sub(l.saidAt) >= sayEvery {
		l.saidAt = now
		out = l.limit.takeLeftOut()
	}
	l.mu.Unlock()
	for _, o := range out {
		_ = l.logger.Log("msg", "log lines left out", "of", o.kind, "count", o.lines)
	}
}

// Flush writes what is held, in whole lines. Those that cannot be written count as
// dropped.
func (l *Log) Flush() {
	l.sayLeftOut(time.Now())
	l.mu.Lock()
	buf, dropped := l.buf, l.dropped
	l.buf, l.dropped = nil, 0
	l.mu.Unlock()
	for len(buf) > 0 {
		piece := wholeLines(buf, logWrite)
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

// wholeLines returns as many whole lines from the beginning of buf as fit into most
// bytes, at least one.
func wholeLines(buf []byte, most int) []byte {
	if len(buf) <= most {
		return buf
	}
	if i := bytes.LastIndexByte(buf[:most], '\n'); i >= 0 {
		return buf[:i+1]
	}
	if i := bytes.IndexByte(buf, '\n'); i >= 0 {
		return buf[:i+1]
	}
	return buf
}

// Run flushes until done is closed.
func (l *Log) Run(done <-chan struct{}) {
	t := time.NewTicker(logFlush)
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
