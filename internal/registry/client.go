package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

// Client calls the replicas of the service. Every request may be sent again: where a replica can't be reached, or
// responds that it is unavailable, the call is tried at the next one until its context ends. A [RejectedError] is
// final.
type Client struct {
	Replicas []string // HTTP addresses
}

// callOutcome sends a request and decodes its outcome.
func (c *Client) callOutcome(ctx context.Context, method, path string, body []byte) (Outcome, error) {
	text, err := c.call(ctx, method, path, body)
	if err != nil {
		return Outcome{}, err
	}
	var o Outcome
	if err := json.Unmarshal(text, &o); err != nil {
		return o, fmt.Errorf("answer: %w", err)
	}
	return o, nil
}

// path is the URL's path of an instance, with a suffix.
func (ref InstanceRef) path(suffix string) string {
	path := "/registry/instances/" + url.PathEscape(ref.ID) + suffix
	if ref.Incarnation > 0 {
		path += "?incarnation=" + strconv.FormatUint(ref.Incarnation, 10)
	}
	return path
}

// Register puts an instance into the list.
func (c *Client) Register(ctx context.Context, r Registration) (Outcome, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Outcome{}, fmt.Errorf("registration: %w", err)
	}
	return c.callOutcome(ctx, http.MethodPost, "/registry/instances", body)
}

// Renew extends the lease of an incarnation to its full term.
func (c *Client) Renew(ctx context.Context, ref InstanceRef) (Outcome, error) {
	return c.callOutcome(ctx, http.MethodPost, ref.path("/renew"), nil)
}

// Drain stops new work for an instance, which finishes what it has. Incarnation 0 is any.
func (c *Client) Drain(ctx context.Context, ref InstanceRef) (Outcome, error) {
	return c.callOutcome(ctx, http.MethodPost, ref.path("/drain"), nil)
}

// Remove takes an instance out of the list. Incarnation 0 is any.
func (c *Client) Remove(ctx context.Context, ref InstanceRef) (Outcome, error) {
	return c.callOutcome(ctx, http.MethodDelete, ref.path(""), nil)
}

// Show returns one instance after all writes that were acknowledged before the call.
func (c *Client) Show(ctx context.Context, id string) (InstanceStatus, error) {
	text, err := c.call(ctx, http.MethodGet, "/registry/instances/"+url.PathEscape(id), nil)
	if err != nil {
		return InstanceStatus{}, err
	}
	var status InstanceStatus
	if err := json.Unmarshal(text, &status); err != nil {
		return status, fmt.Errorf("instance: %w", err)
	}
	return status, nil
}

// RemoveReplica removes a replica from the service.
func (c *Client) RemoveReplica(ctx context.Context, id string) (Outcome, error) {
	return c.callOutcome(ctx, http.MethodDelete, "/registry/replicas/"+url.PathEscape(id), nil)
}

// List returns the full list and its version as one replica has it, which may be behind the leader.
func (c *Client) List(ctx context.Context) (generation uint64, entries []Entry, err error) {
	text, err := c.call(ctx, http.MethodGet, "/registry/instances", nil)
	if err != nil {
		return 0, nil, err
	}
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return 0, nil, fmt.Errorf("list: %w", err)
	}
	return m.Generation, m.Instances, nil
}

// Status asks each replica for its status. The results are in the order of Replicas; one that does not respond has an
// error and no status.
func (c *Client) Status(ctx context.Context) (statuses []Status, errs []error) {
	for _, replica := range c.Replicas {
		status, err := replicaStatus(ctx, replica)
		statuses, errs = append(statuses, status), append(errs, err)
	}
	return statuses, errs
}

// replicaStatus asks one replica.
func replicaStatus(ctx context.Context, replica string) (status Status, err error) {
	one := Client{Replicas: []string{replica}}
	text, err := one.call(ctx, http.MethodGet, "/registry/status", nil)
	if err != nil {
		return status, err
	}
	err = json.Unmarshal(text, &status)
	return status, err
}

// Backup writes the state as the leader has it, for [Restore].
func (c *Client) Backup(ctx context.Context, out io.Writer) error {
	text, err := c.call(ctx, http.MethodGet, "/registry/backup", nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, new(State)); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	if _, err := out.Write(text); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	return nil
}
