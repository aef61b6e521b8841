package balancer

import (
	"errors"
	"fmt"
	"time"
)

// Idempotency says what repeating a request of a class does.
type Idempotency int

const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // a repeat is dropped inside its group while remembered
	NonIdempotent                        // must never run twice
)

// DedupScope says which servers share the memory of a keyed class's requests.
type DedupScope int

const (
	DedupFleet DedupScope = iota // all servers
	DedupZone                    // the servers of one zone
	DedupCell                    // the servers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name        string
	Idempotency Idempotency
	DedupScope  DedupScope // for Keyed
	// for Keyed: how long a server remembers, from the first send that may have run
	DedupWindow        time.Duration
	LatencyObjective   time.Duration // answers up to here earn the full worth
	Deadline           time.Duration // the client's whole wait over all its tries
	PriorityWeight     float64       // of one request
	LateWeightFraction float64       // share of Worth earned between Aim and the deadline
	Stream             bool          // answers arrive as streams: see [Gateway.First]
}

// Plan describes the quotas of each customer of one plan, over all gateways together.
type Plan struct {
	Name           string
	Rate           float64 // units per second; 0: no quota on the rate
	Burst          float64 // units the quota's store holds
	MaxConcurrent  int     // attempts out at once; 0: no such quota
	HardLimitRate  float64 // units per second of the hard ceiling; 0: none
	HardLimitBurst float64 // units the ceiling's store holds
	HardLimitSlack float64 // units the ceiling's store may fall below nought
	WeightFactor   float64 // factor on the worth
	OverQuotaValue float64 // share of the worth earned beyond the quota
	OverQuotaCost  float64 // share of the worth charged for each try sent beyond the quota
}

// LoadReportMode says how servers report their load.
type LoadReportMode int

const (
	NoLoadReports             LoadReportMode = iota // never
	LoadReportsInResponses                          // in outcomes and probe results
	LoadReportsInHealthChecks                       // in probe results only
)

// Settings is all that a gateway is told at its start. The zero value of a
// field means that the feature is absent, unless noted otherwise.
type Settings struct {
	NodeIndex int    // this gateway's number, from 0
	NodeCount int    // number of gateways, at least 1
	Zone      string // this gateway's zone
	Classes   []Class
	Plans     []Plan

	ResponseSlack            time.Duration // a final answer this late past the deadline still counts
	DrainTimeout             time.Duration // sends to a draining server must have stopped by then
	SlowStartInitialFraction float64       // a started server has at least this share of its capacity
	SlowStartDuration        time.Duration // and is warm within this time
	OverloadFactor           float64       // sent more than this multiple of its present capacity
	OverloadWindow           time.Duration // for this long, a cold server falls over

	MaxAttempts   int  // attempts per request; 0: no limit
	Hedging       bool // two attempts of one request may be out at once
	Cancellation  bool // [Actions.Cancel] is allowed
	Gossip        bool // [Actions.Tell] is allowed
	HealthChecks  bool // [Actions.Probe] is allowed
	RetryAfter    bool // clients receive the retry-after of a refusal
	MaxRetryAfter time.Duration

	LoadReports           LoadReportMode
	PollEndpoints         bool          // the list must be subscribed to with [Actions.Watch]
	PollInterval          time.Duration // with AskList: how often an unsubscribed gateway must ask
	PeerMessagesPerSecond float64       // peer messages per second that a gateway takes in
	PostPaid              bool          // units are a guess until the first good answer
	MaxUnits              float64       // of one request; 0: not told
	Tick                  time.Duration // the shortest time between events

	CrossZonePrice   float64 // points per attempt to another zone, as a share of requests
	PeerMessagePrice float64 // points per full peer message a request
	HealthCheckPrice float64 // points per probe a request
	WastedWorkPrice  float64 // points for wasted server work
}

// validate returns an error that names the first field that can't be.
func (s *Settings) validate() error {
	switch {
	case s.NodeCount < 1:
		return errors.New("Instances is below 1")
	case s.NodeIndex < 0 || s.NodeIndex >= s.NodeCount:
		return errors.New("Me is outside Instances")
	case len(s.Classes) == 0:
		return errors.New("Classes is empty")
	case s.SlowStartInitialFraction < 0 || s.SlowStartInitialFraction > 1 || s.OverloadFactor < 0 ||
		s.SlowStartDuration < 0 || s.OverloadWindow < 0:
		return errors.New("ColdFrom, FallMultiple, RampTime or OverloadFor is out of range")
	case s.MaxAttempts < 0 || s.PeerMessagesPerSecond < 0 || s.Tick < 0 || s.DrainTimeout < 0:
		return errors.New("MaxAttempts, InboxPerS, Tick or DrainGrace is negative")
	}
	names := map[string]bool{}
	for _, c := range s.Classes {
		if names[c.Name] {
			return fmt.Errorf("Classes: %q stands twice", c.Name)
		}
		if names[c.Name] = true; c.LatencyObjective < 0 || c.Deadline < 0 || c.DedupWindow < 0 ||
			c.PriorityWeight < 0 {
			return fmt.Errorf("Classes: %q has a negative figure", c.Name)
		}
	}
	names = map[string]bool{}
	for _, p := range s.Plans {
		if names[p.Name] {
			return fmt.Errorf("Plans: %q stands twice", p.Name)
		}
		names[p.Name] = true
		if p.Rate < 0 || p.Burst < 0 || p.MaxConcurrent < 0 || p.HardLimitRate < 0 || p.HardLimitBurst < 0 ||
			p.HardLimitSlack < 0 {
			return fmt.Errorf("Plans: %q has a negative figure", p.Name)
		}
	}
	return nil
}
