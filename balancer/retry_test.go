package balancer

import "testing"

func TestRetryBudget(t *testing.T) {
	var budget retryBudget
	if !budget.empty() {
		t.Error("the zero value of the budget allows a retry")
	}
	for range int(1 / retryTokensPerRequest) {
		budget.deposit()
	}
	if budget.empty() {
		t.Errorf("%v tokens after the requests that earn one, want at least 1", budget.tokens)
	}
	budget.withdraw()
	if !budget.empty() {
		t.Errorf("%v tokens after the retry, want less than 1", budget.tokens)
	}
	for range 1000 {
		budget.deposit()
	}
	if budget.tokens != maxRetryTokens {
		t.Errorf("%v tokens after 1000 requests, want %v", budget.tokens, maxRetryTokens)
	}
}

func TestDedupScope(t *testing.T) {
	earlier := &attempt{zone: "a", cell: 1}
	tests := []struct {
		name     string
		scope    DedupScope
		endpoint Endpoint
		want     bool
	}{
		{"fleet scope, other zone and cell", DedupFleet, Endpoint{Zone: "b", Cell: 2}, true},
		{"zone scope, same zone", DedupZone, Endpoint{Zone: "a", Cell: 2}, true},
		{"zone scope, other zone", DedupZone, Endpoint{Zone: "b", Cell: 1}, false},
		{"cell scope, same cell", DedupCell, Endpoint{Zone: "a", Cell: 1}, true},
		{"cell scope, other cell", DedupCell, Endpoint{Zone: "a", Cell: 2}, false},
	}
	for _, test := range tests {
		class := Class{DedupScope: test.scope}
		if got := class.dedups(earlier, &endpoint{Endpoint: test.endpoint}); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
