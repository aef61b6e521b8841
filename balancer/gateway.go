package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// What a gateway remembers. How it is used is decided in choice.go.

type attempt struct {
	endpoint *endpoint
	sentAt   time.Duration
	zone     string // of the server when it was sent
	cell     int
	done     bool
	neverRan bool // known not to have run
	result   Result
}

type request struct {
	Request
	number               uint64
	class                int
	quota                *quotaBucket
	deadline             time.Duration // final answer due
	attempts             []attempt
	inFlight             int
	inQuota              bool
	decidedWithoutOwner  bool // its ask came to nothing: sent by chance or not at all
	finalQuotaRequest    bool // not to be asked for again
	quotaRequestRepeated bool // asked for twice
	grantedByOwner       bool // by its holder, with its part of the ceiling
	quotaOwner           int  // gateway that was asked for its units, or this one
	reconciled           bool
	answered             bool // finally answered
	responseStarted      bool // its stream has begun
}

// peerState is the state of tells to and from one peer.
type peerState struct {
	sentSequence            uint64
	previousEntries         []byte // entries of the last tell
	previousEntryCount      int
	received                bool
	epoch                   uint64
	previousEpoch           uint64
	receivedSequence        uint64
	unansweredQuotaRequests int // asks since its last answer
}

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

// What goes into the pool.
const (
	poolOccupancySum     = iota // sum of the samples of the occupancy
	poolOccupancySamples        // their number
	poolSent
	poolResponses
	poolInFlight
	poolSize
)

// overloadController is the state of the overload control.
type overloadController struct {
	admittedFraction, throttleAccumulator float64
	occupancySums, occupancyCounts        [assessmentIntervals]float64
	sentCounts                            [assessmentIntervals]float64
	intervals                             int
	occupancy, acceptRate                 float64
	maxAcceptRate                         float64
	// means per probe, over this gateway and those it hears from
	pooledMeans [poolSize]float64
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

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func clampAdmittedFraction(f float64) float64 { return math.Min(math.Max(f, minAdmittedFraction), 1) }

func (g *Balancer) log(format string, args ...any) {
	if g.now-g.lastLogged >= time.Second {
		g.lastLogged = g.now
		g.actions.Log(fmt.Sprintf(format, args...))
	}
}

// mixIntoPool takes figures of this or another gateway into the mean that goes with asks and answers.
func (a *overloadController) mixIntoPool(share float64, x [poolSize]float64) {
	for i := range x {
		a.pooledMeans[i] += share * (x[i] - a.pooledMeans[i])
	}
}

func (a *overloadController) intervalIndex() int { return a.intervals % assessmentIntervals }

// sampleOccupancy enters one reading of the occupancy into the present probe.
func (a *overloadController) sampleOccupancy(rho float64) {
	a.occupancySums[a.intervalIndex()] += rho
	a.occupancyCounts[a.intervalIndex()]++
}

// cancelAttempts asks to stop waiting for the attempts that are still out.
func (g *Balancer) cancelAttempts(r *request) {
	for i := range r.attempts {
		if g.settings.Cancellation && !r.attempts[i].done {
			g.actions.CancelAttempt(r.ID, i)
		}
	}
}

// reject refuses a request of which nothing was sent.
func (g *Balancer) reject(id string, wait time.Duration) {
	if !g.settings.RetryAfter {
		wait = 0
	}
	g.actions.Reject(id, min(wait, g.settings.MaxRetryAfter))
}

// finishRequest marks the request answered; it is kept until its attempts have ended.
func (g *Balancer) finishRequest(r *request) {
	r.answered = true
	delete(g.requestsByNumber, r.number)
	if r.inFlight == 0 {
		delete(g.requests, r.ID)
		if len(r.attempts) > 0 && g.settings.Plans[r.quota.plan].MaxConcurrent > 0 && r.quota.owned {
			g.releaseQuota(r, 0)
		}
	}
}

// ResponseStarted tells that the answer of an attempt has begun to stream: it is the client's now.
func (g *Balancer) ResponseStarted(now time.Duration, id string, n int, out Actions) {
	g.now, g.actions = now, out
	if r := g.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		r.responseStarted = true
		r.attempts[n].endpoint.lastProgress = now
	}
}
