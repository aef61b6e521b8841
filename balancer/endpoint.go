package balancer

import (
	"math"
	"time"
)

// maxSuspectedRestarts is the most failed connections that are remembered of a server.
const maxSuspectedRestarts = 8

// endpoint is what is known of one server.
type endpoint struct {
	Endpoint
	// What each request looks at stands first.
	inFlight              int           // attempts out
	ejectedUntil          time.Duration // ejected until then
	suspectedRestart      time.Duration // last connection that did not come up, and may tell of a restart
	inSubset              bool          // of this gateway's subset
	listed                bool
	unreachable           bool          // silent to all that was sent of late: out until it is heard
	ejectedAsUnresponsive bool          // an attempt came to nothing, and nothing was heard of it since
	refusesConnections    bool          // the latest news is that it takes no connection
	lastResponseFailed    bool          // or that its last answer was an error
	lastProgress          time.Duration // last answer or first attempt out
	loadReportedAt        time.Duration // when its load was told
	errorRate             float64       // share of failures, averaged
	latencyRatio          float64       // latency as a multiple of its class's mean, averaged
	// requests that it holds, as reported to this or another gateway; below 0: not told
	reportedLoad          float64
	otherNodesLoad        float64 // of them, those that are not this gateway's
	reportedQueue         float64 // reported queue
	slowStartTokens       float64 // requests that may be sent while cold; below 0: not begun
	slowStartAccruedAt    time.Duration
	countedWeight         float64 // weight with which it is counted in [Gateway.members]; 0: it is not
	consecutiveEjections  int     // ejections in a row
	rendezvousKey         uint64  // from which its order of the gateways comes
	shortHash             uint16  // its name in news
	subsetsWithIt         int     // gateways whose subsets hold it, when last counted
	lastSubsetRank        uint64  // of the last of these in its order
	utilizationReportedAt time.Duration
	// all connections that did not come up and may tell of a restart, oldest first
	suspectedRestarts []time.Duration
	lastResponse      time.Duration // last sign of life: an answer of any kind
	// a connection failed then, and a probe was sent at once to see why; 0: none is out
	confirmingSince time.Duration
	lastHealthCheck time.Duration // last probe
}

// recordLoad takes in how many requests the server holds.
func (s *endpoint) recordLoad(n float64, at time.Duration) {
	s.reportedLoad, s.otherNodesLoad, s.loadReportedAt, s.refusesConnections, s.lastResponseFailed = n,
		math.Max(n-float64(s.inFlight), 0), at, false, false
	if s.ejectedAsUnresponsive {
		s.ejectedAsUnresponsive, s.ejectedUntil = false, 0
	}
}

// suspectRestart takes in a connection that did not come up: the process may have restarted.
func (s *endpoint) suspectRestart(now time.Duration) {
	if len(s.suspectedRestarts) == maxSuspectedRestarts {
		s.suspectedRestarts = s.suspectedRestarts[:maxSuspectedRestarts-1]
	}
	s.suspectedRestarts = append(s.suspectedRestarts, now)
	s.suspectedRestart = now
}

// confirmUpSince takes in that the process has been up since a time: connections that failed from then on
// were no
// sign of a restart.
func (s *endpoint) confirmUpSince(at time.Duration) {
	n := len(s.suspectedRestarts)
	for n > 0 && s.suspectedRestarts[n-1] >= at {
		n--
	}
	if n == len(s.suspectedRestarts) {
		return
	}
	s.suspectedRestarts = s.suspectedRestarts[:n]
	if s.suspectedRestart = 0; n > 0 {
		s.suspectedRestart = s.suspectedRestarts[n-1]
	}
}

// acceptsRequests tells whether the server is in the list and not draining.
func (s *endpoint) acceptsRequests() bool { return s.listed && s.State == Up }

func (b *Balancer) weight(s *endpoint) float64 {
	return weightOr1(s.Weight)
}
