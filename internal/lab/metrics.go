package lab

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics shows a run while it goes. What is counted lies with its owners; a scrape reads it.
type metrics struct {
	w       *world
	tries   *prometheus.Desc
	broken  *prometheus.Desc
	held    *prometheus.Desc
	memory  *prometheus.Desc
	cpu     *prometheus.Desc
	servers *prometheus.Desc
	latency *prometheus.Desc
}

func newMetrics(w *world) *metrics {
	name := func(n string) string { return "opalhook_lab_" + n }
	return &metrics{w: w,
		tries:   prometheus.NewDesc(name("tries_total"), "Tries of clients by how they ended.", []string{"outcome"}, nil),
		broken:  prometheus.NewDesc(name("violations_total"), "Broken rules of the platform.", []string{"rule"}, nil),
		held:    prometheus.NewDesc(name("tries_open"), "Tries taken by a node and not answered yet.", nil, nil),
		memory:  prometheus.NewDesc(name("node_resident_bytes"), "Resident memory of an edge node.", []string{"node"}, nil),
		cpu:     prometheus.NewDesc(name("node_cpu_seconds_total"), "CPU time of an edge node's process.", []string{"node"}, nil),
		servers: prometheus.NewDesc(name("server_held"), "Requests that an app server holds.", []string{"server"}, nil),
		latency: prometheus.NewDesc(name("latency_seconds"), "Latency of what was served, from when it was due.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.tries, m.broken, m.held, m.memory, m.cpu, m.servers, m.latency} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(out chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, kind prometheus.ValueType, x float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, kind, x, labels...)
	}
	now := m.w.now()
	ends := map[string]int{"served": 0, "refused": 0, "failed": 0, "unreached": 0}
	h := newHistogram()
	m.w.ref.mu.Lock()
	for i := range m.w.ref.records {
		r := &m.w.ref.records[i]
		if r.Due > now {
			break
		}
		ends["refused"] += r.Refused
		ends["failed"] += r.Failed - r.Unreach
		ends["unreached"] += r.Unreach
		if r.Served {
			ends["served"]++
			record(h, r.Done-r.Due)
		}
	}
	for rule, n := range m.w.ref.broken {
		send(m.broken, prometheus.CounterValue, float64(n), rule)
	}
	m.w.ref.mu.Unlock()
	for _, end := range sortedKeys(ends) {
		send(m.tries, prometheus.CounterValue, float64(ends[end]), end)
	}
	send(m.held, prometheus.GaugeValue, float64(m.w.ref.open()))
	quantiles := map[float64]float64{}
	for _, q := range []float64{50, 90, 99} {
		quantiles[q/100] = quantile(h, q).Seconds()
	}
	out <- prometheus.MustNewConstSummary(m.latency, uint64(h.TotalCount()), h.Mean()/1e6*float64(h.TotalCount()), quantiles)
	for _, n := range m.w.nodes {
		n.mu.Lock()
		cpu, memory := n.cpu+n.last.cpu, n.last.memory
		n.mu.Unlock()
		send(m.memory, prometheus.GaugeValue, float64(memory), n.name)
		send(m.cpu, prometheus.CounterValue, cpu.Seconds(), n.name)
	}
	for _, s := range m.w.servers {
		s.mu.Lock()
		id, held := s.id, s.m.held()
		s.mu.Unlock()
		send(m.servers, prometheus.GaugeValue, float64(held), id)
	}
}

// serveMetrics serves the run's metrics at an address until the run ends.
func (w *world) serveMetrics(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	reg := prometheus.NewRegistry()
	if err := reg.Register(newMetrics(w)); err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	w.log.Info("metrics", "at", "http://"+ln.Addr().String()+"/metrics")
	w.work.Go(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			w.fail(fmt.Errorf("metrics: %w", err))
		}
	})
	w.work.Go(func() {
		<-w.over
		srv.Close()
	})
	return nil
}
