package testbed

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is a time.Duration that TOML writes as a string such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration that is not negative.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is not a duration such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func (d Duration) s() float64 { return time.Duration(d).Seconds() }

// Scenario is one experiment: what runs, what is asked of it, what goes wrong when, and
// what must come of it.
type Scenario struct {
	Name     string   `toml:"name"`
	About    string   `toml:"about"`
	Duration Duration `toml:"duration"` // arrivals stop then; what is open is still played
	Fleet    Fleet    `toml:"fleet"`
	Load     Load     `toml:"load"`
	Classes  []Class  `toml:"class"` // none: one that is safe to repeat and one that is not
	Plans    []Plan   `toml:"plan"`  // none: the three of the platform's deployment
	Faults   []Fault  `toml:"fault"`
	Expect   []Expect `toml:"expect"`
}

// Class is a class of requests.
type Class struct {
	Name   string  `toml:"name"`
	Share  float64 `toml:"share"`  // of the requests
	Unsafe bool    `toml:"unsafe"` // must never run twice
	Worth  float64 `toml:"worth"`
}

// method is the one that the class's clients use.
func (c *Class) method() string {
	if c.Unsafe {
		return "POST"
	}
	return "GET"
}

// Plan is a customer's contract. Rates are units a second.
type Plan struct {
	Name         string  `toml:"name"`
	Share        float64 `toml:"share"` // of the use inside quotas
	Rate         float64 `toml:"rate"`
	Burst        float64 `toml:"burst"`
	CeilingRate  float64 `toml:"ceiling_rate"` // 0: none
	CeilingBurst float64 `toml:"ceiling_burst"`
	Slack        float64 `toml:"slack"`
	Price        float64 `toml:"price"`
	OverWorth    float64 `toml:"over_worth"`
	OverCost     float64 `toml:"over_cost"`
}

// complete puts in the classes and plans that are not written.
func (s *Scenario) complete() {
	if len(s.Classes) == 0 {
		s.Classes = []Class{{Name: "price-check", Share: 1 - s.Load.Unsafe, Worth: 3}, {Name: "quote-issue", Share: s.Load.Unsafe, Unsafe: true, Worth: 5}}
	}
	if len(s.Plans) == 0 {
		s.Plans = []Plan{
			{Name: "petit", Rate: 2.6, Burst: 16, Price: 0.72, OverWorth: 0.2, Share: 0.28},
			{Name: "moyen", Rate: 14, Burst: 29, Price: 1.1, OverCost: 1, Share: 0.38},
			{Name: "grand", Rate: 60, Burst: 97, Price: 1.8, OverCost: 0.8, CeilingRate: 120, CeilingBurst: 194, Slack: 19.4, Share: 0.34},
		}
	}
}

// Fleet is the edge nodes and the app servers behind them.
type Fleet struct {
	Nodes         int      `toml:"nodes"`
	Servers       int      `toml:"servers"`
	Zones         []string `toml:"zones"` // nodes and servers are dealt round these
	Cores         int      `toml:"cores"` // of an app server
	SlotsPerCore  int      `toml:"slots_per_core"`
	QueuePerCore  int      `toml:"queue_per_core"`
	Thrash        float64  `toml:"thrash"`    // share of efficiency lost for each slot's worth held beyond thrash_at
	ThrashAt      float64  `toml:"thrash_at"` // requests held per core from which efficiency falls
	ColdFrom      float64  `toml:"cold_from"` // share of its capacity that a started server has
	Ramp          Duration `toml:"ramp"`      // time in which it becomes warm
	FallMultiple  float64  `toml:"fall_multiple"`
	FallFor       Duration `toml:"fall_for"`
	Connections   int      `toml:"connections"`    // that one app server takes
	HandshakeWork Duration `toml:"handshake_work"` // core time that a new connection costs
	ConnIdle      Duration `toml:"conn_idle"`
	ReportEvery   Duration `toml:"report_every"`
	ReportLate    Duration `toml:"report_late"`
	ListLate      Duration `toml:"list_late"`        // from a change at a server to the agents' telling it
	ListReplicas  int      `toml:"list_replicas"`    // of the project's own list service; 0: the lab keeps the list
	ListAgents    bool     `toml:"list_agents"`      // the project's own agent stands between its list service and each node
	ListAsked     bool     `toml:"list_asked"`       // lists are asked for, from one service for all nodes; else an agent pushes them
	ListCallsPerS float64  `toml:"list_calls_per_s"` // that this service answers; 0: any number
	StaleKnown    bool     `toml:"stale_known"`      // a process starts with the list of the run's start
	NoPeers       bool     `toml:"no_peers"`         // nodes may not message one another
	InboxPerS     float64  `toml:"inbox_per_s"`      // datagrams that a node takes in
	PeerLoss      float64  `toml:"peer_loss"`
	PeerDelay     Duration `toml:"peer_delay"`
	CrossDelay    Duration `toml:"cross_delay"` // one way between zones; needs the relays
	MemoryMB      int      `toml:"memory_mb"`
	Sockets       int      `toml:"sockets"`
}

// Load is what clients ask.
type Load struct {
	Rate       float64  `toml:"rate"`     // requests a second inside the quotas
	WorkMS     float64  `toml:"work_ms"`  // core time of a request, on average
	Aim        Duration `toml:"aim"`      // an answer is wanted by then
	Deadline   Duration `toml:"deadline"` // a client waits no longer over all its tries
	Retries    int      `toml:"retries"`
	Honour     float64  `toml:"honour"` // share of clients that keep to Retry-After
	MarkRetry  bool     `toml:"mark_retry"`
	Unsafe     float64  `toml:"unsafe"` // share of requests that must never run twice
	Skew       float64  `toml:"skew"`   // how unevenly a customer's requests spread over its nodes, 0 for evenly
	Spread     float64  `toml:"spread"` // share of the nodes that a customer's requests come through; 0: two to four nodes
	Heavy      float64  `toml:"heavy"`  // share of customers that ask three times their quota
	FrontSees  Duration `toml:"front_sees"`
	ShiftEvery Duration `toml:"shift_every"` // how often a customer's busiest node changes
	Bursts     []Burst  `toml:"burst"`
}

// Burst multiplies the rate for a while.
type Burst struct {
	At    Duration `toml:"at"`
	For   Duration `toml:"for"`
	Times float64  `toml:"times"`
}

// Fault is one thing that goes wrong, or ends to.
type Fault struct {
	At    Duration `toml:"at"`
	For   Duration `toml:"for"` // 0: for the rest of the run
	Kind  string   `toml:"kind"`
	Zone  string   `toml:"zone"`  // of the zone faults, or to choose targets from
	Count int      `toml:"count"` // targets; 0 with no share: one
	Share float64  `toml:"share"` // targets as a share of all
	Size  float64  `toml:"size"`  // times slower, or the share of requests or datagrams hit
	Step  Duration `toml:"step"`  // from one target to the next
	Late  Duration `toml:"late"`  // of list-late and delay
	Way   string   `toml:"way"`   // of cuts: both, in, out, seen from the zone or node
	From  string   `toml:"from"`  // of links: clients, node:N, nodes, zone:Z
	To    string   `toml:"to"`    // of links: node:N, nodes, server:N, servers, zone:Z, agent
	Does  string   `toml:"does"`  // of links: silence, reset, refuse, loss, delay, rate; of list-words: indent, trickle, half, noise, entry
}

// Expect is a bound on a figure of the run.
type Expect struct {
	Figure string   `toml:"figure"`
	Min    *float64 `toml:"min"`
	Max    *float64 `toml:"max"`
	From   Duration `toml:"from"` // of the arrivals that count
	To     Duration `toml:"to"`   // 0: to the end
}

// Kinds of faults: what they are aimed at, and whether the links must go through relays.
var faultKinds = map[string]struct {
	target string
	relays bool
	about  string
}{
	"kill":        {"nodes", false, "SIGKILL; started again after `for`, under the same name"},
	"restart":     {"nodes", false, "SIGTERM one after another, started again when it has ended"},
	"stall":       {"nodes", false, "SIGSTOP, SIGCONT after `for`"},
	"hup":         {"nodes", false, "a new configuration that moves discovery, then SIGHUP"},
	"slow":        {"servers", false, "`size` times slower"},
	"hang":        {"servers", false, "takes requests, answers none"},
	"error":       {"servers", false, "answers a share `size` with 500"},
	"reset":       {"servers", false, "resets a share `size` under the request"},
	"spoil":       {"servers", false, "spoils a share `size` of its answers"},
	"dead":        {"servers", false, "refuses connections and resets those it has; cold afterwards"},
	"drain":       {"servers", false, "drains for `for`, then is gone"},
	"replace":     {"servers", false, "gone, and a cold one with a new id at the same address"},
	"cut-zone":    {"zone", true, "no packet between the zone and the others"},
	"lose-zone":   {"zone", false, "the zone's app servers die and return cold"},
	"cut-node":    {"nodes", true, "no packet between a node and servers and peers"},
	"link":        {"all", true, "the link `from` a party `to` another, that way alone: `does` silence, reset, refuse, loss (`size`), delay (`late`) or rate (`size` bytes a second)"},
	"peer-loss":   {"all", false, "a share `size` of the datagrams is lost"},
	"list-late":   {"all", false, "discovery tells `late` later"},
	"list-down":   {"all", false, "agents stay silent and take no watch"},
	"list-reset":  {"all", false, "the open watches are reset"},
	"list-silent": {"all", false, "nothing comes on the open watches any more"},
	"list-words":  {"all", false, "changes are told as `does` says: indent, over many lines; trickle, in small pieces; half, without an end; noise; entry, with a spoilt one beside"},
	"list-kill":   {"all", false, "SIGKILL of the list service's leader, or of all replicas where `share` is 1; started again after `for`"},
}

// Figures that an expect line may name, and what they are.
var figureNames = map[string]string{
	"goodput":        "worth answered within the aim, as a share of the worth asked inside quotas",
	"served":         "share of the first tries whose client got an answer, at whichever try",
	"refused":        "share of the tries refused",
	"refused_room":   "share of the tries refused while half of the quota was unused",
	"failed":         "share of the tries failed",
	"beyond_quota":   "share of the units sent on that were beyond quotas",
	"answers":        "number of answers",
	"violations":     "rules broken",
	"crashes":        "processes that ended and were not told to",
	"p50_ms":         "median time from due to answer, of what was served",
	"p99_ms":         "99th percentile of the same",
	"slack_ms":       "most that the machine withheld from the lab and a node, by which time limits were widened",
	"lateness_ms":    "99th percentile of how late the generator sent",
	"datagrams_lost": "share of the datagrams between nodes that did not arrive",
	"connections":    "new connections to app servers for each try",
	"memory_mb":      "largest resident memory of a node",
	"cpu_us":         "CPU time of the nodes for each try",
	"servers_fell":   "cold app servers that were sent too much and fell over",
	"worst_second":   "lowest share of first tries served of any whole second with arrivals",
	"restored_nodes": "nodes that answer at the end",
	"lists_right":    "share of the nodes that were told of the list as it is at the end",
	"versions_back":  "messages that took a node's list back to an earlier version",
	"list_p50_ms":    "median time from a change's being written to a node's being told",
	"list_p99_ms":    "99th percentile of the same",
	"list_max_ms":    "the longest of the same",
}

// defaults is a small fleet that any machine carries.
func defaults() Scenario {
	s := Scenario{
		Duration: Duration(20 * time.Second),
		Fleet: Fleet{
			Nodes: 4, Servers: 12, Zones: []string{"a", "b", "c"}, Cores: 4, SlotsPerCore: 4, QueuePerCore: 16,
			Thrash: 0.2, ThrashAt: 5, ColdFrom: 0.3, Ramp: Duration(10 * time.Second), FallMultiple: 2.5, FallFor: Duration(3 * time.Second),
			Connections: 600, HandshakeWork: Duration(time.Millisecond), ConnIdle: Duration(15 * time.Second),
			ReportEvery: Duration(200 * time.Millisecond), ReportLate: Duration(50 * time.Millisecond), ListLate: Duration(time.Second),
			InboxPerS: 40, PeerLoss: 0.01, PeerDelay: Duration(2 * time.Millisecond), MemoryMB: 192, Sockets: 1024,
		},
		Load: Load{
			Rate: 150, WorkMS: 100, Aim: Duration(time.Second), Deadline: Duration(4 * time.Second), Retries: 1, Honour: 0.7,
			MarkRetry: true, Unsafe: 0.36, Skew: 0.5, Heavy: 0.08, FrontSees: Duration(time.Second), ShiftEvery: Duration(15 * time.Second),
		},
	}
	s.complete()
	return s
}

// Demo is a small fleet with light load, for at most so long.
func Demo(last time.Duration) (*Scenario, error) {
	s := defaults()
	s.Name, s.About, s.Duration = "up", "A small fleet with light load", Duration(last)
	s.Load.Rate = 100
	if err := s.validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

// LoadScenario reads a scenario file. An error names the file, the line, the field and what
// was expected.
func LoadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return ParseScenario(path, text)
}

// ParseScenario is LoadScenario for a text; name stands for the file in errors.
func ParseScenario(name string, text []byte) (*Scenario, error) {
	s := defaults()
	s.Classes, s.Plans = nil, nil // what the file says of these takes the place of all
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
			row, _ := unknown.Errors[0].Position()
			return nil, fmt.Errorf("%s:%d: %s: no such key", name, row, strings.Join(unknown.Errors[0].Key(), "."))
		}
		var at *toml.DecodeError
		if errors.As(err, &at) {
			row, col := at.Position()
			return nil, fmt.Errorf("%s:%d:%d: %s: %w", name, row, col, strings.Join(at.Key(), "."), err)
		}
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if err := s.validate(); err != nil {
		var f *fieldError
		if errors.As(err, &f) {
			if line := lineOf(text, f.field); line > 0 {
				return nil, fmt.Errorf("%s:%d: %w", name, line, err)
			}
		}
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &s, nil
}

// fieldError is a value that can't be.
type fieldError struct {
	field string // such as fault[2].zone
	want  string
}

func (e *fieldError) Error() string { return e.field + ": " + e.want }

func wrong(field, format string, args ...any) error {
	return &fieldError{field, fmt.Sprintf(format, args...)}
}

// validate returns an error that names the first field that can't be.
func (s *Scenario) validate() error {
	s.complete()
	f, l := &s.Fleet, &s.Load
	for _, c := range []struct {
		field       string
		got         float64
		least, most float64
	}{
		{"duration", s.Duration.s(), 1, 3600},
		{"fleet.nodes", float64(f.Nodes), 1, 1024},
		{"fleet.servers", float64(f.Servers), 1, 1024},
		{"fleet.cores", float64(f.Cores), 1, 1024},
		{"fleet.slots_per_core", float64(f.SlotsPerCore), 1, 1000},
		{"fleet.queue_per_core", float64(f.QueuePerCore), 0, 10000},
		{"fleet.thrash", f.Thrash, 0, 1},
		{"fleet.thrash_at", f.ThrashAt, 1, 1000},
		{"fleet.cold_from", f.ColdFrom, 0.01, 1},
		{"fleet.ramp", f.Ramp.s(), 0, 3600},
		{"fleet.fall_multiple", f.FallMultiple, 1, 100},
		{"fleet.fall_for", f.FallFor.s(), 0.1, 60},
		{"fleet.connections", float64(f.Connections), 1, 1e6},
		{"fleet.handshake_work", f.HandshakeWork.s(), 0, 1},
		{"fleet.conn_idle", f.ConnIdle.s(), 0.1, 3600},
		{"fleet.report_every", f.ReportEvery.s(), 0, 60},
		{"fleet.report_late", f.ReportLate.s(), 0, 60},
		{"fleet.list_late", f.ListLate.s(), 0, 60},
		{"fleet.list_replicas", float64(f.ListReplicas), 0, 7},
		{"fleet.list_calls_per_s", f.ListCallsPerS, 0, 1e6},
		{"fleet.inbox_per_s", f.InboxPerS, 1, 1e6},
		{"fleet.peer_loss", f.PeerLoss, 0, 1},
		{"fleet.peer_delay", f.PeerDelay.s(), 0, 1},
		{"fleet.cross_delay", f.CrossDelay.s(), 0, 1},
		{"fleet.memory_mb", float64(f.MemoryMB), 16, 1 << 20},
		{"fleet.sockets", float64(f.Sockets), 64, 1 << 20},
		{"load.rate", l.Rate, 0.1, 100000},
		{"load.work_ms", l.WorkMS, 0.01, 10000},
		{"load.aim", l.Aim.s(), 0.01, 60},
		{"load.deadline", l.Deadline.s(), l.Aim.s(), 60},
		{"load.retries", float64(l.Retries), 0, 10},
		{"load.honour", l.Honour, 0, 1},
		{"load.unsafe", l.Unsafe, 0, 1},
		{"load.skew", l.Skew, 0, 5},
		{"load.heavy", l.Heavy, 0, 1},
		{"load.spread", l.Spread, 0, 1},
		{"load.front_sees", l.FrontSees.s(), 0, 60},
		{"load.shift_every", l.ShiftEvery.s(), 0.1, 3600},
	} {
		if !(c.got >= c.least && c.got <= c.most) {
			return wrong(c.field, "%v is not from %v to %v", c.got, c.least, c.most)
		}
	}
	switch {
	case s.Name == "":
		return wrong("name", "is empty; a name is wanted")
	case f.ListAgents && f.ListReplicas == 0:
		return wrong("fleet.list_agents", "wants list_replicas, 3 or 5, that they follow")
	case f.ListAsked && f.ListReplicas > 0:
		return wrong("fleet.list_asked", "the project's own list service pushes its lists: leave out list_replicas")
	case f.ListCallsPerS > 0 && !f.ListAsked:
		return wrong("fleet.list_calls_per_s", "is of a service that lists are asked from: set list_asked as well")
	case len(f.Zones) == 0 || len(f.Zones) > 26:
		return wrong("fleet.zones", "%d zones; 1 to 26 are wanted", len(f.Zones))
	case l.Rate*s.Duration.s() > 5e6:
		return wrong("load.rate", "%v a second for %v are over 5 million requests", l.Rate, time.Duration(s.Duration))
	}
	if err := s.validateTiers(); err != nil {
		return err
	}
	for i, b := range l.Bursts {
		if b.Times <= 0 || b.Times > 100 {
			return wrong(fmt.Sprintf("load.burst[%d].times", i), "%v is not above 0 and up to 100", b.Times)
		}
	}
	for i := range s.Faults {
		if err := s.validateFault(fmt.Sprintf("fault[%d].", i), &s.Faults[i]); err != nil {
			return err
		}
	}
	for i, e := range s.Expect {
		field := fmt.Sprintf("expect[%d].", i)
		if _, ok := figureNames[e.Figure]; !ok {
			return wrong(field+"figure", "%q is none of %s", e.Figure, names(figureNames))
		}
		if e.Min == nil && e.Max == nil {
			return wrong(field+"figure", "min or max is wanted beside it")
		}
	}
	return nil
}

// validateTiers checks classes and plans.
func (s *Scenario) validateTiers() error {
	seen := map[string]bool{}
	sum := 0.0
	for i, c := range s.Classes {
		field := fmt.Sprintf("class[%d].", i)
		switch {
		case !plainName(c.Name) || seen[c.Name]:
			return wrong(field+"name", "%q is not a name of its own of letters, digits and -", c.Name)
		case !(c.Share >= 0 && c.Share <= 1):
			return wrong(field+"share", "%v is not from 0 to 1", c.Share)
		case !(c.Worth >= 0 && c.Worth <= 1e6):
			return wrong(field+"worth", "%v is not from 0 to 1e6", c.Worth)
		}
		seen[c.Name] = true
		sum += c.Share
	}
	if math.Abs(sum-1) > 0.01 {
		return wrong("class[0].share", "all shares make %v, not 1", sum)
	}
	clear(seen)
	sum = 0
	for i, p := range s.Plans {
		field := fmt.Sprintf("plan[%d].", i)
		for _, c := range []struct {
			field       string
			got         float64
			least, most float64
		}{
			{"share", p.Share, 0, 1},
			{"rate", p.Rate, 0.01, 1e6},
			{"burst", p.Burst, mostUnits, 1e7},
			{"ceiling_rate", p.CeilingRate, 0, 1e6},
			{"ceiling_burst", p.CeilingBurst, 0, 1e7},
			{"slack", p.Slack, 0, 1e7},
			{"price", p.Price, 0, 1e6},
			{"over_worth", p.OverWorth, 0, 1},
			{"over_cost", p.OverCost, 0, 100},
		} {
			if !(c.got >= c.least && c.got <= c.most) {
				return wrong(field+c.field, "%v is not from %v to %v", c.got, c.least, c.most)
			}
		}
		if !plainName(p.Name) || seen[p.Name] {
			return wrong(field+"name", "%q is not a name of its own of letters, digits and -", p.Name)
		}
		seen[p.Name] = true
		sum += p.Share
	}
	if math.Abs(sum-1) > 0.01 {
		return wrong("plan[0].share", "all shares make %v, not 1", sum)
	}
	return nil
}

func plainName(name string) bool {
	return name != "" && strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-") == ""
}

func (s *Scenario) validateFault(field string, ft *Fault) error {
	kind, ok := faultKinds[ft.Kind]
	all := s.Fleet.Nodes
	if kind.target == "servers" {
		all = s.Fleet.Servers
	}
	switch {
	case !ok:
		return wrong(field+"kind", "%q is none of %s", ft.Kind, names(faultKinds))
	case ft.At > s.Duration:
		return wrong(field+"at", "%v is after the run's end", time.Duration(ft.At))
	case kind.target == "zone" && ft.Zone == "":
		return wrong(field+"kind", "%s wants a zone", ft.Kind)
	case ft.Zone != "" && !slices.Contains(s.Fleet.Zones, ft.Zone):
		return wrong(field+"zone", "%q is none of %s", ft.Zone, strings.Join(s.Fleet.Zones, ", "))
	case ft.Count < 0 || ft.Count > all:
		return wrong(field+"count", "%d is not from 0 to %d", ft.Count, all)
	case ft.Share < 0 || ft.Share > 1:
		return wrong(field+"share", "%v is not from 0 to 1", ft.Share)
	case ft.Kind == "slow" && ft.Size < 1:
		return wrong(field+"kind", "slow wants a size of 1 or more, times slower")
	case slices.Contains([]string{"error", "reset", "spoil", "peer-loss"}, ft.Kind) && !(ft.Size > 0 && ft.Size <= 1):
		return wrong(field+"kind", "%s wants a size above 0 and up to 1, a share", ft.Kind)
	case ft.Kind == "list-late" && ft.Late <= 0:
		return wrong(field+"kind", "%s wants late, a duration", ft.Kind)
	case ft.Kind == "list-kill" && ft.Share != 0 && ft.Share != 1:
		return wrong(field+"share", "%v is neither 0, for the leader, nor 1, for all", ft.Share)
	case ft.Kind == "list-kill" && s.Fleet.ListReplicas == 0:
		return wrong(field+"kind", "list-kill wants fleet.list_replicas, 3 or 5")
	case strings.HasPrefix(ft.Kind, "list-") && ft.Kind != "list-kill" && ft.Kind != "list-down" && ft.Kind != "list-late" && s.Fleet.ListReplicas > 0:
		return wrong(field+"kind", "%s is of the lab's own list: leave out fleet.list_replicas", ft.Kind)
	case ft.Kind == "list-words" && !slices.Contains(listWords, ft.Does):
		return wrong(field+"does", "%q is none of %s", ft.Does, strings.Join(listWords, ", "))
	case ft.Kind == "stall" && ft.For <= 0:
		return wrong(field+"kind", "stall wants for, a duration")
	case !slices.Contains([]string{"", "both", "in", "out"}, ft.Way):
		return wrong(field+"way", "%q is none of both, in, out", ft.Way)
	}
	if ft.Kind == "link" {
		return s.validateLink(field, ft)
	}
	return nil
}

// validateLink checks the parties of a link and what happens to it.
func (s *Scenario) validateLink(field string, ft *Fault) error {
	from, err := s.parties(ft.From)
	if err != nil || len(from) == 0 || from[0].kind == "server" || from[0].kind == "agent" {
		return wrong(field+"from", "%q is none of clients, nodes, node:N, zone:Z", ft.From)
	}
	to, err := s.parties(ft.To)
	if err != nil || len(to) == 0 || to[0].kind == "clients" {
		return wrong(field+"to", "%q is none of nodes, node:N, servers, server:N, zone:Z, agent", ft.To)
	}
	if from[0].kind == "clients" && to[0].kind != "node" {
		return wrong(field+"to", "clients have links to nodes alone, not to %q", ft.To)
	}
	switch ft.Does {
	case "silence", "reset", "refuse":
	case "loss":
		if !(ft.Size > 0 && ft.Size <= 1) {
			return wrong(field+"does", "loss wants a size above 0 and up to 1, a share")
		}
	case "delay":
		if ft.Late <= 0 {
			return wrong(field+"does", "delay wants late, a duration")
		}
	case "rate":
		if ft.Size < 1 {
			return wrong(field+"does", "rate wants a size, bytes a second")
		}
	default:
		return wrong(field+"does", "%q is none of silence, reset, refuse, loss, delay, rate", ft.Does)
	}
	return nil
}

// party is an end of a link.
type party struct {
	kind   string // clients, node, server, agent
	number int
}

// parties lists who a name in a scenario stands for. A zone is its nodes and its servers.
func (s *Scenario) parties(name string) ([]party, error) {
	kind, arg, _ := strings.Cut(name, ":")
	all := func(kind string, n int, zone string) (ps []party) {
		for _, i := range s.Fleet.inZone(n, zone) {
			ps = append(ps, party{kind, i})
		}
		return ps
	}
	switch kind {
	case "clients", "agent":
		return []party{{kind, 0}}, nil
	case "nodes":
		return all("node", s.Fleet.Nodes, ""), nil
	case "servers":
		return all("server", s.Fleet.Servers, ""), nil
	case "zone":
		if slices.Contains(s.Fleet.Zones, arg) {
			return append(all("node", s.Fleet.Nodes, arg), all("server", s.Fleet.Servers, arg)...), nil
		}
	case "node", "server":
		most := map[string]int{"node": s.Fleet.Nodes, "server": s.Fleet.Servers}[kind]
		if n, err := strconv.Atoi(arg); err == nil && n >= 0 && n < most {
			return []party{{kind, n}}, nil
		}
	}
	return nil, fmt.Errorf("%q names no party", name)
}

func names[V any](m map[string]V) string {
	var all []string
	for n := range m {
		all = append(all, n)
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}

// lineOf finds the line of a field such as fault[2].zone, or of its table where the field
// is not written; 0 where neither is.
func lineOf(text []byte, field string) (line int) {
	p := unstable.Parser{}
	p.Reset(text)
	table, seen := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var key []string
		var at int
		for it := e.Key(); it.Next(); {
			if at == 0 {
				at = 1 + bytes.Count(text[:it.Node().Raw.Offset], []byte("\n"))
			}
			key = append(key, string(it.Node().Data))
		}
		path := strings.Join(key, ".")
		switch e.Kind {
		case unstable.Table:
			table = path
		case unstable.ArrayTable:
			table = path + "[" + strconv.Itoa(seen[path]) + "]"
			seen[path]++
		case unstable.KeyValue:
			if table != "" {
				path = table + "." + path
			}
			if path == field {
				return at
			}
			continue
		}
		if strings.HasPrefix(field, table+".") {
			line = at
		}
	}
	return line
}
