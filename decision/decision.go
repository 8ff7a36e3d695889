// Package decision records routing, admission, recovery and placement decisions
// with their reasons. Each is logged as one key=value line, and the newest are
// retained for operators to query.
package decision

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Kind is the kind of a decision.
type Kind string

// The decision kinds.
const (
	Route      Kind = "route"
	Admit      Kind = "admit"
	Refuse     Kind = "refuse"
	Recover    Kind = "recover"
	Resume     Kind = "resume"
	Finish     Kind = "finish"
	Health     Kind = "health"
	Placement  Kind = "placement"
	Claim      Kind = "claim"
	Move       Kind = "move"
	Pause      Kind = "pause"
	Quarantine Kind = "quarantine"
)

// Record is one decision with its reasons.
type Record struct {
	Time      time.Time `json:"time"`
	Kind      Kind      `json:"kind"`
	RequestID string    `json:"request,omitempty"`
	Attempt   int       `json:"attempt"`
	Workspace string    `json:"workspace,omitempty"`
	Subject   string    `json:"subject,omitempty"` // name of a model, service or backend server
	Chosen    string    `json:"chosen,omitempty"`  // what was chosen, such as a route
	Reason    string    `json:"reason,omitempty"`
	Rejected  string    `json:"rejected,omitempty"` // rejected alternatives, with reasons
	Bound     float64   `json:"bound,omitempty"`    // throughput bound of the model, tokens per second
	Load      float64   `json:"load,omitempty"`     // requests in flight on the chosen hops
}

// Log writes records to a logger and retains the newest in a ring buffer.
type Log struct {
	logger log.Logger

	mu   sync.Mutex // protects the fields below
	ring []Record
	next int  // index of the next write
	full bool // the ring has wrapped
}

// New returns a Log that retains the newest size records.
func New(logger log.Logger, size int) *Log {
	return &Log{logger: logger, ring: make([]Record, size)}
}

// Add logs r as one line and retains it.
func (l *Log) Add(r Record) {
	l.retain(r)
	kv := make([]any, 0, 24)
	kv = append(kv, "msg", "decision", "kind", string(r.Kind))
	kv = appendString(kv, "request", r.RequestID)
	if r.RequestID != "" {
		kv = append(kv, "attempt", r.Attempt)
	}
	kv = appendString(kv, "workspace", r.Workspace)
	kv = appendString(kv, "subject", r.Subject)
	kv = appendString(kv, "chosen", r.Chosen)
	kv = appendString(kv, "reason", r.Reason)
	kv = appendString(kv, "rejected", r.Rejected)
	if r.Bound > 0 {
		kv = append(kv, "bound_tokens_per_second", r.Bound)
	}
	if r.Chosen != "" {
		kv = append(kv, "load", r.Load)
	}
	_ = level.Info(l.logger).Log(kv...)
}

func appendString(kv []any, key, value string) []any {
	if value == "" {
		return kv
	}
	return append(kv, key, value)
}

// retain stores r in the ring buffer, replacing the oldest record if it is full.
func (l *Log) retain(r Record) {
	if len(l.ring) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next] = r
	l.next++
	if l.next == len(l.ring) {
		l.next = 0
		l.full = true
	}
}

// Find returns the retained records for which match is true, oldest first.
func (l *Log) Find(match func(*Record) bool) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Record
	scan := func(part []Record) {
		for i := range part {
			if match(&part[i]) {
				out = append(out, part[i])
			}
		}
	}
	if l.full {
		scan(l.ring[l.next:])
	}
	scan(l.ring[:l.next])
	return out
}
