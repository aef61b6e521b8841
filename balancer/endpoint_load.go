package balancer

import (
	"math"
	"time"
)

// unreported marks a load value that has not been reported.
const unreported = -1

// loadGossipDecay is the time constant with which a reported load decays toward the mean load.
const loadGossipDecay = 3 * time.Second

// endpointLoad is the load of an endpoint as last reported to this node or, through load gossip, to another
// node.
type endpointLoad struct {
	requests              float64       // requests executing or queued; below 0: unreported
	otherRequests         float64       // the part of requests that other nodes sent
	queued                float64       // requests queued; below 0: unreported
	reportedAt            time.Duration // time of the last load report, error response or refused connection
	refusesConnections    bool          // a connection was refused since the last load report
	lastResponseFailed    bool          // the last response was an error
	utilizationReportedAt time.Duration // time of the last report with a utilization; 0: never
}

// expectedOtherRequests returns the expected number of requests that other nodes have at the endpoint now.
// The reported number decays toward the mean over the endpoints. The result is 0 if no load has been
// reported.
func (l *endpointLoad) expectedOtherRequests(now time.Duration, mean float64) float64 {
	if l.requests < 0 {
		return 0
	}
	age := now - l.reportedAt
	return mean + (l.otherRequests-mean)*math.Exp(-age.Seconds()/loadGossipDecay.Seconds())
}

// record stores the number of requests that the endpoint held at the given time. ownInFlight is the number
// of this node's attempts among them.
func (l *endpointLoad) record(requests, ownInFlight float64, at time.Duration) {
	l.requests, l.otherRequests, l.reportedAt = requests, math.Max(requests-ownInFlight, 0), at
	l.refusesConnections, l.lastResponseFailed = false, false
}

// recordError records that a response was an error.
func (l *endpointLoad) recordError(at time.Duration) { l.lastResponseFailed, l.reportedAt = true, at }

// recordRefusal records that a connection was refused.
func (l *endpointLoad) recordRefusal(at time.Duration) { l.refusesConnections, l.reportedAt = true, at }

// known reports whether the load was reported and no connection has been refused since.
func (l *endpointLoad) known() bool { return l.requests >= 0 && !l.refusesConnections }

// reset discards the load of a process that has been replaced.
func (l *endpointLoad) reset() {
	l.queued, l.requests, l.reportedAt = unreported, unreported, 0
	l.refusesConnections, l.lastResponseFailed = false, false
}
