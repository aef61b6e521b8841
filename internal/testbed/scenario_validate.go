package testbed

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// fieldError is a value that can't be.
type fieldError struct {
	field string // such as fault[2].zone
	want  string
}

func (e *fieldError) Error() string { return e.field + ": " + e.want }

func fieldErrorf(field, format string, args ...any) error {
	return &fieldError{field, fmt.Sprintf(format, args...)}
}

// bounds are the values that a field may have.
type bounds struct {
	field    string
	got      float64
	min, max float64 // both may be
}

// checkBounds returns an error that names the first field outside its bounds; what is no number is outside.
func checkBounds(prefix string, all []bounds) error {
	for _, b := range all {
		if !(b.got >= b.min && b.got <= b.max) {
			return fieldErrorf(prefix+b.field, "%v is not from %v to %v", b.got, b.min, b.max)
		}
	}
	return nil
}

// validate returns an error that names the first field that can't be.
func (s *Scenario) validate() error {
	s.addDefaults()
	checks := []func() error{
		func() error { return checkBounds("", []bounds{{"duration", s.Duration.s(), 1, 3600}}) },
		s.Fleet.checkBounds,
		s.Load.checkBounds,
		s.validateTogether,
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

// validateTogether checks what depends on more than one field, and names.
func (s *Scenario) validateTogether() error {
	f, l := &s.Fleet, &s.Load
	switch {
	case s.Name == "":
		return fieldErrorf("name", "is empty; a name is wanted")
	case f.ListAgents && f.ListReplicas == 0:
		return fieldErrorf("fleet.list_agents", "wants list_replicas, 3 or 5, that they follow")
	case f.ListPolled && f.ListReplicas > 0:
		return fieldErrorf("fleet.list_asked", "the project's own list service pushes its lists: leave out list_replicas")
	case f.ListCallsPerS > 0 && !f.ListPolled:
		return fieldErrorf("fleet.list_calls_per_s", "is of a service that lists are asked from: set list_asked as well")
	case len(f.Zones) == 0 || len(f.Zones) > 26:
		return fieldErrorf("fleet.zones", "%d zones; 1 to 26 are wanted", len(f.Zones))
	case l.Rate*s.Duration.s() > 5e6:
		return fieldErrorf("load.rate", "%v a second for %v are over 5 million requests", l.Rate, time.Duration(s.Duration))
	}
	return nil
}

func (s *Scenario) validateBursts() error {
	for i, b := range s.Load.Bursts {
		if b.Times <= 0 || b.Times > 100 {
			return fieldErrorf(fmt.Sprintf("load.burst[%d].times", i), "%v is not above 0 and up to 100", b.Times)
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
			return fieldErrorf(field+"figure", "%q is none of %s", e.Figure, names(figureNames))
		}
		if e.Min == nil && e.Max == nil {
			return fieldErrorf(field+"figure", "min or max is wanted beside it")
		}
	}
	return nil
}

// shareTolerance is what shares that make a whole may miss it by.
const shareTolerance = 0.01

func (s *Scenario) validateClasses() error {
	seen := map[string]bool{}
	sum := 0.0
	for i, c := range s.Classes {
		field := fmt.Sprintf("class[%d].", i)
		switch {
		case !plainName(c.Name) || seen[c.Name]:
			return fieldErrorf(field+"name", "%q is not a name of its own of letters, digits and -", c.Name)
		case !(c.Share >= 0 && c.Share <= 1):
			return fieldErrorf(field+"share", "%v is not from 0 to 1", c.Share)
		case !(c.PriorityWeight >= 0 && c.PriorityWeight <= 1e6):
			return fieldErrorf(field+"worth", "%v is not from 0 to 1e6", c.PriorityWeight)
		}
		seen[c.Name] = true
		sum += c.Share
	}
	if math.Abs(sum-1) > shareTolerance {
		return fieldErrorf("class[0].share", "all shares make %v, not 1", sum)
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
		if !plainName(p.Name) || seen[p.Name] {
			return fieldErrorf(field+"name", "%q is not a name of its own of letters, digits and -", p.Name)
		}
		seen[p.Name] = true
		sum += p.Share
	}
	if math.Abs(sum-1) > shareTolerance {
		return fieldErrorf("plan[0].share", "all shares make %v, not 1", sum)
	}
	return nil
}

func plainName(name string) bool {
	return name != "" && strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-") == ""
}

func (s *Scenario) validateFault(field string, ft *Fault) error {
	kind, ok := faultKinds[ft.Kind]
	all := s.Fleet.Nodes
	if kind.target == faultsServers {
		all = s.Fleet.Servers
	}
	switch {
	case !ok:
		return fieldErrorf(field+"kind", "%q is none of %s", ft.Kind, names(faultKinds))
	case ft.At > s.Duration:
		return fieldErrorf(field+"at", "%v is after the run's end", time.Duration(ft.At))
	case kind.target == faultsZone && ft.Zone == "":
		return fieldErrorf(field+"kind", "%s wants a zone", ft.Kind)
	case ft.Zone != "" && !slices.Contains(s.Fleet.Zones, ft.Zone):
		return fieldErrorf(field+"zone", "%q is none of %s", ft.Zone, strings.Join(s.Fleet.Zones, ", "))
	case ft.Count < 0 || ft.Count > all:
		return fieldErrorf(field+"count", "%d is not from 0 to %d", ft.Count, all)
	case ft.Share < 0 || ft.Share > 1:
		return fieldErrorf(field+"share", "%v is not from 0 to 1", ft.Share)
	case ft.Kind == FaultSlow && ft.Size < 1:
		return fieldErrorf(field+"kind", "slow wants a size of 1 or more, times slower")
	case slices.Contains([]FaultKind{FaultError, FaultReset, FaultSpoil, FaultPeerLoss}, ft.Kind) && !(ft.Size > 0 && ft.Size <= 1):
		return fieldErrorf(field+"kind", "%s wants a size above 0 and up to 1, a share", ft.Kind)
	case ft.Kind == FaultListLate && ft.Delay <= 0:
		return fieldErrorf(field+"kind", "%s wants late, a duration", ft.Kind)
	case ft.Kind == FaultListKill && ft.Share != 0 && ft.Share != 1:
		return fieldErrorf(field+"share", "%v is neither 0, for the leader, nor 1, for all", ft.Share)
	case ft.Kind == FaultListKill && s.Fleet.ListReplicas == 0:
		return fieldErrorf(field+"kind", "list-kill wants fleet.list_replicas, 3 or 5")
	case strings.HasPrefix(string(ft.Kind), "list-") && ft.Kind != FaultListKill && ft.Kind != FaultListDown && ft.Kind != FaultListLate && s.Fleet.ListReplicas > 0:
		return fieldErrorf(field+"kind", "%s is of the testbed's own list: leave out fleet.list_replicas", ft.Kind)
	case ft.Kind == FaultListWords && !slices.Contains(listEncodings, ft.Does):
		return fieldErrorf(field+"does", "%q is none of %s", ft.Does, strings.Join(listEncodings, ", "))
	case ft.Kind == FaultStall && ft.For <= 0:
		return fieldErrorf(field+"kind", "stall wants for, a duration")
	case !slices.Contains([]string{"", "both", "in", "out"}, ft.Way):
		return fieldErrorf(field+"way", "%q is none of both, in, out", ft.Way)
	}
	if ft.Kind == FaultLink {
		return s.validateLink(field, ft)
	}
	return nil
}

// validateLink checks the parties of a link and what happens to it.
func (s *Scenario) validateLink(field string, ft *Fault) error {
	from, err := s.parties(ft.From)
	if err != nil || len(from) == 0 || from[0].kind == partyServer || from[0].kind == partyAgent {
		return fieldErrorf(field+"from", "%q is none of clients, nodes, node:N, zone:Z", ft.From)
	}
	to, err := s.parties(ft.To)
	if err != nil || len(to) == 0 || to[0].kind == partyClients {
		return fieldErrorf(field+"to", "%q is none of nodes, node:N, servers, server:N, zone:Z, agent", ft.To)
	}
	if from[0].kind == partyClients && to[0].kind != partyNode {
		return fieldErrorf(field+"to", "clients have links to nodes alone, not to %q", ft.To)
	}
	switch ft.Does {
	case "silence", "reset", "refuse":
	case "loss":
		if !(ft.Size > 0 && ft.Size <= 1) {
			return fieldErrorf(field+"does", "loss wants a size above 0 and up to 1, a share")
		}
	case "delay":
		if ft.Delay <= 0 {
			return fieldErrorf(field+"does", "delay wants late, a duration")
		}
	case "rate":
		if ft.Size < 1 {
			return fieldErrorf(field+"does", "rate wants a size, bytes a second")
		}
	default:
		return fieldErrorf(field+"does", "%q is none of silence, reset, refuse, loss, delay, rate", ft.Does)
	}
	return nil
}
