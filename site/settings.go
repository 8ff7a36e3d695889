package site

import (
	"fmt"
	"time"
)

// Settings are the settings that a process reads from its VM.
type Settings struct {
	Name          string // of the VM
	IP            string
	FailureDomain string
	Callers       string // listen address for callers
	Readiness     string // listen address for the load balancer's readiness check
	Store         string // address of the platform's store
	PeerPort      int    // port for connections between daemons
	MemoryMB      int
	Descriptors   int
	CPUs          float64 // processors that the VM may use, 0 if not set
	LinkMbps      float64 // bandwidth of the VM in Mbit/s, 0 if not set
	FirstStart    bool    // the whole system starts for the first time

	Contact            time.Duration // time without faults after which a VM counts as healthy
	MaxLeaveDelay      time.Duration // from when a backend server starts draining until it gets no new requests
	Grace              time.Duration // from SIGTERM to SIGKILL
	FailClosed         bool          // keys are valid only while the configuration is known to be fresh
	MaxRevocationDelay time.Duration // until a revoked key is refused
	MaxConfigDelay     time.Duration // until a configuration is in force, 0 if not set
	RetryRatio         float64       // retries per request, over all daemons
	RetrySlack         float64       // retries beyond the ratio in a window, over all daemons
	RetryWindow        time.Duration
	StallTimeout       time.Duration // after which an engine ends a stalled stream
	Fenced             bool          // backend servers check fencing tokens
}

// Check returns an error if a setting is missing or out of bounds.
func (s *Settings) Check() error {
	if s.Grace <= 0 {
		return fmt.Errorf("settings: grace must be positive, not %s", s.Grace)
	}
	if s.FailClosed && s.MaxRevocationDelay <= 0 {
		return fmt.Errorf("settings: fail-closed keys need a positive revocation bound, not %s", s.MaxRevocationDelay)
	}
	return nil
}
