package balancer

import (
	"fmt"
	"time"
)

// Idempotency says whether a request may run more than once.
type Idempotency int

// Kinds of idempotency.
const (
	Idempotent        Idempotency = iota // the request may be repeated freely
	IdempotentWithKey                    // endpoints drop repeats by key, within DedupScope and DedupWindow
	NonIdempotent                        // the request must not run twice
)

// DedupScope says which endpoints share the known keys of an [IdempotentWithKey] class.
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
	DedupScope  DedupScope // for IdempotentWithKey

	// DedupWindow is the time for which endpoints store a key, from the first attempt that may have run.
	DedupWindow time.Duration

	LatencyObjective   time.Duration // a response within this time has its full value
	Deadline           time.Duration // longest time that the client waits, over all its retries
	PriorityWeight     float64       // value of one response
	LateWeightFraction float64       // fraction of the value that a response after the objective still has
	Stream             bool          // responses are streamed: see [Balancer.ResponseStarted]
}

// Plan describes the quota that each tenant of the plan has over all nodes together.
type Plan struct {
	Name           string
	Rate           float64 // units per second; 0: unlimited
	Burst          float64 // capacity of the quota's bucket, in units
	MaxConcurrent  int     // maximum number of attempts in flight; 0: unlimited
	HardLimitRate  float64 // hard limit on units per second, with a tolerance of HardLimitSlack; 0: none
	HardLimitBurst float64 // capacity of the hard limit's bucket, in units
	HardLimitSlack float64 // units by which the hard limit may be exceeded at any time
	WeightFactor   float64 // factor on the priority weight of the plan's requests
	OverQuotaValue float64 // value of a response beyond the quota, as a fraction of its value within it
	OverQuotaCost  float64 // cost of sending a request beyond the quota, as a fraction of its value
}

// LoadReportMode says where endpoints report their load.
type LoadReportMode int

// Modes of load reports.
const (
	NoLoadReports             LoadReportMode = iota // nowhere
	LoadReportsInResponses                          // in each response and in health checks
	LoadReportsInHealthChecks                       // in health checks only
)

// Settings is the configuration of a [Balancer]. A field's zero value means that the feature is absent,
// unless the field's comment says otherwise.
type Settings struct {
	NodeIndex int    // index of this node, from 0
	NodeCount int    // number of nodes in the fleet, at least 1
	Zone      string // zone of this node
	Classes   []Class
	Plans     []Plan

	ResponseSlack time.Duration // longest delay past the deadline with which a response still counts
	DrainTimeout  time.Duration // time after which a draining endpoint must get no more requests

	// An endpoint has at least SlowStartInitialFraction of its capacity when it starts, and full capacity
	// after SlowStartDuration. Until then it fails if it gets more than OverloadFactor times its present
	// capacity over OverloadWindow.
	SlowStartInitialFraction float64
	SlowStartDuration        time.Duration
	OverloadFactor           float64
	OverloadWindow           time.Duration

	MaxAttempts   int           // maximum number of attempts per request; 0: unlimited
	Hedging       bool          // two attempts of a request may be in flight at once
	Cancellation  bool          // [Actions.CancelAttempt] is allowed
	Gossip        bool          // [Actions.SendPeer] is allowed
	HealthChecks  bool          // [Actions.HealthCheck] is allowed
	RetryAfter    bool          // rejections contain a retry delay for the client
	MaxRetryAfter time.Duration // longest retry delay in a rejection

	LoadReports           LoadReportMode
	PollEndpoints         bool          // the balancer subscribes to the list by [Actions.WatchEndpoints]
	PollInterval          time.Duration // with PollEndpoints: interval of polls by a node without a watch
	PeerMessagesPerSecond float64       // messages that a node can receive per second; 0: unlimited
	PostPaid              bool          // a request's units are an estimate until its first OK
	MaxUnits              float64       // maximum units of one request; 0: unknown
	Tick                  time.Duration // shortest time between two events

	CrossZonePrice   float64 // price of an attempt to another zone, as a fraction of a request's value
	PeerMessagePrice float64 // price of one full datagram per request
	HealthCheckPrice float64 // price of one health check per request
	WastedWorkPrice  float64 // price of work whose response is not used
}

// SettingError reports an invalid setting. The host maps the field to the name under which operators
// configure it.
type SettingError struct {
	Field   string // field of [Settings], [Class] or [Plan]
	Owner   string // name of the class or plan that has the field; "" for a field of Settings
	Problem string // received value and accepted values
}

// Error implements the error interface.
func (e *SettingError) Error() string {
	if e.Owner != "" {
		return fmt.Sprintf("%q: %s %s", e.Owner, e.Field, e.Problem)
	}
	return e.Field + " " + e.Problem
}

// validate returns a *[SettingError] for the first invalid field.
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
			return &SettingError{
				Field: "Name", Owner: c.Name, Problem: "is used by two classes, a unique name is expected",
			}
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
			return &SettingError{
				Field: "Name", Owner: p.Name, Problem: "is used by two plans, a unique name is expected",
			}
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

// checkNotNegative returns a *[SettingError] for the first negative number.
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
