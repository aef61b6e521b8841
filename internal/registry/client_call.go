package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	callTimeout       = 3 * time.Second        // for one attempt at one replica
	dialTimeout       = time.Second            // of it, for the connection
	clientRetryPause  = 200 * time.Millisecond // after all replicas were tried, where none says when to retry
	longestRetryAfter = 60 * time.Second       // that a client heeds
	maxResponseBytes  = 256 << 20              // of a response, or of a line of a watch: more than a full list
)

// ErrNoReplicas is the error of a client that has no address of a replica.
var ErrNoReplicas = errors.New("no replica is named")

// RejectedError is a response that no further attempt can change.
type RejectedError struct {
	Status  int // of HTTP
	Outcome Outcome
}

// Error implements error.
func (e *RejectedError) Error() string {
	if e.Outcome.Message == "" {
		return fmt.Sprintf("the list service answers %d", e.Status)
	}
	return e.Outcome.Message
}

// unavailableError is a response that asks for another attempt.
type unavailableError struct {
	body       string
	retryAfter time.Duration // 0: the response names none
}

// Error implements error.
func (e *unavailableError) Error() string { return e.body }

// call sends a request to one replica after another until one carries it out or rejects it, or ctx ends.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	if len(c.Replicas) == 0 {
		return nil, ErrNoReplicas
	}
	httpClient := newHTTPClient()
	for attempt := 0; ; attempt++ {
		replica := c.Replicas[attempt%len(c.Replicas)]
		req, err := http.NewRequestWithContext(ctx, method, "http://"+replica+path, bytes.NewReader(body))
		if err != nil {
			return nil, fmt.Errorf("replica %q: %w", replica, err)
		}
		text, err := tryCall(httpClient, req)
		if err == nil {
			return text, nil
		}
		var rejected *RejectedError
		if errors.As(err, &rejected) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("no replica of %s answers for good: %w", strings.Join(c.Replicas, ", "), err)
		case <-time.After(c.pauseAfter(attempt, err)):
		}
	}
}

// newHTTPClient returns a client for one call. It follows a redirect to the leader with the body.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}
}

// tryCall sends a request once and returns the body of a response with status 200. A response that is final is a
// [RejectedError].
func tryCall(httpClient *http.Client, req *http.Request) ([]byte, error) {
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	_ = resp.Body.Close() // all that matters was read
	if err != nil {
		return nil, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return text, nil
	case http.StatusServiceUnavailable, http.StatusTemporaryRedirect:
		return nil, &unavailableError{strings.TrimSpace(string(text)), parseRetryAfter(resp.Header)}
	}
	rejected := &RejectedError{Status: resp.StatusCode}
	_ = json.Unmarshal(text, &rejected.Outcome) // a response of another form has no message to show
	return nil, rejected
}

// parseRetryAfter returns the advice of a response, 0 where there is none that a client heeds.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds <= 0 || seconds > int(longestRetryAfter/time.Second) {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// pauseAfter is the pause after a failed attempt: none until every replica was tried.
func (c *Client) pauseAfter(attempt int, err error) time.Duration {
	if (attempt+1)%len(c.Replicas) != 0 {
		return 0
	}
	var unavailable *unavailableError
	if errors.As(err, &unavailable) && unavailable.retryAfter > 0 {
		return unavailable.retryAfter
	}
	return clientRetryPause
}
