package balancer

import (
	"fmt"
	"time"
)

// Idempotency says whether a request may run more than once.
type Idempotency int

// Kinds of idempotency.
const (
	Idempotent        Idempotency = iota // it may be repeated freely
	IdempotentWithKey                    // endpoints drop a repeat by its key, within a scope and for a while
	NonIdempotent                        // it must not run twice
)

// DedupScope says which endpoints share the memory of keys of a class that is [IdempotentWithKey].
type DedupScope int

// Scopes of deduplication.
const (
	DedupFleet DedupScope = iota // all endpoints
	DedupZone                    // the endpoints of a zone
	DedupCell                    // the endpoints of a cell
)

// Class describes a class of requests.
type Class struct {
	Name        string
	Idempotency Idempotency
	DedupScope  DedupScope // with IdempotentWithKey

	// DedupWindow is how long endpoints remember a key, from the first attempt that may have run.
	DedupWindow time.Duration

	LatencyObjective   time.Duration // a response within this time has its full value
	Deadline           time.Duration // the client's whole wait, over all its retries
	PriorityWeight     float64       // value of one response
	LateWeightFraction float64       // of that value, what a response past the objective still has
	Stream             bool          // responses are streamed: see [Balancer.ResponseStarted]
}

// Plan describes the quota that each tenant of the plan has over all nodes together.
type Plan struct {
	Name           string
	Rate           float64 // units per second; 0: unlimited
	Burst          float64 // units that the quota's bucket holds
	MaxConcurrent  int     // attempts in flight at once; 0: unlimited
	HardLimitRate  float64 // units per second that must never be exceeded; 0: none
	HardLimitBurst float64 // units that the hard limit's bucket holds
	HardLimitSlack float64 // units by which the hard limit may be exceeded at any time
	WeightFactor   float64 // factor on the priority weight of its requests
	OverQuotaValue float64 // fraction of its value that a response beyond the quota has
	OverQuotaCost  float64 // fraction of its value that a request sent beyond the quota costs
}

// LoadReportMode says where endpoints report their load.
type LoadReportMode int

// Modes of load reports.
const (
	NoLoadReports             LoadReportMode = iota // nowhere
	LoadReportsInResponses                          // in each response and in health checks
	LoadReportsInHealthChecks                       // in health checks only
)

// Settings is all that a [Balancer] is told at its start. The zero value of a field means that the
// feature is absent, unless the field says otherwise.
type Settings struct {
	NodeIndex int    // of this node, from 0
	NodeCount int    // at least 1
	Zone      string // of this node
	Classes   []Class
	Plans     []Plan

	ResponseSlack time.Duration // a response this late past the deadline still counts
	DrainTimeout  time.Duration // after which a draining endpoint must get no more requests

	// A started endpoint has at least SlowStartInitialFraction of its capacity, and all of it after
	// SlowStartDuration. Until then it falls over when it gets more than OverloadFactor times its present
	// capacity over OverloadWindow.
	SlowStartInitialFraction float64
	SlowStartDuration        time.Duration
	OverloadFactor           float64
	OverloadWindow           time.Duration

	MaxAttempts   int           // per request; 0: unlimited
	Hedging       bool          // two attempts of a request may be in flight at once
	Cancellation  bool          // [Actions.CancelAttempt] is allowed
	Gossip        bool          // [Actions.SendPeer] is allowed
	HealthChecks  bool          // [Actions.HealthCheck] is allowed
	RetryAfter    bool          // clients receive the retry-after of a rejection
	MaxRetryAfter time.Duration // longest that they receive

	LoadReports           LoadReportMode
	PollEndpoints         bool          // the endpoint list has to be watched: see [Actions.WatchEndpoints]
	PollInterval          time.Duration // with PollEndpoints: how often a node without a watch has to poll
	PeerMessagesPerSecond float64       // that a node can receive; 0: unlimited
	PostPaid              bool          // a request's units are a guess until its first OK
	MaxUnits              float64       // of one request; 0: unknown
	Tick                  time.Duration // shortest time between two events

	CrossZonePrice   float64 // of an attempt to another zone, as a fraction of a request's value
	PeerMessagePrice float64 // of a full datagram per request
	HealthCheckPrice float64 // of a health check per request
	WastedWorkPrice  float64 // of work whose response nobody uses
}

// SettingError reports a setting that cannot be used. The host maps the field to the name under which it was
// configured.
type SettingError struct {
	Field   string // of [Settings], [Class] or [Plan]
	Owner   string // name of the class or plan whose field it is; "": a field of Settings
	Problem string // what is wrong and what is expected
}

// Error implements error.
func (e *SettingError) Error() string {
	if e.Owner != "" {
		return fmt.Sprintf("%q: %s %s", e.Owner, e.Field, e.Problem)
	}
	return e.Field + " " + e.Problem
}

// validate returns a *[SettingError] for the first field that cannot be used.
func (s *Settings) validate() error {
	if s.NodeCount < 1 {
		return &SettingError{
			Field:   "NodeCount",
			Problem: fmt.Sprintf("is %d, at least 1 is expected", s.NodeCount),
		}
	}
	if s.NodeIndex < 0 || s.NodeIndex >= s.NodeCount {
		return &SettingError{
			Field:   "NodeIndex",
			Problem: fmt.Sprintf("is %d, 0 to %d is expected", s.NodeIndex, s.NodeCount-1),
		}
	}
	if len(s.Classes) == 0 {
		return &SettingError{Field: "Classes", Problem: "is empty, at least one class is expected"}
	}
	if s.SlowStartInitialFraction > 1 {
		return &SettingError{
			Field:   "SlowStartInitialFraction",
			Problem: fmt.Sprintf("is %v, 0 to 1 is expected", s.SlowStartInitialFraction),
		}
	}
	if err := checkNotNegative("", []namedNumber{
		{"SlowStartInitialFraction", s.SlowStartInitialFraction},
		{"SlowStartDuration", s.SlowStartDuration.Seconds()},
		{"OverloadFactor", s.OverloadFactor},
		{"OverloadWindow", s.OverloadWindow.Seconds()},
		{"MaxAttempts", float64(s.MaxAttempts)},
		{"PeerMessagesPerSecond", s.PeerMessagesPerSecond},
		{"Tick", s.Tick.Seconds()},
		{"DrainTimeout", s.DrainTimeout.Seconds()},
	}); err != nil {
		return err
	}
	if err := s.validateClasses(); err != nil {
		return err
	}
	return s.validatePlans()
}

func (s *Settings) validateClasses() error {
	names := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		if names[c.Name] {
			return &SettingError{Field: "Name", Owner: c.Name, Problem: "of a class occurs twice"}
		}
		names[c.Name] = true
		if err := checkNotNegative(c.Name, []namedNumber{
			{"LatencyObjective", c.LatencyObjective.Seconds()},
			{"Deadline", c.Deadline.Seconds()},
			{"DedupWindow", c.DedupWindow.Seconds()},
			{"PriorityWeight", c.PriorityWeight},
		}); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validatePlans() error {
	names := map[string]bool{}
	for i := range s.Plans {
		p := &s.Plans[i]
		if names[p.Name] {
			return &SettingError{Field: "Name", Owner: p.Name, Problem: "of a plan occurs twice"}
		}
		names[p.Name] = true
		if err := checkNotNegative(p.Name, []namedNumber{
			{"Rate", p.Rate},
			{"Burst", p.Burst},
			{"MaxConcurrent", float64(p.MaxConcurrent)},
			{"HardLimitRate", p.HardLimitRate},
			{"HardLimitBurst", p.HardLimitBurst},
			{"HardLimitSlack", p.HardLimitSlack},
		}); err != nil {
			return err
		}
	}
	return nil
}

type namedNumber struct {
	field  string
	number float64
}

// checkNotNegative returns an error for the first number below 0.
func checkNotNegative(owner string, numbers []namedNumber) error {
	for _, n := range numbers {
		if n.number < 0 {
			return &SettingError{
				Field: n.field, Owner: owner,
				Problem: fmt.Sprintf("is %v, at least 0 is expected", n.number),
			}
		}
	}
	return nil
}
