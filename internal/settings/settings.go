// Package settings reads the platform's settings object, in the form in which both the simulator and an edge
// node's configuration give it. The platform's field names are mapped to the balancer's here and nowhere else.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"opalhook/balancer"
)

// object mirrors the settings object; keys that are not named here are skipped.
type object struct {
	Instances, Me int
	Zone          string
	Tick          float64
	RegistryMode  string
	FamilyInfo    struct {
		InboxPerS, UnitsTop float64
		PostPaid            bool
	}
	Feedback struct{ How string }
	Lanes    []struct {
		Name, Idempotency, KeyScope             string
		Deadline, OnTime, LateWorth, MemorySpan float64
		Worth                                   float64
		Streamed                                bool
	}
	Penalties    struct{ CrossZone, Peer, Probe, Waste float64 }
	PolicyLimits struct {
		Cancel, ParallelTries, Peers, Probes, RetryAfter bool
		MostTries                                        int
		MaxRetryAfter, ConnIdle, ConnectTimeout          float64
	}
	Rules struct {
		AnswerSlack, AskWithin, ColdFrom, DrainGrace, FallMultiple, OverloadFor, RampTime float64
	}
	Tariffs []struct {
		Name                                                     string
		QuotaRate, PeakUnits, NeverOverRate, HardBurst, CapSlack float64
		WorthFactor, ExtraWorth, OverCost                        float64
		MaxOut                                                   int
	}
}

// Transport is the part of the settings that concerns connections: the host's
// business, not the module's.
type Transport struct {
	ConnIdle       time.Duration // a server closes a connection that has stood idle this long
	ConnectTimeout time.Duration // a connection that is not made within this has failed
}

// Parse parses the settings object, in the form in which both the
// simulator and a real edge node's configuration give it.
func Parse(text []byte) (balancer.Settings, Transport, error) {
	var in object
	if err := json.Unmarshal(text, &in); err != nil {
		return balancer.Settings{}, Transport{}, err
	}
	s, err := in.settings()
	l := &in.PolicyLimits
	return s, Transport{ConnIdle: Duration(l.ConnIdle), ConnectTimeout: Duration(l.ConnectTimeout)}, err
}

func (in *object) settings() (balancer.Settings, error) {
	l, r := &in.PolicyLimits, &in.Rules
	s := balancer.Settings{
		NodeIndex: in.Me, NodeCount: in.Instances, Zone: in.Zone,
		ResponseSlack: Duration(r.AnswerSlack), DrainTimeout: Duration(r.DrainGrace),
		SlowStartInitialFraction: r.ColdFrom, SlowStartDuration: Duration(r.RampTime),
		OverloadFactor: r.FallMultiple, OverloadWindow: Duration(r.OverloadFor),
		MaxAttempts: l.MostTries, Hedging: l.ParallelTries, Cancellation: l.Cancel, Gossip: l.Peers, HealthChecks: l.Probes,
		RetryAfter: l.RetryAfter, MaxRetryAfter: Duration(l.MaxRetryAfter),
		PollEndpoints: in.RegistryMode == "subscribe", PollInterval: Duration(r.AskWithin),
		PeerMessagesPerSecond: in.FamilyInfo.InboxPerS, PostPaid: in.FamilyInfo.PostPaid, MaxUnits: in.FamilyInfo.UnitsTop, Tick: Duration(in.Tick),
		CrossZonePrice: in.Penalties.CrossZone, PeerMessagePrice: in.Penalties.Peer,
		HealthCheckPrice: in.Penalties.Probe, WastedWorkPrice: in.Penalties.Waste,
	}
	switch in.Feedback.How {
	case "answers":
		s.LoadReports = balancer.LoadReportsInResponses
	case "probe":
		s.LoadReports = balancer.LoadReportsInHealthChecks
	case "none", "":
	default:
		return s, fmt.Errorf("feedback.how: unknown word %q", in.Feedback.How)
	}
	for _, c := range in.Lanes {
		k := balancer.Class{
			Name: c.Name, DedupWindow: Duration(c.MemorySpan), LatencyObjective: Duration(c.OnTime),
			Deadline: Duration(c.Deadline), PriorityWeight: c.Worth, LateWeightFraction: c.LateWorth, Stream: c.Streamed,
		}
		effects := map[string]balancer.Idempotency{"retryable": balancer.Idempotent, "dedup": balancer.IdempotentWithKey, "fragile": balancer.NonIdempotent}
		groups := map[string]balancer.DedupScope{"all": balancer.DedupFleet, "zone": balancer.DedupZone, "cell": balancer.DedupCell}
		var ok bool
		if k.Idempotency, ok = effects[c.Idempotency]; !ok {
			return s, fmt.Errorf("lanes: unknown idempotency %q", c.Idempotency)
		}
		if k.DedupScope, ok = groups[c.KeyScope]; !ok && k.Idempotency == balancer.IdempotentWithKey {
			return s, fmt.Errorf("lanes: unknown keyScope %q", c.KeyScope)
		}
		s.Classes = append(s.Classes, k)
	}
	for _, t := range in.Tariffs {
		s.Plans = append(s.Plans, balancer.Plan{
			Name: t.Name, Rate: t.QuotaRate, Burst: t.PeakUnits, MaxConcurrent: t.MaxOut,
			HardLimitRate: t.NeverOverRate, HardLimitBurst: t.HardBurst, HardLimitSlack: t.CapSlack,
			WeightFactor: t.WorthFactor, OverQuotaValue: t.ExtraWorth, OverQuotaCost: t.OverCost,
		})
	}
	return s, nil
}

// Duration returns a number of seconds as a duration, rounded to microseconds.
func Duration(seconds float64) time.Duration {
	return time.Duration(math.Round(seconds*1e6)) * time.Microsecond
}
