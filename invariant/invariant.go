// Package invariant checks the guarantees of the system at run time. A
// violation is counted, reported and returned as an error that ends the
// request; in tests the reporter fails the run.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/snowspoke/snowspoke/apierror"
)

// Promise identifies a property that must always hold.
type Promise string

// The promises.
const (
	LayersOnceInOrder         Promise = "layers_once_in_order"          // a route runs each layer of its model once and in order
	CompleteOwnAnswer         Promise = "whole_own_answer"              // a complete answer has all its tokens
	NotRunIsTrue              Promise = "not_run_is_true"               // a request that is reported as not run did not run
	AtMostOnce                Promise = "at_most_once"                  // a request that is not repeatable runs at most once
	NoWorkAfterLeave          Promise = "no_work_after_leave"           // a leaving backend server gets no new requests after a grace period
	PlannedStopCutsOffNothing Promise = "planned_stop_cuts_off_nothing" // a graceful stop interrupts no request
	ConfigMonotonic           Promise = "configuration_monotonic"       // the version in force of an object never decreases
)

// All lists the promises.
var All = []Promise{
	LayersOnceInOrder, CompleteOwnAnswer, NotRunIsTrue, AtMostOnce,
	NoWorkAfterLeave, PlannedStopCutsOffNothing, ConfigMonotonic,
}

// Reporter is called for every violation. It must be safe for concurrent use.
type Reporter func(p Promise, detail string)

var (
	mu       sync.RWMutex
	reporter Reporter
	counts   = func() map[Promise]*atomic.Int64 {
		m := make(map[Promise]*atomic.Int64, len(All))
		for _, p := range All {
			m[p] = new(atomic.Int64)
		}
		return m
	}()
)

// SetReporter installs r and returns a function that restores the previous
// reporter.
func SetReporter(r Reporter) (restore func()) {
	mu.Lock()
	defer mu.Unlock()
	old := reporter
	reporter = r
	return func() {
		mu.Lock()
		defer mu.Unlock()
		reporter = old
	}
}

// Check returns nil if ok is true. Otherwise it counts and reports a violation
// of p and returns an error of kind Internal.
func Check(ok bool, p Promise, format string, args ...any) error {
	if ok {
		return nil
	}
	detail := fmt.Sprintf(format, args...)
	counts[p].Add(1)
	mu.RLock()
	r := reporter
	mu.RUnlock()
	if r != nil {
		r(p, detail)
	}
	return apierror.New(apierror.Internal, "invariant %s violated: %s", p, detail)
}

// Count returns the number of violations of p since the process started.
func Count(p Promise) int64 { return counts[p].Load() }

// Total returns the number of violations of all promises.
func Total() int64 {
	var n int64
	for _, c := range counts {
		n += c.Load()
	}
	return n
}
