package balancer

import (
	"math"
	"time"
)

// What is known of a server. How it is used is decided in choice.go.

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

// maxSuspectedRestarts is the most failed connections that are remembered of a server.
const maxSuspectedRestarts = 8

// machineTypeLatency is the latency of a kind as a multiple of the mean.
type machineTypeLatency struct{ meanRatio, samples float64 }

// classLatency is the latency learned for a class.
type classLatency struct {
	mean, deviation float64 // seconds
	samples         int
	byMachineType   []baselineLatency
	initialTimeout  time.Duration // wait that a client's first try has left
}

// baselineLatency finds the lowest mean latency of a class on one kind of server.
type baselineLatency struct {
	sum     float64
	samples int
	lowest  float64
}

// recordLatency learns from one answered attempt.
func (g *Balancer) recordLatency(class int, s *endpoint, took time.Duration) {
	c := &g.latencies[class]
	x := took.Seconds()
	if c.mean == 0 {
		c.mean, c.deviation = x, x/2
	}
	c.samples++
	c.deviation += meanSmoothing * (math.Abs(x-c.mean) - c.deviation)
	c.mean += meanSmoothing * (x - c.mean)
	s.latencyRatio += latencySmoothing * (x/math.Max(c.mean, 1e-6) - s.latencyRatio)
	for len(c.byMachineType) <= g.machineTypeIndex[s.MachineType] {
		c.byMachineType = append(c.byMachineType, baselineLatency{})
	}
	l := g.machineTypeLatencies[g.machineTypeIndex[s.MachineType]]
	l.samples++
	l.meanRatio += math.Max(1/(l.samples+1), meanSmoothing) * (x/math.Max(c.mean, 1e-6) - l.meanRatio)
	k := &c.byMachineType[g.machineTypeIndex[s.MachineType]]
	k.sum += x
	if k.samples++; k.samples >= minBaselineSamples {
		k.lowest *= 1 + baselineGrowth
		if m := k.sum / float64(k.samples); k.lowest == 0 || m < k.lowest {
			k.lowest = m
		}
		k.sum, k.samples = 0, 0
	}
	if g.settings.LoadReports == NoLoadReports || s.utilizationReportedAt == 0 {
		if k.lowest > 0 {
			// Each latency weighs by its length, which makes the mean over a probe 1 - lowest/mean.
			g.overload.occupancySums[g.overload.intervalIndex()] += x/k.lowest - 1
			g.overload.occupancyCounts[g.overload.intervalIndex()] += x / k.lowest
		} else {
			// or a few full refusals would be all there is
			g.overload.occupancyCounts[g.overload.intervalIndex()]++
		}
	}
}

func (g *Balancer) weight(s *endpoint) float64 {
	return weightOr1(s.Weight)
}

func (g *Balancer) meanLatency() float64 {
	var sum, n float64
	for i := range g.latencies {
		if g.latencies[i].mean > 0 {
			sum, n = sum+g.latencies[i].mean, n+1
		}
	}
	return sum / math.Max(n, 1)
}

// learnedWork is 0 as long as nothing is known of the class.
func (g *Balancer) learnedWork(class int) float64 {
	least := 0.0
	for _, k := range g.latencies[class].byMachineType {
		if k.lowest > 0 && (least == 0 || k.lowest < least) {
			least = k.lowest
		}
	}
	return least
}

// deprioritized tells whether the server is kept for when no other is left. An ejection ends too soon for a
// fleet
// that
// hears of the same server's errors from all its gateways: there it stays aside while its answers are bad.
func (g *Balancer) deprioritized(s *endpoint) bool {
	return g.now < s.ejectedUntil || s.errorRate > ejectionErrorRate && g.ownsQuotas() || g.unresponsive(s)
}

// recordResponse takes in an answer of any kind.
func (g *Balancer) recordResponse(s *endpoint) {
	if s.ejectedAsUnresponsive {
		s.ejectedAsUnresponsive, s.ejectedUntil = false, 0
	}
	if s.unreachable {
		s.unreachable, s.ejectedUntil, s.consecutiveEjections = false, 0, 0
		g.log("server %s answers again", s.ID)
	}
	s.lastResponse = g.now
}

// warmUpFraction is the least share of its capacity that a server can have by now.
func (g *Balancer) warmUpFraction(s *endpoint) float64 {
	boot := max(s.StartedAt, s.suspectedRestart)
	age := g.now - boot
	if boot == 0 || age >= g.settings.SlowStartDuration || g.settings.SlowStartDuration == 0 {
		return 1
	}
	initial := g.settings.SlowStartInitialFraction
	share := initial + (1-initial)*math.Max(age.Seconds(), 0)/g.settings.SlowStartDuration.Seconds()
	return math.Max(share, 0.01)
}

// reachable counts the attempts out at servers that are held to be alive, and these servers, a cold one as
// the
// part of one that it is. The subset stands for all that are listed, unless nothing in it is alive.
func (g *Balancer) reachable() (out, servers float64) {
	out = float64(g.inFlight)
	members := 0.0
	for _, s := range g.tracked {
		taking := s.inSubset && s.acceptsRequests()
		members += oneIf(taking)
		if g.unresponsive(s) {
			out -= float64(s.inFlight)
		} else if taking {
			servers += g.warmUpFraction(s)
		}
	}
	if servers == 0 {
		return out, float64(g.list.activeWeights.total) - members
	}
	return out, servers * (float64(g.list.activeWeights.total) / members)
}

// recordLoadReport takes in a load report.
func (g *Balancer) recordLoadReport(s *endpoint, l *LoadReport) {
	if l == nil {
		return
	}
	if l.Queued >= 0 {
		s.reportedQueue = l.Queued
	}
	if l.InFlight >= 0 {
		s.recordLoad(l.InFlight, g.now)
	}
	if l.Utilization >= 0 {
		s.utilizationReportedAt = g.now
		g.overload.sampleOccupancy(math.Min(l.Utilization, 1))
	}
}

func (g *Balancer) longestLatencyObjective() (d time.Duration) {
	for _, c := range g.settings.Classes {
		d = max(d, c.LatencyObjective)
	}
	return d
}

// recentAttempts counts the attempts out that were sent less than a share of their class's aim ago, but for
// those at
// servers known to answer nothing.
func (g *Balancer) recentAttempts(share float64) (n float64) {
	for _, r := range g.requests {
		for i := range r.attempts {
			a := &r.attempts[i]
			n += oneIf(!a.done && !g.unresponsive(a.endpoint) &&
				(g.now-a.sentAt).Seconds() < share*g.settings.Classes[r.class].LatencyObjective.Seconds())
		}
	}
	return n
}

// workOf is the work of one request of a class, in seconds of the lowest latency seen.
func (g *Balancer) workOf(class int) float64 {
	if w := g.learnedWork(class); w > 0 {
		return w
	}
	return g.settings.Classes[class].LatencyObjective.Seconds() / 4
}

// relativeCapacity is the server's size: as listed or, where all are listed alike, by the speed of its kind.
func (g *Balancer) relativeCapacity(s *endpoint) float64 {
	if k := g.machineTypeIndex[s.MachineType]; !g.list.activeWeights.differ() &&
		g.machineTypeLatencies[k].samples > 0 {
		return g.weight(s) * math.Min(1/g.machineTypeLatencies[k].meanRatio, 1)
	}
	return g.weight(s)
}
