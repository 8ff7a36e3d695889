package forward

import (
	"sync"
	"time"

	"github.com/snowspoke/snowspoke/availability"
)

// ApplyStatement applies what an answer states about its backend server.
func (f *Forwarder) ApplyStatement(s Statement) {
	f.applyStatedLimit(&s)
	f.applyAvailability(&s, time.Now())
	f.noteIgnored(s.Ignored, s.Server, string(s.Call), s.RequestID)
}

// NoteRequestHeaders logs and counts the headers of a caller's request that have no effect.
func (f *Forwarder) NoteRequestHeaders(requestID string, headers []IgnoredHeader) {
	f.noteIgnored(headers, "", "caller", requestID)
}

// noteIgnored logs and counts ignored headers of a backend server, "" for those of a caller.
func (f *Forwarder) noteIgnored(headers []IgnoredHeader, server, by, requestID string) {
	for _, h := range headers {
		f.observer.HeaderIgnored()
		if f.ignored.isNew(h.Name) {
			f.log.Add("header_ignored", "server", server, "name", h.Name, "value", truncate(h.Value, maxIgnoredValue), "by", by, "request", requestID)
		}
	}
}

// applyAvailability records a pause or the leaving of a backend server, and logs a change.
func (f *Forwarder) applyAvailability(s *Statement, now time.Time) {
	before, after := f.availability.Apply(availability.Statement{Server: s.Server, Pause: s.RetryAfter, Leaving: s.Leaving}, now)
	if before == after {
		return
	}
	f.observer.Unavailable(after.State)
	f.log.Add("availability", "server", s.Server, "state", after.State, "before", before.State, "asked", s.RetryAfter,
		"pause_left", after.PauseLeft(now), "pause_left_before", before.PauseLeft(now), "by", s.Call, "request", s.RequestID)
}

// Bounds of the log of ignored headers.
const (
	maxIgnoredNames = 64 // names that are logged
	maxIgnoredValue = 64 // bytes of a logged value
)

// ignoredHeaders is the set of ignored headers that were logged. It is safe for concurrent
// use.
type ignoredHeaders struct {
	mu    sync.Mutex
	names map[string]bool
}

// isNew reports whether a header is to be logged, which is the case once for each of the
// first maxIgnoredNames names.
func (i *ignoredHeaders) isNew(name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.names[name] || len(i.names) >= maxIgnoredNames {
		return false
	}
	if i.names == nil {
		i.names = map[string]bool{}
	}
	i.names[name] = true
	return true
}

func truncate(s string, maxBytes int) string { return s[:min(len(s), maxBytes)] }
