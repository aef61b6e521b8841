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
	callTimeout          = 3 * time.Second        // limit for one attempt, including the response body
	dialTimeout          = time.Second            // limit for connecting, within callTimeout
	clientRetryBackoff   = 200 * time.Millisecond // delay after all replicas failed without Retry-After
	maxHonoredRetryAfter = 60 * time.Second       // longer values of Retry-After are ignored

	// maxResponseBytes limits a response body or a line of a watch. It is larger than any full list.
	maxResponseBytes = 256 << 20
)

// ErrNoReplicas is the error of a client without replica addresses.
var ErrNoReplicas = errors.New("no replica addresses are configured")

// RejectedError is the error of a request that the service rejected. Retrying the request cannot succeed.
type RejectedError struct {
	Status  int     // HTTP status code
	Outcome Outcome // zero if the response contains no outcome
}

// Error implements error.
func (e *RejectedError) Error() string {
	if e.Outcome.Message == "" {
		return fmt.Sprintf("the list service responded with status %d", e.Status)
	}
	return e.Outcome.Message
}

// unavailableError is the error of a response after which the request should be retried.
type unavailableError struct {
	message    string
	retryAfter time.Duration // from the Retry-After header; 0: absent or ignored
}

// Error implements error.
func (e *unavailableError) Error() string { return e.message }

// call sends a request to the replicas in turn until one of them executes or rejects it, or ctx ends.
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
		text, err := callOnce(httpClient, req)
		if err == nil {
			return text, nil
		}
		var rejected *RejectedError
		if errors.As(err, &rejected) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("no replica of %s executed the request: %w", strings.Join(c.Replicas, ", "), err)
		case <-time.After(c.backoffAfter(attempt, err)):
		}
	}
}

// newHTTPClient returns an HTTP client for one call. It follows a redirect to the leader and sends the body
// again.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}
}

// callOnce sends a request once and returns the body of a response with status 200. A [RejectedError] is
// final. After any other error the request should be retried; an [unavailableError] may contain the delay.
func callOnce(httpClient *http.Client, req *http.Request) ([]byte, error) {
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	_ = resp.Body.Close() // the body has been read
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
	_ = json.Unmarshal(text, &rejected.Outcome) // without an outcome in the body, the error shows the status
	return nil, rejected
}

// parseRetryAfter returns the delay in a Retry-After header, or 0 if it is absent, invalid or longer than
// maxHonoredRetryAfter.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds <= 0 || seconds > int(maxHonoredRetryAfter/time.Second) {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// backoffAfter returns the delay after a failed attempt; attempts count from 0. It is 0 until all replicas
// have been tried.
func (c *Client) backoffAfter(attempt int, err error) time.Duration {
	if (attempt+1)%len(c.Replicas) != 0 {
		return 0
	}
	var unavailable *unavailableError
	if errors.As(err, &unavailable) && unavailable.retryAfter > 0 {
		return unavailable.retryAfter
	}
	return clientRetryBackoff
}
