package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"opalhook/internal/discovery"
)

// ErrWatchEnded is the error of a watch whose connection ended.
var ErrWatchEnded = errors.New("the watch ended")

// Watch follows the list from a generation, or from the full list if the generation is 0. It uses the first
// replica that accepts the watch and tries each replica once. It calls handle for each message, in order, and
// returns an error when the watch or ctx ends. Without replica addresses it returns nil.
func (c *Client) Watch(ctx context.Context, from uint64, handle func(generation uint64, snapshot bool, entries []Entry)) error {
	var lastErr error
	for _, replica := range c.Replicas {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, discovery.WatchURL(replica, from), nil)
		if err != nil {
			return fmt.Errorf("replica %q: %w", replica, err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			lastErr = err
			continue
		}
		if resp.StatusCode != http.StatusOK {
			_ = resp.Body.Close() // the body is not needed
			lastErr = fmt.Errorf("%s rejected the watch: %s", replica, resp.Status)
			continue
		}
		err = readWatch(resp.Body, handle)
		_ = resp.Body.Close() // the watch has ended
		return fmt.Errorf("%s: %w", replica, err)
	}
	return lastErr
}

// readWatch calls handle for each message until the watch ends. It always returns an error.
func readWatch(body io.Reader, handle func(generation uint64, snapshot bool, entries []Entry)) error {
	lines := discovery.NewLineReader(body, maxResponseBytes)
	for {
		m, heartbeat, err := lines.Next()
		var malformed *discovery.MalformedLineError
		switch {
		case errors.As(err, &malformed):
			return err
		case errors.Is(err, io.EOF):
			return ErrWatchEnded
		case err != nil:
			return errors.Join(err, ErrWatchEnded)
		case !heartbeat:
			handle(m.Generation, m.Snapshot, m.Entries)
		}
	}
}
