package metrics

import (
	"fmt"
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"bramleymill/errkind"
	"bramleymill/fleet"
)

// reportInterval is the interval at which the library tally passes its values to the reporter.
const reportInterval = time.Second

// latencyBuckets are the bounds of the latency histograms. They range from 250 µs to
// about 16 s and double at every second bucket.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 1.4142135, 33)

// Metrics holds the series of one node.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler

	requests series[requestKey, tally.Counter]
	latency  series[string, tally.Histogram]
	attempts series[attemptKey, tally.Counter]
	probes   series[bool, tally.Counter]
	gauges   series[string, tally.Gauge]
	counters series[string, tally.Counter]

	zoneAttempts series[zoneKey, tally.Counter]
	zoneBytes    series[string, tally.Counter]
}

type requestKey struct {
	class string
	kind  errkind.Kind
}

type attemptKey struct {
	class string
	hedge bool
}

type zoneKey struct{ service, reason string }

// New returns the metrics of the node with the given name.
func New(node string) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "bramleymill",
		Tags:                   map[string]string{"node": node},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Handler returns the HTTP handler that serves the series in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close passes the last values to the reporter and stops the reporting.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}

// Finished counts a finished request at its entry node. An empty kind means that the
// backend server answered. Only answered requests are recorded in the latency
// histogram, so that fast refusals do not make the tail latency look better.
func (m *Metrics) Finished(class string, kind errkind.Kind, _ int, d time.Duration) {
	m.requests.get(requestKey{class, kind}, m.newRequests).Inc(1)
	if kind == "" {
		m.latency.get(class, m.newLatency).RecordDuration(d)
	}
}

// Attempted counts an attempt that this node sent as entry node.
func (m *Metrics) Attempted(class string, _ fleet.NodeID, _ errkind.Kind, hedge bool, _ time.Duration) {
	m.attempts.get(attemptKey{class, hedge}, m.newAttempts).Inc(1)
}

// Probed counts a probe of the backend server of this node. ok states whether the
// backend server answered.
func (m *Metrics) Probed(ok bool) {
	m.probes.get(ok, m.newProbes).Inc(1)
}

// Count adds n to the counter with the given name.
func (m *Metrics) Count(name string, n int64) {
	m.counters.get(name, m.scope.Counter).Inc(n)
}

// Set sets the gauge with the given name to v.
func (m *Metrics) Set(name string, v float64) {
	m.gauges.get(name, m.scope.Gauge).Update(v)
}

// ZoneAttempts adds n attempts for a service that stayed in the zone of this node or left it for
// the given reason. The caller bounds the number of services.
func (m *Metrics) ZoneAttempts(service, reason string, n uint64) {
	m.zoneAttempts.get(zoneKey{service, reason}, m.newZoneAttempts).Inc(int64(n))
}

// ZoneBytes adds n bytes of requests and answers of a service that crossed zones. The caller
// bounds the number of services.
func (m *Metrics) ZoneBytes(service string, n uint64) {
	m.zoneBytes.get(service, m.newZoneBytes).Inc(int64(n))
}

func (m *Metrics) newZoneAttempts(k zoneKey) tally.Counter {
	return m.scope.Tagged(map[string]string{"service": k.service, "reason": k.reason}).Counter("zone_attempts")
}

func (m *Metrics) newZoneBytes(service string) tally.Counter {
	return m.scope.Tagged(map[string]string{"service": service}).Counter("zone_bytes")
}

func (m *Metrics) newRequests(k requestKey) tally.Counter {
	kind, outcome := "none", "answered"
	if k.kind != "" {
		kind, outcome = string(k.kind), string(errkind.Lookup(k.kind).Outcome)
	}
	return m.scope.Tagged(map[string]string{"class": k.class, "kind": kind, "outcome": outcome}).Counter("requests")
}

func (m *Metrics) newLatency(class string) tally.Histogram {
	return m.scope.Tagged(map[string]string{"class": class}).Histogram("request_seconds", latencyBuckets)
}

func (m *Metrics) newAttempts(k attemptKey) tally.Counter {
	return m.scope.Tagged(map[string]string{"class": k.class, "hedge": fmt.Sprint(k.hedge)}).Counter("attempts")
}

func (m *Metrics) newProbes(ok bool) tally.Counter {
	return m.scope.Tagged(map[string]string{"answered": fmt.Sprint(ok)}).Counter("backend_probes")
}
