package quarantine

import (
	"time"

	"github.com/snowspoke/snowspoke/boottime"
)

// Decision states whether a request may be sent.
type Decision struct {
	Quarantined bool      // the request is quarantined
	Until       time.Time // when the next trial is due, or the entry expires if there are no trials
	Trial       bool      // the request may be sent as a trial
	Score       int       // of the ends that no other cause explains
	Ends        int       // number of ends in the entry
	// SuspectSince is the time of the last end if the request is a suspect, the zero time
	// otherwise.
	SuspectSince time.Time
	// VerdictAt is when the quarantine of a part takes effect. It may be in the past.
	VerdictAt time.Time
	// Part is the fingerprint of the part that decides, 0 if it is the content as a whole.
	Part Fingerprint
}

// Check returns whether a request may be sent. Unlike Admit it records nothing.
func (r *Registry) Check(fp Fingerprint, now time.Time) Decision {
	return r.CheckAll([]Fingerprint{fp}, now)
}

// CheckAll returns whether a request with this content and these shared parts may be sent: the
// strictest of the decisions on them.
func (r *Registry) CheckAll(fps []Fingerprint, now time.Time) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evaluateAll(fps, now)
}

// Admit returns whether a request that was received from a caller may be sent. If it may be
// sent as a trial, Admit records the start of the trial.
func (r *Registry) Admit(fp Fingerprint, now time.Time) Decision {
	return r.AdmitAll([]Fingerprint{fp}, now, nil)
}

// AdmitAll is Admit for a request with this content and these shared parts. trialDelay returns
// how much later than due this daemon may try a part, so that daemons do not try it all at once;
// nil for no delay.
func (r *Registry) AdmitAll(fps []Fingerprint, now time.Time, trialDelay func(part Fingerprint) time.Duration) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.decideAll(fps, now, trialDelay)
	if !all.Trial {
		return all
	}
	for _, fp := range fps {
		if r.evaluate(fp, now).Trial {
			r.merge(Entry{Fingerprint: fp, TriedAt: now}, now)
		}
	}
	return all
}

// PreviewAll returns what AdmitAll would return. It records nothing.
func (r *Registry) PreviewAll(fps []Fingerprint, now time.Time, trialDelay func(part Fingerprint) time.Duration) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decideAll(fps, now, trialDelay)
}

func (r *Registry) decideAll(fps []Fingerprint, now time.Time, trialDelay func(part Fingerprint) time.Duration) Decision {
	all := Decision{}
	for _, fp := range fps {
		d := r.evaluate(fp, now)
		if d.Trial && fp.IsPart() && trialDelay != nil {
			d = d.delayed(trialDelay(fp), now)
		}
		all = stricter(all, d)
	}
	if all.Trial && r.hasSeveralCandidates(fps) {
		all.Trial, all.Quarantined, all.Until = false, true, now.Add(r.policy.PartTrialAfter)
	}
	return all
}

// hasSeveralCandidates reports whether a request has more than one candidate for a cause, so that
// its failure as a trial would not tell which of them it is.
func (r *Registry) hasSeveralCandidates(fps []Fingerprint) bool {
	n := 0
	for _, fp := range fps {
		if r.candidates[fp] != nil {
			n++
		}
	}
	return n > 1
}

// delayed returns d, which permits a trial, for a daemon that must wait for longer.
func (d Decision) delayed(delay time.Duration, now time.Time) Decision {
	d.Until = d.Until.Add(delay)
	d.Quarantined = now.Before(d.Until)
	d.Trial = !d.Quarantined
	return d
}

func (r *Registry) evaluateAll(fps []Fingerprint, now time.Time) Decision {
	all := Decision{}
	for _, fp := range fps {
		all = stricter(all, r.evaluate(fp, now))
	}
	return all
}

// stricter returns the stricter of two decisions on one request. It is a suspect if either says
// so.
func stricter(a, b Decision) Decision {
	suspectSince := boottime.Later(a.SuspectSince, b.SuspectSince)
	if b.strictness() > a.strictness() || b.strictness() == a.strictness() && b.Score > a.Score {
		a = b
	}
	a.SuspectSince = suspectSince
	return a
}

func (d *Decision) strictness() int {
	switch {
	case d.Quarantined:
		return 2
	case d.Trial:
		return 1
	}
	return 0
}

func (r *Registry) evaluate(fp Fingerprint, now time.Time) Decision {
	e := r.find(fp)
	if e == nil {
		return Decision{}
	}
	last, c := e.lastEndAt(), r.currentCauses()
	d := Decision{Score: r.score(c, e), Ends: len(e.Ends)}
	if fp.IsPart() {
		d.Part, d.VerdictAt = fp, last.Add(r.policy.PartVerdictAfter)
	}
	if 2*d.Score >= r.policy.QuarantineScore && now.Sub(last) < r.policy.SuspectFor && !r.recentlyServed(e) {
		d.SuspectSince = last
	}
	if d.Score < r.threshold(e) || now.Sub(last) >= r.policy.Keep {
		return d
	}
	d.Until = r.nextTrial(e, d.Score)
	d.Quarantined = now.Before(d.Until)
	d.Trial = !d.Quarantined
	return d
}

// score returns the score that decides on an entry: that of the ends without another cause. A content
// with NoTrialScore reaches at least QuarantineScore. Several contents may crash backend servers at
// once, and what explains the ends of one need not be in it.
func (r *Registry) score(c *causes, e *registryEntry) int {
	score := r.unexplained(c, e)
	if !e.Fingerprint.IsPart() && e.Score() >= r.policy.NoTrialScore {
		return max(score, r.policy.QuarantineScore)
	}
	return score
}

// nextTrial returns when the next trial of a quarantined entry is due, or when the entry expires
// if there are no trials.
func (r *Registry) nextTrial(e *registryEntry, score int) time.Time {
	last := e.lastEndAt()
	switch {
	case e.Fingerprint.IsPart():
		return boottime.Later(last, e.TriedAt).Add(r.partTrialInterval(e))
	case score >= r.policy.NoTrialScore, e.hasFailedTrial():
		return last.Add(r.policy.Keep)
	}
	return boottime.Later(last, e.TriedAt).Add(r.policy.TrialAfter)
}

// partTrialInterval returns the time from the last end or trial of a part to the next trial.
func (r *Registry) partTrialInterval(e *registryEntry) time.Duration {
	if r.recentlyServed(e) && e.TriedAt.IsZero() {
		return r.policy.ServedPartTrialAfter
	}
	known := e.lastEndAt().Sub(e.Ends[0].At)
	return max(r.policy.PartTrialAfter, time.Duration(r.policy.PartTrialFactor)*known)
}

// recentlyServed reports whether an entry is of a part that was served shortly before its last
// end.
func (r *Registry) recentlyServed(e *registryEntry) bool {
	return e.Fingerprint.IsPart() && !e.ServedAt.IsZero() && e.lastEndAt().Sub(e.ServedAt) < r.policy.RecentlyServed
}
