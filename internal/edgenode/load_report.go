package edgenode

import (
	"strconv"
	"strings"
	"time"

	"opalhook/balancer"
)

// How a server is asked for its load.
const (
	loadPath           = "/stats"               // an app server's load report
	healthCheckTimeout = 500 * time.Millisecond // a probe that takes longer tells nothing of the present
)

// Most that a figure of a load report can be: reports are noisy, but a core can't be
// busy several times over, nor can a server hold more than it has connections.
const (
	maxUtilization = 2
	maxCount       = 1e5
)

// parseLoadReport parses a load report such as "TEXT inflight=7, queue=2, util=0.61".
// Unknown names and figures that can't be are skipped; nil means that there is no
// report in the text.
func parseLoadReport(text string) *balancer.LoadReport {
	text, ok := strings.CutPrefix(strings.TrimSpace(text), "TEXT")
	if !ok {
		return nil
	}
	l := balancer.LoadReport{InFlight: -1, Queued: -1, Utilization: -1}
	for _, pair := range strings.Split(text, ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, ok := parseDecimal(val)
		if !ok {
			continue
		}
		switch {
		case x > maxCount:
		case name == "inflight" || name == "outstanding":
			l.InFlight = x
		case name == "queue" || name == "backlog":
			l.Queued = x
		case (name == "util" || name == "utilization") && x <= maxUtilization:
			l.Utilization = x
		}
	}
	return &l
}

// parseDecimal parses a plain decimal number from 0: no sign, exponent, hex or infinity.
func parseDecimal(text string) (float64, bool) {
	if text == "" || len(text) > 20 || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	return x, err == nil
}
