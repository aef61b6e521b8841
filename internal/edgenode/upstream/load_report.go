package upstream

import (
	"context"
	"net/http"
	"strings"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/decimal"
)

// How an app server is asked for its load.
const (
	loadPath           = "/stats"               // where it reports its load
	healthCheckTimeout = 500 * time.Millisecond // a later report tells nothing of the present
)

// The largest plausible figures of a load report: a core can't be busy several times over, nor can a server hold more
// requests than it has connections.
const (
	maxUtilization = 2
	maxCount       = 1e5
)

// CheckHealth asks a server for its load, which it reports in its response's header or body. It returns nil where there
// is no report.
func (u *Pool) CheckHealth(ctx context.Context, endpointID string) (*balancer.LoadReport, balancer.Result) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	response, result := u.Exchange(ctx, endpointID, &Message{Method: http.MethodGet, Target: loadPath}, WriteLimits{})
	if response.LoadReport != nil {
		return response.LoadReport, result
	}
	return parseLoadReport(string(response.Body)), result
}

// parseLoadReport parses a load report such as "TEXT inflight=7, queue=2, util=0.61". Unknown names and implausible
// figures are skipped; nil means that the text holds no report.
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
		case x > maxCount:
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
