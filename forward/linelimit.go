package forward

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the lines of one kind. A daemon of the target size carries 26 requests a
// second with some five lines each. Where a source was left again and again in a storm of
// configurations, 295 daemons wrote 129,210 lines on backend servers in 34 s.
const (
	linesPerSecond = 100
	linesBurst     = 400 // a list of all backend servers, once
)

// lineLimit bounds the lines of each kind and counts what was left out. It is not safe
// for concurrent use.
type lineLimit struct {
	kinds map[string]*lineBucket
}

type lineBucket struct {
	left    float64 // lines that may be written now
	at      time.Time
	leftOut int
}

// kindOf names the kind of a line: its message, and which decision it is about.
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

// allows reports whether a line of a kind may be written.
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

// leftOut is how many lines of a kind were left out.
type leftOut struct {
	kind  string
	lines int
}

// takeLeftOut returns what was left out since the last call, by kind.
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
