package quota

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Word is what one answer of a backend server says of the requests that it takes from
// all daemons together. Times are of the clock of package boottime.
type Word struct {
	Server string  // the incarnation
	Named  bool    // the answer names a limit
	Rate   float64 // the limit in requests a second, if it is named
	SentAt time.Time
	At     time.Time // when the answer came
}

// Limit is the last limit that a backend server has named.
type Limit struct {
	Server string
	Rate   float64   // requests a second
	Since  time.Time // when it was first named; changes of its rate do not count
	At     time.Time // when it was last named
}

// Change says what a word has changed.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Learnt
	Changed
	Ended
)

// String names the change.
func (c Change) String() string {
	return [...]string{"unchanged", "learnt", "changed", "ended"}[c]
}

// keepEnded is how long it is remembered that a limit has ended, so that an older word of
// another daemon does not bring it back.
const keepEnded = 10 * time.Second

// Limits keeps the limits that backend servers have named. Daemons tell each other what
// changes, and all books become alike. It is safe for concurrent use.
//
// Answers over different connections overtake one another. So a limit ends only by an
// answer to a request that was sent after the limit was last named: an older one may have
// been made before.
type Limits struct {
	mu      sync.Mutex
	words   map[string]*heard // by incarnation
	known   int               // limits among them
	version uint64            // of the last change
	changed chan struct{}     // closed at the next one
}

// heard is what is known of one backend server.
type heard struct {
	limit   Limit
	named   bool      // the limit holds
	sentAt  time.Time // of the request whose answer named it last
	endedBy Word      // the zero Word if it has never ended
	version uint64
}

// NewLimits returns an empty book.
func NewLimits() *Limits {
	return &Limits{words: map[string]*heard{}, changed: make(chan struct{})}
}

// Hear takes a word and returns what it has changed, with the limit as it was before and
// is now.
func (b *Limits) Hear(w Word) (c Change, before, now Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.words[w.Server]
	if h == nil {
		if !w.Named {
			return Unchanged, Limit{}, Limit{}
		}
		h = &heard{}
		b.words[w.Server] = h
	}
	before = h.limit
	if w.Named {
		c = h.name(w)
	} else {
		c = h.end(w)
	}
	b.note(h, c)
	return c, before, h.limit
}

// note counts a change and tells of it.
func (b *Limits) note(h *heard, c Change) {
	switch c {
	case Unchanged:
		return
	case Learnt:
		b.known++
	case Ended:
		b.known--
	}
	b.touch(h)
}

// Declare takes the limits that are known beforehand, in requests a second by backend
// server: one that is not named has none. It returns what has changed. Limits of a book are
// either declared or heard.
func (b *Limits) Declare(rates map[string]float64, now time.Time) []Declared {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Declared
	for server, rate := range rates {
		if b.words[server] == nil {
			b.words[server] = &heard{}
		}
		out = b.declare(out, server, true, rate, now)
	}
	for server, h := range b.words {
		if _, still := rates[server]; !still && h.named {
			out = b.declare(out, server, false, 0, now)
		}
	}
	return out
}

// Declared is what a declaration has changed.
type Declared struct {
	Server string
	Change Change
	Rate   float64 // now
}

func (b *Limits) declare(out []Declared, server string, named bool, rate float64, now time.Time) []Declared {
	h := b.words[server]
	c := Unchanged
	switch {
	case named && !h.named:
		c = Learnt
		h.limit = Limit{Server: server, Rate: rate, Since: now, At: now}
	case named && h.limit.Rate != rate:
		c = Changed
		h.limit.Rate, h.limit.At = rate, now
	case !named:
		c = Ended
		h.limit, h.endedBy = Limit{}, Word{Server: server, SentAt: now, At: now}
	}
	h.named = named
	b.note(h, c)
	if c == Unchanged {
		return out
	}
	return append(out, Declared{Server: server, Change: c, Rate: rate})
}

// Retell has a limit that holds told again: another daemon takes it to have ended, and does
// not know what was named since.
func (b *Limits) Retell(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.words[server]; h != nil && h.named {
		b.touch(h)
	}
}

// name takes a word that names a limit.
func (h *heard) name(w Word) Change {
	if w.At.Before(h.limit.At) || !w.At.After(h.endedBy.SentAt) {
		return Unchanged // older than what is known
	}
	before, was := h.limit, h.named
	h.limit = Limit{Server: w.Server, Rate: w.Rate, Since: w.At, At: w.At}
	h.named, h.sentAt = true, w.SentAt
	switch {
	case !was:
		return Learnt
	case w.Rate != before.Rate:
		h.limit.Since = before.Since
		return Changed
	}
	h.limit.Since = before.Since
	return Unchanged
}

// end takes a word that names none.
func (h *heard) end(w Word) Change {
	if !h.named || !w.SentAt.After(h.limit.At) {
		return Unchanged
	}
	h.limit, h.named, h.endedBy = Limit{}, false, w
	return Ended
}

// touch gives what has changed a new version and tells those who wait for changes.
func (b *Limits) touch(h *heard) {
	b.version++
	h.version = b.version
	close(b.changed)
	b.changed = make(chan struct{})
}

// Of returns the limit of a backend server, false if none is known.
func (b *Limits) Of(server string) (Limit, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.words[server]; h != nil && h.named {
		return h.limit, true
	}
	return Limit{}, false
}

// Size returns how many limits are known.
func (b *Limits) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known
}

// All returns the limits that are known, by backend server.
func (b *Limits) All() []Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Limit
	for _, h := range b.words {
		if h.named {
			out = append(out, h.limit)
		}
	}
	slices.SortFunc(out, func(x, y Limit) int { return cmp.Compare(x.Server, y.Server) })
	return out
}

// Since returns the words that changed something since a version, oldest change first,
// with the version to ask for next.
func (b *Limits) Since(version uint64) (words []Word, next uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version == b.version {
		return nil, version
	}
	var news []*heard
	for _, h := range b.words {
		if h.version > version {
			news = append(news, h)
		}
	}
	slices.SortFunc(news, func(x, y *heard) int { return cmp.Compare(x.version, y.version) })
	for _, h := range news {
		if h.named {
			words = append(words, Word{Server: h.limit.Server, Named: true, Rate: h.limit.Rate, SentAt: h.sentAt, At: h.limit.At})
		} else {
			words = append(words, h.endedBy)
		}
	}
	return words, b.version
}

// Changed returns a channel that is closed at the next change.
func (b *Limits) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Forget drops the limits of backend servers that are gone, and those that ended long ago.
func (b *Limits) Forget(known func(server string) bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.words, func(server string, h *heard) bool {
		gone := !known(server)
		if gone && h.named {
			b.known--
		}
		return gone || !h.named && now.Sub(h.endedBy.At) > keepEnded
	})
}
