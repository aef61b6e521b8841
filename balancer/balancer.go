// Package choice decides, for one edge node of a gateway tier, what happens to
// each request: whether its customer's quota admits it, whether the back end
// can take it, which server serves it, and what follows each outcome.
//
// The host owns the network, the clock and the timers. It makes one [Gateway]
// per edge node with [New], calls [Gateway.Start] once, then one method per
// event, and carries out what the gateway asks for through [Actions]. The
// decisions are in choice.go and subset.go; this file is the interface, with
// [Gateway.Stats].
//
// A Gateway is not safe for concurrent use: the host makes one call at a time.
// Actions are called synchronously, in the order they are to take effect, and
// must not call back into the gateway. Times passed in are readings of one
// clock that never goes backwards; its origin does not matter. Events that
// name an unknown or finished request, server, timer or attempt are ignored.
// The gateway keeps no reference to slices that it is given.
package balancer

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"
)

// controlInterval is the time between two samples of the occupancy, as in the paper.
const controlInterval = 100 * time.Millisecond

// logInterval is the least time between two log lines.
const logInterval = time.Second

// Balancer decides for one edge node.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  Actions
	started  time.Duration

	classIndex map[string]int
	planIndex  map[string]int

	requests    requestTable
	overload    overloadController
	concurrency concurrencyLimit
	latency     latencyTracker
	endpoints   endpointSet
	slowStart   slowStart
	health      healthChecker
	retries     retryBudget
	quotas      quotaTable
	gossip      gossipState

	lastLogged time.Duration
}

// New returns a balancer for the settings, or an error that names a field that cannot be.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	g := &Balancer{
		settings: s, rng: rand.New(rand.NewPCG(seed, 0x5ea)), classIndex: map[string]int{},
		planIndex: map[string]int{},
		requests:  newRequestTable(),
		latency:   newLatencyTracker(len(s.Classes)),
		endpoints: newEndpointSet(),
		quotas:    newQuotaTable(),
		gossip:    gossipState{peers: make([]peerState, s.NodeCount)},
	}
	g.settings.Classes = append([]Class(nil), s.Classes...)
	g.settings.Plans = append([]Plan(nil), s.Plans...)
	for i, c := range s.Classes {
		g.classIndex[c.Name] = i
	}
	for i, p := range s.Plans {
		g.planIndex[p.Name] = i
	}
	g.gossip.epoch = uint64(g.rng.Uint32() >> 16)
	// so that answers to a balancer before its restart match nothing
	g.requests.lastNumber = uint64(g.rng.Uint32() >> 12)
	return g, nil
}

// Start begins the gateway's work. Call it once, before any other event.
func (b *Balancer) Start(now time.Duration, out Actions) {
	b.now, b.actions, b.started, b.overload.admittedFraction = now, out, now, 1
	b.gossip.interval = controlInterval
	if in := b.settings.PeerMessagesPerSecond; in > 0 {
		gap := time.Duration(gossipIntervalSlack *
			float64(b.settings.NodeCount-1) / in * float64(time.Second))
		b.gossip.interval = max(gap, b.settings.Tick, minGossipInterval)
	}
	// Gateways started together must not beat in step.
	b.actions.SetTimer(timerControlInterval, time.Duration(b.rng.Int64N(int64(controlInterval))))
	if b.settings.Gossip && b.settings.NodeCount > 1 {
		b.actions.SetTimer(timerGossip, time.Duration(b.rng.Int64N(int64(b.gossip.interval))))
	}
	if b.settings.PollEndpoints {
		b.actions.WatchEndpoints(true)
	}
}

// TimerFired is the firing of a timer.
func (b *Balancer) TimerFired(now time.Duration, token uint64, out Actions) {
	b.now, b.actions = now, out
	r := b.requests.byNumber[token>>timerBits]
	switch token & (1<<timerBits - 1) {
	case timerControlInterval:
		b.closeControlInterval()
		b.actions.SetTimer(timerControlInterval, controlInterval)
	case timerGossip:
		// Each message takes its gap, so that long tells stay within the inbox limit too.
		b.actions.SetTimer(timerGossip, b.gossip.interval*time.Duration(max(b.sendGossip(), 1)))
	case timerPollEndpoints:
		b.actions.WatchEndpoints(true)
	case timerDeadline:
		if r != nil && !r.answered && !r.responseStarted {
			b.giveUp(r)
		}
	case timerQuotaRequest:
		switch {
		case r == nil || r.answered || r.decidedWithoutOwner || len(r.attempts) > 0:
		case r.finalQuotaRequest:
			b.decideWithoutOwner(r)
		default:
			// a lost message costs less than a request by chance
			r.finalQuotaRequest, r.quotaRequestRepeated = true, true
			b.requestQuota(r)
		}
	case timerHedge:
		if r != nil && !r.answered && !r.responseStarted && r.inFlight == 1 &&
			b.overload.occupancy < overloadedOccupancy {
			// A second copy counts as out: it must not push the customer's next try beyond its cap.
			if b.settings.Plans[r.quota.plan].MaxConcurrent == 0 ||
				b.concurrencyHeadroom(r.quota) > r.quota.entryNodes {
				b.retry(r)
			}
		}
	}
}

// Timer tokens: the low bits tell what the timer is for.
const (
	timerControlInterval = iota
	timerGossip
	timerDeadline
	timerHedge
	timerPollEndpoints
	timerQuotaRequest
	timerBits = 3
)

// closeControlInterval is the work of each probe.
func (b *Balancer) closeControlInterval() {
	f := b.overload.admittedFraction
	// attempts at a few silent servers must not read as overload
	b.overload.assessInterval(b.concurrency.responses, b.recentAttempts(recentAttemptFraction))
	if f >= 1 && b.overload.admittedFraction < 1 {
		b.log(slog.LevelInfo, "overloaded: rejecting a fraction of the requests",
			slog.Float64("admitted_fraction", b.overload.admittedFraction),
			slog.Float64("occupancy", b.overload.occupancy))
	}
	b.dropIdleQuotas()
	if b.ownsQuotas() {
		b.dropUnused()
	}
	var weight, load, told float64
	keep := math.Exp(-controlInterval.Seconds() / observationDecay.Seconds())
	for _, s := range b.endpoints.tracked {
		b.accrueSlowStartTokens(s) // from the moment that it is known, not from its first turn
		if warm := s.slowStartTokens < 0; warm && s.acceptsRequests() && s.inSubset {
			weight += b.weight(s)
		}
		if s.acceptsRequests() && s.reportedLoad >= 0 && !s.refusesConnections {
			load, told = load+s.otherNodesLoad, told+1
		}
		if s.inFlight == 0 {
			s.latencyRatio = 1 + (s.latencyRatio-1)*keep
			s.errorRate *= keep
		}
	}
	b.endpoints.meanLoad = load / math.Max(told, 1)
	if weight > 0 {
		b.slowStart.warmWorkRate += meanSmoothing *
			(b.slowStart.warmWorkDone/weight/controlInterval.Seconds() - b.slowStart.warmWorkRate)
	}
	// After a start the average is over what there is, or the first second would be refused.
	share := math.Max(rateSmoothing, 1/(1+float64(b.now-b.started)/float64(controlInterval)))
	b.concurrency.responseRate += share *
		(b.concurrency.responses/controlInterval.Seconds() - b.concurrency.responseRate)
	b.gossip.messageRate += rateSmoothing *
		(b.gossip.messages/controlInterval.Seconds() - b.gossip.messageRate)
	b.slowStart.warmWorkDone, b.concurrency.responses, b.gossip.messages = 0, 0, 0
	b.sendHealthCheck()
}

// log passes a line on unless another was logged less than logInterval ago.
func (b *Balancer) log(level slog.Level, message string, attributes ...slog.Attr) {
	if b.now-b.lastLogged < logInterval {
		return
	}
	b.lastLogged = b.now
	b.actions.Log(level, message, attributes...)
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Stats tells how much a gateway holds.
type Stats struct {
	ListedEndpoints  int // servers in the list
	SubsetEndpoints  int // of these, those in the subset
	TrackedEndpoints int // servers of which more is kept than what the list says
	HashCollisions   int // servers of the subset that news can't name, as another has the same short hash
}

// Stats returns how much the gateway holds now.
func (b *Balancer) Stats() Stats {
	st := Stats{ListedEndpoints: len(b.endpoints.list.slotByID), TrackedEndpoints: len(b.endpoints.tracked)}
	for _, s := range b.endpoints.tracked {
		if s.inSubset && s.listed {
			st.SubsetEndpoints++
			st.HashCollisions += int(oneIf(b.endpoints.subsetByHash[s.shortHash] == nil))
		}
	}
	return st
}
