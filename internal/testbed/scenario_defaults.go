package testbed

import (
	"time"
)

// addDefaults adds the default classes and plans if the scenario has none.
func (s *Scenario) addDefaults() {
	if len(s.Classes) == 0 {
		s.Classes = []Class{{Name: "price-check", Share: 1 - s.Load.NonIdempotentShare, PriorityWeight: 3}, {Name: "quote-issue", Share: s.Load.NonIdempotentShare, NonIdempotent: true, PriorityWeight: 5}}
	}
	if len(s.Plans) == 0 {
		s.Plans = []Plan{
			{Name: "petit", Rate: 2.6, Burst: 16, WeightFactor: 0.72, OverQuotaValue: 0.2, Share: 0.28},
			{Name: "moyen", Rate: 14, Burst: 29, WeightFactor: 1.1, OverQuotaCost: 1, Share: 0.38},
			{Name: "grand", Rate: 60, Burst: 97, WeightFactor: 1.8, OverQuotaCost: 0.8, HardLimitRate: 120, HardLimitBurst: 194, HardLimitSlack: 19.4, Share: 0.34},
		}
	}
}

// defaults returns a scenario with a fleet small enough for any machine.
func defaults() Scenario {
	s := Scenario{
		Duration: Duration(20 * time.Second),
		Fleet: Fleet{
			Nodes: 4, Servers: 12, Zones: []string{"a", "b", "c"}, Cores: 4, SlotsPerCore: 4, QueuePerCore: 16,
			ContentionLoss: 0.2, ContentionFrom: 5, SlowStartInitialFraction: 0.3, SlowStartDuration: Duration(10 * time.Second), OverloadFactor: 2.5, OverloadWindow: Duration(3 * time.Second),
			Connections: 600, HandshakeWork: Duration(time.Millisecond), ConnIdle: Duration(15 * time.Second),
			ReportEvery: Duration(200 * time.Millisecond), ReportDelay: Duration(50 * time.Millisecond), ListDelay: Duration(time.Second),
			PeerMessagesPerSecond: 40, PeerLoss: 0.01, PeerDelay: Duration(2 * time.Millisecond), MemoryMB: 192, Sockets: 1024,
		},
		Load: Load{
			Rate: 150, WorkMS: 100, LatencyObjective: Duration(time.Second), Deadline: Duration(4 * time.Second), Retries: 1, RetryAfterShare: 0.7,
			MarkRetry: true, NonIdempotentShare: 0.36, Skew: 0.5, OverQuotaTenants: 0.08, FailureDetection: Duration(time.Second), ShiftEvery: Duration(15 * time.Second),
		},
	}
	s.addDefaults()
	return s
}

// Demo returns a scenario with a small fleet and light load. The duration must be between 1 s and 1 h.
func Demo(duration time.Duration) (*Scenario, error) {
	s := defaults()
	s.Name, s.About, s.Duration = "up", "A small fleet with light load", Duration(duration)
	s.Load.Rate = 100
	if err := s.validate(); err != nil {
		return nil, err
	}
	return &s, nil
}
