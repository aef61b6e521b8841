package balancer

import "time"

// endpoint is the state of a tracked endpoint: its entry in the endpoint list and what this node has learned
// from its own attempts and from load gossip.
type endpoint struct {
	Endpoint
	inFlight     int           // this node's attempts in flight
	listed       bool          // in the endpoint list
	inSubset     bool          // in this node's subset
	lastProgress time.Duration // time of the last response or, if later, of the last attempt sent while idle
	latencyRatio float64       // moving average of the latency as a multiple of the class's mean

	health    endpointHealth
	load      endpointLoad
	slowStart slowStartBudget
	restarts  restartEvidence

	rendezvousKey uint64        // key of the endpoint in rendezvous hashing
	shortHash     uint16        // identifies the endpoint in load gossip
	holders       subsetHolders // nodes whose subsets contain the endpoint
	countedWeight float64       // weight counted in [endpointSet.subsetWeights]; 0: not counted
}

// newEndpoint returns the state of an endpoint for which only the list entry is known.
func newEndpoint(entry Endpoint) *endpoint {
	return &endpoint{
		Endpoint:      entry,
		listed:        true,
		latencyRatio:  1,
		load:          endpointLoad{queued: unreported, requests: unreported},
		slowStart:     slowStartBudget{tokens: unboundedTokens},
		rendezvousKey: endpointKey(entry.ID),
		shortHash:     shortEndpointHash(entry.ID),
	}
}

// acceptsRequests reports whether the endpoint is listed and not draining.
func (e *endpoint) acceptsRequests() bool { return e.listed && e.State == Up }

// weight returns the listed weight, or 1 if the list gives none.
func (e *endpoint) weight() float64 { return weightOr1(e.Weight) }

// lastStart returns the latest start of the endpoint's process: the listed start or, if later, a suspected
// restart. 0 means long ago.
func (e *endpoint) lastStart() time.Duration { return max(e.StartedAt, e.restarts.latest) }

// update replaces the list entry. A changed start time means that another process has replaced the one that
// was observed.
func (e *endpoint) update(entry Endpoint) {
	if e.StartedAt != entry.StartedAt {
		e.resetObservations()
	}
	e.Endpoint, e.listed = entry, entry.State != Removed
}

// resetObservations discards what was learned about a process that has been replaced.
func (e *endpoint) resetObservations() {
	e.latencyRatio = 1
	e.health.reset()
	e.load.reset()
	e.slowStart.reset()
}

// beginAttempt increments the number of attempts in flight. If there was none, the time without progress
// starts now.
func (e *endpoint) beginAttempt(now time.Duration) {
	if e.inFlight == 0 {
		e.lastProgress = now
	}
	e.inFlight++
}

// endAttempt decrements the number of attempts in flight.
func (e *endpoint) endAttempt() { e.inFlight-- }

// recordProgress records that a response has arrived or has begun to arrive.
func (e *endpoint) recordProgress(now time.Duration) { e.lastProgress = now }

// recordLoad records the number of requests that the endpoint held at the given time. A reported load proves
// that the endpoint responds, so it ends an ejection for unresponsiveness.
func (e *endpoint) recordLoad(requests float64, at time.Duration) {
	e.load.record(requests, float64(e.inFlight), at)
	e.health.endUnresponsiveEjection()
}

// recordLoadReport records the fields that the load report contains.
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

// recordPeerLoad records the load that another node observed at the given time, and whether the endpoint's
// last response to that node was an error.
func (e *endpoint) recordPeerLoad(requests float64, lastResponseFailed bool, at time.Duration) {
	e.recordLoad(requests, at)
	e.load.lastResponseFailed = lastResponseFailed
	e.health.recordError(oneIf(lastResponseFailed))
}

// recordPeerRefusal records that the endpoint refused another node's connection at the given time, and
// ejects the endpoint unless it is ejected already.
func (e *endpoint) recordPeerRefusal(now, at time.Duration) {
	e.load.recordRefusal(at)
	if !e.health.ejected(now) {
		e.health.eject(now)
	}
}

// recordLatencyRatio adds a latency, given as a multiple of its class's mean, to the moving average.
func (e *endpoint) recordLatencyRatio(ratio float64) {
	e.latencyRatio += latencySmoothing * (ratio - e.latencyRatio)
}

// decay moves the latency ratio toward 1 and the error rate toward 0. Each keeps the given fraction of its
// distance from that value.
func (e *endpoint) decay(retained float64) {
	e.latencyRatio = 1 + (e.latencyRatio-1)*retained
	e.health.decay(retained)
}
