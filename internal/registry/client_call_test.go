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

// scriptedReplica starts a server that sends the given responses in order, and the last one for all further
// requests. It counts the requests.
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

// A client tries one replica after another until one executes the request.
func TestClientTriesReplicas(t *testing.T) {
	unavailable := respondWith(http.StatusServiceUnavailable, Outcome{Code: Unavailable, Message: "no leader"})
	done := respondWith(http.StatusOK, Outcome{Code: Done, Generation: 7})
	first, firstRequests := scriptedReplica(t, unavailable, unavailable, done)
	second, secondRequests := scriptedReplica(t, unavailable)
	client := &Client{Replicas: []string{"127.0.0.1:1", first, second}}
	o, err := client.Remove(t.Context(), InstanceRef{ID: "s-a"})
	if err != nil || o.Code != Done || o.Generation != 7 {
		t.Errorf("outcome %+v, error %v; want done at generation 7", o, err)
	}
	if n, m := firstRequests.Load(), secondRequests.Load(); n != 3 || m != 2 {
		t.Errorf("%d requests at the first replica and %d at the second, want 3 and 2", n, m)
	}
}

// A client does not retry a request that was rejected, and returns the outcome in the response.
func TestClientReturnsRejections(t *testing.T) {
	for _, c := range []struct {
		name     string
		response http.HandlerFunc
		status   int
		code     Code
		text     string
	}{
		{"outcome", respondWith(http.StatusConflict, Outcome{Code: StaleIncarnation, Message: "why"}), 409, StaleIncarnation, "why"},
		{"no outcome in the body", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "x", http.StatusTeapot) }, 418, "", "418"},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, requests := scriptedReplica(t, c.response)
			_, err := (&Client{Replicas: []string{addr}}).Remove(t.Context(), InstanceRef{ID: "s-a"})
			var rejected *RejectedError
			if !errors.As(err, &rejected) || rejected.Status != c.status || rejected.Outcome.Code != c.code || !strings.Contains(err.Error(), c.text) {
				t.Errorf("error %#v: %v, want status %d, code %q and text %q", err, err, c.status, c.code, c.text)
			}
			if n := requests.Load(); n != 1 {
				t.Errorf("%d requests, want 1", n)
			}
		})
	}
}

// A call that no replica executes ends with its context and returns the error of the last attempt.
func TestClientEndsWithContext(t *testing.T) {
	unavailable := respondWith(http.StatusServiceUnavailable, Outcome{Code: Unavailable, Message: "no leader"})
	addr, _ := scriptedReplica(t, unavailable)
	ctx, cancel := context.WithTimeout(t.Context(), 2*clientRetryBackoff)
	defer cancel()
	_, err := (&Client{Replicas: []string{addr}}).Remove(ctx, InstanceRef{ID: "s-a"})
	var last *unavailableError
	if !errors.As(err, &last) && !errors.Is(err, context.DeadlineExceeded) || !strings.Contains(fmt.Sprint(err), addr) {
		t.Errorf("error %v, want that of the last attempt at %s", err, addr)
	}
	if _, err := (&Client{}).Remove(t.Context(), InstanceRef{ID: "s-a"}); !errors.Is(err, ErrNoReplicas) {
		t.Errorf("client without replicas: error %v, want %v", err, ErrNoReplicas)
	}
}

// After all replicas have failed, the delay is the Retry-After header of the last response, if that is within
// bounds.
func TestClientBackoff(t *testing.T) {
	client := &Client{Replicas: []string{"a", "b"}}
	for _, c := range []struct {
		attempt    int
		retryAfter string
		want       time.Duration
	}{
		{0, "2", 0},
		{1, "2", 2 * time.Second},
		{3, "60", time.Minute},
		{1, "61", clientRetryBackoff},
		{1, "0", clientRetryBackoff},
		{1, "soon", clientRetryBackoff},
		{1, "", clientRetryBackoff},
	} {
		err := &unavailableError{retryAfter: parseRetryAfter(http.Header{"Retry-After": {c.retryAfter}})}
		if delay := client.backoffAfter(c.attempt, err); delay != c.want {
			t.Errorf("attempt %d, Retry-After %q: %v, want %v", c.attempt, c.retryAfter, delay, c.want)
		}
	}
	if delay := client.backoffAfter(1, context.DeadlineExceeded); delay != clientRetryBackoff {
		t.Errorf("delay after an error without Retry-After: %v, want %v", delay, clientRetryBackoff)
	}
}
