package agent

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

func TestParseRetryAfter(t *testing.T) {
	for _, c := range []struct {
		text string
		want time.Duration
	}{
		{"", 0},
		{"0", 0},
		{"2", 2 * time.Second},
		{"60", time.Minute},
		{"61", 0},
		{"-1", 0},
		{"1.5", 0},
		{"Wed, 21 Oct 2015 07:28:00 GMT", 0},
	} {
		if got := parseRetryAfter(c.text); got != c.want {
			t.Errorf("%q: %v, want %v", c.text, got, c.want)
		}
	}
}

// A response with a status other than 200 is returned as a StatusError with the status and Retry-After.
func TestReplicaClientStatusError(t *testing.T) {
	var calls atomic.Int64
	addr := startReplica(t, &calls, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	client := newReplicaClient(fastRules())
	_, fetchErr := client.fetch(t.Context(), addr)
	_, watchErr := client.watch(t.Context(), addr, 3)
	for name, err := range map[string]error{"fetch": fetchErr, "watch": watchErr} {
		var status *StatusError
		if !errors.As(err, &status) || status.Status != "503 Service Unavailable" || retryAfterOf(err) != 7*time.Second {
			t.Errorf("%s: error %v, Retry-After %v; want status 503 and 7s", name, err, retryAfterOf(err))
		}
	}
}
