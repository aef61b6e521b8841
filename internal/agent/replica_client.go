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
	maxMessageBytes = 8 << 20          // of a message of a replica; 5,000 entries are about 1 MB
	maxRetryAfter   = 60 * time.Second // a longer advice is ignored
)

// ErrWatchEnded is the error of a watch that its replica ended.
var ErrWatchEnded = errors.New("watch ended")

// StatusError is a response of a replica other than 200.
type StatusError struct {
	Status     string        // as in "503 Service Unavailable"
	RetryAfter time.Duration // that the replica advises; 0: nothing
}

// Error implements error.
func (e *StatusError) Error() string { return "status " + e.Status }

// retryAfterOf returns what a replica advises with an error, 0 for nothing.
func retryAfterOf(err error) time.Duration {
	var status *StatusError
	if errors.As(err, &status) {
		return status.RetryAfter
	}
	return 0
}

// replicaClient calls replicas of the list service, with a connection for each call.
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

// get calls a URL. The response is one of status 200, whose body the caller closes.
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
		_ = resp.Body.Close() // it is not read
		return nil, &StatusError{resp.Status, parseRetryAfter(resp.Header.Get("Retry-After"))}
	}
	return resp, nil
}

// parseRetryAfter returns the duration of a Retry-After header in whole seconds, 0 if it is none or too long.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.Atoi(text)
	if err != nil || seconds < 0 || seconds > int(maxRetryAfter/time.Second) {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// fetch returns a replica's complete list.
func (c *replicaClient) fetch(ctx context.Context, replica string) (m discovery.Message, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.fetchTimeout)
	defer cancel()
	resp, err := c.get(ctx, discovery.SnapshotURL(replica))
	if err != nil {
		return m, err
	}
	defer func() { _ = resp.Body.Close() }() // whatever is left of it is not wanted
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err != nil {
		return m, err
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return m, fmt.Errorf("malformed list: %w", err)
	}
	return m, nil
}

// watch opens a watch at a replica from a generation. The caller closes it.
func (c *replicaClient) watch(ctx context.Context, replica string, from uint64) (*replicaWatch, error) {
	resp, err := c.get(ctx, discovery.WatchURL(replica, from))
	if err != nil {
		return nil, err
	}
	return &replicaWatch{resp.Body, discovery.NewLineReader(resp.Body, maxMessageBytes)}, nil
}

// replicaWatch is an open watch.
type replicaWatch struct {
	body  io.Closer
	lines *discovery.LineReader
}

// next waits for the next line. It returns [ErrWatchEnded] once the replica has ended the watch.
func (w *replicaWatch) next() (m discovery.Message, heartbeat bool, err error) {
	m, heartbeat, err = w.lines.Next()
	if errors.Is(err, io.EOF) {
		err = ErrWatchEnded
	}
	return m, heartbeat, err
}

// close ends the watch.
func (w *replicaWatch) close() { _ = w.body.Close() } // nothing of it is wanted any more
