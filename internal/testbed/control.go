package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics exports the state of a run to Prometheus. It has no counters of its own: a scrape reads them from
// the checker, the nodes and the servers.
type metrics struct {
	env        *environment
	attempts   *prometheus.Desc
	violations *prometheus.Desc
	open       *prometheus.Desc
	memory     *prometheus.Desc
	cpu        *prometheus.Desc
	servers    *prometheus.Desc
	latency    *prometheus.Desc
}

func newMetrics(env *environment) *metrics {
	name := func(n string) string { return "opalhook_lab_" + n }
	return &metrics{
		env:        env,
		attempts:   prometheus.NewDesc(name("tries_total"), "Attempts of clients by outcome.", []string{"outcome"}, nil),
		violations: prometheus.NewDesc(name("violations_total"), "Violations of the platform's rules.", []string{"rule"}, nil),
		open:       prometheus.NewDesc(name("tries_open"), "Attempts of clients that a node accepted and has not answered.", nil, nil),
		memory:     prometheus.NewDesc(name("node_resident_bytes"), "Resident memory of an edge node.", []string{"node"}, nil),
		cpu:        prometheus.NewDesc(name("node_cpu_seconds_total"), "CPU time of an edge node's process.", []string{"node"}, nil),
		servers:    prometheus.NewDesc(name("server_held"), "Requests at an app server, running and queued.", []string{"server"}, nil),
		latency:    prometheus.NewDesc(name("latency_seconds"), "Latency of served requests, from when they were due.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.attempts, m.violations, m.open, m.memory, m.cpu, m.servers, m.latency} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(out chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, kind prometheus.ValueType, x float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, kind, x, labels...)
	}
	now := m.env.now()
	outcomes := map[string]int{"served": 0, "refused": 0, "failed": 0, "unreached": 0}
	h := newHistogram()
	m.env.checker.mu.Lock()
	for i := range m.env.checker.records {
		r := &m.env.checker.records[i]
		if r.Due > now {
			break
		}
		outcomes["refused"] += r.Rejected
		outcomes["failed"] += r.Failed - r.Unreached
		outcomes["unreached"] += r.Unreached
		if r.Served {
			outcomes["served"]++
			recordDuration(h, r.Done-r.Due)
		}
	}
	for rule, n := range m.env.checker.violationCount {
		send(m.violations, prometheus.CounterValue, float64(n), rule)
	}
	m.env.checker.mu.Unlock()
	for _, outcome := range sortedKeys(outcomes) {
		send(m.attempts, prometheus.CounterValue, float64(outcomes[outcome]), outcome)
	}
	send(m.open, prometheus.GaugeValue, float64(m.env.checker.openAttempts()))
	quantiles := map[float64]float64{}
	for _, q := range []float64{50, 90, 99} {
		quantiles[q/100] = quantile(h, q).Seconds()
	}
	out <- prometheus.MustNewConstSummary(m.latency, uint64(h.TotalCount()), h.Mean()/1e6*float64(h.TotalCount()), quantiles)
	for _, n := range m.env.nodes {
		n.mu.Lock()
		cpu, memory := n.endedCPU+n.lastUsage.cpu, n.lastUsage.memory
		n.mu.Unlock()
		send(m.memory, prometheus.GaugeValue, float64(memory), n.name)
		send(m.cpu, prometheus.CounterValue, cpu.Seconds(), n.name)
	}
	for _, s := range m.env.servers {
		s.mu.Lock()
		id, inFlight := s.id, s.model.inFlight()
		s.mu.Unlock()
		send(m.servers, prometheus.GaugeValue, float64(inFlight), id)
	}
}

// serveControl serves the control address until the run ends: the run's metrics, and an endpoint that
// injects faults.
func (env *environment) serveControl(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	reg := prometheus.NewRegistry()
	if err := reg.Register(newMetrics(env)); err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("POST /fault", env.handleFault)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	env.log.Info("control address open", "metrics", "http://"+ln.Addr().String()+"/metrics")
	env.goroutines.Go(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			env.fail(fmt.Errorf("control: %w", err))
		}
	})
	env.goroutines.Go(func() {
		<-env.done
		_ = srv.Close()
	})
	return nil
}

// handleFault injects a fault into the running scenario. The body is a [CommandedFault] in JSON. Its fields
// have the same meaning as in a scenario file, except that it names a single target.
func (env *environment) handleFault(rw http.ResponseWriter, r *http.Request) {
	var c CommandedFault
	d := json.NewDecoder(http.MaxBytesReader(rw, r.Body, 4096))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		http.Error(rw, "fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	ft := Fault{Kind: c.Kind, Zone: c.Zone, Size: c.Size, Delay: c.Delay, Direction: c.Direction, From: c.From, To: c.To, Effect: c.Effect, For: c.For}
	kind := faultKinds[ft.Kind]
	targets := map[faultTarget]int{targetNodes: len(env.nodes), targetServers: len(env.servers)}[kind.target]
	err := env.scenario.validateFault("fault.", &ft)
	switch {
	case err != nil:
	case kind.needsRelays && len(env.relays) == 0:
		err = fieldErrorf("fault.kind", "%s wants links through relays, which this run has not: give its scenario a link fault", ft.Kind)
	case targets > 0 && (c.Target < 0 || c.Target >= targets):
		err = fieldErrorf("fault.target", "%d is not from 0 to %d", c.Target, targets-1)
	}
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	e := FaultEvent{At: env.now(), Target: c.Target}
	if targets == 0 {
		e.Target = -1
	}
	inject := func(e FaultEvent) error {
		env.resultMu.Lock()
		env.commandedFaults = append(env.commandedFaults, FaultMark{env.now().Seconds(), ft.describe(e)})
		env.resultMu.Unlock()
		env.log.Info("fault injected by command", "fault", ft.describe(e))
		return env.applyFault(&ft, e)
	}
	if err := inject(e); err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	if ft.For > 0 {
		end := e // the handler still reads e when the fault ends
		end.End = true
		env.after(time.Duration(ft.For), func() {
			if err := inject(end); err != nil {
				env.fail(fmt.Errorf("fault %s: %w", ft.describe(end), err))
			}
		})
	}
	_, _ = fmt.Fprintln(rw, ft.describe(e)) // fails if the caller has disconnected
}

// CommandedFault is a fault that a command injects at run time. The fields are those of [Fault], but it has a
// single target.
type CommandedFault struct {
	Kind      FaultKind `json:"kind"`
	Target    int       `json:"target"` // number of the node or app server; ignored for kinds without a target
	For       Duration  `json:"for"`
	Zone      string    `json:"zone"`
	Size      float64   `json:"size"`
	Delay     Duration  `json:"late"`
	Direction string    `json:"way"`
	From      string    `json:"from"`
	To        string    `json:"to"`
	Effect    string    `json:"does"`
}

// InjectFault injects a fault into the run with the given control address. It returns the run's
// description of the fault. If the run rejects the fault, the error contains the run's reason.
func InjectFault(ctx context.Context, addr string, c CommandedFault) (string, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return "", fmt.Errorf("fault: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/fault", bytes.NewReader(body))
	if err != nil {
		return "", fmt.Errorf("control address %q: %w", addr, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", fmt.Errorf("no run at %s: start one with --control %s: %w", addr, addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 4096))
	if err != nil {
		return "", fmt.Errorf("reading the run's response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return "", errors.New(strings.TrimSpace(string(text)))
	}
	return strings.TrimSpace(string(text)), nil
}
