package balancer

import "testing"

func TestRetryBudget(t *testing.T) {
	var budget retryBudget
	if !budget.empty() {
		t.Error("a new budget has a token")
	}
	for range int(1 / retryTokensPerRequest) {
		budget.deposit()
	}
	if budget.empty() {
		t.Errorf("%v tokens after as many requests as earn one", budget.tokens)
	}
	budget.withdraw()
	if !budget.empty() {
		t.Errorf("%v tokens after the retry", budget.tokens)
	}
	for range 1000 {
		budget.deposit()
	}
	if budget.tokens != maxRetryTokens {
		t.Errorf("%v tokens saved up, want %v", budget.tokens, maxRetryTokens)
	}
}

func TestDedups(t *testing.T) {
	earlier := &attempt{zone: "a", cell: 1}
	tests := []struct {
		name     string
		scope    DedupScope
		endpoint Endpoint
		want     bool
	}{
		{"fleet, elsewhere", DedupFleet, Endpoint{Zone: "b", Cell: 2}, true},
		{"zone, same", DedupZone, Endpoint{Zone: "a", Cell: 2}, true},
		{"zone, another", DedupZone, Endpoint{Zone: "b", Cell: 1}, false},
		{"cell, same", DedupCell, Endpoint{Zone: "a", Cell: 1}, true},
		{"cell, another", DedupCell, Endpoint{Zone: "a", Cell: 2}, false},
	}
	for _, test := range tests {
		class := Class{DedupScope: test.scope}
		if got := class.dedups(earlier, &endpoint{Endpoint: test.endpoint}); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}
