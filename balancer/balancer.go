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
	"math"
	"math/rand/v2"
	"time"
)

const (
	controlInterval = 100 * time.Millisecond // a probe of the occupancy: the paper's figure
)

// Balancer decides for one edge node.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  Actions
	started  time.Duration
	epoch    uint64

	list               *endpointList
	subsetsPerEndpoint float64 // subsets that hold each server
	smoothedListLength float64 // of the list, for that
	rankedNodes        int     // places in a server's order that are told apart
	hasUnlisted        bool    // some known server is no longer listed
	subsetDirty        bool    // other servers are in the subset than are named in news

	tracked           []*endpoint // the subset's, and others while they are used
	trackedByID       map[string]*endpoint
	subsetByHash      map[uint16]*endpoint // of the subset; nil for a hash that several share
	sharedEndpoints   []sharedEndpoint     // the subset's, for news
	requests          map[string]*request
	requestsByNumber  map[uint64]*request
	lastRequestNumber uint64
	classIndex        map[string]int
	planIndex         map[string]int
	machineTypeIndex  map[string]int
	latencies         []classLatency

	quotas               map[uint64]*quotaBucket
	quotaList            []*quotaBucket                 // the stores, for sweeping
	unansweredAdmissions map[uint64]unansweredAdmission // by number of the request
	overQuotaTenants     map[uint16]overQuotaTenant     // by hash of the customer
	sweepPosition        int
	unreported           []*quotaBucket // stores to tell of
	peers                []peerState
	gossipInterval       time.Duration

	overload                      overloadController
	retryTokens                   float64       // further attempts saved up
	consecutiveUnanswered         int           // asks that came to nothing since anything was heard
	lastPeerMessage               time.Duration // when that was
	peerMessages, peerMessageRate float64       // messages taken in since the last probe, and per second
	inFlight                      int           // attempts out
	responses                     float64       // answers since the last probe
	responseRate                  float64       // answers per second, averaged
	warmWorkDone                  float64       // work answered by warm servers since the last probe
	// work answered per second and unit of weight of a warm server, by this gateway
	warmWorkRate         float64
	healthCheckTokens    float64      // probes earned by sends
	subsetWeights        weightCounts // of the subset's servers that take work
	machineTypeLatencies []*machineTypeLatency
	meanLoad             float64 // requests that a server holds, on average over those told of
	lastLogged           time.Duration
}

// New returns a gateway for the settings, or an error that names a field that cannot be.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	g := &Balancer{
		settings: s, rng: rand.New(rand.NewPCG(seed, 0x5ea)), list: newEndpointList(0),
		trackedByID:  map[string]*endpoint{},
		subsetByHash: map[uint16]*endpoint{}, requests: map[string]*request{},
		requestsByNumber: map[uint64]*request{}, classIndex: map[string]int{}, planIndex: map[string]int{},
		machineTypeIndex: map[string]int{},
		quotas:           map[uint64]*quotaBucket{}, unansweredAdmissions: map[uint64]unansweredAdmission{},
		overQuotaTenants: map[uint16]overQuotaTenant{}, peers: make([]peerState, s.NodeCount),
		latencies: make([]classLatency,
			len(s.Classes)),
	}
	g.settings.Classes = append([]Class(nil), s.Classes...)
	g.settings.Plans = append([]Plan(nil), s.Plans...)
	for i, c := range s.Classes {
		g.classIndex[c.Name] = i
	}
	for i, p := range s.Plans {
		g.planIndex[p.Name] = i
	}
	g.epoch = uint64(g.rng.Uint32() >> 16)
	// so that answers to a gateway before its restart match nothing
	g.lastRequestNumber = uint64(g.rng.Uint32() >> 12)
	return g, nil
}

// Start begins the gateway's work. Call it once, before any other event.
func (g *Balancer) Start(now time.Duration, out Actions) {
	g.now, g.actions, g.started, g.overload.admittedFraction = now, out, now, 1
	g.gossipInterval = controlInterval
	if in := g.settings.PeerMessagesPerSecond; in > 0 {
		gap := time.Duration(gossipIntervalSlack *
			float64(g.settings.NodeCount-1) / in * float64(time.Second))
		g.gossipInterval = max(gap, g.settings.Tick, minGossipInterval)
	}
	// Gateways started together must not beat in step.
	g.actions.SetTimer(timerControlInterval, time.Duration(g.rng.Int64N(int64(controlInterval))))
	if g.settings.Gossip && g.settings.NodeCount > 1 {
		g.actions.SetTimer(timerGossip, time.Duration(g.rng.Int64N(int64(g.gossipInterval))))
	}
	if g.settings.PollEndpoints {
		g.actions.WatchEndpoints(true)
	}
}

// TimerFired is the firing of a timer.
func (g *Balancer) TimerFired(now time.Duration, token uint64, out Actions) {
	g.now, g.actions = now, out
	r := g.requestsByNumber[token>>timerBits]
	switch token & (1<<timerBits - 1) {
	case timerControlInterval:
		g.closeControlInterval()
		g.actions.SetTimer(timerControlInterval, controlInterval)
	case timerGossip:
		// Each message takes its gap, so that long tells stay within the inbox limit too.
		g.actions.SetTimer(timerGossip, g.gossipInterval*time.Duration(max(g.gossip(), 1)))
	case timerPollEndpoints:
		g.actions.WatchEndpoints(true)
	case timerDeadline:
		if r != nil && !r.answered && !r.responseStarted {
			g.giveUp(r)
		}
	case timerQuotaRequest:
		switch {
		case r == nil || r.answered || r.decidedWithoutOwner || len(r.attempts) > 0:
		case r.finalQuotaRequest:
			g.decideWithoutOwner(r)
		default:
			// a lost message costs less than a request by chance
			r.finalQuotaRequest, r.quotaRequestRepeated = true, true
			g.requestQuota(r)
		}
	case timerHedge:
		if r != nil && !r.answered && !r.responseStarted && r.inFlight == 1 &&
			g.overload.occupancy < overloadedOccupancy {
			// A second copy counts as out: it must not push the customer's next try beyond its cap.
			if g.settings.Plans[r.quota.plan].MaxConcurrent == 0 ||
				g.concurrencyHeadroom(r.quota) > r.quota.entryNodes {
				g.retry(r)
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
func (g *Balancer) closeControlInterval() {
	f := g.overload.admittedFraction
	// attempts at a few silent servers must not read as overload
	g.overload.assessInterval(g.responses, g.recentAttempts(recentAttemptFraction))
	if f >= 1 && g.overload.admittedFraction < 1 {
		g.log("overload: sending on %.2f of what quotas admit, occupancy %.2f", g.overload.admittedFraction,
			g.overload.occupancy)
	}
	g.dropIdleQuotas()
	if g.ownsQuotas() {
		g.dropUnused()
	}
	var weight, load, told float64
	keep := math.Exp(-controlInterval.Seconds() / observationDecay.Seconds())
	for _, s := range g.tracked {
		g.accrueSlowStartTokens(s) // from the moment that it is known, not from its first turn
		if warm := s.slowStartTokens < 0; warm && s.acceptsRequests() && s.inSubset {
			weight += g.weight(s)
		}
		if s.acceptsRequests() && s.reportedLoad >= 0 && !s.refusesConnections {
			load, told = load+s.otherNodesLoad, told+1
		}
		if s.inFlight == 0 {
			s.latencyRatio = 1 + (s.latencyRatio-1)*keep
			s.errorRate *= keep
		}
	}
	g.meanLoad = load / math.Max(told, 1)
	if weight > 0 {
		g.warmWorkRate += meanSmoothing * (g.warmWorkDone/weight/controlInterval.Seconds() - g.warmWorkRate)
	}
	// After a start the average is over what there is, or the first second would be refused.
	share := math.Max(rateSmoothing, 1/(1+float64(g.now-g.started)/float64(controlInterval)))
	g.responseRate += share * (g.responses/controlInterval.Seconds() - g.responseRate)
	g.peerMessageRate += rateSmoothing * (g.peerMessages/controlInterval.Seconds() - g.peerMessageRate)
	g.warmWorkDone, g.responses, g.peerMessages = 0, 0, 0
	g.sendHealthCheck()
}

func (g *Balancer) log(format string, args ...any) {
	if g.now-g.lastLogged >= time.Second {
		g.lastLogged = g.now
		g.actions.Log(fmt.Sprintf(format, args...))
	}
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
func (g *Balancer) Stats() Stats {
	st := Stats{ListedEndpoints: len(g.list.slotByID), TrackedEndpoints: len(g.tracked)}
	for _, s := range g.tracked {
		if s.inSubset && s.listed {
			st.SubsetEndpoints++
			st.HashCollisions += int(oneIf(g.subsetByHash[s.shortHash] == nil))
		}
	}
	return st
}
