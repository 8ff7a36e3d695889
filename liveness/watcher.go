package liveness

import (
	"slices"
	"sync"
	"time"
)

// Times of a watch.
const (
	minPause = 10 * time.Millisecond  // between the first checks
	maxPause = 500 * time.Millisecond // between later ones
	// UnresponsiveAfter is the time from a loss of contact after which a process that accepts
	// connections and answers none is reported as Unresponsive.
	UnresponsiveAfter = 300 * time.Millisecond
	// watchLimit bounds a watch. Most processes that end without refusing connections are back,
	// as another process, by then.
	watchLimit = 10 * time.Second
)

// Check checks a process once. Its verdict is about a time after the call.
type Check func() Verdict

// Notify receives what is known of a process: at most once each Unknown, when a check could not connect,
// and Unresponsive, and then the last verdict.
type Notify func(v Verdict, last bool)

// MaxReports is the maximum number of calls of a Notify.
const MaxReports = 3

// Watcher watches processes with which contact was lost. It is safe for concurrent use. The zero
// value is ready for use.
type Watcher struct {
	mu      sync.Mutex
	watches map[string]*watch
}

// watch is the watch of one process.
type watch struct {
	process string
	check   Check
	pause   time.Duration // before the next check
	next    *time.Timer   // of the next check, nil before the first one has ended
	losses  []*loss
	last    Verdict // of the last check
}

// loss is a loss of contact with a process.
type loss struct {
	at         time.Time
	notify     Notify
	unreached  bool // Unknown was reported
	suspicious bool // Unresponsive was reported
}

// Watch watches a process with which contact is lost at this moment. Its check is repeated until
// one that began since is conclusive, at most for watchLimit. Losses of contact with the same process
// share their checks, and each has one soon.
func (w *Watcher) Watch(process string, check Check, notify Notify) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	running := w.watches[process]
	if running == nil {
		running = &watch{process: process, check: check, pause: minPause}
		if w.watches == nil {
			w.watches = map[string]*watch{}
		}
		w.watches[process] = running
		go w.step(running)
	}
	running.pause = minPause
	if running.next != nil && running.next.Stop() {
		running.next.Reset(minPause)
	}
	running.losses = append(running.losses, &loss{at: now, notify: notify})
}

// Unresponsive reports whether a process is watched that accepted a connection at the last check and
// answered nothing.
func (w *Watcher) Unresponsive(process string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.watches[process]
	return x != nil && x.last == Unresponsive
}

// step makes one check of a watch and schedules the next one.
func (w *Watcher) step(x *watch) {
	began := time.Now()
	v := x.check()
	w.apply(x, began, v)
}

// apply reports a verdict to the losses of contact that it is about.
func (w *Watcher) apply(x *watch, began time.Time, v Verdict) {
	now := time.Now()
	var calls []func()
	w.mu.Lock()
	x.last = v
	x.losses = slices.DeleteFunc(x.losses, func(l *loss) bool {
		call, last := l.apply(began, now, v)
		if call != nil {
			calls = append(calls, call)
		}
		return last
	})
	if len(x.losses) == 0 {
		delete(w.watches, x.process)
	} else {
		x.next = time.AfterFunc(x.pause, func() { w.step(x) })
		x.pause = min(2*x.pause, maxPause)
	}
	w.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// apply returns the report of a verdict from a check that began at a time, nil for none, and whether
// it is the last one. A process that was alive before a loss of contact may have ended since.
func (l *loss) apply(began, now time.Time, v Verdict) (report func(), last bool) {
	isAbout := v.Gone() || !began.Before(l.at)
	switch {
	case isAbout && v.Conclusive(), now.Sub(l.at) >= watchLimit:
		return func() { l.notify(v, true) }, true
	case isAbout && v == Unknown && !l.unreached:
		l.unreached = true
		return func() { l.notify(v, false) }, false
	case isAbout && v == Unresponsive && !l.suspicious && now.Sub(l.at) >= UnresponsiveAfter:
		l.suspicious = true
		return func() { l.notify(v, false) }, false
	}
	return nil, false
}
