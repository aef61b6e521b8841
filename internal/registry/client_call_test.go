package registry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// scriptedReplica answers each request with the next response, the last one for ever. It counts requests.
func scriptedReplica(t *testing.T, responses ...http.HandlerFunc) (addr string, requests *atomic.Int32) {
	t.Helper()
	requests = new(atomic.Int32)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int(requests.Add(1))
		responses[min(n, len(responses))-1](w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests
}

func respondWith(status int, o Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, status, o) }
}

// A client tries one replica after another until one responds for good.
func TestClientTriesReplicas(t *testing.T) {
	unavailable := respondWith(http.StatusServiceUnavailable, Outcome{Code: Unavailable, Message: "no leader"})
	done := respondWith(http.StatusOK, Outcome{Code: Done, Generation: 7})
	first, firstRequests := scriptedReplica(t, unavailable, unavailable, done)
	second, secondRequests := scriptedReplica(t, unavailable)
	client := &Client{Replicas: []string{"127.0.0.1:1", first, second}}
	o, err := client.Remove(t.Context(), InstanceRef{ID: "s-a"})
	if err != nil || o.Code != Done || o.Generation != 7 {
		t.Errorf("%+v, %v", o, err)
	}
	if n, m := firstRequests.Load(), secondRequests.Load(); n != 3 || m != 2 {
		t.Errorf("%d requests at the first and %d at the second", n, m)
	}
}

// A response that no further attempt can change ends the call with its outcome.
func TestClientReturnsRejections(t *testing.T) {
	for _, c := range []struct {
		name     string
		response http.HandlerFunc
		status   int
		code     Code
		text     string
	}{
		{"outcome", respondWith(http.StatusConflict, Outcome{Code: StaleIncarnation, Message: "why"}), 409, StaleIncarnation, "why"},
		{"other form", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "x", http.StatusTeapot) }, 418, "", "418"},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, requests := scriptedReplica(t, c.response)
			_, err := (&Client{Replicas: []string{addr}}).Remove(t.Context(), InstanceRef{ID: "s-a"})
			var rejected *RejectedError
			if !errors.As(err, &rejected) || rejected.Status != c.status || rejected.Outcome.Code != c.code || !strings.Contains(err.Error(), c.text) {
				t.Errorf("error %#v: %v", err, err)
			}
			if n := requests.Load(); n != 1 {
				t.Errorf("%d requests", n)
			}
		})
	}
}

// A call that no replica carries out ends with its context, and with the last replica's error.
func TestClientEndsWithContext(t *testing.T) {
	unavailable := respondWith(http.StatusServiceUnavailable, Outcome{Code: Unavailable, Message: "no leader"})
	addr, _ := scriptedReplica(t, unavailable)
	ctx, cancel := context.WithTimeout(t.Context(), 2*clientRetryPause)
	defer cancel()
	_, err := (&Client{Replicas: []string{addr}}).Remove(ctx, InstanceRef{ID: "s-a"})
	var last *unavailableError
	if !errors.As(err, &last) && !errors.Is(err, context.DeadlineExceeded) || !strings.Contains(fmt.Sprint(err), addr) {
		t.Errorf("error %v", err)
	}
	if _, err := (&Client{}).Remove(t.Context(), InstanceRef{ID: "s-a"}); !errors.Is(err, ErrNoReplicas) {
		t.Errorf("without a replica: %v", err)
	}
}

// The pause after a round of all replicas is what the last one advises, within bounds.
func TestClientPauses(t *testing.T) {
	client := &Client{Replicas: []string{"a", "b"}}
	for _, c := range []struct {
		attempt    int
		retryAfter string
		want       time.Duration
	}{
		{0, "2", 0},
		{1, "2", 2 * time.Second},
		{3, "60", time.Minute},
		{1, "61", clientRetryPause},
		{1, "0", clientRetryPause},
		{1, "soon", clientRetryPause},
		{1, "", clientRetryPause},
	} {
		err := &unavailableError{retryAfter: parseRetryAfter(http.Header{"Retry-After": {c.retryAfter}})}
		if pause := client.pauseAfter(c.attempt, err); pause != c.want {
			t.Errorf("attempt %d, Retry-After %q: %v, want %v", c.attempt, c.retryAfter, pause, c.want)
		}
	}
	if pause := client.pauseAfter(1, context.DeadlineExceeded); pause != clientRetryPause {
		t.Errorf("after an error: %v", pause)
	}
}
