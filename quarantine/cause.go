package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Requests that were in progress at an end are present at it by chance, but for the one that
// caused it. What is present at most ends, and was never served since, is taken for their cause.
// These ends no longer count against what else was present.

// causes holds what explains the ends of backend servers.
type causes struct {
	parts    map[Server]Fingerprint
	contents map[Server]Fingerprint
}

// setCandidate records whether an entry is a candidate for the cause of its ends.
func (r *Registry) setCandidate(k *registryEntry) {
	r.causes = nil
	if r.scoreOf(k, k.Ends) >= r.policy.QuarantineScore {
		r.candidates[k.Fingerprint] = k
	} else {
		delete(r.candidates, k.Fingerprint)
	}
}

// currentCauses returns the causes of the ends known now.
func (r *Registry) currentCauses() *causes {
	if r.causes == nil {
		r.causes = r.findCauses()
	}
	return r.causes
}

// unexplained returns the score of the ends of an entry that have no other cause.
func (r *Registry) unexplained(c *causes, e *registryEntry) int {
	left := make([]End, 0, maxEnds)
	for _, end := range e.Ends {
		if !r.explains(c, end.Server, e) {
			left = append(left, end)
		}
	}
	return r.scoreOf(e, left)
}

// simultaneous is the time from an end within which further ends do not count against a part. Many
// backend servers may end at one moment for another reason, as with a failure domain, and a part
// that many requests share is present at all of them.
const simultaneous = 250 * time.Millisecond

// scoreOf returns the score of some ends of an entry, in the order of time.
func (r *Registry) scoreOf(e *registryEntry, ends []End) int {
	score := 0
	var counted time.Time
	for _, end := range ends {
		if e.Fingerprint.IsPart() && end.At.Sub(counted) <= simultaneous {
			continue
		}
		score += int(end.Weight)
		counted = end.At
	}
	return score
}

// explains reports whether the end of a backend server has another cause than an entry. Contents do
// not explain ends of each other, since two of them may crash the same backend servers, nor of a part
// that was not served lately.
func (r *Registry) explains(c *causes, s Server, e *registryEntry) bool {
	if part, ok := c.parts[s]; ok {
		return part != e.Fingerprint
	}
	_, ok := c.contents[s]
	return ok && r.recentlyServed(e)
}

// findCauses selects the strongest candidates one after the other, as long as enough ends are
// left that the earlier ones do not explain.
func (r *Registry) findCauses() *causes {
	c := &causes{parts: map[Server]Fingerprint{}, contents: map[Server]Fingerprint{}}
	sorted := slices.SortedFunc(maps.Values(r.candidates), r.compareCandidates)
	for _, e := range sorted {
		if r.unexplained(c, e) >= r.threshold(e) {
			c.add(e)
		}
	}
	return c
}

func (c *causes) add(e *registryEntry) {
	explained := c.contents
	if e.Fingerprint.IsPart() {
		explained = c.parts
	}
	for _, end := range e.Ends {
		if _, ok := explained[end.Server]; !ok {
			explained[end.Server] = e.Fingerprint
		}
	}
}

// threshold returns the score from which a candidate is quarantined. A part that was served just
// before needs one more end, since it may have been present at the others by chance.
func (r *Registry) threshold(e *registryEntry) int {
	if r.recentlyServed(e) {
		return r.policy.QuarantineScore + int(Likely)
	}
	return r.policy.QuarantineScore
}

// compareCandidates orders candidates, the strongest first. Parts that were not served lately precede
// all others, which are present at more ends if many requests have them. Of equally strong ones a
// content precedes a part, since fewer requests have it.
func (r *Registry) compareCandidates(x, y *registryEntry) int {
	return cmp.Or(
		compareBool(r.isUnservedPart(y), r.isUnservedPart(x)),
		cmp.Compare(r.strength(y), r.strength(x)),
		compareBool(x.Fingerprint.IsPart(), y.Fingerprint.IsPart()),
		cmp.Compare(x.Fingerprint, y.Fingerprint),
	)
}

func (r *Registry) isUnservedPart(e *registryEntry) bool {
	return e.Fingerprint.IsPart() && !r.recentlyServed(e)
}

// servedDiscount is the number of ends by which a part that was served lately is weaker than others
// as a cause.
const servedDiscount = 2

// strength returns how strong a candidate is as a cause.
func (r *Registry) strength(e *registryEntry) int {
	if r.recentlyServed(e) {
		return len(e.Ends) - servedDiscount
	}
	return len(e.Ends)
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}
