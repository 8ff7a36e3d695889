package quarantine

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
)

// Policy says when a request is held back. A request that only happened to be where
// another one made a backend server end looks like the guilty one until it is somewhere
// else when that happens again, so that one end holds nobody back.
type Policy struct {
	// HoldFrom is the score from which a request is held back, but for a trial.
	HoldFrom int
	// HoldAll is the score from which there are no trials either.
	HoldAll int
	// TrialAfter is the time from the last end, or the last trial, to the next trial.
	TrialAfter time.Duration
	// Keep is how long ends are remembered after the last one.
	Keep time.Duration
	// KeepServed is how long it is remembered that a request was served, so that an
	// older word of another daemon does not accuse it again.
	KeepServed time.Duration
	// Most bounds the requests that are remembered.
	Most int
}

// DefaultPolicy holds a request back after two backend servers that surely ran it, or
// four that may have. The trial is for requests that come again and again, as a check
// does, and were there by chance twice; it comes late, since the third end costs more
// callers than wait for it: with a trial after 4 s one request that ends what runs it
// lost 4, 33 and 150 of 892 others, with one after a minute 5, 15 and 104 (8, 60 and 300
// daemons in virtual time). 4,096 requests take half a megabyte.
var DefaultPolicy = Policy{
	HoldFrom: 2 * int(Likely), HoldAll: 3 * int(Likely), TrialAfter: time.Minute,
	Keep: 10 * time.Minute, KeepServed: 30 * time.Second, Most: 4096,
}

// Weight says how strongly the end of a backend server speaks against a request that
// was there.
type Weight uint8

// The weights.
const (
	Possible Weight = 1 // it had been sent there, and nothing says that it ran
	Likely   Weight = 2 // it had just begun to run
)

// endsMost bounds the backend servers that are kept for one request: more than any
// policy asks for.
const endsMost = 8

// Server names an incarnation of a backend server.
type Server uint32

// End is a backend server that ended while a request was there.
type End struct {
	Server Server
	Weight Weight
	At     time.Time
}

// Entry is what is known of one request.
type Entry struct {
	Print   Fingerprint
	Ends    []End     // since it was last served, by time
	TriedAt time.Time // of the last trial, the zero time for none
	// ServedAt is when a backend server outlived it, the zero time for never.
	ServedAt time.Time
}

// Score adds up the weights of the ends.
func (e *Entry) Score() int {
	score := 0
	for _, end := range e.Ends {
		score += int(end.Weight)
	}
	return score
}

func (e *Entry) lastEnd() time.Time {
	if len(e.Ends) == 0 {
		return time.Time{}
	}
	return e.Ends[len(e.Ends)-1].At
}

// addEnd adds an end and reports whether it was news. Of two words on one backend
// server the heavier and the later one count.
func (e *Entry) addEnd(end End) bool {
	i := slices.IndexFunc(e.Ends, func(known End) bool { return known.Server == end.Server })
	if i < 0 {
		if len(e.Ends) >= endsMost {
			return false
		}
		e.Ends = append(e.Ends, end)
		return true
	}
	known := &e.Ends[i]
	news := end.Weight > known.Weight || end.At.Sub(known.At) > sameTime
	if news {
		known.Weight, known.At = max(known.Weight, end.Weight), boottime.Later(known.At, end.At)
	}
	return news
}

// Verdict says whether a request may be sent.
type Verdict struct {
	Held  bool
	Until time.Time // when it may be tried again, if it is held
	Trial bool      // it is sent although backend servers have ended under it
	Score int
	Ends  int // backend servers that ended under it
}

// Book keeps what is known of requests under which backend servers ended. Daemons tell
// each other their entries, and entries of the same request are joined whatever their
// order, so that all books become alike. It is safe for concurrent use.
type Book struct {
	policy Policy

	mu      sync.Mutex
	entries map[Fingerprint]*list.Element
	order   *list.List // of *kept, by version
	version uint64     // of the last change
	changed chan struct{}
}

type kept struct {
	Entry
	version uint64
}

// NewBook returns an empty book.
func NewBook(p Policy) *Book {
	return &Book{policy: p, entries: map[Fingerprint]*list.Element{}, order: list.New(), changed: make(chan struct{})}
}

// Ended notes that a backend server ended while a request was there, and returns what
// follows for the request.
func (b *Book) Ended(print Fingerprint, s Server, w Weight, now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.join(Entry{Print: print, Ends: []End{{Server: s, Weight: w, At: now}}}, now)
	return b.look(print, now)
}

// Served notes that a backend server outlived a request, and so what ended before did
// not end by it. It reports whether that was news.
func (b *Book) Served(print Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.find(print); e == nil || len(e.Ends) == 0 {
		return false
	}
	return b.join(Entry{Print: print, ServedAt: now}, now)
}

// Look returns whether a request may be sent.
func (b *Book) Look(print Fingerprint, now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.look(print, now)
}

// Admit returns whether a request that came from a caller may be sent; a trial counts
// from then.
func (b *Book) Admit(print Fingerprint, now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.look(print, now)
	if v.Trial {
		b.join(Entry{Print: print, TriedAt: now}, now)
	}
	return v
}

func (b *Book) look(print Fingerprint, now time.Time) Verdict {
	e := b.find(print)
	if e == nil {
		return Verdict{}
	}
	last := e.lastEnd()
	v := Verdict{Score: e.Score(), Ends: len(e.Ends)}
	switch {
	case v.Score < b.policy.HoldFrom || now.Sub(last) >= b.policy.Keep:
		return v
	case v.Score >= b.policy.HoldAll:
		v.Until = last.Add(b.policy.Keep)
	default:
		v.Until = boottime.Later(last, e.TriedAt).Add(b.policy.TrialAfter)
	}
	v.Held = now.Before(v.Until)
	v.Trial = !v.Held
	return v
}

// Join takes what another daemon knows.
func (b *Book) Join(entries []Entry, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range entries {
		b.join(e, now)
	}
}

// sameTime is how far two words on the time of one event lie apart at most: daemons
// tell each other ages, which grow on slow links.
const sameTime = 500 * time.Millisecond

// join adds what is news in an entry and reports whether there was any. The result does
// not depend on the order in which entries come.
func (b *Book) join(e Entry, now time.Time) bool {
	k := b.find(e.Print)
	if k == nil {
		if len(e.Ends) == 0 {
			return false
		}
		k = b.add(e.Print, now)
	}
	news := false
	if e.ServedAt.Sub(k.ServedAt) > sameTime {
		k.ServedAt, news = e.ServedAt, true
	}
	if e.TriedAt.Sub(k.TriedAt) > sameTime {
		k.TriedAt, news = e.TriedAt, true
	}
	for _, end := range e.Ends {
		if end.At.After(k.ServedAt) && k.addEnd(end) {
			news = true
		}
	}
	if !news {
		return false
	}
	k.Ends = slices.DeleteFunc(k.Ends, func(end End) bool { return !end.At.After(k.ServedAt) })
	slices.SortFunc(k.Ends, func(x, y End) int { return x.At.Compare(y.At) })
	b.touch(k)
	return true
}

// Since returns up to most entries that have changed since a version, oldest change
// first, with the version to ask for next.
func (b *Book) Since(version uint64, most int) (entries []Entry, next uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.order.Back()
	for first != nil && first.Value.(*kept).version > version {
		first = first.Prev()
	}
	if first == nil {
		first = b.order.Front()
	} else {
		first = first.Next()
	}
	for el := first; el != nil && len(entries) < most; el = el.Next() {
		k := el.Value.(*kept)
		e := k.Entry
		e.Ends = slices.Clone(e.Ends)
		entries = append(entries, e)
		version = k.version
	}
	return entries, version
}

// Changed returns a channel that is closed at the next change.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Size returns how many requests are remembered.
func (b *Book) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)
}

func (b *Book) find(print Fingerprint) *kept {
	if el := b.entries[print]; el != nil {
		return el.Value.(*kept)
	}
	return nil
}

func (b *Book) add(print Fingerprint, now time.Time) *kept {
	if len(b.entries) >= b.policy.Most {
		b.makeRoom(now)
	}
	k := &kept{Entry: Entry{Print: print}}
	b.entries[print] = b.order.PushBack(k)
	return k
}

// touch moves an entry behind all others and tells those who wait for changes.
func (b *Book) touch(k *kept) {
	b.version++
	k.version = b.version
	b.order.MoveToBack(b.entries[k.Print])
	close(b.changed)
	b.changed = make(chan struct{})
}

// roomShare is the part of a full book that is forgotten at once, so that each entry is
// looked at once in so many additions.
const roomShare = 8

// makeRoom forgets what has run out; if that is too little also the suspects that have
// not changed for longest, and what is held back at last.
func (b *Book) makeRoom(now time.Time) {
	least := max(1, b.policy.Most/roomShare)
	b.forget(b.policy.Most, func(k *kept) bool { return b.over(k, now) })
	b.forget(least-b.free(), func(k *kept) bool { return k.Score() < b.policy.HoldFrom })
	b.forget(least-b.free(), func(*kept) bool { return true })
}

func (b *Book) free() int { return b.policy.Most - len(b.entries) }

// forget drops up to n entries that fit, the longest unchanged first.
func (b *Book) forget(n int, fits func(*kept) bool) {
	for el := b.order.Front(); el != nil && n > 0; {
		k, next := el.Value.(*kept), el.Next()
		if fits(k) {
			b.order.Remove(el)
			delete(b.entries, k.Print)
			n--
		}
		el = next
	}
}

// over reports whether nothing follows from an entry any more.
func (b *Book) over(k *kept, now time.Time) bool {
	if len(k.Ends) == 0 {
		return now.Sub(k.ServedAt) >= b.policy.KeepServed
	}
	return now.Sub(k.lastEnd()) >= b.policy.Keep
}

// Forget drops what has run out. It is called now and then.
func (b *Book) Forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(len(b.entries), func(k *kept) bool { return b.over(k, now) })
}

// HeldBack returns the requests that are held back, most ends first.
func (b *Book) HeldBack(now time.Time) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Entry
	for print, el := range b.entries {
		if v := b.look(print, now); v.Held || v.Trial {
			e := el.Value.(*kept).Entry
			e.Ends = slices.Clone(e.Ends)
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(x, y Entry) int {
		if x.Score() != y.Score() {
			return y.Score() - x.Score()
		}
		return x.lastEnd().Compare(y.lastEnd())
	})
	return out
}
