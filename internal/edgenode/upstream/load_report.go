package upstream

import (
	"context"
	"net/http"
	"strings"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/decimal"
)

// Parameters of a health check, which requests an app server's load report.
const (
	loadPath           = "/stats"               // path of the load report
	healthCheckTimeout = 500 * time.Millisecond // a later report would be outdated
)

// The largest plausible values of a load report. A core cannot be busy several times over, and a server
// cannot hold more requests than it has connections.
const (
	maxUtilization = 2
	maxRequests    = 1e5 // in flight, or queued
)

// CheckHealth requests the load report of an app server, which the response contains in a header or in its
// body. It returns a nil report if the response has none.
func (p *Pool) CheckHealth(ctx context.Context, endpointID string) (*balancer.LoadReport, balancer.Result) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	response, result := p.Exchange(ctx, endpointID,
		&Message{Method: http.MethodGet, Target: loadPath}, WriteLimits{})
	defer response.Release()
	if response.LoadReport != nil {
		return response.LoadReport, result
	}
	return parseLoadReport(string(response.Body)), result
}

// parseLoadReport parses a load report such as "TEXT inflight=7, queue=2, util=0.61". It skips unknown names
// and implausible values, and returns nil if the text is not a load report.
func parseLoadReport(text string) *balancer.LoadReport {
	text, ok := strings.CutPrefix(strings.TrimSpace(text), "TEXT")
	if !ok {
		return nil
	}
	report := balancer.LoadReport{InFlight: -1, Queued: -1, Utilization: -1}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, ok := decimal.Parse(value)
		if !ok {
			continue
		}
		switch {
		case x > maxRequests:
		case name == "inflight" || name == "outstanding":
			report.InFlight = x
		case name == "queue" || name == "backlog":
			report.Queued = x
		case (name == "util" || name == "utilization") && x <= maxUtilization:
			report.Utilization = x
		}
	}
	return &report
}
