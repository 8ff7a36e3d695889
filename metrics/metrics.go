// Package metrics records metrics with tally and serves them in the Prometheus
// text format.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/snowspoke/snowspoke/availability"
	"github.com/snowspoke/snowspoke/detour"
	"github.com/snowspoke/snowspoke/dispatch"
	"github.com/snowspoke/snowspoke/framing"
	"github.com/snowspoke/snowspoke/invariant"
)

// reportInterval is the period at which values are copied to the served
// registry.
const reportInterval = time.Second

// Metrics holds the daemon's metrics. It implements dispatch.Observer.
type Metrics struct {
	scope      tally.Scope
	reporter   promreporter.Reporter
	closer     io.Closer
	dropped    [4]tally.Counter
	firstToken tally.Histogram
	recovery   tally.Histogram
	loadsAge   tally.Histogram
	stalls     tally.Histogram
	lag        tally.Histogram
}

// secondsBuckets range from 1 ms to 131 s.
var secondsBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

// New returns metrics with the name prefix "snowspoke".
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry,
		OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "snowspoke", CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Metrics{scope: scope, reporter: reporter, closer: closer}
	for i, reason := range []string{"foreign", "stale", "repeated", "overflow"} {
		m.dropped[i] = scope.Tagged(map[string]string{"reason": reason}).Counter("events_dropped_total")
	}
	m.firstToken = scope.Histogram("first_token_seconds", secondsBuckets)
	m.recovery = scope.Histogram("recovery_gap_seconds", secondsBuckets)
	m.stalls = scope.Histogram("stall_seconds", secondsBuckets)
	m.lag = scope.Histogram("process_lag_seconds", secondsBuckets)
	m.loadsAge = scope.Histogram("loads_age_seconds", secondsBuckets)
	for _, p := range invariant.All {
		err := registry.Register(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "snowspoke_invariant_violations_total", Help: "Violated promises.",
			ConstLabels: prometheus.Labels{"promise": string(p)},
		}, func() float64 { return float64(invariant.Count(p)) }))
		if err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
	}
	return m, nil
}

// Finished implements dispatch.Observer; kind is an error kind or "whole".
func (m *Metrics) Finished(kind string, d time.Duration) {
	s := m.scope.Tagged(map[string]string{"result": kind})
	s.Counter("requests_total").Inc(1)
	s.Histogram("request_seconds", secondsBuckets).RecordDuration(d)
}

// FirstToken implements dispatch.Observer.
func (m *Metrics) FirstToken(d time.Duration) { m.firstToken.RecordDuration(d) }

// Recovered implements dispatch.Observer.
func (m *Metrics) Recovered(gap time.Duration) { m.recovery.RecordDuration(gap) }

// LoadsAge records the age of other daemons' loads at their arrival.
func (m *Metrics) LoadsAge(age time.Duration) { m.loadsAge.RecordDuration(age) }

// LoadsRefused counts loads of other daemons that were rejected as invalid.
func (m *Metrics) LoadsRefused(n int) { m.scope.Counter("loads_refused_total").Inc(int64(n)) }

// Stalled records a period during which this process did not run.
func (m *Metrics) Stalled(d time.Duration) { m.stalls.RecordDuration(d) }

// ProcessLoad records the processor time that this process uses, as a fraction of what it may
// use, and how long events wait for it, 0 if that was not measured.
func (m *Metrics) ProcessLoad(usage float64, lag time.Duration) {
	m.scope.Gauge("process_usage").Update(usage)
	if lag > 0 {
		m.lag.RecordDuration(lag)
	}
}

// ClosedUnread counts callers' connections that were closed unread because this process is short
// of processor time.
func (m *Metrics) ClosedUnread(connections int) {
	m.scope.Counter("connections_closed_unread_total").Inc(int64(connections))
}

// Refused counts entries of the platform's store that cannot be decoded.
func (m *Metrics) Refused(kind string) {
	m.scope.Tagged(map[string]string{"kind": kind}).Counter("entries_refused_total").Inc(1)
}

// StoreEra records the era of the platform's store, which increases by one each
// time the store is restored from an older copy.
func (m *Metrics) StoreEra(era uint64) { m.scope.Gauge("store_era").Update(float64(era)) }

// ServerEnded counts requests whose backend server ended while it may have been
// running them.
func (m *Metrics) ServerEnded() { m.scope.Counter("ended_under_requests_total").Inc(1) }

// ContactLost counts sends of requests that had just begun during which contact with the backend
// server was lost, by what became of it.
func (m *Metrics) ContactLost(verdict string) {
	m.scope.Tagged(map[string]string{"verdict": verdict}).Counter("contact_lost_total").Inc(1)
}

// Quarantined counts requests that were quarantined because backend servers had
// ended while running them.
func (m *Metrics) Quarantined() { m.scope.Counter("held_back_total").Inc(1) }

// Limits records the number of known limits of backend servers.
func (m *Metrics) Limits(known int) { m.scope.Gauge("limits_known").Update(float64(known)) }

// LimitReached counts requests that were refused because of the limits of
// backend servers.
func (m *Metrics) LimitReached() { m.scope.Counter("limit_refused_total").Inc(1) }

// Unavailable counts statements of backend servers that they are paused or leaving.
func (m *Metrics) Unavailable(s availability.State) {
	m.scope.Tagged(map[string]string{"state": s.String()}).Counter("backend_unavailable_total").Inc(1)
}

// CallPrevented counts calls that were not made because the backend server is paused or
// leaving.
func (m *Metrics) CallPrevented(s availability.State) {
	m.scope.Tagged(map[string]string{"state": s.String()}).Counter("calls_prevented_total").Inc(1)
}

// Shed counts requests of a class that were refused because the demand exceeds the capacity.
func (m *Metrics) Shed(class int) {
	m.scope.Tagged(map[string]string{"class": strconv.Itoa(class)}).Counter("shed_total").Inc(1)
}

// HeaderIgnored counts headers about backend servers that are unknown or invalid.
func (m *Metrics) HeaderIgnored() { m.scope.Counter("headers_ignored_total").Inc(1) }

// Ways records the number of backend servers that this daemon does not reach directly, by way.
func (m *Metrics) Ways(count map[detour.Way]int) {
	for way, n := range count {
		m.TaggedGauge("backend_servers_not_direct", "way", way.String(), float64(n))
	}
}

// Carrying records the number of connections that this daemon carries for others.
func (m *Metrics) Carrying(connections int) {
	m.scope.Gauge("carried_connections").Update(float64(connections))
}

// CarryRefused counts connections that this daemon did not carry for others.
func (m *Metrics) CarryRefused(status string) {
	m.scope.Tagged(map[string]string{"status": status}).Counter("carry_refused_total").Inc(1)
}

// AnswerEnded counts answers of backend servers that were broken off or are not delimited.
func (m *Metrics) AnswerEnded(f framing.Framing, complete bool) {
	tags := map[string]string{"framing": f.String(), "complete": strconv.FormatBool(complete)}
	m.scope.Tagged(tags).Counter("answers_without_end_total").Inc(1)
}

// Dropped implements dispatch.Observer.
func (m *Metrics) Dropped(d dispatch.Drops) {
	for i, n := range []int{d.Foreign, d.Stale, d.Repeated, d.Overflow} {
		if n > 0 {
			m.dropped[i].Inc(int64(n))
		}
	}
}

// TaggedGauge sets a gauge for one value of a tag. The gauge's name must end in
// its unit.
func (m *Metrics) TaggedGauge(name, tag, value string, v float64) {
	m.scope.Tagged(map[string]string{tag: value}).Gauge(name).Update(v)
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
