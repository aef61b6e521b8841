package registry

import (
	"net/http"

	"github.com/hashicorp/raft"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// meter makes the metrics.
func (s *Server) registerMetrics() {
	s.metrics = prometheus.NewRegistry()
	gauge := func(name, help string, f func() float64) {
		s.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "opalhook_registry_" + name, Help: help}, f))
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: "opalhook_registry_" + name, Help: help})
		s.metrics.MustRegister(c)
		return c
	}
	gauge("generation", "Version of the list here.", func() float64 { return float64(s.fsm.generation()) })
	gauge("watches", "Open watches.", func() float64 { return float64(s.openWatches.Load()) })
	gauge("leader", "1 where this replica leads.", func() float64 { return float64(b2i(s.raft.State() == raft.Leader)) })
	gauge("expiry_paused", "1 where expiry of leases is held back.", func() float64 { return float64(b2i(s.expirySuspended())) })
	s.droppedWatches = counter("watches_dropped_total", "Watches that took nothing for too long.")
	s.rejectedWatches = counter("joins_turned_away_total", "Watches that came at too fast a pace.")
	s.expiredCount = counter("expired_total", "Entries whose lease ran out.")
	s.writeCount = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "opalhook_registry_writes_total", Help: "Writes by kind and outcome."}, []string{"kind", "outcome"})
	s.metrics.MustRegister(s.writeCount)
}

func (s *Server) metricsHandler() http.Handler {
	return promhttp.HandlerFor(s.metrics, promhttp.HandlerOpts{})
}
