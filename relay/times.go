package relay

import "time"

// Times of following another daemon. A configuration is to be in force within
// shortestConfigWithin or more, also when a source is cut off without a word just before
// it comes: what a source may not have heard, a ping and a list of the store's take less.
const (
	shortestConfigWithin = 2 * time.Second
	// pingEvery is the period at which a source is asked how fresh it is.
	pingEvery = 400 * time.Millisecond
	// silentFor is how long a source may say nothing before it is left.
	silentFor = 1100 * time.Millisecond
	// leastUnheard is how long a source may not have heard from the store, at least: its
	// watch waits 0.9 s, and a slow store takes 0.4 s more. Where a configuration may take
	// longer, a source is left later by unheardShare of what it may: a store that is about
	// to drop its history says nothing for 1.6 s. All 295 daemons left their sources then
	// and followed the store themselves, with 1,600 calls in two seconds, half of the day's.
	leastUnheard = 1350 * time.Millisecond
	unheardShare = 0.375
	mostUnheard  = 2350 * time.Millisecond
	// dialTimeout bounds the opening of a link, connectTimeout its connection: a VM
	// without power says nothing, while one that is there takes a connection in
	// milliseconds however busy it is. Where the first VM of a domain was gone for good,
	// each of 59 daemons that were started together waited 400 ms for it again and again.
	dialTimeout    = 400 * time.Millisecond
	connectTimeout = 150 * time.Millisecond
	// tryAgain is the pause after which a daemon looks for a better source.
	tryAgain = 1500 * time.Millisecond
	// ownSources is how many daemons of the own domain follow the store or do so
	// next: the first does, the second when the first is lost.
	ownSources = 2
	// fanOut is how many daemons follow one: a full state of 1 MB for each of a
	// hundred took 30 s of a small VM's link, and eight took 3.1 KB a second of control
	// traffic, of which a daemon has 3. Domains of up to eight daemons need no relays
	// between, those of up to 57 one step of them: the target has 55.
	fanOut = 7
	// patience is how long a daemon waits at its start for a source that starts at
	// the same time, and longPatience for one that says that it reads the store; if
	// all read the store at once, its rate would hold all up. The second daemon of a
	// domain, which is its source when the first is gone, waits for secondPatience:
	// VMs start within 0.3 s of each other, and a start takes 0.1 s.
	patience       = 1500 * time.Millisecond
	secondPatience = 600 * time.Millisecond
	longPatience   = 10 * time.Second
	patiencePause  = 100 * time.Millisecond
	// quickPause and quickPauseMost bound the pauses after failed calls to the store of
	// the first daemons of a domain, laterPause and laterPauseMost those of the others.
	// These find a source as soon as one is sound again: in an outage of 8 s each of 295
	// daemons made twenty calls with quick pauses.
	quickPause     = 50 * time.Millisecond
	quickPauseMost = 400 * time.Millisecond
	laterPause     = 2 * time.Second
	laterPauseMost = 4 * time.Second
	// lookPause is the pause between two looks for a source of a later daemon that has
	// lost its own, and outagePause the one while the store seems to be away for all, for
	// outageMost at most.
	lookPause   = 500 * time.Millisecond
	outagePause = time.Second
	outageMost  = 10 * time.Second
	// leaveTakes is how long it takes at most from when a source has not heard from the
	// store for too long until a follower has read the store itself: a ping and a list.
	leaveTakes = 650 * time.Millisecond
)

// unheardFor returns how long a source may not have heard from the store where a
// configuration is to be in force within a time.
func unheardFor(configWithin time.Duration) time.Duration {
	more := unheardShare * float64(configWithin-shortestConfigWithin)
	return min(mostUnheard, leastUnheard+time.Duration(max(0, more)))
}
