package site

import (
	"fmt"
	"time"
)

// Settings are what a process learns from its VM.
type Settings struct {
	Name          string // of the VM
	IP            string
	FailureDomain string
	Callers       string // address that callers reach
	Readiness     string // address of the balancer's check
	Store         string // address of the platform's store
	PeerPort      int    // free for daemons to talk to each other
	MemoryMB      int
	Descriptors   int
	FirstStart    bool // the whole system starts for the first time: no process was here before

	Contact      time.Duration // after this long without trouble a VM counts as sound
	LeaveWithin  time.Duration // from a backend server's leaving until it gets no new work
	Grace        time.Duration // from SIGTERM to SIGKILL
	FailClosed   bool          // keys count only while the configuration is known to be fresh
	RevokeWithin time.Duration // until a key that was taken away is refused
	ConfigWithin time.Duration // until a configuration is in force, 0 if not told
	RetryRatio   float64       // of requests, over all daemons
	RetrySlack   float64       // retries beyond the ratio in a window, over all daemons
	RetryWindow  time.Duration
	StallCut     time.Duration // after which an engine cuts a stream that stands still
	Fenced       bool          // backend servers check fencing numbers
}

// Check returns an error if a figure is missing or out of bounds.
func (s *Settings) Check() error {
	if s.Grace <= 0 {
		return fmt.Errorf("settings: grace is %s", s.Grace)
	}
	if s.FailClosed && s.RevokeWithin <= 0 {
		return fmt.Errorf("settings: keys fail closed but the bound is %s", s.RevokeWithin)
	}
	return nil
}
