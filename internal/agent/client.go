package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// statusTimeout bounds a status request to an agent, including its response.
const statusTimeout = 5 * time.Second

// FetchStatus requests the status of the agent at addr, host:port. It gives up after five seconds.
func FetchStatus(ctx context.Context, addr string) (status Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+StatusPath, nil)
	if err != nil {
		return status, fmt.Errorf("agent address: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return status, fmt.Errorf("agent did not respond: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // a failure does not affect the decoded status
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return status, fmt.Errorf("%s: response is not an agent's status: %w", addr, err)
	}
	return status, nil
}
