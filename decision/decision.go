// Package decision records why the system did what it did: one key=value log
// line for each routing, admission, recovery or placement decision, and a
// bounded memory of the newest ones that operators can query.
package decision

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Kind says which part of the system decided.
type Kind string

// The decision kinds.
const (
	Route     Kind = "route"
	Admit     Kind = "admit"
	Refuse    Kind = "refuse"
	Recover   Kind = "recover"
	Resume    Kind = "resume"
	Finish    Kind = "finish"
	Health    Kind = "health"
	Placement Kind = "placement"
	Claim     Kind = "claim"
	Move      Kind = "move"
)

// Record is one decision and its reasons.
type Record struct {
	Time      time.Time `json:"time"`
	Kind      Kind      `json:"kind"`
	RequestID string    `json:"request,omitempty"`
	Attempt   int       `json:"attempt"`
	Workspace string    `json:"workspace,omitempty"`
	Subject   string    `json:"subject,omitempty"`  // model, service or backend server
	Chosen    string    `json:"chosen,omitempty"`   // what was chosen
	Reason    string    `json:"reason,omitempty"`   // why
	Rejected  string    `json:"rejected,omitempty"` // what was not chosen, and why
	Bound     float64   `json:"bound,omitempty"`    // throughput bound of the model, tokens per second
	Load      float64   `json:"load,omitempty"`     // requests in flight seen on the chosen hops
}

// Log writes records to a logger and keeps the newest in a ring.
type Log struct {
	logger log.Logger

	mu   sync.Mutex
	ring []Record
	next int
	full bool
}

// New returns a Log that remembers the newest size records.
func New(logger log.Logger, size int) *Log {
	return &Log{logger: logger, ring: make([]Record, size)}
}

// Add logs r as one line and remembers it.
func (l *Log) Add(r Record) {
	l.remember(r)
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

func (l *Log) remember(r Record) {
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

// Find returns the remembered records for which match is true, oldest first.
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
