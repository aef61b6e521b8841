package settings

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/golden"
)

// allKeys sets every key. The numbers within a section differ, so that the test detects swapped keys.
const allKeys = `{
	"instances": 9, "me": 4, "zone": "z", "tick": 0.004, "registryMode": "subscribe", "unknown": [1],
	"familyInfo": {"inboxPerS": 40, "unitsTop": 8, "postPaid": true},
	"feedback": {"how": "probe"},
	"lanes": [
		{"name": "a", "idempotency": "retryable", "keyScope": "", "onTime": 1, "deadline": 4, "worth": 3, "lateWorth": 0.25, "streamed": true},
		{"name": "b", "idempotency": "dedup", "keyScope": "zone", "memorySpan": 5},
		{"name": "c", "idempotency": "fragile"}
	],
	"penalties": {"crossZone": 0.1, "peer": 0.2, "probe": 0.3, "waste": 0.4},
	"policyLimits": {
		"cancel": true, "parallelTries": true, "peers": true, "probes": true, "retryAfter": true, "mostTries": 3,
		"maxRetryAfter": 0.5, "connIdle": 30, "connectTimeout": 0.25
	},
	"rules": {
		"answerSlack": 0.008, "askWithin": 10, "coldFrom": 0.2, "drainGrace": 0.5, "fallMultiple": 1.5, "overloadFor": 2, "rampTime": 6
	},
	"tariffs": [{
		"name": "p", "quotaRate": 2.5, "peakUnits": 7, "neverOverRate": 11, "hardBurst": 13, "capSlack": 17, "worthFactor": 19,
		"extraWorth": 0.6, "overCost": 0.7, "maxOut": 23
	}]
}`

// allSettings returns the result of parsing allKeys.
func allSettings() balancer.Settings {
	return balancer.Settings{
		NodeIndex: 4, NodeCount: 9, Zone: "z", Tick: 4 * time.Millisecond,
		PollEndpoints: true, PollInterval: 10 * time.Second,
		PeerMessagesPerSecond: 40, MaxUnits: 8, PostPaid: true,
		LoadReports: balancer.LoadReportsInHealthChecks,
		Classes: []balancer.Class{
			{
				Name: "a", Idempotency: balancer.Idempotent, LatencyObjective: time.Second, Deadline: 4 * time.Second,
				PriorityWeight: 3, LateWeightFraction: 0.25, Stream: true,
			},
			{Name: "b", Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupZone, DedupWindow: 5 * time.Second},
			{Name: "c", Idempotency: balancer.NonIdempotent},
		},
		Plans: []balancer.Plan{{
			Name: "p", Rate: 2.5, Burst: 7, MaxConcurrent: 23, HardLimitRate: 11, HardLimitBurst: 13, HardLimitSlack: 17,
			WeightFactor: 19, OverQuotaValue: 0.6, OverQuotaCost: 0.7,
		}},
		CrossZonePrice: 0.1, PeerMessagePrice: 0.2, HealthCheckPrice: 0.3, WastedWorkPrice: 0.4,
		MaxAttempts: 3, Hedging: true, Cancellation: true, Gossip: true, HealthChecks: true, RetryAfter: true,
		MaxRetryAfter: 500 * time.Millisecond,
		ResponseSlack: 8 * time.Millisecond, DrainTimeout: 500 * time.Millisecond,
		SlowStartInitialFraction: 0.2, SlowStartDuration: 6 * time.Second, OverloadFactor: 1.5, OverloadWindow: 2 * time.Second,
	}
}

func TestParse(t *testing.T) {
	for _, c := range []struct {
		name, text string
		settings   balancer.Settings
		transport  Transport
	}{
		{"every key", allKeys, allSettings(), Transport{ConnIdle: 30 * time.Second, ConnectTimeout: 250 * time.Millisecond}},
		{"no key", `{}`, balancer.Settings{}, Transport{}},
		{"list pushed", `{"registryMode":"automatic"}`, balancer.Settings{}, Transport{}},
		{"no load reports", `{"feedback":{"how":"none"}}`, balancer.Settings{}, Transport{}},
		{"load reports in responses", `{"feedback":{"how":"answers"}}`, balancer.Settings{LoadReports: balancer.LoadReportsInResponses}, Transport{}},
		{
			"deduplication by cell", `{"lanes":[{"idempotency":"dedup","keyScope":"cell"}]}`,
			balancer.Settings{Classes: []balancer.Class{{Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupCell}}},
			Transport{},
		},
		{
			"deduplication by the fleet", `{"lanes":[{"idempotency":"dedup","keyScope":"all"}]}`,
			balancer.Settings{Classes: []balancer.Class{{Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupFleet}}},
			Transport{},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings, transport, err := Parse([]byte(c.text))
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(settings, c.settings) {
				t.Errorf("settings %+v, want %+v", settings, c.settings)
			}
			if transport != c.transport {
				t.Errorf("transport %+v, want %+v", transport, c.transport)
			}
		})
	}
}

// Parse also returns the settings of connections in the settings object of the simulator's golden file.
func TestParseRecordedTransport(t *testing.T) {
	script := string(golden.Read(t, "../../simwire/testdata/golden/script.txt"))
	_, rest, _ := strings.Cut(script, "LAUNCH 3 18446744073709551615 ")
	text, _, _ := strings.Cut(rest, "\n")
	_, transport, err := Parse([]byte(text))
	if want := (Transport{ConnIdle: 30 * time.Second, ConnectTimeout: 250 * time.Millisecond}); err != nil || transport != want {
		t.Errorf("transport %+v, error %v; want %+v", transport, err, want)
	}
}

// TestAllSettingsSetEveryField fails when a new field of the balancer's settings is missing from allSettings,
// so that TestParse always covers all fields.
func TestAllSettingsSetEveryField(t *testing.T) {
	s := allSettings()
	for _, part := range []any{s, s.Plans[0]} {
		v := reflect.ValueOf(part)
		for i := range v.NumField() {
			if v.Field(i).IsZero() {
				t.Errorf("%s.%s has no value", v.Type().Name(), v.Type().Field(i).Name)
			}
		}
	}
}

func TestParseUnknownValue(t *testing.T) {
	for _, c := range []struct {
		text string
		want UnknownValueError
	}{
		{`{"feedback":{"how":"odd"}}`, UnknownValueError{"feedback.how", "odd"}},
		{`{"lanes":[{"idempotency":"odd"}]}`, UnknownValueError{"lanes.idempotency", "odd"}},
		{`{"lanes":[{"idempotency":""}]}`, UnknownValueError{"lanes.idempotency", ""}},
		{`{"lanes":[{"idempotency":"dedup","keyScope":"odd"}]}`, UnknownValueError{"lanes.keyScope", "odd"}},
		{`{"lanes":[{"idempotency":"dedup"}]}`, UnknownValueError{"lanes.keyScope", ""}},
	} {
		_, _, err := Parse([]byte(c.text))
		var got *UnknownValueError
		if !errors.As(err, &got) || *got != c.want {
			t.Errorf("%s: error %v, want %v", c.text, err, &c.want)
		}
	}
}

func TestParseMalformed(t *testing.T) {
	var syntax *json.SyntaxError
	if _, _, err := Parse([]byte(`{"me":1,}`)); !errors.As(err, &syntax) {
		t.Errorf("error %v, want a json.SyntaxError", err)
	}
	var kind *json.UnmarshalTypeError
	if _, _, err := Parse([]byte(`{"rules":{"coldFrom":"0.5"}}`)); !errors.As(err, &kind) || kind.Field != "rules.coldFrom" {
		t.Errorf("error %v, want a json.UnmarshalTypeError for rules.coldFrom", err)
	}
}

func TestDuration(t *testing.T) {
	for _, c := range []struct {
		seconds float64
		want    time.Duration
	}{
		{0, 0},
		{8.41225, 8412250 * time.Microsecond},
		{0.0000004, 0},
		{0.0000006, time.Microsecond},
		{-1.5, -1500 * time.Millisecond},
	} {
		if got := Duration(c.seconds); got != c.want {
			t.Errorf("Duration(%v) is %v, want %v", c.seconds, got, c.want)
		}
	}
}
