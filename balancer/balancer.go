// Package balancer decides, for one edge node of a fleet, what happens to each request: whether its
// tenant's quota admits it, whether the endpoints have the capacity for it, which endpoint serves it, and
// whether an attempt that ended badly is followed by another one.
//
// The host owns the network, the clock and the timers. It makes one [Balancer] with [New], calls
// [Balancer.Start] once and then one method for each event, and carries out what the balancer asks for
// through [Actions].
//
// A request passes, in this order: the concurrency limit (concurrency.go), its tenant's quota
// (quota_*.go), the overload control (overload.go), the selection of an endpoint (selection.go), and after
// each attempt the rules for retries (retry.go). admission.go has that way, request.go the life of a request.
//
// A Balancer is deterministic: the same settings, seed, events and times lead to the same actions. It is not
// safe for concurrent use: the host makes one call at a time. Times are readings of one clock that never goes
// backwards; its origin does not matter. Events that name an unknown or finished request, endpoint, timer or
// attempt are ignored. The balancer keeps no reference to slices that it is given.
package balancer

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"
)

// controlInterval is the time between two samples of the occupancy, as in the paper.
const controlInterval = 100 * time.Millisecond

// logInterval is the least time between two log lines.
const logInterval = time.Second

// Balancer decides for one edge node. It routes events to its components and holds the requests.
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
	overQuota   overQuotaTable

	quotaOwner     quotaOwner
	quotaRequester quotaRequester

	gossip    gossiper
	inbox     peerInbox
	codec     codec
	piggyback piggyback // of the message being sent or received

	lastLogged time.Duration
}

// New returns a balancer for the settings. An error wraps a *[SettingError].
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	g := &Balancer{
		settings: s, rng: rand.New(rand.NewPCG(seed, 0x5ea)), classIndex: map[string]int{},
		planIndex: map[string]int{},
		requests:  newRequestTable(),
		overload:  newOverloadController(),
		latency:   newLatencyTracker(s.Classes),
		endpoints: newEndpointSet(&s),
		slowStart: newSlowStart(&s),
		health:    newHealthChecker(&s),
		overQuota: overQuotaTable{},

		quotaRequester: newQuotaRequester(s.NodeCount),
	}
	g.settings.Classes = append([]Class(nil), s.Classes...)
	g.settings.Plans = append([]Plan(nil), s.Plans...)
	for i, c := range s.Classes {
		g.classIndex[c.Name] = i
	}
	for i, p := range s.Plans {
		g.planIndex[p.Name] = i
	}
	g.inbox.capacity = s.PeerMessagesPerSecond
	g.quotas = newQuotaTable(&s, g.rng)
	g.quotaOwner = newQuotaOwner(&s, g.latency.longestObjective)
	if g.ownsQuotas() {
		g.endpoints.enableSubset()
	}
	g.codec = codec{g.settings.Plans, s.NodeCount}
	g.gossip = newGossiper(&s, uint64(g.rng.Uint32()>>16))
	// so that answers to a balancer before its restart match nothing
	g.requests.lastNumber = uint64(g.rng.Uint32() >> 12)
	return g, nil
}

// Start begins the balancer's work. Call it once, before any other event.
func (b *Balancer) Start(now time.Duration, out Actions) {
	b.now, b.actions, b.started = now, out, now
	b.quotas.start(now)
	// Nodes that are started together must not act in step.
	b.actions.SetTimer(timerControlInterval, time.Duration(b.rng.Int64N(int64(controlInterval))))
	if b.gossip.enabled {
		b.actions.SetTimer(timerGossip, time.Duration(b.rng.Int64N(int64(b.gossip.interval))))
	}
	if b.settings.PollEndpoints {
		b.actions.WatchEndpoints(true)
	}
}

// Kinds of timers. They are the low timerBits bits of a token; the number of the request that a timer
// belongs to, if any, is in the bits above.
const (
	timerControlInterval = iota
	timerGossip
	timerDeadline
	timerHedge
	timerPollEndpoints
	timerQuotaRequest
	timerBits = 3
)

// TimerFired is the end of a timer that was set with the token.
func (b *Balancer) TimerFired(now time.Duration, token uint64, out Actions) {
	b.now, b.actions = now, out
	r := b.requests.byNumber[token>>timerBits]
	switch token & (1<<timerBits - 1) {
	case timerControlInterval:
		b.closeControlInterval()
		b.actions.SetTimer(timerControlInterval, controlInterval)
	case timerGossip:
		// Each message takes an interval, so that a long backlog stays within the peers' limit too.
		messages := max(b.sendGossip(), 1)
		b.actions.SetTimer(timerGossip, b.gossip.interval*time.Duration(messages))
	case timerPollEndpoints:
		b.actions.WatchEndpoints(true)
	case timerDeadline:
		if r != nil && r.awaitsResponse() {
			b.giveUp(r)
		}
	case timerQuotaRequest:
		if r != nil {
			b.quotaRequestTimedOut(r)
		}
	case timerHedge:
		if r != nil {
			b.hedge(r)
		}
	}
}

// closeControlInterval does the work of each control interval.
func (b *Balancer) closeControlInterval() {
	b.controlOverload()
	b.dropIdleQuotas()
	if b.ownsQuotas() {
		b.endpoints.dropUnused(b.now)
	}
	b.closeEndpointInterval()
	b.concurrency.closeInterval(b.now - b.started)
	b.inbox.closeInterval()
	b.sendHealthCheck()
}

// controlOverload sets the admitted fraction anew, and logs when it begins to throttle.
func (b *Balancer) controlOverload() {
	throttledBefore := b.overload.throttles()
	b.overload.closeInterval(b.concurrency.responses, b.recentAttempts(recentAttemptFraction))
	if !throttledBefore && b.overload.throttles() {
		b.logInfo("overloaded: rejecting a fraction of the requests",
			slog.Float64("admitted_fraction", b.overload.admittedFraction),
			slog.Float64("occupancy", b.overload.occupancy))
	}
}

// logInfo passes a line on unless another was logged less than logInterval ago.
func (b *Balancer) logInfo(message string, attributes ...slog.Attr) {
	if b.now-b.lastLogged < logInterval {
		return
	}
	b.lastLogged = b.now
	b.actions.Log(slog.LevelInfo, message, attributes...)
}

// oneIf returns 1 if the condition holds, else 0.
func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Stats says how much a balancer holds.
type Stats struct {
	ListedEndpoints  int // in the endpoint list
	SubsetEndpoints  int // of these, those in this node's subset
	TrackedEndpoints int // of which more is kept than the list's entry
	HashCollisions   int // of the subset, those that load gossip cannot name: they share a short hash
}

// Stats returns how much the balancer holds now.
func (b *Balancer) Stats() Stats {
	var stats Stats
	b.endpoints.addStats(&stats)
	return stats
}
