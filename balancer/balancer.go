// Package balancer makes the decisions of one edge node of a fleet for each request: whether the tenant's
// quota admits it, whether the endpoints have the capacity for it, which endpoint serves it, and whether a
// failed attempt is retried.
//
// The host owns the network, the clock and the timers. It creates one [Balancer] with [New], calls
// [Balancer.Start] once and then one method for each event. The balancer calls the methods of [Actions] to
// send attempts, answer requests and set timers.
//
// A request passes these steps in order: the concurrency limit (concurrency.go), its tenant's quota
// (quota_*.go), the overload control (overload.go) and the selection of an endpoint (selection.go). After
// each attempt the retry rules apply (retry.go). The sequence is in admission.go, and the life cycle of a
// request is in request.go.
//
// A Balancer is deterministic: the same settings, seed, events and times lead to the same actions. It is not
// safe for concurrent use: the host makes one call at a time. Times are readings of one clock that never goes
// backwards. The clock's origin does not matter. Events for an unknown or finished request, endpoint, timer
// or attempt are ignored. The balancer keeps no reference to slices that are passed to it.
package balancer

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"
)

// controlInterval is the time between two samples of the occupancy, as in the paper (see overload.go).
const controlInterval = 100 * time.Millisecond

// logInterval is the minimum time between two log lines.
const logInterval = time.Second

// Balancer makes the decisions of one edge node. It passes events to its components and holds the requests
// in progress. Create one with [New].
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // time of the event being handled
	actions  Actions       // host's actions during that event
	started  time.Duration

	classIndex map[string]int // by class name
	planIndex  map[string]int // by plan name

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
	piggyback piggyback // reports carried by the message being sent or received

	lastLogged time.Duration
}

// New returns a balancer for the settings. The seed determines its random choices. If a setting is invalid,
// the error wraps a *[SettingError].
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	b := &Balancer{
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
	b.settings.Classes = append([]Class(nil), s.Classes...)
	b.settings.Plans = append([]Plan(nil), s.Plans...)
	for i, c := range s.Classes {
		b.classIndex[c.Name] = i
	}
	for i, p := range s.Plans {
		b.planIndex[p.Name] = i
	}
	b.inbox.capacity = s.PeerMessagesPerSecond
	b.quotas = newQuotaTable(&s, b.rng)
	b.quotaOwner = newQuotaOwner(&s, b.latency.longestObjective)
	if b.hasQuotaOwners() {
		b.endpoints.enableSubset()
	}
	b.codec = codec{b.settings.Plans, s.NodeCount}
	b.gossip = newGossiper(&s, uint64(b.rng.Uint32()>>16))
	// Request numbers start at a random value, so that a late grant for a request of the node's previous
	// process is unlikely to match a request of this one.
	b.requests.lastNumber = uint64(b.rng.Uint32() >> 12)
	return b, nil
}

// Start sets the first timers and, with [Settings.PollEndpoints], subscribes to the endpoint list. The host
// calls it once, before any other event.
func (b *Balancer) Start(now time.Duration, out Actions) {
	b.now, b.actions, b.started = now, out, now
	b.quotas.start(now)
	// The first delays are random, so that nodes started together do not act in step.
	b.actions.SetTimer(timerControlInterval, time.Duration(b.rng.Int64N(int64(controlInterval))))
	if b.gossip.enabled {
		b.actions.SetTimer(timerGossip, time.Duration(b.rng.Int64N(int64(b.gossip.interval))))
	}
	if b.settings.PollEndpoints {
		b.actions.WatchEndpoints(true)
	}
}

// Kinds of timers. A token holds the kind in its low timerBits bits. The bits above hold the number of the
// request that the timer belongs to, or 0.
const (
	timerControlInterval = iota
	timerGossip
	timerDeadline
	timerHedge
	timerPollEndpoints
	timerQuotaRequest
	timerBits = 3
)

// TimerFired handles the expiry of the timer that was set with the token.
func (b *Balancer) TimerFired(now time.Duration, token uint64, out Actions) {
	b.now, b.actions = now, out
	r := b.requests.byNumber[token>>timerBits]
	switch token & (1<<timerBits - 1) {
	case timerControlInterval:
		b.closeControlInterval()
		b.actions.SetTimer(timerControlInterval, controlInterval)
	case timerGossip:
		// The next round waits one interval per message, so that a long backlog also stays within the
		// peers' limit on messages.
		messages := max(b.sendGossip(), 1)
		b.actions.SetTimer(timerGossip, b.gossip.interval*time.Duration(messages))
	case timerPollEndpoints:
		b.actions.WatchEndpoints(true)
	case timerDeadline:
		if r != nil && r.awaitsResponse() {
			b.rejectOrFail(r)
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

// closeControlInterval does the periodic work at the end of a control interval.
func (b *Balancer) closeControlInterval() {
	b.updateAdmittedFraction()
	b.dropIdleQuotas()
	if b.hasQuotaOwners() {
		b.endpoints.dropUnused(b.now)
	}
	b.closeEndpointInterval()
	b.concurrency.closeInterval(b.now - b.started)
	b.inbox.closeInterval()
	b.sendHealthCheck()
}

// updateAdmittedFraction updates the admitted fraction and logs when throttling begins.
func (b *Balancer) updateAdmittedFraction() {
	throttledBefore := b.overload.throttles()
	b.overload.closeInterval(b.concurrency.responses, b.recentAttempts(recentAttemptFraction))
	if !throttledBefore && b.overload.throttles() {
		b.logInfo("overloaded: rejecting a fraction of the requests",
			slog.Float64("admitted_fraction", b.overload.admittedFraction),
			slog.Float64("occupancy", b.overload.occupancy))
	}
}

// logInfo logs a line unless another one was logged less than logInterval ago.
func (b *Balancer) logInfo(message string, attributes ...slog.Attr) {
	if b.now-b.lastLogged < logInterval {
		return
	}
	b.lastLogged = b.now
	b.actions.Log(slog.LevelInfo, message, attributes...)
}

// oneIf returns 1 if the condition is true, else 0.
func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// Stats counts the endpoints that a balancer knows.
type Stats struct {
	ListedEndpoints  int // endpoints in the endpoint list
	SubsetEndpoints  int // listed endpoints in this node's subset
	TrackedEndpoints int // endpoints with state beyond their entry in the list
	HashCollisions   int // subset endpoints that load gossip cannot identify, as they share a short hash
}

// Stats returns the present counts.
func (b *Balancer) Stats() Stats {
	var stats Stats
	b.endpoints.addStats(&stats)
	return stats
}
