package forward

import (
	"fmt"
	"slices"
	"time"
)

// Limits on log lines of one kind. Frequent configuration changes would otherwise log each
// backend server many times a second.
const (
	linesPerSecond = 100
	linesBurst     = 400 // enough for one list of all backend servers
)

// lineLimit limits the rate of log lines of each kind and counts omitted lines. It is
// not safe for concurrent use.
type lineLimit struct {
	kinds map[string]*lineBucket
}

type lineBucket struct {
	left    float64 // lines that may be written now
	at      time.Time
	leftOut int
}

// kindOf returns the kind of a line: the value of "kind", or else that of "msg".
func kindOf(kv []any) string {
	msg, kind := "", ""
	for i := 0; i+1 < len(kv); i += 2 {
		switch kv[i] {
		case "msg":
			msg = fmt.Sprint(kv[i+1])
		case "kind":
			kind = fmt.Sprint(kv[i+1])
		}
	}
	if kind == "" {
		return msg
	}
	return kind
}

// allows reports whether a line of a kind may be written, and counts the line.
func (l *lineLimit) allows(kind string, now time.Time) bool {
	if l.kinds == nil {
		l.kinds = map[string]*lineBucket{}
	}
	b := l.kinds[kind]
	if b == nil {
		b = &lineBucket{left: linesBurst, at: now}
		l.kinds[kind] = b
	}
	b.left = min(linesBurst, b.left+linesPerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.left < 1 {
		b.leftOut++
		return false
	}
	b.left--
	return true
}

// leftOut is the number of omitted lines of a kind.
type leftOut struct {
	kind  string
	lines int
}

// takeLeftOut returns and resets the omitted lines, the most frequent kind first.
func (l *lineLimit) takeLeftOut() []leftOut {
	var out []leftOut
	for kind, b := range l.kinds {
		if b.leftOut > 0 {
			out = append(out, leftOut{kind, b.leftOut})
			b.leftOut = 0
		}
	}
	slices.SortFunc(out, func(x, y leftOut) int { return y.lines - x.lines })
	return out
}
