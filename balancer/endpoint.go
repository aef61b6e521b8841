package balancer

import "time"

// endpoint is what a node knows of an endpoint that it tracks: its entry in the endpoint list, and what its
// attempts and the other nodes' reports have shown.
type endpoint struct {
	Endpoint
	inFlight     int           // this node's attempts in flight
	listed       bool          // in the endpoint list
	inSubset     bool          // in this node's subset
	lastProgress time.Duration // last response, or the attempt that ended a time without any in flight
	latencyRatio float64       // latency as a multiple of its class's mean, averaged

	health    endpointHealth
	load      endpointLoad
	slowStart slowStartBudget
	restarts  restartEvidence

	rendezvousKey uint64        // from which its order of the nodes follows
	shortHash     uint16        // its name in load gossip
	sharers       subsetHolders // the nodes whose subsets hold it
	countedWeight float64       // weight with which [endpointSet.subsetWeights] counts it; 0: it doesn't
}

// newEndpoint returns an endpoint of which nothing is known but its entry in the list.
func newEndpoint(entry Endpoint) *endpoint {
	return &endpoint{
		Endpoint:      entry,
		listed:        true,
		latencyRatio:  1,
		load:          endpointLoad{queued: unreported, requests: unreported},
		slowStart:     slowStartBudget{tokens: warmedUp},
		rendezvousKey: endpointKey(entry.ID),
		shortHash:     shortEndpointHash(entry.ID),
	}
}

// acceptsRequests reports whether the endpoint is listed and not draining.
func (e *endpoint) acceptsRequests() bool { return e.listed && e.State == Up }

// weight returns the listed weight, 1 where the list gives none.
func (e *endpoint) weight() float64 { return weightOr1(e.Weight) }

// lastStart returns when the endpoint's process last started, as far as the list or a failed connection
// shows; 0 is long ago.
func (e *endpoint) lastStart() time.Duration { return max(e.StartedAt, e.restarts.latest) }

// update takes over a new entry of the list.
func (e *endpoint) update(entry Endpoint) {
	if e.StartedAt != entry.StartedAt {
		e.forgetProcess()
	}
	e.Endpoint, e.listed = entry, entry.State != Removed
}

// forgetProcess forgets what was learned of a process that another has replaced.
func (e *endpoint) forgetProcess() {
	e.latencyRatio = 1
	e.health.reset()
	e.load.reset()
	e.slowStart.reset()
}

// beginAttempt counts an attempt in flight. Silence counts from the first one.
func (e *endpoint) beginAttempt(now time.Duration) {
	if e.inFlight == 0 {
		e.lastProgress = now
	}
	e.inFlight++
}

// endAttempt counts an attempt that is no longer in flight.
func (e *endpoint) endAttempt() { e.inFlight-- }

// recordProgress records that a response came or began.
func (e *endpoint) recordProgress(now time.Duration) { e.lastProgress = now }

// recordLoad records how many requests the endpoint held at a time. That it reported them shows that it
// responds.
func (e *endpoint) recordLoad(requests float64, at time.Duration) {
	e.load.record(requests, float64(e.inFlight), at)
	e.health.endUnresponsiveEjection()
}

// recordLoadReport records the figures of a load report that it has.
func (e *endpoint) recordLoadReport(report *LoadReport, now time.Duration) {
	if report.Queued >= 0 {
		e.load.queued = report.Queued
	}
	if report.InFlight >= 0 {
		e.recordLoad(report.InFlight, now)
	}
	if report.Utilization >= 0 {
		e.load.utilizationReportedAt = now
	}
}

// recordPeerLoad records the load that another node has seen at a time, and whether its last response
// was an error.
func (e *endpoint) recordPeerLoad(requests float64, lastResponseFailed bool, at time.Duration) {
	e.recordLoad(requests, at)
	e.load.lastResponseFailed = lastResponseFailed
	e.health.recordError(oneIf(lastResponseFailed))
}

// recordPeerRefusal records a connection that another node was refused at a time, which ejects the
// endpoint.
func (e *endpoint) recordPeerRefusal(now, at time.Duration) {
	e.load.recordRefusal(at)
	if !e.health.ejected(now) {
		e.health.eject(now)
	}
}

// recordLatencyRatio adds a latency, as a multiple of its class's mean, to the average.
func (e *endpoint) recordLatencyRatio(ratio float64) {
	e.latencyRatio += latencySmoothing * (ratio - e.latencyRatio)
}

// decay moves what was learned toward what is usual, of which the difference retains a fraction.
func (e *endpoint) decay(retained float64) {
	e.latencyRatio = 1 + (e.latencyRatio-1)*retained
	e.health.decay(retained)
}
