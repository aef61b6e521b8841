package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// statusTimeout bounds a call of an agent for its status.
const statusTimeout = 5 * time.Second

// FetchStatus returns the status of the agent at an address, host:port.
func FetchStatus(ctx context.Context, addr string) (status Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+StatusPath, nil)
	if err != nil {
		return status, fmt.Errorf("address of the agent: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return status, fmt.Errorf("no agent answers: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // whatever is left of it is not wanted
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return status, fmt.Errorf("%s is no agent: %w", addr, err)
	}
	return status, nil
}
