// Package liveness finds out what became of the process of a backend server with which contact was
// lost. A check asks what is at its address now, which is another question: a process that is
// ending may still accept connections, and its successor may have its address and its name. Checks
// are therefore repeated until one is conclusive. The package has no network; packages forward and
// dispatch give it their checks.
package liveness

// Verdict is what is known of a process with which contact was lost.
type Verdict uint8

// The verdicts. Later ones prevail over earlier ones of the same process.
const (
	Unknown      Verdict = iota // no connection could be made, or no check was made
	Unresponsive                // connections to its address are accepted, and nothing answers
	Listening                   // a process keeps connections open, which may be another one
	Alive                       // the process has answered
	Ended                       // its address refuses connections
	Replaced                    // another process has its address
)

// String returns the name of a verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"unknown", "unresponsive", "listening", "alive", "ended", "replaced"}[v]
}

// Gone reports whether the process has ended.
func (v Verdict) Gone() bool { return v == Ended || v == Replaced }

// Conclusive reports whether further checks would tell no more.
func (v Verdict) Conclusive() bool { return v >= Listening }
