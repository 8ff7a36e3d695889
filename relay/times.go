package relay

import "time"

// Times of following another daemon. A configuration must be in force within
// Options.MaxConfigDelay, defaultConfigDelay if not set, even if a source is cut off just before
// the configuration is published. contactTimeout, one ping and one list of the store must fit
// into that time.
const (
	defaultConfigDelay = 2 * time.Second
	// pingInterval is the interval at which a follower pings its source.
	pingInterval = 400 * time.Millisecond
	// silenceTimeout is the time without an answer after which a source is left.
	silenceTimeout = 1100 * time.Millisecond
	// minContactTimeout is the least time without an answer from the store after which a
	// source is left: a watch of the store waits 0.9 s, and a slow store takes 0.4 s more.
	// Where a configuration may take longer, contactTimeoutFactor of the additional time is
	// added, up to maxContactTimeout: a store that is about to compact its history does not
	// answer for 1.6 s, and all daemons would leave their sources and call it at once.
	minContactTimeout    = 1350 * time.Millisecond
	contactTimeoutFactor = 0.375
	maxContactTimeout    = 2350 * time.Millisecond
	// dialTimeout bounds the opening of a link, connectTimeout that of its connection. A
	// reachable VM accepts connections within milliseconds even under load, and one without
	// power does not answer at all.
	dialTimeout    = 400 * time.Millisecond
	connectTimeout = 150 * time.Millisecond
	// sourceCheckInterval is the interval at which a daemon checks for a better source.
	sourceCheckInterval = 1500 * time.Millisecond
	// sourcesPerDomain is the number of daemons of a domain that follow the store or are
	// next to do so: the second does when the first is lost.
	sourcesPerDomain = 2
	// headsPerDomain is the number of daemons of a domain that look for the store
	// themselves while the daemons before them have lost it. The store may turn away some
	// VMs and serve the others: a domain has a source unless all its heads are turned away.
	headsPerDomain = 8
	// headsPerProbe is the number of heads of its domain that a later daemon probes in one
	// step of a search, otherHeadsPerProbe the number of heads of other domains that a head
	// probes. They are chosen at random, so that the probes of a large fleet do not
	// overload its heads.
	headsPerProbe      = 3
	otherHeadsPerProbe = 8
	// startWait is how long a daemon waits at its start for a source that starts at the
	// same time, and maxStartWait for a source that reports that it is starting, so that
	// daemons that start together do not exhaust the rate limit of the store. The second
	// daemon of a domain waits for secondStartWait, since it becomes the source if the
	// first is gone.
	startWait         = 1500 * time.Millisecond
	secondStartWait   = 600 * time.Millisecond
	maxStartWait      = 10 * time.Second
	startPollInterval = 100 * time.Millisecond
	// startGrace is the time after its start from which a daemon that has not reached the
	// store reports that it has lost it, so that the others do not wait for it.
	startGrace = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delays after failed calls to the store of
	// the first daemons of a domain, minLaterRetryDelay and maxLaterRetryDelay those of
	// later ones. Later daemons retry less often, since they find a source as soon as one
	// is healthy.
	minRetryDelay      = 50 * time.Millisecond
	maxRetryDelay      = 400 * time.Millisecond
	minLaterRetryDelay = 2 * time.Second
	maxLaterRetryDelay = 4 * time.Second
	// minSearchPause and maxSearchPause bound the pauses between two steps of a search,
	// which double from one to the next. A search ends after maxOutageSearch.
	minSearchPause  = 100 * time.Millisecond
	maxSearchPause  = 400 * time.Millisecond
	maxOutageSearch = 10 * time.Second
	// sampleTimeout bounds the probes of a part of the candidates.
	sampleTimeout = 200 * time.Millisecond
	// probeSettleDelay is how long a step of a search waits for further answers after the
	// first. A VM that is frozen accepts connections and does not answer.
	probeSettleDelay = 100 * time.Millisecond
	// maxSwitchDelay bounds the time from when a source exceeds contactTimeout until its
	// follower has read the store itself: a ping and a list.
	maxSwitchDelay = 650 * time.Millisecond
)

// FindSourceDelay bounds the time from when a source is healthy until a daemon that follows the store
// has found it.
const FindSourceDelay = sourceCheckInterval + dialTimeout

// takeoverDelay returns how long a daemon searches for a source before it may follow the store
// itself, for a given bound on configurations.
func takeoverDelay(configDelay time.Duration) time.Duration {
	return configDelay - contactTimeout(configDelay) - maxSwitchDelay
}

// SilentSourceDelay returns the longest time from when a source falls silent until its follower has
// another one or asks the store, for a given bound on configurations.
func SilentSourceDelay(configDelay time.Duration) time.Duration {
	return silenceTimeout + dialTimeout + takeoverDelay(configDelay)
}

// StaleSourceDelay returns the longest time from when a source loses the store until its followers
// have read the store, for a given bound on configurations.
func StaleSourceDelay(configDelay time.Duration) time.Duration {
	return contactTimeout(configDelay) + maxSwitchDelay
}

// contactTimeout returns the time without an answer from the store after which a source is
// not healthy, for a given bound on configurations.
func contactTimeout(configDelay time.Duration) time.Duration {
	extra := contactTimeoutFactor * float64(configDelay-defaultConfigDelay)
	return min(maxContactTimeout, minContactTimeout+time.Duration(max(0, extra)))
}
