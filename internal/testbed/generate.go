package testbed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// TargetRules are the rules that a generated scenario may be drawn to strain.
var TargetRules = []string{"drains", "lost", "cold", "ceilings", "twice"}

// Bounds of what is drawn: a fleet that a few cores can carry several of.
const (
	generatedRate     = 140.0 // requests a second
	generatedRelayed  = 40    // app servers at most where links go through relays: there is one for each node and server
	generatedTail     = 5 * time.Second
	generatedFirst    = time.Second
	generatedSettings = 1 // stream of the deployment, apart from the time line's
	generatedFaults   = 2
)

// sampler draws figures of one generated scenario.
type sampler struct{ rng *rand.Rand }

func (d sampler) in(least, most float64) float64 { return least + (most-least)*d.rng.Float64() }
func (d sampler) scale(least, most float64) float64 {
	return math.Exp(d.in(math.Log(least), math.Log(most)))
}
func (d sampler) count(least, most int) int { return least + d.rng.IntN(most-least+1) }
func (d sampler) chance(x float64) bool     { return d.rng.Float64() < x }
func (d sampler) time(least, most time.Duration) Duration {
	return Duration(time.Duration(d.in(float64(least), float64(most))).Round(10 * time.Millisecond))
}

// oneOf draws one of several.
func oneOf[T any](d sampler, all ...T) T { return all[d.rng.IntN(len(all))] }

// shares are parts of 1, to three digits.
func (d sampler) shares(n int) []float64 {
	parts, left := make([]float64, n), 1.0
	for i := range parts[:n-1] {
		parts[i] = math.Round(left*d.in(0.2, 0.8)*1000) / 1000
		left -= parts[i]
	}
	parts[n-1] = math.Round(left*1000) / 1000
	return parts
}

func round(x float64) float64 { return math.Round(x*100) / 100 }

// GenerateScenario draws a deployment within what the platform's protocol describes and a time line of
// faults on it, both by the seed alone. rule is one of TargetRules, or "" for anything.
func GenerateScenario(seed uint64, rule string) (*Scenario, error) {
	if rule != "" && !slices.Contains(TargetRules, rule) {
		return nil, fmt.Errorf("rule: %q is none of %v", rule, TargetRules)
	}
	s := defaults()
	s.Name, s.About = fmt.Sprintf("trial-%d", seed), "drawn by the sweep"
	if rule != "" {
		s.Name += "-" + rule
		s.About += ", aimed at " + rule
	}
	s.deployment(sampler{rand.New(rand.NewPCG(seed, streamGenerated<<8|generatedSettings))}, rule)
	s.timeline(sampler{rand.New(rand.NewPCG(seed, streamGenerated<<8|generatedFaults))}, rule)
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("trial of seed %d: %w", seed, err)
	}
	return &s, nil
}

// deployment draws what runs and what is asked of it. The order of the parts is that of the draws: another would draw
// other scenarios from the same seed.
func (s *Scenario) deployment(d sampler, rule string) {
	s.Fleet.drawSize(d)
	s.Fleet.drawConditions(d)
	s.drawClasses(d)
	s.drawPlans(d, rule)
	s.drawLoad(d)
}

// drawSize draws how many nodes and app servers there are, and what an app server can do.
func (f *Fleet) drawSize(d sampler) {
	f.Nodes = d.count(1, 4)
	if d.chance(0.1) {
		f.Nodes = d.count(8, 12)
	}
	switch x := d.rng.Float64(); {
	case x < 0.35:
		f.Servers = d.count(3, 12)
	case x < 0.75:
		f.Servers = d.count(12, generatedRelayed)
	default:
		f.Servers = d.count(140, 260)
	}
	f.Zones = nil
	for i := range d.count(1, 4) {
		f.Zones = append(f.Zones, fmt.Sprintf("z%d", i))
	}
	f.Cores, f.SlotsPerCore, f.QueuePerCore = d.count(1, 8), d.count(2, 6), d.count(8, 30)
	f.ContentionLoss, f.ContentionFrom = round(d.in(0.04, 0.3)), round(d.in(3, 8))
	f.SlowStartInitialFraction, f.SlowStartDuration = round(d.in(0.16, 0.46)), d.time(5*time.Second, 16*time.Second)
	f.OverloadFactor, f.OverloadWindow = round(d.in(2, 4)), d.time(1500*time.Millisecond, 3*time.Second)
}

// drawConditions draws connections, load reports, discovery, gossip and what a node may use.
func (f *Fleet) drawConditions(d sampler) {
	f.Connections, f.HandshakeWork, f.ConnIdle = f.Cores*d.count(100, 800), d.time(0, 2*time.Millisecond), d.time(2*time.Second, 30*time.Second)
	f.ReportEvery, f.ReportDelay = d.time(100*time.Millisecond, 700*time.Millisecond), d.time(20*time.Millisecond, 300*time.Millisecond)
	f.ListDelay = d.time(50*time.Millisecond, time.Second)
	f.NoGossip, f.PeerMessagesPerSecond, f.PeerLoss, f.PeerDelay = d.chance(0.25), float64(d.count(20, 80)), round(d.in(0, 0.08)), d.time(time.Millisecond, 20*time.Millisecond)
	f.StaleStartList = d.chance(0.5)
	if f.ListPolled = d.chance(0.3); f.ListPolled && d.chance(0.5) {
		f.ListCallsPerS = float64(f.Nodes * d.count(2, 10))
	}
	f.MemoryMB, f.Sockets = d.count(64, 192), d.count(256, 1024)
}

func (s *Scenario) drawClasses(d sampler) {
	s.Classes = nil
	for i, x := range d.shares(d.count(1, 4)) {
		s.Classes = append(s.Classes, Class{Name: fmt.Sprintf("class-%d", i), Share: x, NonIdempotent: d.chance(0.5), PriorityWeight: float64(d.count(1, 6))})
	}
}

func (s *Scenario) drawPlans(d sampler, rule string) {
	s.Plans = nil
	for i, x := range d.shares(d.count(1, 4)) {
		p := Plan{
			Name: fmt.Sprintf("plan-%d", i), Share: x, Rate: round(d.scale(1, 60)), WeightFactor: round(d.in(0.5, 2)), OverQuotaValue: round(d.in(0, 0.2)), OverQuotaCost: round(d.in(0, 1.2)),
		}
		p.Burst = math.Ceil(max(2*maxUnits, p.Rate*d.in(1, 5)))
		if d.chance(0.5) || rule == "ceilings" {
			times := d.in(1.7, 2.5)
			p.HardLimitRate, p.HardLimitBurst = round(p.Rate*times), math.Ceil(max(p.Burst*times, 4*maxUnits))
			p.HardLimitSlack = max(maxUnits, math.Ceil(p.HardLimitBurst/10))
		}
		s.Plans = append(s.Plans, p)
	}
}

func (s *Scenario) drawLoad(d sampler) {
	f, l := &s.Fleet, &s.Load
	l.WorkMS = math.Round(d.scale(15, 150))
	l.Rate = math.Ceil(min(generatedRate, d.in(0.2, 0.7)*float64(f.Servers*f.Cores)*1000/l.WorkMS))
	l.Deadline = d.time(400*time.Millisecond, 4*time.Second)
	l.LatencyObjective = Duration(time.Duration(float64(l.Deadline) * d.in(0.2, 0.7)).Round(10 * time.Millisecond))
	l.Retries, l.RetryAfterShare, l.MarkRetry = d.count(0, 3), round(d.in(0.3, 1)), d.chance(0.5)
	l.Skew, l.EntryNodeShare, l.OverQuotaTenants = round(d.in(0, 1.5)), round(d.in(0, 1)), round(d.in(0, 0.15))
	l.FailureDetection, l.ShiftEvery = d.time(500*time.Millisecond, 3*time.Second), d.time(3*time.Second, 20*time.Second)
}

// timeline draws what goes wrong: a few troubles, each of one fault or of several that belong
// together, and the end of the run far enough behind the last.
func (s *Scenario) timeline(d sampler, rule string) {
	kinds := map[string][]func(sampler, Duration){
		"drains":   {s.drains},
		"lost":     {s.restarts, s.restarts, s.servers, s.lists},
		"cold":     {s.colds, s.colds, s.lists},
		"ceilings": {s.peers, s.restarts, s.bursts},
		"twice":    {s.servers, s.servers, s.restarts},
	}
	all := kinds[rule]
	if rule == "" {
		all = []func(sampler, Duration){s.drains, s.lists, s.restarts, s.servers, s.colds, s.peers, s.bursts, s.cuts}
	}
	at := d.time(generatedFirst, 3*time.Second)
	for range d.count(1, 3) {
		all[d.rng.IntN(len(all))](d, at)
		at += d.time(300*time.Millisecond, 2500*time.Millisecond)
	}
	last := at
	for _, ft := range s.Faults {
		last = max(last, ft.At+ft.For)
		if ft.Kind == FaultListSilent {
			last = max(last, ft.At+Duration(silentWatchGrace))
		}
	}
	for _, b := range s.Load.Bursts {
		last = max(last, b.At+b.For)
	}
	s.Duration = last + Duration(generatedTail)
}

func (s *Scenario) addFault(ft Fault) { s.Faults = append(s.Faults, ft) }

// lists disturbs the way to the list.
func (s *Scenario) lists(d sampler, at Duration) {
	switch d.rng.IntN(8) {
	case 0, 1:
		s.addFault(Fault{At: at, Kind: FaultListReset})
	case 2, 3:
		s.addFault(Fault{At: at, Kind: FaultListSilent})
	case 4:
		s.addFault(Fault{At: at, Kind: FaultListDown, For: d.time(500*time.Millisecond, 5*time.Second)})
	case 5:
		s.addFault(Fault{At: at, Kind: FaultReload, Share: 1})
	case 6:
		s.addFault(Fault{At: at, Kind: FaultListWords, For: d.time(3*time.Second, 8*time.Second), Does: oneOf(d, listEncodings...)})
	default:
		s.addFault(Fault{At: at, Kind: FaultListLate, For: d.time(time.Second, 5*time.Second), Delay: d.time(100*time.Millisecond, 2*time.Second)})
	}
}

// drains has app servers drain behind a disturbance of the list, or within one.
func (s *Scenario) drains(d sampler, at Duration) {
	s.lists(d, at)
	last := s.Faults[len(s.Faults)-1]
	drain := Fault{Kind: FaultDrain, At: at + d.time(0, 3*time.Second), Share: round(d.in(0.2, 0.75))}
	if last.For > 0 && d.chance(0.5) { // into its end
		drain.At = at + last.For - Duration(d.in(0, float64(min(last.For, Duration(time.Second)))))
	}
	if d.chance(0.3) {
		drain.Step = d.time(0, 100*time.Millisecond)
	}
	s.addFault(drain)
	if d.chance(0.3) && !s.endsNodes() {
		s.addFault(Fault{Kind: oneOf(d, FaultKill, FaultRestart), At: at + d.time(0, 2*time.Second), For: d.time(300*time.Millisecond, 2*time.Second), Count: 1})
	}
}

// endsNodes tells whether a fault ends or stops nodes already: two at once would have a node run twice.
func (s *Scenario) endsNodes() bool {
	return slices.ContainsFunc(s.Faults, func(ft Fault) bool { return slices.Contains([]FaultKind{FaultKill, FaultRestart, FaultStall}, ft.Kind) })
}

// restarts ends and starts nodes, or stops them.
func (s *Scenario) restarts(d sampler, at Duration) {
	if s.endsNodes() {
		s.servers(d, at)
		return
	}
	switch d.rng.IntN(4) {
	case 0:
		s.addFault(Fault{At: at, Kind: FaultKill, For: d.time(300*time.Millisecond, 3*time.Second), Share: round(d.in(0.2, 0.8))})
	case 1:
		s.addFault(Fault{At: at, Kind: FaultStall, For: d.time(200*time.Millisecond, 2*time.Second), Count: 1})
	default:
		s.addFault(Fault{At: at, Kind: FaultRestart, Share: 1, Step: d.time(300*time.Millisecond, 1500*time.Millisecond)})
		if d.chance(0.6) {
			s.addFault(Fault{At: at, Kind: FaultHang, For: d.time(2*time.Second, 6*time.Second), Share: round(d.in(0.2, 0.5))})
		}
	}
}

// servers has app servers misbehave.
func (s *Scenario) servers(d sampler, at Duration) {
	ft := Fault{At: at, For: d.time(time.Second, 6*time.Second), Share: round(d.in(0.05, 0.5)), Kind: oneOf(d, FaultSlow, FaultHang, FaultError, FaultReset, FaultSpoil, FaultDead)}
	switch ft.Kind {
	case FaultSlow:
		ft.Size = round(d.in(2, 10))
	case FaultError, FaultReset, FaultSpoil:
		ft.Size = round(d.in(0.05, 0.6))
	}
	s.addFault(ft)
}

// colds replaces app servers by cold ones.
func (s *Scenario) colds(d sampler, at Duration) {
	s.addFault(Fault{At: at, Kind: FaultReplace, Share: round(d.in(0.1, 0.6)), Step: d.time(0, 300*time.Millisecond)})
	if d.chance(0.4) {
		s.bursts(d, at+d.time(0, time.Second))
	}
}

// peers disturbs what nodes tell one another.
func (s *Scenario) peers(d sampler, at Duration) {
	s.addFault(Fault{At: at, Kind: FaultPeerLoss, For: d.time(time.Second, 6*time.Second), Size: round(d.in(0.3, 1))})
}

func (s *Scenario) bursts(d sampler, at Duration) {
	s.Load.Bursts = append(s.Load.Bursts, Burst{At: at, For: d.time(500*time.Millisecond, 4*time.Second), Times: round(d.in(1.3, 2.5))})
}

// cuts parts a zone from the others, or loses its app servers.
func (s *Scenario) cuts(d sampler, at Duration) {
	zone := oneOf(d, s.Fleet.Zones...)
	last := d.time(time.Second, 5*time.Second)
	if s.Fleet.Servers > generatedRelayed || len(s.Fleet.Zones) == 1 || d.chance(0.4) {
		s.addFault(Fault{At: at, Kind: FaultLoseZone, Zone: zone, For: last})
		return
	}
	s.addFault(Fault{At: at, Kind: FaultCutZone, Zone: zone, For: last, Way: oneOf(d, "both", "in", "out")})
}
