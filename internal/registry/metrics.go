package registry

import (
	"net/http"

	"github.com/hashicorp/raft"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricPrefix is the prefix of all metric names of the service.
const metricPrefix = "opalhook_registry_"

// Label values of the writes metric: the kind of a renewal, and the outcome of a command that could not be
// committed.
const (
	renewKind     = "renew"
	failedOutcome = "failed"
)

// metrics contains the counters of a replica and the Prometheus registry that exports them and the gauges.
type metrics struct {
	registry        *prometheus.Registry
	droppedWatches  prometheus.Counter
	rejectedWatches prometheus.Counter
	expired         prometheus.Counter
	writes          *prometheus.CounterVec // by kind and outcome
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.droppedWatches = m.counter("watches_dropped_total", "Watches closed because the client did not read.")
	m.rejectedWatches = m.counter("joins_turned_away_total", "Watches rejected by the limit on watch opens a second.")
	m.expired = m.counter("expired_total", "Entries whose lease expired.")
	m.writes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricPrefix + "writes_total", Help: "Writes by kind and outcome."}, []string{"kind", "outcome"})
	m.registry.MustRegister(m.writes)
	return m
}

func (m *metrics) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: metricPrefix + name, Help: help})
	m.registry.MustRegister(c)
	return c
}

func (m *metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: metricPrefix + name, Help: help}, value))
}

// boolGauge registers a gauge with the value 1 or 0.
func (m *metrics) boolGauge(name, help string, value func() bool) {
	m.gauge(name, help, func() float64 {
		if value() {
			return 1
		}
		return 0
	})
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// registerMetrics creates the replica's metrics. Raft must have been started, since the gauges read its
// state.
func (s *Server) registerMetrics() {
	s.metrics = newMetrics()
	s.metrics.gauge("generation", "Version of the list at this replica.", func() float64 { return float64(s.fsm.generation()) })
	s.metrics.gauge("watches", "Open watches.", func() float64 { return float64(s.openWatches.Load()) })
	s.metrics.boolGauge("leader", "1 where this replica leads.", func() bool { return s.raft.State() == raft.Leader })
	s.metrics.boolGauge("expiry_paused", "1 where expiry of leases is suspended.", s.leadership.expirySuspended)
}
