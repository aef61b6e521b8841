// Package settings reads the platform's settings object, in the form in which both the simulator and an edge
// node's configuration give it. The platform's field names and words are mapped to the balancer's here and nowhere else.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"opalhook/balancer"
)

// The platform's words and what they mean to the balancer.
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
		"":        balancer.NoLoadReports, // not told
		"none":    balancer.NoLoadReports,
		"answers": balancer.LoadReportsInResponses,
		"probe":   balancer.LoadReportsInHealthChecks,
	}
)

// pollMode is the registryMode in which a node has to ask for the list of endpoints.
const pollMode = "subscribe"

// WordError is a word in the settings object that the platform does not define.
type WordError struct {
	Key  string // with the keys around it, such as "feedback.how"
	Word string
}

// Error names the key and the word.
func (e *WordError) Error() string { return fmt.Sprintf("%s: unknown word %q", e.Key, e.Word) }

// Transport is the part of the settings that concerns connections: the host's business, not the balancer's.
type Transport struct {
	ConnIdle       time.Duration // a server closes a connection that has been idle for so long
	ConnectTimeout time.Duration // a connection that is not made within this has failed
}

// Parse reads the settings object. The error is one of encoding/json or a [WordError]; ranges are the balancer's to
// check.
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

// settings maps the whole object.
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
		return s, &WordError{"feedback.how", in.Feedback.How}
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

// apply maps the platform's rules of time and of cold servers.
func (r *rulesObject) apply(s *balancer.Settings) {
	s.ResponseSlack = Duration(r.AnswerSlack)
	s.DrainTimeout = Duration(r.DrainGrace)
	s.PollInterval = Duration(r.AskWithin)
	s.SlowStartInitialFraction = r.ColdFrom
	s.SlowStartDuration = Duration(r.RampTime)
	s.OverloadFactor = r.FallMultiple
	s.OverloadWindow = Duration(r.OverloadFor)
}

// apply maps what a node may do.
func (l *limitsObject) apply(s *balancer.Settings) {
	s.MaxAttempts = l.MostTries
	s.Hedging = l.ParallelTries
	s.Cancellation = l.Cancel
	s.Gossip = l.Peers
	s.HealthChecks = l.Probes
	s.RetryAfter = l.RetryAfter
	s.MaxRetryAfter = Duration(l.MaxRetryAfter)
}

// transport is what concerns connections.
func (l *limitsObject) transport() Transport {
	return Transport{ConnIdle: Duration(l.ConnIdle), ConnectTimeout: Duration(l.ConnectTimeout)}
}

// apply maps what things cost.
func (p *penaltyObject) apply(s *balancer.Settings) {
	s.CrossZonePrice = p.CrossZone
	s.PeerMessagePrice = p.Peer
	s.HealthCheckPrice = p.Probe
	s.WastedWorkPrice = p.Waste
}

// class maps a class of requests. A class that is not deduplicated needs no scope.
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
		return c, &WordError{"lanes.idempotency", l.Idempotency}
	}
	if c.DedupScope, known = dedupScopes[l.KeyScope]; !known && c.Idempotency == balancer.IdempotentWithKey {
		return c, &WordError{"lanes.keyScope", l.KeyScope}
	}
	return c, nil
}

// plan maps a plan of customers.
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
