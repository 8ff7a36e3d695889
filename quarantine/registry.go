package quarantine

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
)

// Policy sets when a request is quarantined. One ended backend server never suffices: a
// request that was only there when another one ended it looks the same as the cause.
type Policy struct {
	// HoldFrom is the score from which a request is quarantined, except for trials.
	HoldFrom int
	// HoldAll is the score from which there are no trials.
	HoldAll int
	// TrialAfter is the time from the last end or trial to the next trial.
	TrialAfter time.Duration
	// Keep is how long ends are kept after the last one.
	Keep time.Duration
	// KeepServed is how long it is kept that a request was served, so that an older report
	// of another daemon does not quarantine it again.
	KeepServed time.Duration
	// Most is the maximum number of entries.
	Most int
}

// DefaultPolicy quarantines a request after two backend servers that very likely ran it, or
// four that may have. The trial admits requests that recur, such as checks, and were there
// by chance twice. It comes late, since a third ended backend server affects many other
// requests.
var DefaultPolicy = Policy{
	HoldFrom: 2 * int(Likely), HoldAll: 3 * int(Likely), TrialAfter: time.Minute,
	Keep: 10 * time.Minute, KeepServed: 30 * time.Second, Most: 4096,
}

// Weight is the strength of the evidence that a request ended a backend server.
type Weight uint8

// The weights.
const (
	Possible Weight = 1 // it had been sent there, and nothing shows that it ran
	Likely   Weight = 2 // it had just begun to run
)

// maxEnds bounds the backend servers in one entry. It exceeds what any policy needs.
const maxEnds = 8

// Server identifies an incarnation of a backend server.
type Server uint32

// End is a backend server that ended while a request was there.
type End struct {
	Server Server
	Weight Weight
	At     time.Time
}

// Entry is the evidence against one request.
type Entry struct {
	Fingerprint Fingerprint
	Ends        []End     // since it was last served, sorted by time
	TriedAt     time.Time // of the last trial, the zero time for none
	// ServedAt is when a backend server last served it without ending, the zero time for
	// never.
	ServedAt time.Time
}

// Score returns the sum of the weights of the ends.
func (e *Entry) Score() int {
	score := 0
	for _, end := range e.Ends {
		score += int(end.Weight)
	}
	return score
}

func (e *Entry) lastEndAt() time.Time {
	if len(e.Ends) == 0 {
		return time.Time{}
	}
	return e.Ends[len(e.Ends)-1].At
}

// mergeEnd adds an end and reports whether the entry has changed. Of two reports about one
// backend server the greater weight and the later time apply.
func (e *Entry) mergeEnd(end End) bool {
	i := slices.IndexFunc(e.Ends, func(known End) bool { return known.Server == end.Server })
	if i < 0 {
		if len(e.Ends) >= maxEnds {
			return false
		}
		e.Ends = append(e.Ends, end)
		return true
	}
	known := &e.Ends[i]
	changed := end.Weight > known.Weight || end.At.Sub(known.At) > maxTimeSkew
	if changed {
		known.Weight, known.At = max(known.Weight, end.Weight), boottime.Later(known.At, end.At)
	}
	return changed
}

// Decision is the decision on whether a request may be sent.
type Decision struct {
	Held  bool      // the request is quarantined
	Until time.Time // time of the next trial, if it is quarantined
	Trial bool      // the request may be sent as a trial
	Score int
	Ends  int // number of backend servers that ended while it was there
}

// Registry holds the evidence against requests that were at backend servers when these ended.
// Daemons exchange their entries; merging is independent of the order, so that all tables
// converge. It is safe for concurrent use.
type Registry struct {
	policy Policy

	mu      sync.Mutex
	entries map[Fingerprint]*list.Element
	order   *list.List // of *tableEntry, least recently changed first
	version uint64     // of the last change
	changed chan struct{}
}

type tableEntry struct {
	Entry
	version uint64
}

// NewRegistry returns an empty table.
func NewRegistry(p Policy) *Registry {
	return &Registry{policy: p, entries: map[Fingerprint]*list.Element{}, order: list.New(), changed: make(chan struct{})}
}

// Ended records that a backend server ended while a request was there, and returns the
// resulting decision on the request.
func (b *Registry) Ended(print Fingerprint, s Server, w Weight, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.merge(Entry{Fingerprint: print, Ends: []End{{Server: s, Weight: w, At: now}}}, now)
	return b.evaluate(print, now)
}

// Served records that a backend server served a request without ending, which clears the
// earlier ends. It reports whether the entry has changed.
func (b *Registry) Served(print Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.find(print); e == nil || len(e.Ends) == 0 {
		return false
	}
	return b.merge(Entry{Fingerprint: print, ServedAt: now}, now)
}

// Look returns whether a request may be sent.
func (b *Registry) Look(print Fingerprint, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evaluate(print, now)
}

// Admit returns whether a request from a caller may be sent, and records the start of a
// trial.
func (b *Registry) Admit(print Fingerprint, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.evaluate(print, now)
	if v.Trial {
		b.merge(Entry{Fingerprint: print, TriedAt: now}, now)
	}
	return v
}

func (b *Registry) evaluate(print Fingerprint, now time.Time) Decision {
	e := b.find(print)
	if e == nil {
		return Decision{}
	}
	last := e.lastEndAt()
	v := Decision{Score: e.Score(), Ends: len(e.Ends)}
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

// Join merges entries of another daemon.
func (b *Registry) Join(entries []Entry, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range entries {
		b.merge(e, now)
	}
}

// maxTimeSkew is the maximum difference between two reported times of one event. Daemons send
// ages, which grow by the delay of the link.
const maxTimeSkew = 500 * time.Millisecond

// merge merges an entry and reports whether anything has changed. The result does not depend
// on the order of calls.
func (b *Registry) merge(e Entry, now time.Time) bool {
	k := b.find(e.Fingerprint)
	if k == nil {
		if len(e.Ends) == 0 {
			return false
		}
		k = b.add(e.Fingerprint, now)
	}
	changed := false
	if e.ServedAt.Sub(k.ServedAt) > maxTimeSkew {
		k.ServedAt, changed = e.ServedAt, true
	}
	if e.TriedAt.Sub(k.TriedAt) > maxTimeSkew {
		k.TriedAt, changed = e.TriedAt, true
	}
	for _, end := range e.Ends {
		if end.At.After(k.ServedAt) && k.mergeEnd(end) {
			changed = true
		}
	}
	if !changed {
		return false
	}
	k.Ends = slices.DeleteFunc(k.Ends, func(end End) bool { return !end.At.After(k.ServedAt) })
	slices.SortFunc(k.Ends, func(x, y End) int { return x.At.Compare(y.At) })
	b.touch(k)
	return true
}

// Since returns up to most entries changed after a version, oldest change first, and the
// version to pass to the next call.
func (b *Registry) Since(version uint64, most int) (entries []Entry, next uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.order.Back()
	for first != nil && first.Value.(*tableEntry).version > version {
		first = first.Prev()
	}
	if first == nil {
		first = b.order.Front()
	} else {
		first = first.Next()
	}
	for el := first; el != nil && len(entries) < most; el = el.Next() {
		k := el.Value.(*tableEntry)
		e := k.Entry
		e.Ends = slices.Clone(e.Ends)
		entries = append(entries, e)
		version = k.version
	}
	return entries, version
}

// Changed returns a channel that is closed at the next change.
func (b *Registry) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Size returns the number of entries.
func (b *Registry) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)
}

func (b *Registry) find(print Fingerprint) *tableEntry {
	if el := b.entries[print]; el != nil {
		return el.Value.(*tableEntry)
	}
	return nil
}

func (b *Registry) add(print Fingerprint, now time.Time) *tableEntry {
	if len(b.entries) >= b.policy.Most {
		b.evict(now)
	}
	k := &tableEntry{Entry: Entry{Fingerprint: print}}
	b.entries[print] = b.order.PushBack(k)
	return k
}

// touch assigns a new version to an entry, moves it to the back of the order and wakes
// those that wait for changes.
func (b *Registry) touch(k *tableEntry) {
	b.version++
	k.version = b.version
	b.order.MoveToBack(b.entries[k.Fingerprint])
	close(b.changed)
	b.changed = make(chan struct{})
}

// evictFraction is the inverse of the fraction of a full table that is evicted at once, so
// that the cost of a scan is spread over many additions.
const evictFraction = 8

// evict removes expired entries, then, until enough are free, the least recently changed
// ones below the quarantine score, then any.
func (b *Registry) evict(now time.Time) {
	target := max(1, b.policy.Most/evictFraction)
	b.remove(b.policy.Most, func(k *tableEntry) bool { return b.expired(k, now) })
	b.remove(target-b.free(), func(k *tableEntry) bool { return k.Score() < b.policy.HoldFrom })
	b.remove(target-b.free(), func(*tableEntry) bool { return true })
}

func (b *Registry) free() int { return b.policy.Most - len(b.entries) }

// remove removes up to n matching entries, the least recently changed first.
func (b *Registry) remove(n int, match func(*tableEntry) bool) {
	for el := b.order.Front(); el != nil && n > 0; {
		k, next := el.Value.(*tableEntry), el.Next()
		if match(k) {
			b.order.Remove(el)
			delete(b.entries, k.Fingerprint)
			n--
		}
		el = next
	}
}

// expired reports whether an entry no longer has any effect.
func (b *Registry) expired(k *tableEntry, now time.Time) bool {
	if len(k.Ends) == 0 {
		return now.Sub(k.ServedAt) >= b.policy.KeepServed
	}
	return now.Sub(k.lastEndAt()) >= b.policy.Keep
}

// Forget removes expired entries. It is called periodically.
func (b *Registry) Forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(len(b.entries), func(k *tableEntry) bool { return b.expired(k, now) })
}

// Quarantined returns the quarantined requests, highest score first.
func (b *Registry) Quarantined(now time.Time) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Entry
	for print, el := range b.entries {
		if v := b.evaluate(print, now); v.Held || v.Trial {
			e := el.Value.(*tableEntry).Entry
			e.Ends = slices.Clone(e.Ends)
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(x, y Entry) int {
		if x.Score() != y.Score() {
			return y.Score() - x.Score()
		}
		return x.lastEndAt().Compare(y.lastEndAt())
	})
	return out
}
