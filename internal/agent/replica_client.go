package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"opalhook/internal/discovery"
)

const (
	maxMessageBytes = 8 << 20          // largest message of a replica; 5,000 entries take about 1 MB
	maxRetryAfter   = 60 * time.Second // longest accepted Retry-After; longer ones are ignored
)

// ErrWatchEnded means that the replica ended a watch.
var ErrWatchEnded = errors.New("watch ended")

// StatusError means that a replica responded with a status other than 200.
type StatusError struct {
	Status     string        // status code and text, such as "503 Service Unavailable"
	RetryAfter time.Duration // from the Retry-After header; 0: none
}

// Error implements error.
func (e *StatusError) Error() string { return "status " + e.Status }

// retryAfterOf returns the Retry-After duration of a [StatusError], or 0 for other errors.
func retryAfterOf(err error) time.Duration {
	var status *StatusError
	if errors.As(err, &status) {
		return status.RetryAfter
	}
	return 0
}

// replicaClient calls replicas of the list service. It opens a new connection for each call.
type replicaClient struct {
	http         *http.Client
	fetchTimeout time.Duration
}

func newReplicaClient(rules Rules) *replicaClient {
	return &replicaClient{
		http: &http.Client{Transport: &http.Transport{
			DisableKeepAlives:     true,
			DialContext:           (&net.Dialer{Timeout: rules.DialTimeout}).DialContext,
			ResponseHeaderTimeout: rules.DialTimeout,
		}},
		fetchTimeout: rules.SilenceTimeout,
	}
}

// get sends a GET request and returns a response with status 200, whose body the caller closes. Any other
// status is a [*StatusError].
func (c *replicaClient) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close() // the body is not needed
		return nil, &StatusError{resp.Status, parseRetryAfter(resp.Header.Get("Retry-After"))}
	}
	return resp, nil
}

// parseRetryAfter parses a Retry-After header in whole seconds. It returns 0 if the header is missing, has
// another form or exceeds [maxRetryAfter].
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.Atoi(text)
	if err != nil || seconds < 0 || seconds > int(maxRetryAfter/time.Second) {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// fetch requests a replica's complete list.
func (c *replicaClient) fetch(ctx context.Context, replica string) (m discovery.Message, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.fetchTimeout)
	defer cancel()
	resp, err := c.get(ctx, discovery.SnapshotURL(replica))
	if err != nil {
		return m, err
	}
	defer func() { _ = resp.Body.Close() }() // a failure does not affect the list that was read
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err != nil {
		return m, err
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return m, fmt.Errorf("malformed list: %w", err)
	}
	return m, nil
}

// watch opens a watch at a replica for the changes after a generation. The caller closes it.
func (c *replicaClient) watch(ctx context.Context, replica string, from uint64) (*replicaWatch, error) {
	resp, err := c.get(ctx, discovery.WatchURL(replica, from))
	if err != nil {
		return nil, err
	}
	return &replicaWatch{resp.Body, discovery.NewLineReader(resp.Body, maxMessageBytes)}, nil
}

// replicaWatch is an open watch at a replica.
type replicaWatch struct {
	body  io.Closer
	lines *discovery.LineReader
}

// next waits for the next message or heartbeat. It returns [ErrWatchEnded] after the replica has ended the
// watch.
func (w *replicaWatch) next() (m discovery.Message, heartbeat bool, err error) {
	m, heartbeat, err = w.lines.Next()
	if errors.Is(err, io.EOF) {
		err = ErrWatchEnded
	}
	return m, heartbeat, err
}

// close ends the watch.
func (w *replicaWatch) close() { _ = w.body.Close() } // no more data is read
