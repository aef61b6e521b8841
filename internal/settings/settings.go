// Package settings parses the platform's settings object, which both the simulator and an edge node's
// configuration contain. It is the only package that maps the platform's names and values of settings to the
// balancer's.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"opalhook/balancer"
)

// The platform's values of settings and the corresponding values of the balancer.
var (
	idempotencies = map[string]balancer.Idempotency{
		"retryable": balancer.Idempotent,
		"dedup":     balancer.IdempotentWithKey,
		"fragile":   balancer.NonIdempotent,
	}
	dedupScopes = map[string]balancer.DedupScope{
		"all":  balancer.DedupFleet,
		"zone": balancer.DedupZone,
		"cell": balancer.DedupCell,
	}
	loadReportModes = map[string]balancer.LoadReportMode{
		"":        balancer.NoLoadReports, // key is missing
		"none":    balancer.NoLoadReports,
		"answers": balancer.LoadReportsInResponses,
		"probe":   balancer.LoadReportsInHealthChecks,
	}
)

// pollMode is the value of registryMode with which a node has to poll for the list of endpoints.
const pollMode = "subscribe"

// UnknownValueError means that a setting has a value that the platform does not define.
type UnknownValueError struct {
	Key   string // path in the settings object, such as "feedback.how"
	Value string // received value
}

// Error names the key and the value.
func (e *UnknownValueError) Error() string {
	return fmt.Sprintf("%s: unknown value %q", e.Key, e.Value)
}

// Transport contains the settings of connections to app servers. The balancer's host uses them, not the
// balancer.
type Transport struct {
	ConnIdle       time.Duration // idle time after which an app server closes a connection
	ConnectTimeout time.Duration // time within which a connection must be established
}

// Parse parses the settings object. It returns an error of encoding/json or a [*UnknownValueError]. It does
// not check the ranges of numbers, which [balancer.New] does.
func Parse(text []byte) (balancer.Settings, Transport, error) {
	var in object
	if err := json.Unmarshal(text, &in); err != nil {
		return balancer.Settings{}, Transport{}, err
	}
	s, err := in.settings()
	if err != nil {
		return balancer.Settings{}, Transport{}, err
	}
	return s, in.PolicyLimits.transport(), nil
}

// Duration returns a number of seconds as a duration, rounded to microseconds.
func Duration(seconds float64) time.Duration {
	return time.Duration(math.Round(seconds*1e6)) * time.Microsecond
}

// settings converts the settings object, except for the settings of connections.
func (in *object) settings() (balancer.Settings, error) {
	s := balancer.Settings{
		NodeIndex:             in.Me,
		NodeCount:             in.Instances,
		Zone:                  in.Zone,
		Tick:                  Duration(in.Tick),
		PollEndpoints:         in.RegistryMode == pollMode,
		PeerMessagesPerSecond: in.FamilyInfo.InboxPerS,
		PostPaid:              in.FamilyInfo.PostPaid,
		MaxUnits:              in.FamilyInfo.UnitsTop,
	}
	in.Rules.apply(&s)
	in.PolicyLimits.apply(&s)
	in.Penalties.apply(&s)
	var known bool
	if s.LoadReports, known = loadReportModes[in.Feedback.How]; !known {
		return s, &UnknownValueError{"feedback.how", in.Feedback.How}
	}
	for i := range in.Lanes {
		class, err := in.Lanes[i].class()
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	for i := range in.Tariffs {
		s.Plans = append(s.Plans, in.Tariffs[i].plan())
	}
	return s, nil
}

// apply copies the rules to s.
func (r *rulesObject) apply(s *balancer.Settings) {
	s.ResponseSlack = Duration(r.AnswerSlack)
	s.DrainTimeout = Duration(r.DrainGrace)
	s.PollInterval = Duration(r.AskWithin)
	s.SlowStartInitialFraction = r.ColdFrom
	s.SlowStartDuration = Duration(r.RampTime)
	s.OverloadFactor = r.FallMultiple
	s.OverloadWindow = Duration(r.OverloadFor)
}

// apply copies the allowed actions and their limits to s.
func (l *limitsObject) apply(s *balancer.Settings) {
	s.MaxAttempts = l.MostTries
	s.Hedging = l.ParallelTries
	s.Cancellation = l.Cancel
	s.Gossip = l.Peers
	s.HealthChecks = l.Probes
	s.RetryAfter = l.RetryAfter
	s.MaxRetryAfter = Duration(l.MaxRetryAfter)
}

// transport returns the settings of connections.
func (l *limitsObject) transport() Transport {
	return Transport{ConnIdle: Duration(l.ConnIdle), ConnectTimeout: Duration(l.ConnectTimeout)}
}

// apply copies the prices to s.
func (p *penaltyObject) apply(s *balancer.Settings) {
	s.CrossZonePrice = p.CrossZone
	s.PeerMessagePrice = p.Peer
	s.HealthCheckPrice = p.Probe
	s.WastedWorkPrice = p.Waste
}

// class converts the settings of a class of requests. Only a class with deduplication needs a valid keyScope.
func (l *laneObject) class() (balancer.Class, error) {
	c := balancer.Class{
		Name:               l.Name,
		DedupWindow:        Duration(l.MemorySpan),
		LatencyObjective:   Duration(l.OnTime),
		Deadline:           Duration(l.Deadline),
		PriorityWeight:     l.Worth,
		LateWeightFraction: l.LateWorth,
		Stream:             l.Streamed,
	}
	var known bool
	if c.Idempotency, known = idempotencies[l.Idempotency]; !known {
		return c, &UnknownValueError{"lanes.idempotency", l.Idempotency}
	}
	if c.DedupScope, known = dedupScopes[l.KeyScope]; !known && c.Idempotency == balancer.IdempotentWithKey {
		return c, &UnknownValueError{"lanes.keyScope", l.KeyScope}
	}
	return c, nil
}

// plan converts the settings of a plan.
func (t *tariffObject) plan() balancer.Plan {
	return balancer.Plan{
		Name:           t.Name,
		Rate:           t.QuotaRate,
		Burst:          t.PeakUnits,
		MaxConcurrent:  t.MaxOut,
		HardLimitRate:  t.NeverOverRate,
		HardLimitBurst: t.HardBurst,
		HardLimitSlack: t.CapSlack,
		WeightFactor:   t.WorthFactor,
		OverQuotaValue: t.ExtraWorth,
		OverQuotaCost:  t.OverCost,
	}
}
