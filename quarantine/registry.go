package quarantine

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/boottime"
)

// Policy sets when a request is quarantined. The end of one backend server never suffices:
// several requests may have been there, and the one that caused the end is unknown.
type Policy struct {
	// QuarantineScore is the score from which a request is quarantined, except for trials.
	QuarantineScore int
	// SuspectFor is the time from the last end during which a request with half of
	// QuarantineScore is a suspect.
	SuspectFor time.Duration
	// NoTrialScore is the score from which there are no trials.
	NoTrialScore int
	// TrialAfter is the time from the last end or trial to the next trial.
	TrialAfter time.Duration
	// Keep is the time from the last end after which an entry expires.
	Keep time.Duration
	// KeepServed is how long the time at which a request was served is kept, so that an
	// older report of another daemon does not quarantine the request again.
	KeepServed time.Duration
	// MaxEntries is the maximum number of entries.
	MaxEntries int
	// RecentlyServed is the time before its last end within which a part of a prompt must have
	// been served for one more end to be needed against it.
	RecentlyServed time.Duration
	// PartVerdictAfter is the time from the last end until a part of a prompt that reaches the
	// quarantine score is quarantined. Requests that run meanwhile may clear it.
	PartVerdictAfter time.Duration
	// PartTrialAfter is the least time from the last end or trial to the next trial of a part.
	// PartTrialFactor is that time as a multiple of the time between its first and last end.
	PartTrialAfter  time.Duration
	PartTrialFactor int
	// ServedPartTrialAfter is PartTrialAfter of a part that was recently served.
	ServedPartTrialAfter time.Duration
}

// DefaultPolicy quarantines a request after the ends of two backend servers that very likely
// ran it, or of four that may have. Trials readmit frequent requests, such as health checks,
// that were present at two ends by chance. The delay before a trial is long, since a third
// end affects many other requests. Most backend servers that restart do so within the time
// for which a request is a suspect. A part of a prompt has trials for as long as it is
// quarantined, since many requests that are sound may share it.
var DefaultPolicy = Policy{
	QuarantineScore: 2 * int(Likely), SuspectFor: 10 * time.Second, NoTrialScore: 3 * int(Likely), TrialAfter: time.Minute,
	Keep: 10 * time.Minute, KeepServed: 30 * time.Second, MaxEntries: 4096,
	RecentlyServed: time.Minute, PartVerdictAfter: 300 * time.Millisecond, PartTrialAfter: 10 * time.Second, PartTrialFactor: 5,
	ServedPartTrialAfter: time.Second,
}

// Weight is the strength of the evidence that a request ended a backend server.
type Weight uint8

// The weights.
const (
	Possible Weight = 1 // the request had been sent there, and nothing shows that it ran
	Likely   Weight = 2 // the request had just begun to run
)

// maxEnds is the maximum number of ends in one entry: the first and the latest ones.
const maxEnds = 16

// Server identifies an incarnation of a backend server.
type Server uint32

// End is the end of a backend server to which a request had been sent.
type End struct {
	Server Server
	Weight Weight
	At     time.Time
}

// Entry is the evidence against one request or part.
type Entry struct {
	Fingerprint Fingerprint
	Ends        []End     // since the request was last served, sorted by time
	TriedAt     time.Time // time of the last trial, the zero time for none
	// ServedAt is when a backend server last served the request without ending, the zero
	// time for never.
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

// hasFailedTrial reports whether a backend server has ended since the last trial.
func (e *Entry) hasFailedTrial() bool { return !e.TriedAt.IsZero() && e.hasEndAfter(e.TriedAt) }

// dropServedEnds removes the ends that are not later than ServedAt.
func (e *Entry) dropServedEnds() {
	e.Ends = slices.DeleteFunc(e.Ends, func(end End) bool { return !end.At.After(e.ServedAt) })
}

// hasEndAfter reports whether the entry has an end later than at.
func (e *Entry) hasEndAfter(at time.Time) bool {
	return slices.ContainsFunc(e.Ends, func(end End) bool { return end.At.After(at) })
}

// compareEnds orders ends by time.
func compareEnds(x, y End) int {
	return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Server, y.Server))
}

// mergeEnd adds an end and reports whether the entry has changed. If the end of a backend
// server is reported twice, the greater weight and the later time apply.
func (e *Entry) mergeEnd(end End) bool {
	i := slices.IndexFunc(e.Ends, func(known End) bool { return known.Server == end.Server })
	if i < 0 {
		e.Ends = append(e.Ends, end)
		slices.SortFunc(e.Ends, compareEnds)
		if len(e.Ends) <= maxEnds {
			return true
		}
		dropped := e.Ends[1]
		e.Ends = slices.Delete(e.Ends, 1, 2)
		return dropped.Server != end.Server
	}
	known := &e.Ends[i]
	changed := end.Weight > known.Weight || end.At.Sub(known.At) > maxTimeSkew
	if changed {
		known.Weight, known.At = max(known.Weight, end.Weight), boottime.Later(known.At, end.At)
	}
	return changed
}

// Registry holds the evidence against requests to which the ends of backend servers may be
// due. Daemons exchange their entries. The result of merging does not depend on the order, so
// that all registries converge. It is safe for concurrent use.
type Registry struct {
	policy Policy

	mu      sync.Mutex
	entries map[Fingerprint]*list.Element
	order   *list.List // of *registryEntry, least recently changed first
	version uint64     // of the last change
	changed chan struct{}
	// survivals holds when parts of prompts were last served. Unlike entries, it is of this
	// daemon alone.
	survivals  map[Fingerprint]time.Time
	candidates map[Fingerprint]*registryEntry // entries that reach QuarantineScore
	causes     *causes                        // nil after a change
}

type registryEntry struct {
	Entry
	version uint64
}

// NewRegistry returns an empty registry.
func NewRegistry(p Policy) *Registry {
	return &Registry{policy: p, entries: map[Fingerprint]*list.Element{}, order: list.New(), changed: make(chan struct{}),
		survivals: map[Fingerprint]time.Time{}, candidates: map[Fingerprint]*registryEntry{}}
}

// RecordEnd records the end of a backend server to which a request had been sent, and
// returns the resulting decision on the request.
func (r *Registry) RecordEnd(fp Fingerprint, s Server, w Weight, now time.Time) Decision {
	return r.RecordEndOfAll([]Fingerprint{fp}, s, w, now)
}

// RecordEndOfAll is RecordEnd for the content of a request and the shared parts of its prompt.
func (r *Registry) RecordEndOfAll(fps []Fingerprint, s Server, w Weight, now time.Time) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, fp := range fps {
		r.merge(Entry{Fingerprint: fp, Ends: []End{{Server: s, Weight: w, At: now}}}, now)
	}
	return r.evaluateAll(fps, now)
}

// Served records that a backend server served a request, or one with a part, without ending.
// That clears its earlier ends. It reports whether the entry has changed.
func (r *Registry) Served(fp Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteSurvival(fp, now)
	e := r.find(fp)
	if e == nil || len(e.Ends) == 0 || !now.After(e.ServedAt) {
		return false
	}
	e.ServedAt = now
	e.dropServedEnds()
	r.touch(e)
	return true
}

// Merge merges entries of another daemon.
func (r *Registry) Merge(entries []Entry, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		r.merge(e, now)
	}
}

// maxTimeSkew is the maximum difference between two reported times of one event. Daemons send
// ages, which grow by the delay of the link.
const maxTimeSkew = 500 * time.Millisecond

// noteSurvival records when a part was served.
func (r *Registry) noteSurvival(fp Fingerprint, now time.Time) {
	if !fp.IsPart() {
		return
	}
	if _, known := r.survivals[fp]; !known && len(r.survivals) >= r.policy.MaxEntries {
		r.forgetSurvivals(now)
	}
	r.survivals[fp] = now
}

// forgetSurvivals removes the survivals that are no longer recent, or all if there are too many.
func (r *Registry) forgetSurvivals(now time.Time) {
	maps.DeleteFunc(r.survivals, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= r.policy.RecentlyServed })
	if len(r.survivals) >= r.policy.MaxEntries {
		clear(r.survivals)
	}
}

// merge merges an entry and reports whether anything has changed. The result does not depend
// on the order of calls.
func (r *Registry) merge(e Entry, now time.Time) bool {
	k := r.find(e.Fingerprint)
	if k == nil {
		if len(e.Ends) == 0 {
			return false
		}
		k = r.add(e.Fingerprint, now)
	}
	changed := false
	if survived := r.survivals[e.Fingerprint]; survived.Sub(k.ServedAt) > maxTimeSkew && e.hasEndAfter(k.ServedAt) {
		k.ServedAt, changed = survived, true
	}
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
	k.dropServedEnds()
	slices.SortFunc(k.Ends, compareEnds)
	r.touch(k)
	return true
}

// Since returns up to most entries changed after a version, oldest change first, and the
// version to pass to the next call.
func (r *Registry) Since(version uint64, most int) (entries []Entry, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.order.Back()
	for first != nil && first.Value.(*registryEntry).version > version {
		first = first.Prev()
	}
	if first == nil {
		first = r.order.Front()
	} else {
		first = first.Next()
	}
	for el := first; el != nil && len(entries) < most; el = el.Next() {
		k := el.Value.(*registryEntry)
		e := k.Entry
		e.Ends = slices.Clone(e.Ends)
		entries = append(entries, e)
		version = k.version
	}
	return entries, version
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Size returns the number of entries.
func (r *Registry) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

func (r *Registry) find(fp Fingerprint) *registryEntry {
	if el := r.entries[fp]; el != nil {
		return el.Value.(*registryEntry)
	}
	return nil
}

func (r *Registry) add(fp Fingerprint, now time.Time) *registryEntry {
	if len(r.entries) >= r.policy.MaxEntries {
		r.evict(now)
	}
	k := &registryEntry{Entry: Entry{Fingerprint: fp}}
	r.entries[fp] = r.order.PushBack(k)
	return k
}

// touch assigns a new version to an entry, moves it to the back of the order and closes the
// channel that Changed has returned.
func (r *Registry) touch(k *registryEntry) {
	r.version++
	k.version = r.version
	r.order.MoveToBack(r.entries[k.Fingerprint])
	r.setCandidate(k)
	close(r.changed)
	r.changed = make(chan struct{})
}

// evictFraction is the inverse of the fraction of a full table that is evicted at once, so
// that the cost of a scan is spread over many additions.
const evictFraction = 8

// evict removes expired entries. If that frees too few, it removes the least recently changed
// entries, first those below the quarantine score, then any.
func (r *Registry) evict(now time.Time) {
	target := max(1, r.policy.MaxEntries/evictFraction)
	r.remove(r.policy.MaxEntries, func(k *registryEntry) bool { return r.expired(k, now) })
	r.remove(target-r.free(), func(k *registryEntry) bool { return k.Score() < r.policy.QuarantineScore })
	r.remove(target-r.free(), func(*registryEntry) bool { return true })
}

func (r *Registry) free() int { return r.policy.MaxEntries - len(r.entries) }

// remove removes up to n matching entries, the least recently changed first.
func (r *Registry) remove(n int, match func(*registryEntry) bool) {
	for el := r.order.Front(); el != nil && n > 0; {
		k, next := el.Value.(*registryEntry), el.Next()
		if match(k) {
			r.order.Remove(el)
			delete(r.entries, k.Fingerprint)
			delete(r.candidates, k.Fingerprint)
			r.causes = nil
			n--
		}
		el = next
	}
}

// expired reports whether an entry no longer has any effect.
func (r *Registry) expired(k *registryEntry, now time.Time) bool {
	if len(k.Ends) == 0 {
		return now.Sub(k.ServedAt) >= r.policy.KeepServed
	}
	return now.Sub(k.lastEndAt()) >= r.policy.Keep
}

// Forget removes expired entries. It is called periodically.
func (r *Registry) Forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(len(r.entries), func(k *registryEntry) bool { return r.expired(k, now) })
	r.forgetSurvivals(now)
}

// Quarantined returns the quarantined requests and parts, including those due for a trial, highest
// score first.
func (r *Registry) Quarantined(now time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Entry
	for fp, el := range r.entries {
		if d := r.evaluate(fp, now); d.Quarantined || d.Trial {
			e := el.Value.(*registryEntry).Entry
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
