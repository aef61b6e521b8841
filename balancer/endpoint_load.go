package balancer

import (
	"math"
	"time"
)

// unreported stands for a figure of the load that no report has given.
const unreported = -1

// loadGossipDecay is the time constant with which a reported load loses its meaning.
const loadGossipDecay = 3 * time.Second

// endpointLoad is the load of an endpoint as reported to this node or, by load gossip, to another.
type endpointLoad struct {
	requests              float64       // requests that it held; below 0: unreported
	otherNodes            float64       // of these, the ones that were not this node's
	queued                float64       // requests that waited; below 0: unreported
	reportedAt            time.Duration // when the requests were reported, or an error or refusal met
	refusesConnections    bool          // the latest report is that it refuses connections
	lastResponseFailed    bool          // or that its last response was an error
	utilizationReportedAt time.Duration // 0: never
}

// expectedOtherNodes returns the requests of other nodes that are to be expected now, from those reported
// and from the mean over the endpoints, toward which a report loses its meaning. It is 0 where no node has
// had a response.
func (l *endpointLoad) expectedOtherNodes(now time.Duration, mean float64) float64 {
	if l.requests < 0 {
		return 0
	}
	age := now - l.reportedAt
	return mean + (l.otherNodes-mean)*math.Exp(-age.Seconds()/loadGossipDecay.Seconds())
}

// record takes a report of the requests held at a time, of which some are this node's.
func (l *endpointLoad) record(requests, ownInFlight float64, at time.Duration) {
	l.requests, l.otherNodes, l.reportedAt = requests, math.Max(requests-ownInFlight, 0), at
	l.refusesConnections, l.lastResponseFailed = false, false
}

// recordError records that a response was an error.
func (l *endpointLoad) recordError(at time.Duration) { l.lastResponseFailed, l.reportedAt = true, at }

// recordRefusal records that a connection was refused.
func (l *endpointLoad) recordRefusal(at time.Duration) { l.refusesConnections, l.reportedAt = true, at }

// known reports whether the load was reported and nothing since has shown the endpoint down.
func (l *endpointLoad) known() bool { return l.requests >= 0 && !l.refusesConnections }

// reset forgets the load of a process that is gone.
func (l *endpointLoad) reset() {
	l.queued, l.requests, l.reportedAt = unreported, unreported, 0
	l.refusesConnections, l.lastResponseFailed = false, false
}
