package testbed

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// fieldError reports an invalid value of a field of a scenario.
type fieldError struct {
	field   string // path, such as fault[2].zone
	message string
}

func (e *fieldError) Error() string { return e.field + ": " + e.message }

func fieldErrorf(field, format string, args ...any) error {
	return &fieldError{field, fmt.Sprintf(format, args...)}
}

// bounds is the inclusive range of valid values of a field.
type bounds struct {
	field    string
	value    float64
	min, max float64
}

// checkBounds returns an error for the first field whose value is out of bounds. NaN is always out of bounds.
func checkBounds(prefix string, all []bounds) error {
	for _, b := range all {
		if !(b.value >= b.min && b.value <= b.max) {
			return fieldErrorf(prefix+b.field, "must be between %v and %v, got %v", b.min, b.max, b.value)
		}
	}
	return nil
}

// validate adds the default classes and plans and returns a fieldError for the first invalid field.
func (s *Scenario) validate() error {
	s.addDefaults()
	checks := []func() error{
		func() error { return checkBounds("", []bounds{{"duration", s.Duration.s(), 1, 3600}}) },
		s.Fleet.checkBounds,
		s.Load.checkBounds,
		s.validateCombinations,
		s.validateClasses,
		s.validatePlans,
		s.validateBursts,
		s.validateFaults,
		s.validateExpects,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) checkBounds() error {
	return checkBounds("fleet.", []bounds{
		{"nodes", float64(f.Nodes), 1, 1024},
		{"servers", float64(f.Servers), 1, 1024},
		{"cores", float64(f.Cores), 1, 1024},
		{"slots_per_core", float64(f.SlotsPerCore), 1, 1000},
		{"queue_per_core", float64(f.QueuePerCore), 0, 10000},
		{"thrash", f.ContentionLoss, 0, 1},
		{"thrash_at", f.ContentionFrom, 1, 1000},
		{"cold_from", f.SlowStartInitialFraction, 0.01, 1},
		{"ramp", f.SlowStartDuration.s(), 0, 3600},
		{"fall_multiple", f.OverloadFactor, 1, 100},
		{"fall_for", f.OverloadWindow.s(), 0.1, 60},
		{"connections", float64(f.Connections), 1, 1e6},
		{"handshake_work", f.HandshakeWork.s(), 0, 1},
		{"conn_idle", f.ConnIdle.s(), 0.1, 3600},
		{"report_every", f.ReportEvery.s(), 0, 60},
		{"report_late", f.ReportDelay.s(), 0, 60},
		{"list_late", f.ListDelay.s(), 0, 60},
		{"list_replicas", float64(f.ListReplicas), 0, 7},
		{"list_calls_per_s", f.ListCallsPerS, 0, 1e6},
		{"inbox_per_s", f.PeerMessagesPerSecond, 1, 1e6},
		{"peer_loss", f.PeerLoss, 0, 1},
		{"peer_delay", f.PeerDelay.s(), 0, 1},
		{"cross_delay", f.CrossDelay.s(), 0, 1},
		{"memory_mb", float64(f.MemoryMB), 16, 1 << 20},
		{"sockets", float64(f.Sockets), 64, 1 << 20},
	})
}

func (l *Load) checkBounds() error {
	return checkBounds("load.", []bounds{
		{"rate", l.Rate, 0.1, 100000},
		{"work_ms", l.WorkMS, 0.01, 10000},
		{"aim", l.LatencyObjective.s(), 0.01, 60},
		{"deadline", l.Deadline.s(), l.LatencyObjective.s(), 60},
		{"retries", float64(l.Retries), 0, 10},
		{"honour", l.RetryAfterShare, 0, 1},
		{"unsafe", l.NonIdempotentShare, 0, 1},
		{"skew", l.Skew, 0, 5},
		{"heavy", l.OverQuotaTenants, 0, 1},
		{"spread", l.EntryNodeShare, 0, 1},
		{"front_sees", l.FailureDetection.s(), 0, 60},
		{"shift_every", l.ShiftEvery.s(), 0.1, 3600},
	})
}

// validateCombinations checks the name, the number of zones, and constraints between several fields.
func (s *Scenario) validateCombinations() error {
	f, l := &s.Fleet, &s.Load
	switch {
	case s.Name == "":
		return fieldErrorf("name", "must not be empty")
	case f.ListAgents && f.ListReplicas == 0:
		return fieldErrorf("fleet.list_agents",
			"requires list_replicas of at least 1 (usually 3 or 5), which the agents follow, got 0")
	case f.ListPolled && f.ListReplicas > 0:
		return fieldErrorf("fleet.list_asked",
			"must be false with list_replicas, because the list service pushes its lists; list_replicas is %d", f.ListReplicas)
	case f.ListCallsPerS > 0 && !f.ListPolled:
		return fieldErrorf("fleet.list_calls_per_s",
			"requires list_asked, because only a polled service limits calls, got %v without it", f.ListCallsPerS)
	case len(f.Zones) == 0 || len(f.Zones) > 26:
		return fieldErrorf("fleet.zones", "must contain 1 to 26 zones, got %d", len(f.Zones))
	case l.Rate*s.Duration.s() > 5e6:
		return fieldErrorf("load.rate",
			"must result in at most 5 million requests, got %v per second for %v", l.Rate, time.Duration(s.Duration))
	}
	return nil
}

func (s *Scenario) validateBursts() error {
	for i, b := range s.Load.Bursts {
		if b.Factor <= 0 || b.Factor > 100 {
			return fieldErrorf(fmt.Sprintf("load.burst[%d].times", i), "must be above 0 and at most 100, got %v", b.Factor)
		}
	}
	return nil
}

func (s *Scenario) validateFaults() error {
	for i := range s.Faults {
		if err := s.validateFault(fmt.Sprintf("fault[%d].", i), &s.Faults[i]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) validateExpects() error {
	for i, e := range s.Expect {
		field := fmt.Sprintf("expect[%d].", i)
		if _, ok := figureNames[e.Figure]; !ok {
			return fieldErrorf(field+"figure",
				"unknown figure %q, must be one of %s", e.Figure, names(figureNames))
		}
		if e.Min == nil && e.Max == nil {
			return fieldErrorf(field+"figure", "%s requires min or max, got neither", e.Figure)
		}
	}
	return nil
}

// shareTolerance is the allowed difference between 1 and the sum of all shares.
const shareTolerance = 0.01

func (s *Scenario) validateClasses() error {
	seen := map[string]bool{}
	sum := 0.0
	for i, c := range s.Classes {
		field := fmt.Sprintf("class[%d].", i)
		switch {
		case !validName(c.Name) || seen[c.Name]:
			return fieldErrorf(field+"name",
				"must be unique and consist of letters, digits and hyphens, got %q", c.Name)
		case !(c.Share >= 0 && c.Share <= 1):
			return fieldErrorf(field+"share", "must be between 0 and 1, got %v", c.Share)
		case !(c.PriorityWeight >= 0 && c.PriorityWeight <= 1e6):
			return fieldErrorf(field+"worth", "must be between 0 and 1e6, got %v", c.PriorityWeight)
		}
		seen[c.Name] = true
		sum += c.Share
	}
	if math.Abs(sum-1) > shareTolerance {
		return fieldErrorf("class[0].share", "shares of all classes must add up to 1, got %v", sum)
	}
	return nil
}

func (s *Scenario) validatePlans() error {
	seen := map[string]bool{}
	sum := 0.0
	for i, p := range s.Plans {
		field := fmt.Sprintf("plan[%d].", i)
		if err := checkBounds(field, []bounds{
			{"share", p.Share, 0, 1},
			{"rate", p.Rate, 0.01, 1e6},
			{"burst", p.Burst, maxUnits, 1e7},
			{"ceiling_rate", p.HardLimitRate, 0, 1e6},
			{"ceiling_burst", p.HardLimitBurst, 0, 1e7},
			{"slack", p.HardLimitSlack, 0, 1e7},
			{"price", p.WeightFactor, 0, 1e6},
			{"over_worth", p.OverQuotaValue, 0, 1},
			{"over_cost", p.OverQuotaCost, 0, 100},
		}); err != nil {
			return err
		}
		if !validName(p.Name) || seen[p.Name] {
			return fieldErrorf(field+"name",
				"must be unique and consist of letters, digits and hyphens, got %q", p.Name)
		}
		seen[p.Name] = true
		sum += p.Share
	}
	if math.Abs(sum-1) > shareTolerance {
		return fieldErrorf("plan[0].share", "shares of all plans must add up to 1, got %v", sum)
	}
	return nil
}

// validName reports whether a name consists of letters, digits and hyphens and is not empty.
func validName(name string) bool {
	return name != "" && strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-") == ""
}

func (s *Scenario) validateFault(field string, ft *Fault) error {
	kind, ok := faultKinds[ft.Kind]
	targets := s.Fleet.Nodes
	if kind.target == targetServers {
		targets = s.Fleet.Servers
	}
	switch {
	case !ok:
		return fieldErrorf(field+"kind", "unknown kind %q, must be one of %s", ft.Kind, names(faultKinds))
	case ft.At > s.Duration:
		return fieldErrorf(field+"at",
			"must be at most %v, the run's duration, got %v", time.Duration(s.Duration), time.Duration(ft.At))
	case kind.target == targetZone && ft.Zone == "":
		return fieldErrorf(field+"kind",
			"%s requires a zone, one of %s", ft.Kind, strings.Join(s.Fleet.Zones, ", "))
	case ft.Zone != "" && !slices.Contains(s.Fleet.Zones, ft.Zone):
		return fieldErrorf(field+"zone",
			"unknown zone %q, must be one of %s", ft.Zone, strings.Join(s.Fleet.Zones, ", "))
	case ft.Count < 0 || ft.Count > targets:
		return fieldErrorf(field+"count", "must be between 0 and %d, got %d", targets, ft.Count)
	case ft.Share < 0 || ft.Share > 1:
		return fieldErrorf(field+"share", "must be between 0 and 1, got %v", ft.Share)
	case ft.Kind == FaultSlow && ft.Size < 1:
		return fieldErrorf(field+"kind",
			"slow requires a size of at least 1, the slowdown factor, got %v", ft.Size)
	case slices.Contains([]FaultKind{FaultError, FaultReset, FaultMalformed, FaultPeerLoss}, ft.Kind) && !(ft.Size > 0 && ft.Size <= 1):
		return fieldErrorf(field+"kind",
			"%s requires a size above 0 and at most 1, the affected share, got %v", ft.Kind, ft.Size)
	case ft.Kind == FaultListDelay && ft.Delay <= 0:
		return fieldErrorf(field+"kind",
			"%s requires late, a duration above 0, got %v", ft.Kind, time.Duration(ft.Delay))
	case ft.Kind == FaultListKill && ft.Share != 0 && ft.Share != 1:
		return fieldErrorf(field+"share", "must be 0 (the leader) or 1 (all replicas), got %v", ft.Share)
	case ft.Kind == FaultListKill && s.Fleet.ListReplicas == 0:
		return fieldErrorf(field+"kind",
			"list-kill requires fleet.list_replicas of at least 1 (usually 3 or 5), got 0")
	case strings.HasPrefix(string(ft.Kind), "list-") && ft.Kind != FaultListKill && ft.Kind != FaultListDown && ft.Kind != FaultListDelay && s.Fleet.ListReplicas > 0:
		return fieldErrorf(field+"kind",
			"%s requires the testbed's own list service: leave out fleet.list_replicas, got %d", ft.Kind, s.Fleet.ListReplicas)
	case ft.Kind == FaultListEncoding && !slices.Contains(listEncodings, ft.Effect):
		return fieldErrorf(field+"does",
			"unknown encoding %q, must be one of %s", ft.Effect, strings.Join(listEncodings, ", "))
	case ft.Kind == FaultStall && ft.For <= 0:
		return fieldErrorf(field+"kind",
			"stall requires for, a duration above 0, got %v", time.Duration(ft.For))
	case !slices.Contains([]string{"", "both", "in", "out"}, ft.Direction):
		return fieldErrorf(field+"way", "must be both, in or out, got %q", ft.Direction)
	}
	if ft.Kind == FaultLink {
		return s.validateLink(field, ft)
	}
	return nil
}

// validateLink checks the parties and the effect of a link fault.
func (s *Scenario) validateLink(field string, ft *Fault) error {
	from, err := s.parties(ft.From)
	if err != nil || len(from) == 0 || from[0].kind == partyServer || from[0].kind == partyAgent {
		return fieldErrorf(field+"from", "must be clients, nodes, node:N or zone:Z, got %q", ft.From)
	}
	to, err := s.parties(ft.To)
	if err != nil || len(to) == 0 || to[0].kind == partyClients {
		return fieldErrorf(field+"to",
			"must be nodes, node:N, servers, server:N, zone:Z or agent, got %q", ft.To)
	}
	if from[0].kind == partyClients && to[0].kind != partyNode {
		return fieldErrorf(field+"to", "must be nodes or node:N for links from clients, got %q", ft.To)
	}
	switch ft.Effect {
	case "silence", "reset", "refuse":
	case "loss":
		if !(ft.Size > 0 && ft.Size <= 1) {
			return fieldErrorf(field+"does",
				"loss requires a size above 0 and at most 1, the share lost, got %v", ft.Size)
		}
	case "delay":
		if ft.Delay <= 0 {
			return fieldErrorf(field+"does",
				"delay requires late, a duration above 0, got %v", time.Duration(ft.Delay))
		}
	case "rate":
		if ft.Size < 1 {
			return fieldErrorf(field+"does",
				"rate requires a size of at least 1, in bytes per second, got %v", ft.Size)
		}
	default:
		return fieldErrorf(field+"does",
			"must be silence, reset, refuse, loss, delay or rate, got %q", ft.Effect)
	}
	return nil
}
